#include "daisyrelay/runtime/node.h"

#include "controlnode.h"
#include "entrynode.h"

#include <csignal>

#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace daisyrelay {

static constexpr int ExitBadSettings = 2;
static constexpr int ExitStartFailed = 1;

namespace {

/// Owns the roles of the process and handles its signals.
class Node
{
public:
    Node(std::string settingsPath, NodeSettings settings, PlatformHooks hooks, const std::shared_ptr<LineSink> &sink)
        : settingsPath_(std::move(settingsPath))
        , context_(std::move(settings), std::move(hooks), sink,
              [](std::string_view line) { spdlog::log(spdlog::level::info, "{}", line); })
        , signals_(context_.io, SIGTERM, SIGINT, SIGHUP)
    {
        context_.reloadSettings = [this]() { reloadSettings("needed"); };
        context_.finishRole = [this](int code) { onRoleFinished(code); };
    }

    int run()
    {
        const NodeSettings &settings = context_.settings;
        context_.log.log(Clock::now(), "node.start",
            { { "name", std::string_view(settings.name) }, { "address", std::string_view(settings.id.value) },
                { "zone", std::string_view(settings.zone.value) }, { "entry", settings.isEntry },
                { "control", settings.isControlVm }, { "founding", settings.canBootstrap },
                { "formats", std::string_view(formatRangeText({})) } });
        if (settings.isEntry) {
            roles_.push_back(std::make_unique<EntryNode>(context_));
        }
        if (settings.isControlVm) {
            roles_.push_back(std::make_unique<ControlNode>(context_));
        }
        for (const std::unique_ptr<NodeRole> &role : roles_) {
            if (const Expected<void> started = role->start(); !started) {
                context_.log.log(
                    Clock::now(), "node.failed", { { "error", std::string_view(started.error().detail) } });
                context_.logSink->writePending();
                return ExitStartFailed;
            }
        }
        serveMetrics();
        waitForSignal();
        context_.io.run();
        return exitCode_;
    }

private:
    void serveMetrics()
    {
        if (context_.settings.metricsPort == 0) {
            return;
        }
        metricsServer_ = std::make_unique<HttpServer>(
            context_.io, HttpServerOptions {}, [this](const HttpRequest &request, const HttpResponseCallback &respond) {
                constexpr int NotFound = 404;
                HttpResponse response;
                response.contentType = "text/plain; version=0.0.4";
                response.status = request.target == "/metrics" ? response.status : NotFound;
                context_.metrics.set("log_lines_left_out", static_cast<std::int64_t>(context_.log.suppressedLines()));
                context_.metrics.set("log_lines_dropped", static_cast<std::int64_t>(context_.logSink->droppedLines()));
                response.body = request.target == "/metrics" ? context_.metrics.render() : "";
                respond(std::move(response));
            });
        const Expected<void> listening
            = metricsServer_->listen({ context_.settings.id.value, context_.settings.metricsPort });
        if (!listening) {
            // The process serves requests without metrics rather than not at all.
            context_.log.log(
                Clock::now(), "metrics.unavailable", { { "error", std::string_view(listening.error().detail) } });
        }
    }

    void waitForSignal()
    {
        signals_.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reloadSettings("signal");
            } else if (!isDraining_) {
                isDraining_ = true;
                context_.log.log(Clock::now(), "node.stop", { { "signal", std::int64_t { signal } } });
                for (const std::unique_ptr<NodeRole> &role : roles_) {
                    role->drain();
                }
            }
            waitForSignal();
        });
    }

    // Applies the seeds and the grace period only; identity and addresses are fixed at the start.
    void reloadSettings(std::string_view reason)
    {
        const Expected<NodeSettings> settings = loadNodeSettings(settingsPath_);
        context_.log.log(Clock::now(), "settings.reload",
            { { "reason", reason }, { "ok", settings.has_value() },
                { "error", std::string_view(settings ? "" : settings.error().detail) } });
        if (!settings) {
            context_.metrics.add("settings_invalid_total");
            return;
        }
        context_.settings.seeds = settings->seeds;
        context_.settings.shutdownGrace = settings->shutdownGrace;
        for (const std::unique_ptr<NodeRole> &role : roles_) {
            role->onSettingsChanged();
        }
    }

    void onRoleFinished(int code)
    {
        if (++finishedRoles_ < roles_.size()) {
            return;
        }
        exitCode_ = code;
        context_.log.log(Clock::now(), "node.end", { { "code", std::int64_t { code } } });
        context_.logSink->writePending();
        blockSignals();
        // A role finishes only after its responses were written to the sockets, or the grace period is over.
        context_.io.stop();
    }

    // The end of signals_ restores the default actions, so that a late signal would end the process with its own
    // status.
    static void blockSignals()
    {
        sigset_t signals;
        ::sigemptyset(&signals);
        for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
            ::sigaddset(&signals, signal);
        }
        ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

    std::string settingsPath_;
    NodeContext context_;
    boost::asio::signal_set signals_;
    std::vector<std::unique_ptr<NodeRole>> roles_;
    std::unique_ptr<HttpServer> metricsServer_;
    bool isDraining_ = false;
    std::size_t finishedRoles_ = 0;
    int exitCode_ = 0;
};

} // namespace

int runNode(const std::string &settingsPath, PlatformHooks hooks)
{
    auto sink = std::make_shared<LineSink>(STDOUT_FILENO);
    auto logger = std::make_shared<spdlog::logger>("daisyrelay", sink);
    spdlog::set_default_logger(logger);
    std::signal(SIGPIPE, SIG_IGN);
    // Makes a write beyond the file size limit fail with EFBIG instead of terminating the process.
    std::signal(SIGXFSZ, SIG_IGN);
    Expected<NodeSettings> settings = loadNodeSettings(settingsPath);
    if (!settings) {
        spdlog::error("event=node.failed error=\"{}\"", settings.error().detail);
        sink->writePending();
        return ExitBadSettings;
    }
    Node node(settingsPath, std::move(*settings), std::move(hooks), sink);
    return node.run();
}

} // namespace daisyrelay
