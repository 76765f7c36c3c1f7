#include "linesink.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace daisyrelay {

/// Bytes kept for a reader that does not keep up.
static constexpr std::size_t MaxPendingBytes = std::size_t { 256 } * 1024;

LineSink::LineSink(int descriptor) : descriptor_(descriptor)
{
}

void LineSink::sink_it_(const spdlog::details::log_msg &message)
{
    if (pending_.size() + message.payload.size() >= MaxPendingBytes) {
        ++droppedLines_;
        return;
    }
    pending_.append(message.payload.data(), message.payload.size());
    pending_ += '\n';
}

void LineSink::flush_()
{
    writePending();
}

void LineSink::writePending()
{
    while (!pending_.empty()) {
        pollfd writable { descriptor_, POLLOUT, 0 };
        if (::poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is writable takes this many bytes without blocking.
        const ssize_t written = ::write(descriptor_, pending_.data(), std::min<std::size_t>(pending_.size(), PIPE_BUF));
        if (written <= 0) {
            return;
        }
        pending_.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t LineSink::droppedLines() const
{
    return droppedLines_;
}

} // namespace daisyrelay
