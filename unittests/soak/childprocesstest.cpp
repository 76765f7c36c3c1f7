// Tests of what a child process takes over from the soak run.
#include "platform/soak/childprocess.h"

#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ChildProcess)
{
    std::string folder = "/tmp/daisyrelay-child-XXXXXX";

    void setup() override
    {
        CHECK(::mkdtemp(folder.data()) != nullptr);
    }

    void teardown() override
    {
        for (const char *name : { "/script", "/log" }) {
            ::unlink((folder + name).c_str());
        }
        ::rmdir(folder.c_str());
    }

    /// Writes a shell script with these \p commands. \returns its path.
    std::string writeScript(const std::string &commands) const
    {
        std::ofstream(folder + "/script") << "#!/bin/sh\n" << commands << "\n";
        constexpr mode_t ExecutableMode = 0700;
        CHECK_EQUAL(0, ::chmod((folder + "/script").c_str(), ExecutableMode));
        return folder + "/script";
    }

    /// \returns the status from waitpid.
    static int awaitExit(soak::ChildProcess & child)
    {
        std::optional<int> status;
        while (!status) {
            status = child.pollExitStatus();
        }
        return *status;
    }
};

// A listening socket that a child process holds open accepts connections that nobody serves, and no server can listen
// at its address again.
TEST(ChildProcess, InheritsNoDescriptors)
{
    constexpr int MinDescriptor = 100; // The shell uses lower ones itself.
    const int inherited = ::fcntl(STDOUT_FILENO, F_DUPFD, MinDescriptor);
    CHECK(inherited >= MinDescriptor);
    soak::ChildProcess child(
        writeScript("test ! -e /proc/$$/fd/" + std::to_string(inherited)), "unused", folder + "/log");
    CHECK(child.start());
    const int status = awaitExit(child);
    ::close(inherited);
    CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// A process that SIGTERM ends before it has set its handler is no fault, however late the handler is under load; one
// that has set its handler must not be ended by the signal.
TEST(ChildProcess, TellsWhetherASignalHasAHandler)
{
    soak::ChildProcess child(writeScript("trap 'exit 3' TERM\nwhile :; do :; done"), "unused", folder + "/log");
    CHECK(!child.handlesSignal(SIGTERM));
    CHECK(child.start());
    while (child.isRunning() && !child.handlesSignal(SIGTERM)) { }
    CHECK(!child.handlesSignal(SIGHUP));
    child.sendSignal(SIGTERM);
    const int status = awaitExit(child);
    CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 3);
    CHECK(!child.handlesSignal(SIGTERM));
}
