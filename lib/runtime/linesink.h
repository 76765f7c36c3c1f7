// Writes log lines to standard output without ever waiting for its reader.
#pragma once

#include "daisyrelay/telemetry.h"

#include <string>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

namespace daisyrelay {

/// Keeps a bounded number of bytes for a reader that is slow, and drops lines beyond them.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit LineSink(int descriptor);

    /// Writes what the reader takes at once.
    void writePending();

    [[nodiscard]] std::uint64_t droppedLines() const;

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    int descriptor_;
    std::string pending_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace daisyrelay
