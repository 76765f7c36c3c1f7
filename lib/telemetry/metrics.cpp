#include "daisyrelay/telemetry/metrics.h"

namespace daisyrelay {

static constexpr std::string_view Prefix = "daisyrelay_";

void Metrics::add(std::string_view name, std::uint64_t amount)
{
    if (const auto found = counters_.find(name); found != counters_.end()) {
        found->second += amount;
        return;
    }
    counters_.emplace(std::string(name), amount);
}

void Metrics::set(std::string_view name, std::int64_t value)
{
    gauges_.insert_or_assign(std::string(name), value);
}

void Metrics::observe(std::string_view name, std::string_view labels, Duration duration)
{
    Histogram &histogram = histograms_[{ std::string(name), std::string(labels) }];
    ++histogram.count;
    histogram.totalSeconds += std::chrono::duration<double>(duration).count();
    Duration bound = std::chrono::milliseconds(1);
    for (std::uint64_t &count : histogram.counts) {
        if (duration <= bound) {
            ++count;
            break;
        }
        bound *= 2;
    }
}

std::uint64_t Metrics::value(std::string_view name) const
{
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
    std::string text;
    const auto appendLine = [&text](const std::string &name, const std::string &value) {
        text += Prefix;
        text += name + ' ' + value + '\n';
    };
    for (const auto &[name, value] : counters_) {
        appendLine(name, std::to_string(value));
    }
    for (const auto &[name, value] : gauges_) {
        appendLine(name, std::to_string(value));
    }
    for (const auto &[key, histogram] : histograms_) {
        const auto &[name, labels] = key;
        const std::string separator = labels.empty() ? "" : labels + ",";
        const std::string braces = labels.empty() ? "" : "{" + labels + "}";
        std::uint64_t cumulativeCount = 0;
        std::uint64_t milliseconds = 1;
        constexpr double MillisecondsPerSecond = 1000;
        for (const std::uint64_t count : histogram.counts) {
            cumulativeCount += count;
            const double bound = static_cast<double>(milliseconds) / MillisecondsPerSecond;
            appendLine(name + "_bucket{" + separator + "le=\"" + std::to_string(bound) + "\"}",
                std::to_string(cumulativeCount));
            milliseconds *= 2;
        }
        appendLine(name + "_bucket{" + separator + "le=\"+Inf\"}", std::to_string(histogram.count));
        appendLine(name + "_sum" + braces, std::to_string(histogram.totalSeconds));
        appendLine(name + "_count" + braces, std::to_string(histogram.count));
    }
    return text;
}

} // namespace daisyrelay
