#include "daisyrelay/load/loadrunner.h"

#include "loadsession.h"

#include <iostream>

namespace daisyrelay {

static void printProgress(const LoadRun &run)
{
    std::uint64_t succeeded = 0;
    std::uint64_t rejected = 0;
    for (const auto &[name, report] : run.report.classes) {
        succeeded += report.succeeded;
        for (const auto &[kind, count] : report.rejectedByKind) {
            rejected += count;
        }
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - run.startedAt);
    std::cerr << elapsed.count() << "s ok " << succeeded << " refused " << rejected << "\n";
}

static void scheduleProgress(boost::asio::steady_timer &timer, const LoadRun &run)
{
    timer.expires_after(std::chrono::seconds(1));
    timer.async_wait([&timer, &run](const boost::system::error_code &error) {
        if (error || run.isOver(Clock::now())) {
            return;
        }
        printProgress(run);
        scheduleProgress(timer, run);
    });
}

LoadReport runLoad(const LoadOptions &options)
{
    LoadReport report;
    boost::asio::io_context context(1);
    LoadRun run { options, context, report, Clock::now(), Clock::now() + options.duration, 0, {} };
    std::vector<std::unique_ptr<LoadSession>> sessions;
    for (std::uint32_t number = 0; number < options.sessions; ++number) {
        sessions.push_back(std::make_unique<LoadSession>(run, number));
        sessions.back()->sendNextRequest();
    }
    boost::asio::steady_timer progress(context);
    if (options.showProgress) {
        scheduleProgress(progress, run);
    }
    context.run();
    const Instant end = Clock::now();
    report.seconds = std::chrono::duration<double>(end - run.startedAt).count();
    for (const auto &[group, last] : run.lastWriteAt) {
        double &gap = report.maxWriteGapMs[group];
        gap = std::max(gap, std::chrono::duration<double, std::milli>(std::min(end, run.endsAt) - last).count());
    }
    context.restart();
    if (options.directTerm == 0) {
        for (const std::unique_ptr<LoadSession> &session : sessions) {
            session->verifyGroups(0);
        }
        context.run();
    }
    return report;
}

} // namespace daisyrelay
