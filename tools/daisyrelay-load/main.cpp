// The load driver: bounded load on the entries of one machine, and a report of what callers saw.
#include "daisyrelay/load.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

DEFINE_string(entries, "127.0.0.1:7001", "Entries, as host:port,host:port");
DEFINE_string(service, "rotable-db", "Service");
DEFINE_string(groups, "g1,g2,g3", "Groups");
DEFINE_string(mix, "lookups:read:70,own:read-own:10,reservations:write-once:20",
    "Classes, as name:read|read-own|write|write-once:weight,...");
DEFINE_uint32(sessions, 8, "Concurrent sessions");
DEFINE_uint32(rate, 0, "Requests per second over all sessions; 0 sends the next when the last is answered");
DEFINE_uint32(seconds, 10, "Length of the run");
DEFINE_uint64(requests, 0, "End after this many requests; 0 leaves it to --seconds");
DEFINE_uint32(resend_percent, 10, "Acknowledged requests whose idempotency key is sent once more, in percent");
DEFINE_uint64(direct_term, 0, "Send reads straight to a database in this term instead of to an entry");
DEFINE_string(verify_class, "", "Class of the final reads; the first writing class of the mix by default");
DEFINE_uint32(deadline_ms, 1000, "Deadline of each request");
DEFINE_uint64(seed, 1, "Seed of the choices");
DEFINE_string(json, "", "File for the report as JSON");
DEFINE_bool(progress, true, "Print progress each second");

static std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

static bool parseMix(const std::string &text, std::vector<daisyrelay::LoadClass> &classes)
{
    for (const std::string &item : split(text, ',')) {
        const std::vector<std::string> fields = split(item, ':');
        if (fields.size() != 3 || std::atoi(fields[2].c_str()) <= 0) {
            return false;
        }
        daisyrelay::LoadClass workClass;
        workClass.name = fields[0];
        workClass.isWrite = fields[1].starts_with("write");
        workClass.isRepeatable = fields[1] != "write-once";
        workClass.readsOwnKey = fields[1] == "read-own";
        workClass.weight = static_cast<std::uint32_t>(std::atoi(fields[2].c_str()));
        classes.push_back(std::move(workClass));
    }
    return !classes.empty();
}

static std::string firstWriteClass(const std::vector<daisyrelay::LoadClass> &classes)
{
    for (const daisyrelay::LoadClass &workClass : classes) {
        if (workClass.isWrite) {
            return workClass.name;
        }
    }
    return classes.front().name;
}

int main(int argc, char **argv)
{
    constexpr int ExitViolation = 4;
    gflags::SetUsageMessage("daisyrelay-load --entries HOST:PORT,... --seconds N [--json FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    daisyrelay::LoadOptions options;
    for (const std::string &entry : split(FLAGS_entries, ',')) {
        const std::vector<std::string> fields = split(entry, ':');
        if (fields.size() == 2) {
            options.entries.push_back({ fields[0], static_cast<std::uint16_t>(std::atoi(fields[1].c_str())) });
        }
    }
    options.service = FLAGS_service;
    options.groups = split(FLAGS_groups, ',');
    if (options.entries.empty() || options.groups.empty() || !parseMix(FLAGS_mix, options.classes)) {
        std::cerr << "daisyrelay-load: --entries, --groups or --mix can not be read\n";
        return 2;
    }
    options.sessions = FLAGS_sessions;
    options.ratePerSecond = FLAGS_rate;
    options.duration = std::chrono::seconds(FLAGS_seconds);
    options.maxRequests = FLAGS_requests;
    options.directTerm = FLAGS_direct_term;
    options.resendPercent = FLAGS_resend_percent;
    options.verifyClass = FLAGS_verify_class.empty() ? firstWriteClass(options.classes) : FLAGS_verify_class;
    options.timeout = std::chrono::milliseconds(FLAGS_deadline_ms);
    options.seed = FLAGS_seed;
    options.showProgress = FLAGS_progress;
    const daisyrelay::LoadReport report = daisyrelay::runLoad(options);
    std::cout << report.toTable();
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << report.toJson() << "\n";
    }
    return report.hasNoViolations() ? 0 : ExitViolation;
}
