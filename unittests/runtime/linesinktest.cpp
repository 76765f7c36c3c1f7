// A log reader that stops reading causes dropped lines, but never blocks the process.
#include "../../lib/runtime/linesink.h"

#include <array>

#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(LineSink)
{
    std::array<int, 2> pipeEnds {};
    std::shared_ptr<LineSink> sink;
    std::shared_ptr<spdlog::logger> logger;

    void setup() override
    {
        CHECK_EQUAL(0, ::pipe(pipeEnds.data()));
        sink = std::make_shared<LineSink>(pipeEnds[1]);
        logger = std::make_shared<spdlog::logger>("test", sink);
    }

    void teardown() override
    {
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

    /// Reads all bytes that the pipe holds.
    std::string readAll() const
    {
        ::fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer {};
        for (ssize_t size = 0; (size = ::read(pipeEnds[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }
};

TEST(LineSink, StoppedReaderDropsLinesWithoutBlocking)
{
    // Logs more bytes than the pipe and the buffer hold together, so a blocking write would never return.
    constexpr int LineCount = 20000;
    const std::string line(100, 'x');
    for (int index = 0; index < LineCount; ++index) {
        logger->info("{} {}", index, line);
        sink->writePending();
    }
    CHECK(sink->droppedLines() > 0);
    CHECK(sink->droppedLines() < LineCount);
}

TEST(LineSink, ResumedReaderGetsWholeLines)
{
    constexpr int LineCount = 20000;
    const std::string line(100, 'x');
    for (int index = 0; index < LineCount; ++index) {
        logger->info("{}", line);
        sink->writePending();
    }
    std::string text;
    for (std::string part = readAll(); !part.empty(); part = readAll()) {
        text += part;
        sink->writePending();
    }
    logger->info("last");
    sink->writePending();
    text += readAll();
    CHECK(text.ends_with("\nlast\n"));
    const std::size_t wholeBytes = text.size() - std::string("last\n").size();
    CHECK_EQUAL(0, wholeBytes % (line.size() + 1));
    CHECK_EQUAL(LineCount - sink->droppedLines(), wholeBytes / (line.size() + 1));
}
