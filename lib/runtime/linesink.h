// A log sink that never blocks on the reader of its output.
#pragma once

#include "daisyrelay/telemetry.h"

#include <string>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

namespace daisyrelay {

/// Buffers lines up to a fixed number of bytes while the reader is slow, and drops whole lines beyond it.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit LineSink(int descriptor);

    /// Writes as many buffered bytes as possible without blocking.
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
