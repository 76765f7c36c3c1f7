// Tests of what a child process takes over from the soak run.
#include "platform/soak/childprocess.h"

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
};

// A listening socket that a child process holds open accepts connections that nobody serves, and no server can listen
// at its address again.
TEST(ChildProcess, InheritsNoDescriptors)
{
    constexpr int MinDescriptor = 100; // The shell uses lower ones itself.
    const int inherited = ::fcntl(STDOUT_FILENO, F_DUPFD, MinDescriptor);
    CHECK(inherited >= MinDescriptor);
    std::ofstream(folder + "/script") << "#!/bin/sh\ntest ! -e /proc/$$/fd/" << inherited << "\n";
    constexpr mode_t ExecutableMode = 0700;
    CHECK_EQUAL(0, ::chmod((folder + "/script").c_str(), ExecutableMode));
    soak::ChildProcess child(folder + "/script", "unused", folder + "/log");
    CHECK(child.start());
    std::optional<int> status;
    while (!status) {
        status = child.pollExitStatus();
    }
    ::close(inherited);
    CHECK(WIFEXITED(*status) && WEXITSTATUS(*status) == 0);
}
