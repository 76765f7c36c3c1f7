#include "daisyrelay/load/loadreport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

double ClassReport::latencyMs(double quantile) const
{
    if (latenciesMs.empty()) {
        return 0;
    }
    std::vector<double> sorted = latenciesMs;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index];
}

bool LoadReport::hasNoViolations() const
{
    return staleOwnReads == 0 && lostWrites == 0 && duplicatedWrites == 0 && unverifiedSessions == 0;
}

std::string LoadReport::toJson() const
{
    json::object list;
    for (const auto &[name, report] : classes) {
        json::object rejected;
        for (const auto &[kind, count] : report.rejectedByKind) {
            rejected[kind] = count;
        }
        list[name] = json::object { { "succeeded", report.succeeded }, { "by_replica", report.servedByReplica },
            { "p50_ms", report.latencyMs(0.5) }, { "p99_ms", report.latencyMs(0.99) },
            { "max_ms", report.latencyMs(1.0) }, { "refused", std::move(rejected) } };
    }
    json::object gaps;
    for (const auto &[group, gap] : maxWriteGapMs) {
        gaps[group] = gap;
    }
    return json::serialize(json::object { { "seconds", seconds }, { "classes", std::move(list) },
        { "longest_write_gap_ms", std::move(gaps) }, { "stale_own_reads", staleOwnReads },
        { "lost_writes", lostWrites }, { "doubled_writes", duplicatedWrites }, { "transport_errors", transportErrors },
        { "refused_connects", failedConnects }, { "resent", resentRequests }, { "unverified", unverifiedSessions } });
}

std::string LoadReport::toTable() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << std::left << std::setw(16) << "class" << std::right << std::setw(10) << "ok" << std::setw(10) << "ok/s"
        << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "max ms" << std::setw(11)
        << "replica %"
        << "  refused\n";
    for (const auto &[name, report] : classes) {
        const double replicaPercent = report.succeeded == 0
            ? 0
            : 100.0 * static_cast<double>(report.servedByReplica) / static_cast<double>(report.succeeded);
        out << std::left << std::setw(16) << name << std::right << std::setw(10) << report.succeeded << std::setw(10)
            << static_cast<double>(report.succeeded) / std::max(seconds, 0.001) << std::setw(10)
            << report.latencyMs(0.5) << std::setw(10) << report.latencyMs(0.99) << std::setw(10)
            << report.latencyMs(1.0) << std::setw(11) << replicaPercent << "  ";
        for (const auto &[kind, count] : report.rejectedByKind) {
            out << kind << "=" << count << " ";
        }
        out << "\n";
    }
    for (const auto &[group, gap] : maxWriteGapMs) {
        out << "longest gap between acknowledged writes of " << group << ": " << gap << " ms\n";
    }
    out << "stale own reads " << staleOwnReads << ", lost acknowledged writes " << lostWrites << ", doubled writes "
        << duplicatedWrites << " (" << resentRequests << " resent), cut requests " << transportErrors
        << ", refused connects " << failedConnects << ", sessions not verified " << unverifiedSessions << "\n";
    return out.str();
}

} // namespace daisyrelay
