// What both roles of a process share: the event loop, settings, logs and metrics.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/runtime/platformhooks.h"
#include "daisyrelay/telemetry.h"

#include "linesink.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

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
    std::function<void()> reloadSettings; ///< Reads the settings file again.
    std::function<void(int code)> finishRole; ///< Ends the process.
};

/// One role of a process.
class NodeRole
{
public:
    NodeRole() = default;
    NodeRole(const NodeRole &) = delete;
    NodeRole &operator=(const NodeRole &) = delete;
    virtual ~NodeRole() = default;

    virtual Expected<void> start() = 0;

    /// The settings of the context have changed.
    virtual void settingsChanged() = 0;

    /// Ends in good order and calls NodeContext::finishRole.
    virtual void drain() = 0;
};

} // namespace daisyrelay
