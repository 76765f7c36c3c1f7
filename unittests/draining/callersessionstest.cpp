// Sessions of callers on real sockets at the end of a drain.
#include "callersessions.h"

#include <algorithm>
#include <array>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <sys/resource.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A platform whose messages are single lines: "START", then statements. Responses and greetings are lines, too.
PlatformHooks makeLinePlatform()
{
    PlatformHooks platform;
    platform.decodeCallerMessage = [](std::string_view bytes) {
        Decoded<CallerMessage> decoded;
        if (const std::size_t end = bytes.find('\n'); end != std::string_view::npos) {
            decoded.consumedBytes = end + 1;
            Statement statement;
            statement.id = std::string(bytes.substr(0, end));
            decoded.message = statement.id == "START" ? CallerMessage(SessionStart { "db", "" }) : statement;
        }
        return decoded;
    };
    platform.encodeGreeting = [](std::string &out) { out += "READY\n"; };
    platform.encodeRejection = [](std::string &out, ResponseCode, std::string_view) { out += "REJECTED\n"; };
    platform.encodeResponse = [](std::string &out, const CallerResponse &response) { out += response.detail + "\n"; };
    return platform;
}

} // namespace

TEST_GROUP(CallerSessions)
{
    static constexpr std::uint16_t Port = 28731;
    asio::io_context io;
    PlatformHooks platform = makeLinePlatform();
    std::vector<std::string> statements;
    std::size_t closed = 0;
    SessionId lastSession = 0;
    std::unique_ptr<CallerSessions> sessions;
    tcp::socket caller { io };

    void setup() override
    {
        CallerSessions::Hooks hooks;
        hooks.onOpened = [this](SessionId session, const SessionStart &) {
            lastSession = session;
            sessions->sendGreeting(session);
        };
        hooks.onStatement = [this](SessionId, const Statement &statement) { statements.push_back(statement.id); };
        hooks.onClosed = [this](SessionId) { ++closed; };
        hooks.onMalformed = [](std::string_view) {};
        sessions = std::make_unique<CallerSessions>(io, platform, std::move(hooks));
        CHECK(sessions->listen({ "127.0.0.1", Port }).has_value());
        connect();
    }

    void connect()
    {
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(4096));
        caller.connect({ asio::ip::make_address("127.0.0.1"), Port });
        write("START\n");
        while (lastSession == 0) {
            io.run_one_for(1s);
        }
        CHECK_EQUAL(std::string("READY\n"), read(6));
    }

    void write(std::string_view text)
    {
        asio::write(caller, asio::buffer(text));
    }

    std::string read(std::size_t size)
    {
        std::string text(size, ' ');
        boost::system::error_code error;
        text.resize(asio::read(caller, asio::buffer(text), error));
        return text;
    }

    void respond(const std::string &text)
    {
        CallerResponse response;
        response.detail = text;
        sessions->sendResponse(lastSession, response);
    }

    void awaitUnreadBytes()
    {
        while (sessions->backlog().unreadBytes == 0) { }
    }
};

// Guards against an idle session that is closed while its caller's next statement is in the socket.
TEST(CallerSessions, StatementThatHasArrivedIsReadInsteadOfClosing)
{
    write("first\n");
    awaitUnreadBytes();
    sessions->close(lastSession);
    CHECK_EQUAL(0, closed);
    sessions->readArrivedBytes();
    CHECK_EQUAL(1, statements.size());
    respond("answer");
    CHECK_EQUAL(std::string("answer\n"), read(7));
    sessions->close(lastSession);
    CHECK_EQUAL(1, closed);
}

// Guards against a close after a response that drops the statement sent right behind the first one.
TEST(CallerSessions, PipelinedStatementIsProcessedBeforeTheSessionCloses)
{
    write("first\nsecond\n");
    awaitUnreadBytes();
    sessions->readArrivedBytes();
    CHECK_EQUAL(1, statements.size());
    respond("one");
    sessions->close(lastSession);
    CHECK_EQUAL(0, closed);
    io.poll();
    CHECK_EQUAL(2, statements.size());
    respond("two");
    sessions->close(lastSession);
    CHECK_EQUAL(1, closed);
    CHECK_EQUAL(std::string("one\ntwo\n"), read(8));
}

