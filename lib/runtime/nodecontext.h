// State that the roles of a process share: event loop, settings, log and metrics.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/runtime/platformhooks.h"
#include "daisyrelay/telemetry.h"

#include "linesink.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Must outlive the roles.
struct NodeContext {
    NodeContext(NodeSettings nodeSettings, PlatformHooks hooks, std::shared_ptr<LineSink> sink, EventLog::Sink write)
        : settings(std::move(nodeSettings))
        , platform(std::move(hooks))
        , logSink(std::move(sink))
        , log(std::move(write), settings.maxLogLinesPerSecond)
    {
    }

    NodeSettings settings;
    PlatformHooks platform;
    boost::asio::io_context io { 1 };
    std::shared_ptr<LineSink> logSink;
    EventLog log;
    Metrics metrics;
    std::function<void()> reloadSettings; ///< Reloads the settings file.
    std::function<void(int code)> finishRole; ///< Reports that a role has ended; the process exits after the last one.
};

/// One role of a process: entry or control VM.
class NodeRole
{
public:
    NodeRole() = default;
    NodeRole(const NodeRole &) = delete;
    NodeRole &operator=(const NodeRole &) = delete;
    virtual ~NodeRole() = default;

    /// \returns an error if the role cannot start, in which case the process exits.
    virtual Expected<void> start() = 0;

    /// Called after the settings of the context have been reloaded.
    virtual void onSettingsChanged() = 0;

    /// Shuts down gracefully and then calls NodeContext::finishRole.
    virtual void drain() = 0;
};

} // namespace daisyrelay