// Guards against a process that exits with a response in its buffer: the backlog must count it until it is written.
TEST(CallerSessions, ResponseOfClosedSessionCountsUntilItIsWritten)
{
    write("first\n");
    awaitUnreadBytes();
    sessions->readArrivedBytes();
    constexpr std::size_t Size = 3'000'000; // More than the buffers of both sockets hold.
    respond(std::string(Size, 'x'));
    sessions->close(lastSession);
    CHECK_EQUAL(1, closed);
    CHECK(sessions->backlog().unsentBytes > 0);
    std::size_t received = 0;
    while (received < Size + 1) {
        received += read(std::min<std::size_t>(100'000, Size + 1 - received)).size();
        io.poll();
    }
    CHECK_EQUAL(0, sessions->backlog().unsentBytes);
    CHECK_EQUAL(0, sessions->backlog().connections);
}

// Guards against a caller that holds a drain by sending half a message.
TEST(CallerSessions, HalfMessageDoesNotKeepTheSessionOpen)
{
    write("half");
    awaitUnreadBytes();
    io.poll();
    CHECK_EQUAL(0, sessions->backlog().unreadBytes);
    sessions->close(lastSession);
    CHECK_EQUAL(1, closed);
}

// Guards against a statement that is larger than one read and is cut at the end.
TEST(CallerSessions, LargeStatementThatHasArrivedIsReadAtOnce)
{
    constexpr std::size_t Size = 100'000;
    write(std::string(Size, 'x') + "\n");
    while (sessions->backlog().unreadBytes < Size + 1) { }
    sessions->readArrivedBytes();
    CHECK_EQUAL(1, statements.size());
}

// Guards against a caller that is cut in the middle of a response because it does not read for a while.
TEST(CallerSessions, CallerThatPausesGetsItsResponse)
{
    write("first\n");
    awaitUnreadBytes();
    sessions->readArrivedBytes();
    constexpr std::size_t Size = 3'000'000; // More than the buffers of both sockets hold.
    respond(std::string(Size, 'x'));
    io.run_for(1500ms); // Longer than the time after which a silent VM counts as dead.
    std::size_t received = 0;
    while (received < Size + 1) {
        const std::size_t count = read(std::min<std::size_t>(100'000, Size + 1 - received)).size();
        CHECK(count > 0);
        received += count;
        io.poll();
    }
    CHECK_EQUAL(0, closed);
}

// Guards against an entry whose memory grows with what callers send while they await a response.
TEST(CallerSessions, StatementsSentAheadAreReadUpToALimit)
{
    constexpr std::size_t Count = 30'000;
    std::string text;
    for (std::size_t at = 0; at < Count; ++at) {
        text += "statement\n";
    }
    std::size_t sent = 0;
    caller.non_blocking(true);
    const auto sendMore = [&]() {
        boost::system::error_code error;
        sent += sent < text.size() ? caller.write_some(asio::buffer(text.data() + sent, text.size() - sent), error) : 0;
    };
    for (int at = 0; at < 200; ++at) {
        sendMore();
        io.poll();
    }
    constexpr std::size_t MaxBytes = std::size_t { 64 } * 1024;
    CHECK(sessions->backlog().bufferedBytes <= MaxBytes);
    CHECK_EQUAL(1, statements.size());
    while (statements.size() < Count) {
        const std::size_t before = statements.size();
        respond("");
        for (int at = 0; at < 1000 && statements.size() == before; ++at) {
            sendMore();
            io.poll();
        }
        CHECK_EQUAL(before + 1, statements.size());
        std::array<char, 4096> response {};
        boost::system::error_code error;
        caller.read_some(asio::buffer(response), error);
    }
}

// Guards against unfinished large statements that together exceed the memory of the process, and against a limit that
// turns away the callers of small ones.
TEST(CallerSessions, LargeUnfinishedStatementsAreRejectedBeyondALimit)
{
    constexpr std::size_t Size = 1'000'000;
    constexpr std::size_t Count = 12;
    std::vector<tcp::socket> others;
    for (std::size_t at = 0; at < Count; ++at) {
        tcp::socket &other = others.emplace_back(io);
        other.connect({ asio::ip::make_address("127.0.0.1"), Port });
        other.non_blocking(true);
        const std::string text = "START\n" + std::string(Size, 'x');
        std::size_t sent = 0;
        for (int tries = 0; tries < 10'000 && sent < text.size(); ++tries) {
            boost::system::error_code error;
            sent += other.write_some(asio::buffer(text.data() + sent, text.size() - sent), error);
            io.poll();
        }
    }
    io.run_for(100ms);
    constexpr std::size_t MaxBytes = std::size_t { 9 } * 1024 * 1024;
    CHECK(sessions->backlog().bufferedBytes <= MaxBytes);
    CHECK(closed > 0);
    CHECK(closed < Count);
    write("small\n");
    io.run_for(100ms);
    CHECK(std::find(statements.begin(), statements.end(), "small") != statements.end());
}

// Guards against an entry that uses its processor for nothing while it has no free descriptor for a waiting caller.
TEST(CallerSessions, AcceptingPausesWithoutFreeDescriptors)
{
    tcp::socket waiting(io, tcp::v4());
    rlimit usual {};
    CHECK_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &usual));
    rlimit exhausted = usual;
    exhausted.rlim_cur = static_cast<rlim_t>(waiting.native_handle()) + 1;
    CHECK_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &exhausted));
    waiting.connect({ asio::ip::make_address("127.0.0.1"), Port });
    constexpr std::size_t MaxHandlers = 50;
    CHECK(io.run_for(200ms) < MaxHandlers);
    CHECK_EQUAL(1, sessions->backlog().connections);
    CHECK_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &usual));
    io.run_for(100ms);
    CHECK_EQUAL(2, sessions->backlog().connections);
}
