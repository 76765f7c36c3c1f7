// Stand-ins for the review's scripts: databases, operator, clients and the platform on loopback, in one thread.
// They follow the users' pages (PROTOCOL.md, DEPLOY.md) and do only what those pages allow.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using Millis = std::int64_t;

inline Millis steadyMs()
{
    timespec t {};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

inline Millis unixMs()
{
    timespec t {};
    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

/// Writes record.txt: one line for each event, with the milliseconds since the start.
class Record
{
public:
    bool open(const std::string &file)
    {
        file_ = std::fopen(file.c_str(), "w");
        startedAt_ = steadyMs();
        return file_ != nullptr;
    }
    Millis now() const
    {
        return steadyMs() - startedAt_;
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        std::fprintf(file_, "%7.3f ", static_cast<double>(now()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE *file_ = nullptr;
    Millis startedAt_ = 0;
};

class Loop
{
public:
    struct Watch {
        std::function<short()> events;
        std::function<void(short)> onReady;
    };
    Record record;
    std::mt19937_64 random { 1 };

    void watch(int fd, Watch watch)
    {
        watches_[fd] = std::make_shared<Watch>(std::move(watch));
    }
    void unwatch(int fd)
    {
        watches_.erase(fd);
    }
    void after(Millis delay, std::function<void()> action)
    {
        timers_.emplace(steadyMs() + delay, std::move(action));
    }
    void every(Millis interval, std::function<bool()> action)
    {
        after(interval, [this, interval, action]() {
            if (action()) {
                every(interval, action);
            }
        });
    }
    void stop()
    {
        isStopped_ = true;
    }
    void run()
    {
        while (!isStopped_) {
            while (!timers_.empty() && timers_.begin()->first <= steadyMs()) {
                const std::function<void()> action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
                if (isStopped_) {
                    return;
                }
            }
            std::vector<pollfd> fds;
            for (const auto &[fd, watch] : watches_) {
                fds.push_back({ fd, watch->events(), 0 });
            }
            const Millis wait = timers_.empty() ? 100 : std::clamp<Millis>(timers_.begin()->first - steadyMs(), 0, 100);
            ::poll(fds.data(), fds.size(), static_cast<int>(wait));
            for (const pollfd &ready : fds) {
                if (ready.revents == 0) {
                    continue;
                }
                if (const auto found = watches_.find(ready.fd); found != watches_.end()) {
                    const std::shared_ptr<Watch> watch = found->second;
                    watch->onReady(ready.revents);
                }
            }
        }
    }

private:
    std::map<int, std::shared_ptr<Watch>> watches_;
    std::multimap<Millis, std::function<void()>> timers_;
    bool isStopped_ = false;
};

struct Address {
    std::string host;
    int port = 0;
    std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
    sockaddr_in raw() const
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }
};

/// A TCP connection with a buffered input and output.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    std::function<void()> onData;
    std::function<void()> onClosed;
    std::string input;

    Stream(Loop &loop, int fd) : loop_(loop), fd_(fd)
    {
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
        ::fcntl(fd_, F_SETFD, FD_CLOEXEC);
    }
    ~Stream()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    static std::shared_ptr<Stream> connect(Loop &loop, const Address &to)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto stream = std::make_shared<Stream>(loop, fd);
        const sockaddr_in address = to.raw();
        ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        stream->start();
        return stream;
    }
    void start()
    {
        loop_.watch(fd_,
            { [this]() { return static_cast<short>(POLLIN | (output_.empty() ? 0 : POLLOUT)); },
                [self = weak_from_this()](short events) {
                    if (const std::shared_ptr<Stream> stream = self.lock(); stream) {
                        stream->onReady(events);
                    }
                } });
        self_ = shared_from_this();
    }
    bool isOpen() const
    {
        return fd_ >= 0;
    }
    void send(const std::string &bytes)
    {
        output_ += bytes;
        flush();
    }
    /// Closes without calling onClosed.
    void close()
    {
        // The callbacks may be running, so they are destroyed later.
        loop_.after(0, [data = std::exchange(onData, nullptr), closed = std::exchange(onClosed, nullptr)]() {});
        shut();
    }
    void closeAfterWrites()
    {
        closesAfterWrites_ = true;
        loop_.after(0, [data = std::exchange(onData, nullptr)]() {});
        flush();
    }
    /// Removes and returns the first line of the input, without CR LF.
    std::optional<std::string> takeLine()
    {
        const std::size_t end = input.find("\r\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string line = input.substr(0, end);
        input.erase(0, end + 2);
        return line;
    }

private:
    void shut()
    {
        if (fd_ >= 0) {
            loop_.unwatch(fd_);
            ::close(fd_);
            fd_ = -1;
        }
        loop_.after(0, [keep = std::move(self_)]() {});
    }
    void fail()
    {
        const std::function<void()> closed = std::exchange(onClosed, nullptr);
        const std::shared_ptr<Stream> self = shared_from_this();
        close();
        if (closed) {
            closed();
        }
    }
    void flush()
    {
        while (fd_ >= 0 && !output_.empty()) {
            const ssize_t sent = ::send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                return; // The event loop reports errors.
            }
            output_.erase(0, static_cast<std::size_t>(sent));
        }
        if (closesAfterWrites_) {
            close();
        }
    }
    void onReady(short events)
    {
        const std::shared_ptr<Stream> self = shared_from_this();
        if ((events & POLLOUT) != 0) {
            flush();
        }
        if (fd_ >= 0 && (events & (POLLIN | POLLHUP | POLLERR)) != 0) {
            char buffer[65536];
            const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
            if (count > 0) {
                input.append(buffer, static_cast<std::size_t>(count));
                if (onData) {
                    onData();
                }
            } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
                fail();
            }
        }
    }

    Loop &loop_;
    int fd_;
    std::string output_;
    bool closesAfterWrites_ = false;
    std::shared_ptr<Stream> self_;
};

class Listener
{
public:
    Listener(Loop &loop, std::function<void(std::shared_ptr<Stream>)> onAccepted)
        : loop_(loop), onAccepted_(std::move(onAccepted))
    {
    }
    ~Listener()
    {
        close();
    }
    bool listen(const Address &at)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int one = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = at.raw();
        if (::bind(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd_, 128) != 0) {
            close();
            return false;
        }
        loop_.watch(fd_,
            { []() { return static_cast<short>(POLLIN); },
                [this](short) {
                    const int accepted = ::accept(fd_, nullptr, nullptr);
                    if (accepted >= 0) {
                        auto stream = std::make_shared<Stream>(loop_, accepted);
                        stream->start();
                        onAccepted_(stream);
                    }
                } });
        return true;
    }
    void close()
    {
        if (fd_ >= 0) {
            loop_.unwatch(fd_);
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    Loop &loop_;
    std::function<void(std::shared_ptr<Stream>)> onAccepted_;
    int fd_ = -1;
};

/// Forwards connections. While it is cut, bytes and new connections are held up silently.
class Proxy
{
public:
    Proxy(Loop &loop, Address from, Address to)
        : loop_(loop), to_(std::move(to)), listener_(loop, [this](auto stream) { accept(stream); })
    {
        isListening = listener_.listen(from);
    }
    bool isListening = false;
    void setCut(bool isCut)
    {
        isCut_ = isCut;
        if (!isCut_) {
            for (const std::shared_ptr<Pair> &pair : std::set<std::shared_ptr<Pair>>(pairs_)) {
                pump(pair);
            }
        }
    }

private:
    struct Pair {
        std::shared_ptr<Stream> near;
        std::shared_ptr<Stream> far;
    };
    void accept(const std::shared_ptr<Stream> &stream)
    {
        auto pair = std::make_shared<Pair>();
        pair->near = stream;
        pairs_.insert(pair);
        stream->onData = [this, pair]() { pump(pair); };
        stream->onClosed = [this, pair]() { end(pair); };
        pump(pair);
    }
    void pump(const std::shared_ptr<Pair> &pair)
    {
        if (isCut_ || !pairs_.contains(pair)) {
            return;
        }
        if (!pair->far) {
            pair->far = Stream::connect(loop_, to_);
            pair->far->onData = [this, pair]() { pump(pair); };
            pair->far->onClosed = [this, pair]() { end(pair); };
        }
        if (!pair->near->input.empty()) {
            pair->far->send(std::exchange(pair->near->input, {}));
        }
        if (!pair->far->input.empty()) {
            pair->near->send(std::exchange(pair->far->input, {}));
        }
    }
    void end(const std::shared_ptr<Pair> &pair)
    {
        pairs_.erase(pair);
        pair->near->close();
        if (pair->far) {
            pair->far->close();
        }
    }
    Loop &loop_;
    Address to_;
    Listener listener_;
    std::set<std::shared_ptr<Pair>> pairs_;
    bool isCut_ = false;
};

struct HttpMessage {
    std::string head;
    std::string body;
    int status = 0;
    std::string header(const std::string &name) const
    {
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        std::string key = "\r\n" + name + ":";
        std::transform(key.begin(), key.end(), key.begin(), ::tolower);
        const std::size_t at = lower.find(key);
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = head.find_first_not_of(' ', at + key.size());
        return head.substr(from, head.find("\r\n", from) - from);
    }
    static std::optional<HttpMessage> take(std::string &input)
    {
        const std::size_t end = input.find("\r\n\r\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        HttpMessage message;
        message.head = input.substr(0, end + 2);
        const std::string length = message.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        if (input.size() < end + 4 + size) {
            return std::nullopt;
        }
        message.body = input.substr(end + 4, size);
        input.erase(0, end + 4 + size);
        if (message.head.starts_with("HTTP/")) {
            message.status = std::atoi(message.head.c_str() + 9);
        }
        return message;
    }
};

/// Sends one request; \p onResponse gets nothing after \p timeout or a broken connection.
inline void httpCall(Loop &loop, const Address &to, const std::string &method, const std::string &path,
    const std::string &body, Millis timeout, std::function<void(std::optional<HttpMessage>)> onResponse)
{
    struct Call {
        bool isDone = false;
        std::shared_ptr<Stream> stream;
    };
    auto call = std::make_shared<Call>();
    call->stream = Stream::connect(loop, to);
    const auto finish = [call, onResponse](std::optional<HttpMessage> message) {
        if (!std::exchange(call->isDone, true)) {
            call->stream->close();
            onResponse(std::move(message));
        }
    };
    call->stream->onData = [call, finish]() {
        const std::shared_ptr<Stream> stream = call->stream;
        if (std::optional<HttpMessage> message = HttpMessage::take(stream->input); message) {
            finish(std::move(message));
        }
    };
    call->stream->onClosed = [finish]() { finish(std::nullopt); };
    loop.after(timeout, [finish]() { finish(std::nullopt); });
    call->stream->send(method + " " + path + " HTTP/1.1\r\nHost: " + to.text()
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// A process of the system, started as the deploy file says and started again when it ends, as the platform does.
struct Process {
    std::string name;
    std::string zone;
    std::string host;
    bool isEntry = false;
    std::string settingsFile;
    std::string dataFolder;
    pid_t pid = 0;
    int starts = 0;
    int ownEnds = 0; ///< The process ended by itself.
    bool isSignalled = false; ///< The script has ended it.
};

struct Deployment {
    int net = 1; ///< 127.net.x.y
    int callerPort = 0;
    int healthPort = 0;
    int controlPort = 0;
    int peerPort = 0;
    int backendPort = 0;
    int platformPort = 0;
    bool fences = true;
    int graceS = 6;
    std::string folder;
    std::map<std::string, std::map<std::string, Address>> proxies; ///< By process: where it reaches other hosts.
    std::string program = "target/daisyrelay-node";
    std::vector<Process> processes;

    std::string host(int group, int at) const
    {
        return "127." + std::to_string(net) + "." + std::to_string(group) + "." + std::to_string(at + 1);
    }
    std::vector<Address> controls() const
    {
        std::vector<Address> found;
        for (const Process &process : processes) {
            if (!process.isEntry) {
                found.push_back({ process.host, controlPort });
            }
        }
        return found;
    }
    std::vector<Process *> entries()
    {
        std::vector<Process *> found;
        for (Process &process : processes) {
            if (process.isEntry) {
                found.push_back(&process);
            }
        }
        return found;
    }
};

/// Chooses a loopback net and ports that are free, and a temporary folder.
inline bool prepare(Deployment &deployment, int entries, int controls)
{
    std::random_device device;
    for (int attempt = 0; attempt < 50; ++attempt) {
        deployment.net = 20 + static_cast<int>(device() % 200);
        const int base = 20000 + static_cast<int>(device() % 200) * 50;
        bool isFree = true;
        for (int port = base; port < base + 7 && isFree; ++port) {
            const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = Address { deployment.host(1, 0), port }.raw();
            isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (isFree) {
            deployment.callerPort = base;
            deployment.healthPort = base + 1;
            deployment.controlPort = base + 2;
            deployment.peerPort = base + 3;
            deployment.backendPort = base + 5;
            deployment.platformPort = base + 6;
            break;
        }
    }
    const char *temporary = std::getenv("TMPDIR");
    std::string pattern = std::string(temporary == nullptr ? "/tmp" : temporary) + "/review-XXXXXX";
    if (deployment.callerPort == 0 || ::mkdtemp(pattern.data()) == nullptr) {
        return false;
    }
    deployment.folder = pattern;
    for (int at = 0; at < controls + entries; ++at) {
        Process process;
        process.isEntry = at >= controls;
        const int index = process.isEntry ? at - controls : at;
        process.name = (process.isEntry ? "front-" : "core-") + std::to_string(index + 1);
        process.zone = "z" + std::to_string(index % 3 + 1);
        process.host = deployment.host(process.isEntry ? 1 : 2, index);
        process.settingsFile = deployment.folder + "/" + process.name + ".yaml";
        if (!process.isEntry) {
            process.dataFolder = deployment.folder + "/" + process.name;
            ::mkdir(process.dataFolder.c_str(), 0755);
        }
        deployment.processes.push_back(process);
    }
    return ::access(deployment.program.c_str(), X_OK) == 0;
}

/// The settings that deploy/node.yaml gives on a small deployment.
inline void writeSettings(const Deployment &deployment, const Process &process)
{
    std::ofstream file(process.settingsFile);
    file << "address: \"" << process.host << "\"\nname: \"" << process.name << "\"\nzone: \"" << process.zone
         << "\"\nlisten:\n";
    if (process.isEntry) {
        file << "  callers: \"" << process.host << ":" << deployment.callerPort << "\"\n  health: \"" << process.host
             << ":" << deployment.healthPort << "\"\n";
    } else {
        file << "  control: \"" << process.host << ":" << deployment.controlPort << "\"\n";
    }
    file << "peer_port: " << deployment.peerPort << "\nmetrics_port: " << deployment.peerPort + 1 << "\nseeds: [";
    bool isFirst = true;
    for (const Address &control : deployment.controls()) {
        file << (isFirst ? "" : ",") << "\"" << control.text() << "\"";
        isFirst = false;
    }
    file << "]\nfounding: " << (process.starts == 0 ? "true" : "false") << "\n";
    if (!process.dataFolder.empty()) {
        file << "data_folder: \"" << process.dataFolder << "\"\n";
    }
    file << "tolerated: 1\ngrace: " << deployment.graceS
         << "s\nplatform_fences: " << (deployment.fences ? "true" : "false") << "\nplatform: \""
         << deployment.host(3, 0) << ":" << deployment.platformPort << "\"\n";
    if (const auto found = deployment.proxies.find(process.name); found != deployment.proxies.end()) {
        file << "reached_at:\n";
        for (const auto &[host, proxy] : found->second) {
            file << "  \"" << host << "\": \"" << proxy.text() << "\"\n";
        }
    }
}

inline void startProcess(Loop &loop, Deployment &deployment, Process &process)
{
    writeSettings(deployment, process);
    ++process.starts;
    process.isSignalled = false;
    const std::string log = deployment.folder + "/" + process.name + ".log";
    process.pid = ::fork();
    if (process.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The process must not outlive the script.
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("DAISYRELAY_CONFIG", process.settingsFile.c_str(), 1);
        ::execl(deployment.program.c_str(), deployment.program.c_str(), nullptr);
        ::_exit(127);
    }
    loop.record.line("process %s started (start %d)", process.name.c_str(), process.starts);
}

/// Notices processes that have ended, and starts them again after \p restartDelay.
inline void supervise(Loop &loop, Deployment &deployment, Millis restartDelay)
{
    loop.every(20, [&loop, &deployment, restartDelay]() {
        for (Process &process : deployment.processes) {
            int status = 0;
            if (process.pid <= 0 || ::waitpid(process.pid, &status, WNOHANG) != process.pid) {
                continue;
            }
            process.pid = 0;
            const bool isOwn = !process.isSignalled;
            process.ownEnds += isOwn ? 1 : 0;
            loop.record.line("process %s ended: %s %d%s", process.name.c_str(),
                WIFSIGNALED(status) ? "signal" : "status", WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status),
                isOwn ? " (by itself: the script sent no signal)" : "");
            loop.after(restartDelay, [&loop, &deployment, &process]() { startProcess(loop, deployment, process); });
        }
        return true;
    });
}

inline void endAll(Deployment &deployment)
{
    for (Process &process : deployment.processes) {
        if (process.pid > 0) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
            process.pid = 0;
        }
    }
}

/// A replicated service: one log, which its databases have received and applied up to a number.
struct Commit {
    std::uint64_t term = 0;
    std::string id;
    Millis at = 0;
};

struct ServiceLog {
    std::string name;
    std::uint64_t term = 1;
    std::vector<Commit> log; ///< The log of the primary. Commit with number n stands at n - 1.
    Millis replicaLagMs = 20;
    std::uint64_t syncReplicas = 0; ///< Commits are acknowledged once so many replicas have received them: 0 or 1.
    std::vector<class Database *> members; ///< Databases that run.
    std::set<std::string> discarded; ///< Commits that a promote has rolled back.
};

/// One lifetime of a database.
class Database
{
public:
    struct Session {
        std::shared_ptr<Stream> stream;
        std::deque<std::string> lines;
        bool isStarted = false;
        bool isBusy = false;
        char state = 'I';
        bool isReadOnly = false;
        std::uint64_t beginTerm = 0;
        std::vector<std::string> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared;
        int number = 0;
    };
    std::string id;
    std::string zone;
    Address address;
    bool isPrimary = false;
    std::uint64_t term = 1;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    std::string stateName = "ready";
    std::uint64_t received = 0; ///< Number of the newest commit received.
    std::uint64_t heldTerm = 0; ///< Of the last PAUSE.
    bool isPaused = false;
    bool isRunning = false;
    int runs = 0;
    std::function<void(const std::string &id, const std::string &mac, const std::string &row)> onRun;
    std::function<void()> onDrainingAcknowledged;
    std::function<void()> onAcknowledged; ///< The first check-in was acknowledged.
    std::function<void(const std::string &id, const Database &database)> onRead;
    std::function<void(const std::string &id, std::uint64_t number)> onCommit;

    Database(Loop &loop, ServiceLog &service, std::vector<Address> controls)
        : loop_(loop)
        , service_(service)
        , controls_(std::move(controls))
        , listener_(loop, [this](auto stream) { accept(stream); })
    {
    }
    bool start()
    {
        born = unixMs();
        if (!listener_.listen(address)) {
            return false;
        }
        isRunning = true;
        service_.members.push_back(this);
        beat();
        loop_.every(1200, [this]() {
            if (isRunning) {
                beat();
            }
            return isRunning;
        });
        return true;
    }
    std::uint64_t applied() const
    {
        std::uint64_t count = received;
        while (
            !isPrimary && count > appliedBefore_ && service_.log[count - 1].at + service_.replicaLagMs > steadyMs()) {
            --count;
        }
        appliedBefore_ = count;
        return count;
    }
    /// Rolls back what the new primary lacks.
    void truncate(std::uint64_t number)
    {
        received = std::min(received, number);
        appliedBefore_ = std::min(appliedBefore_, number);
    }
    /// Receives what the primary has committed, unless replication is paused.
    void receive()
    {
        if (!isPrimary && !isPaused && isRunning) {
            received = std::max<std::uint64_t>(received, service_.log.size());
        }
    }
    /// Acknowledges the commits that enough replicas have received.
    void acknowledge()
    {
        for (const std::shared_ptr<Waiting> &commit : std::exchange(waiting_, {})) {
            const bool isHeld = service_.syncReplicas == 0
                || std::any_of(service_.members.begin(), service_.members.end(), [&commit](const Database *member) {
                       return !member->isPrimary && member->received >= commit->number;
                   });
            if (isHeld) {
                commit->finish(true);
            } else {
                waiting_.push_back(commit);
            }
        }
    }
    /// Loses the lead: the commits that wait for a replica have run, but are not acknowledged.
    void loseLead()
    {
        appliedBefore_ = received;
        isPrimary = false;
        for (const std::shared_ptr<Waiting> &commit : std::exchange(waiting_, {})) {
            commit->finish(false);
        }
    }
    /// Ends the process: all connections close.
    void end()
    {
        isRunning = false;
        std::erase(service_.members, this);
        listener_.close();
        for (const std::shared_ptr<Session> &session : std::exchange(sessions_, {})) {
            session->stream->close();
        }
    }
    std::string beatBody(std::uint64_t withSequence) const
    {
        return "{\"Service\":\"" + service_.name + "\",\"Addr\":\"" + address.text() + "\",\"Zone\":\"" + zone
            + "\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"" + stateName + "\",\"ColdLeftMs\":0,\"DbRole\":\""
            + (isPrimary ? "primary" : "replica") + "\",\"Seq\":" + std::to_string(withSequence)
            + ",\"born\":" + std::to_string(born) + "}";
    }
    void beat()
    {
        ++sequence;
        sendBeat(beatBody(sequence), 0);
    }

private:
    void sendBeat(const std::string &body, std::size_t attempt)
    {
        if (attempt >= 2 * controls_.size()) {
            return;
        }
        const Address to = beatAt_ ? *beatAt_ : controls_[nextControl_ % controls_.size()];
        httpCall(loop_, to, "POST", "/-/Instances.Heartbeat/" + id, body, 1000,
            [this, body, attempt](std::optional<HttpMessage> response) {
                if (response && response->status / 100 == 2 && onAcknowledged) {
                    std::exchange(onAcknowledged, nullptr)();
                }
                if (response && response->status / 100 == 2 && body.find("\"draining\"") != std::string::npos
                    && onDrainingAcknowledged) {
                    std::exchange(onDrainingAcknowledged, nullptr)();
                }
                if (!response || response->status / 100 != 2) {
                    beatAt_.reset();
                    ++nextControl_;
                    sendBeat(body, attempt + 1);
                    return;
                }
                const std::size_t at = response->body.find("\"HeartbeatAddr\":\"");
                if (at != std::string::npos) {
                    const std::size_t from = at + 17;
                    const std::string text = response->body.substr(from, response->body.find('"', from) - from);
                    const std::size_t colon = text.rfind(':');
                    beatAt_ = Address { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) };
                }
            });
    }
    void accept(const std::shared_ptr<Stream> &stream)
    {
        auto session = std::make_shared<Session>();
        session->stream = stream;
        session->number = nextSession_++;
        sessions_.insert(session);
        stream->onData = [this, session]() {
            while (std::optional<std::string> line = session->stream->takeLine()) {
                session->lines.push_back(*line);
            }
            next(session);
        };
        stream->onClosed = [this, session]() { sessions_.erase(session); };
    }
    std::string ready(const Session &session) const
    {
        return std::string("READY ") + session.state + " " + std::to_string(term) + "." + std::to_string(applied())
            + "\r\n";
    }
    void fail(Session &session, const std::string &code)
    {
        session.state = session.state == 'I' ? 'I' : 'E';
        session.stream->send("ERROR " + code + " " + id + "\r\n" + ready(session));
    }
    void next(const std::shared_ptr<Session> &session)
    {
        while (!session->isBusy && !session->lines.empty() && session->stream->isOpen()) {
            const std::string line = session->lines.front();
            session->lines.pop_front();
            if (line == "BYE") {
                sessions_.erase(session);
                session->stream->close();
                return;
            }
            if (!session->isStarted) {
                open(session, line);
            } else {
                query(session, line);
            }
        }
    }
    static std::vector<std::string> words(const std::string &line)
    {
        std::vector<std::string> found;
        std::size_t from = 0;
        while (from <= line.size()) {
            const std::size_t end = std::min(line.find(' ', from), line.size());
            found.push_back(line.substr(from, end - from));
            from = end + 1;
        }
        return found;
    }
    void open(const std::shared_ptr<Session> &session, const std::string &line)
    {
        const std::vector<std::string> fields = words(line);
        if (sessions_.size() > 16) {
            session->stream->send("ERROR MAXCONN " + id + "\r\n");
            session->stream->closeAfterWrites();
            sessions_.erase(session);
        } else if (fields.size() < 2 || fields[0] != "START" || fields[1] != service_.name
            || (fields.size() > 3 && fields[3] != id)) {
            session->stream->send("ERROR WRONGNODE " + id + "\r\n");
            session->stream->closeAfterWrites();
            sessions_.erase(session);
        } else {
            session->isBusy = true;
            loop_.after(12, [this, session]() {
                session->isBusy = false;
                session->isStarted = true;
                session->stream->send(ready(*session));
                next(session);
            });
        }
    }
    void query(const std::shared_ptr<Session> &session, const std::string &line)
    {
        std::vector<std::string> fields = words(line);
        if (fields.size() < 3 || fields[0] != "QUERY") {
            fail(*session, "BADMSG");
            return;
        }
        const std::string statement = fields[1];
        std::size_t at = 2;
        if (fields[at] == "SINCE") {
            std::uint64_t sinceTerm = 0;
            std::uint64_t sinceNumber = 0;
            std::sscanf(fields[at + 1].c_str(), "%lu.%lu", &sinceTerm, &sinceNumber);
            if (sinceTerm > term || sinceNumber > applied()) {
                fail(*session, "LAGGING");
                return;
            }
            at += 2;
        }
        const std::string verb = fields[at];
        const auto argument
            = [&](std::size_t index) { return at + index < fields.size() ? fields[at + index] : std::string(); };
        const auto rest = [&](std::size_t index) {
            std::string text;
            for (std::size_t word = at + index; word < fields.size(); ++word) {
                text += (text.empty() ? "" : " ") + fields[word];
            }
            return text;
        };
        if (session->state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
            fail(*session, "BADMSG");
            return;
        }
        const auto done = [&](const std::string &row = "") {
            session->stream->send((row.empty() ? "" : "ROW " + row + "\r\n") + "DONE -\r\n" + ready(*session));
        };
        if (verb == "BEGIN") {
            session->isReadOnly = argument(1) == "FETCH";
            if (!session->isReadOnly && !isPrimary) {
                fail(*session, "READONLY");
                return;
            }
            session->state = 'T';
            session->beginTerm = term;
            done();
        } else if (verb == "ROLLBACK") {
            session->state = 'I';
            session->writes.clear();
            done();
        } else if (verb == "SET") {
            session->values[argument(1)] = rest(2);
            done();
        } else if (verb == "PREPARE") {
            session->prepared[argument(1)] = rest(2);
            done();
        } else if (verb == "DEALLOC") {
            session->prepared.erase(argument(1));
            done();
        } else if (verb == "RESET") {
            session->values.clear();
            session->prepared.clear();
            done();
        } else if (verb == "PAUSE" || verb == "RESUME" || verb == "STATUS" || verb == "STEPDOWN") {
            const std::uint64_t argumentTerm = std::strtoull(argument(1).c_str(), nullptr, 10);
            if (verb == "STEPDOWN" && argumentTerm > term) {
                loseLead();
            } else if (verb == "PAUSE" && argumentTerm > std::max(term, heldTerm) && !isPrimary) {
                isPaused = true;
                heldTerm = argumentTerm;
            } else if (verb == "RESUME") {
                isPaused = false;
            }
            if (verb != "STATUS") {
                loop_.record.line("db %s: %s %lu, received %lu", id.c_str(), verb.c_str(), argumentTerm, received);
            }
            done(std::string(isPrimary ? "primary " : "replica ") + std::to_string(term) + " " + std::to_string(term)
                + "." + std::to_string(received) + " " + std::to_string(heldTerm) + " 0 0 "
                + std::to_string(sessions_.size()));
        } else if (session->prepared.contains(argument(1)) || verb != "EXEC") {
            work(session, statement, verb == "EXEC" ? session->prepared[argument(1)].substr(0, 5) : verb, rest(0));
        } else {
            fail(*session, "NOSTMT");
        }
    }
    // A read, write or commit occupies one of two slots for some milliseconds.
    void work(const std::shared_ptr<Session> &session, const std::string &statement, std::string verb,
        const std::string &text)
    {
        if (queued_ >= 16) {
            session->stream->send("ERROR BUSY " + id + "\r\n" + ready(*session));
            return;
        }
        if (verb.starts_with("PUT")) {
            verb = "PUT";
        }
        ++queued_;
        session->isBusy = true;
        Millis &slot = slotFreeAt_[0] <= slotFreeAt_[1] ? slotFreeAt_[0] : slotFreeAt_[1];
        slot = std::max(slot, steadyMs()) + 3;
        loop_.after(slot - steadyMs(), [this, session, statement, verb, text]() {
            --queued_;
            session->isBusy = false;
            if (!session->stream->isOpen()) {
                return;
            }
            finish(session, statement, verb, text);
            next(session);
        });
    }
    void finish(const std::shared_ptr<Session> &session, const std::string &statement, const std::string &verb,
        const std::string &text)
    {
        const bool isWrite = verb == "PUT" || (verb == "COMMIT" && !session->writes.empty());
        const bool isPlain = session->state == 'T' && !session->isReadOnly && verb != "COMMIT";
        if ((isWrite || isPlain) && (!isPrimary || (session->state == 'T' && session->beginTerm != term))) {
            if (verb == "COMMIT") {
                session->writes.clear();
                session->state = 'I';
            }
            fail(*session, "READONLY");
            return;
        }
        ++runs;
        const std::string mac = std::to_string(term) + "." + std::to_string(loop_.random() % 0xffffffffU);
        const std::string row = verb == "FETCH" ? "v" + std::to_string(loop_.random() % 0xffffffU) : "";
        const bool isCommit
            = (verb == "PUT" && session->state == 'I') || (verb == "COMMIT" && !session->writes.empty());
        if (verb == "PUT" && session->state != 'I') {
            session->writes.push_back(statement);
        } else if (verb == "COMMIT") {
            session->writes.clear();
            session->state = 'I';
        }
        loop_.record.line("db %s ran %s %s", id.c_str(), statement.c_str(), text.c_str());
        if (onRun) {
            onRun(statement, mac, row);
        }
        if (verb == "FETCH" && onRead) {
            onRead(statement, *this);
        }
        const auto answer = [this, session, mac, row](bool isAcknowledged) {
            if (isAcknowledged) {
                session->stream->send(
                    (row.empty() ? "" : "ROW " + row + "\r\n") + "DONE " + mac + "\r\n" + ready(*session));
            } else {
                fail(*session, "TIMEOUT");
            }
        };
        if (!isCommit) {
            answer(true);
            return;
        }
        service_.log.push_back({ term, statement, steadyMs() });
        received = service_.log.size();
        if (onCommit) {
            onCommit(statement, received);
        }
        // Replicas receive a commit some milliseconds later; where writes wait for one, the answer waits, too.
        session->isBusy = true;
        auto commit = std::make_shared<Waiting>();
        commit->number = received;
        commit->finish = [this, session, answer](bool isAcknowledged) {
            session->isBusy = false;
            answer(isAcknowledged);
            next(session);
        };
        waiting_.push_back(commit);
        loop_.after(5, [this]() {
            for (Database *member : service_.members) {
                member->receive();
            }
            acknowledge();
        });
        if (service_.syncReplicas == 0) {
            acknowledge();
        }
    }

    struct Waiting {
        std::uint64_t number = 0;
        std::function<void(bool isAcknowledged)> finish;
    };
    std::vector<std::shared_ptr<Waiting>> waiting_;
    mutable std::uint64_t appliedBefore_ = 0; ///< What was applied stays so unless a promote rolls it back.
    Loop &loop_;
    ServiceLog &service_;
    std::vector<Address> controls_;
    Listener listener_;
    std::optional<Address> beatAt_;
    std::size_t nextControl_ = 0;
    std::set<std::shared_ptr<Session>> sessions_;
    int nextSession_ = 1;
    int queued_ = 0;
    Millis slotFreeAt_[2] = { 0, 0 };
};

/// Changes how much later than received the replicas apply. What they have applied by now stays applied.
inline void setReplicaLag(ServiceLog &service, Millis lag)
{
    for (const Database *member : service.members) {
        member->applied();
    }
    service.replicaLagMs = lag;
}

/// The infrastructure's call for promotions.
class Platform
{
public:
    std::function<int(const std::string &service, const std::string &id, std::uint64_t token)> onPromote;

    explicit Platform(Loop &loop) : loop_(loop), listener_(loop, [this](auto stream) { accept(stream); })
    {
    }
    bool listen(const Address &at)
    {
        return listener_.listen(at);
    }

private:
    static std::string field(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":\"");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = at + name.size() + 4;
        return body.substr(from, body.find('"', from) - from);
    }
    void accept(const std::shared_ptr<Stream> &stream)
    {
        streams_.insert(stream);
        stream->onClosed = [this, stream]() { streams_.erase(stream); };
        stream->onData = [this, stream]() {
            while (std::optional<HttpMessage> message = HttpMessage::take(stream->input)) {
                const std::string service = field(message->body, "Service");
                const std::string id = field(message->body, "Id");
                const std::uint64_t token = std::strtoull(message->header("X-Fence-Token").c_str(), nullptr, 10);
                const int status = onPromote ? onPromote(service, id, token) : 409;
                loop_.record.line("platform: promote %s %s holder %s token %lu -> %d", service.c_str(), id.c_str(),
                    message->header("X-Duty-Holder").c_str(), token, status);
                stream->send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 2\r\n\r\n{}");
            }
        };
    }
    Loop &loop_;
    Listener listener_;
    std::set<std::shared_ptr<Stream>> streams_;
};

/// Sends a configuration until it is accepted.
inline void putConfiguration(
    Loop &loop, const std::vector<Address> &controls, const std::string &body, std::function<void()> onAccepted)
{
    auto attempt = std::make_shared<std::function<void(std::size_t)>>();
    *attempt = [&loop, controls, body, onAccepted, attempt](std::size_t at) {
        httpCall(loop, controls[at % controls.size()], "POST", "/-/Config.Put", body, 1000,
            [&loop, onAccepted, attempt, at](std::optional<HttpMessage> response) {
                if (response && response->status == 200) {
                    loop.record.line("operator: config accepted");
                    onAccepted();
                } else {
                    loop.after(300, [attempt, at]() { (*attempt)(at + 1); });
                }
            });
    };
    (*attempt)(0);
}

/// A client with one session after the other, which reads and writes with short pauses.
class Client
{
public:
    std::string name;
    std::string route;
    std::vector<Address> entries;
    double writeShare = 0.2;
    Millis pauseMs = 120;
    std::set<std::string> acknowledgedWrites;
    std::map<std::string, Millis> acknowledgedAt;
    std::set<std::string> *answers = nullptr; ///< What the databases answered: id, MAC and row.
    int served = 0;
    int refused = 0;
    int broken = 0;
    int mixed = 0;

    explicit Client(Loop &loop) : loop_(loop)
    {
    }
    void start()
    {
        entry_ = loop_.random() % entries.size();
        stream_ = Stream::connect(loop_, entries[entry_]);
        state_ = "opening";
        stream_->onData = [this]() {
            while (stream_->isOpen()) {
                const std::optional<std::string> line = stream_->takeLine();
                if (!line) {
                    break;
                }
                onLine(*line);
            }
        };
        stream_->onClosed = [this]() {
            if (state_ == "waiting") {
                ++broken;
                loop_.record.line("client %s: %s ended without an answer", name.c_str(), id_.c_str());
            }
            again();
        };
        stream_->send("START " + route + " u1\r\n");
    }

private:
    void again()
    {
        stream_->close();
        loop_.after(100, [this]() { start(); });
    }
    void sendNext()
    {
        const bool isWrite = static_cast<double>(loop_.random() % 1000) < 1000 * writeShare;
        id_ = name + "x" + std::to_string(++count_);
        text_ = isWrite ? "PUT i" + std::to_string(loop_.random() % 1000) + " d" + id_
                        : "FETCH i" + std::to_string(loop_.random() % 1000);
        row_.clear();
        error_.clear();
        mac_.clear();
        state_ = "waiting";
        loop_.record.line(
            "client %s: sent %s %s to %s", name.c_str(), id_.c_str(), text_.c_str(), entries[entry_].host.c_str());
        stream_->send("QUERY " + id_ + " " + text_ + "\r\n");
    }
    void onLine(const std::string &line)
    {
        const std::string word = line.substr(0, line.find(' '));
        const std::string rest = line.size() > word.size() ? line.substr(word.size() + 1) : "";
        if (word == "ROW") {
            row_ = rest;
        } else if (word == "DONE") {
            mac_ = rest;
        } else if (word == "ERROR") {
            error_ = rest;
            if (state_ == "opening") {
                ++refused;
                again();
            }
        } else if (word == "READY") {
            if (state_ == "waiting") {
                finish();
            }
            state_ = "idle";
            const std::shared_ptr<Stream> current = stream_;
            loop_.after(pauseMs, [this, current]() {
                if (current == stream_ && current->isOpen() && state_ == "idle") {
                    sendNext();
                }
            });
        }
    }
    void finish()
    {
        loop_.record.line("client %s: answer to %s: %s", name.c_str(), id_.c_str(),
            error_.empty() ? ("DONE " + mac_ + " " + row_).c_str() : error_.c_str());
        if (!error_.empty()) {
            ++refused;
            return;
        }
        ++served;
        if (text_.starts_with("PUT")) {
            acknowledgedWrites.insert(id_);
            acknowledgedAt[id_] = steadyMs();
        }
        if (answers != nullptr) {
            if (!answers->contains(id_ + " " + mac_ + " " + row_)) {
                ++mixed;
                loop_.record.line("client %s: %s has another answer than its database gave", name.c_str(), id_.c_str());
            }
        }
    }
    Loop &loop_;
    std::shared_ptr<Stream> stream_;
    std::size_t entry_ = 0;
    std::string state_;
    std::string id_;
    std::string text_;
    std::string row_;
    std::string mac_;
    std::string error_;
    int count_ = 0;
};

/// A session that stays open and sends what it is told.
class Planner
{
public:
    Planner(Loop &loop, Address entry, std::string name, std::string route)
        : loop_(loop), entry_(std::move(entry)), name_(std::move(name)), route_(std::move(route))
    {
    }
    std::map<std::string, std::string> outcomes; ///< Of each statement: "ok" or the error.
    std::vector<std::string> order;

    void start()
    {
        stream_ = Stream::connect(loop_, entry_);
        stream_->onData = [this]() {
            while (std::optional<std::string> line = stream_->takeLine()) {
                onLine(*line);
            }
        };
        stream_->onClosed = [this]() { loop_.record.line("session %s was closed", name_.c_str()); };
        stream_->send("START " + route_ + " u1\r\n");
    }
    bool isIdle() const
    {
        return stream_ && stream_->isOpen() && isReady_;
    }
    std::string send(const std::string &text)
    {
        id_ = name_ + "q" + std::to_string(++count_);
        order.push_back(id_);
        isReady_ = false;
        error_.clear();
        loop_.record.line("session %s: sent %s %s", name_.c_str(), id_.c_str(), text.c_str());
        stream_->send("QUERY " + id_ + " " + text + "\r\n");
        return id_;
    }

private:
    void onLine(const std::string &line)
    {
        if (line.starts_with("ERROR ")) {
            error_ = line.substr(6);
        } else if (line.starts_with("READY ")) {
            isReady_ = true;
            if (!id_.empty()) {
                outcomes[id_] = error_.empty() ? "ok" : error_;
                loop_.record.line("session %s: answer to %s: %s", name_.c_str(), id_.c_str(), outcomes[id_].c_str());
            }
        }
    }
    Loop &loop_;
    Address entry_;
    std::string name_;
    std::string route_;
    std::shared_ptr<Stream> stream_;
    bool isReady_ = false;
    int count_ = 0;
    std::string id_;
    std::string error_;
};

/// A small system: 3 core and some front processes, services with three databases each, an operator and clients.
class SmallSystem
{
public:
    std::vector<std::unique_ptr<ServiceLog>> services;
    std::vector<std::unique_ptr<Database>> databases; ///< Three for each service; the first is its primary.
    std::vector<std::unique_ptr<Client>> clients;
    std::set<std::string> answers; ///< Id, MAC and row of each statement that a database ran.
    bool isConfigured = false;
    std::string limits = "\"TxIdleMs\":3000";
    std::string tenants;
    std::function<void(const std::string &id)>
        onFirstPromote; ///< The platform has received the first call for a promotion.
    std::string moreRoutes; ///< Further routes, each preceded by a comma.

    SmallSystem(Loop &loop, Deployment &deployment, int serviceCount, int syncReplicas = 0)
        : loop_(loop), deployment_(deployment), platform_(loop), syncReplicas_(syncReplicas)
    {
        for (int at = 0; at < serviceCount; ++at) {
            addService(at);
        }
    }
    std::string configuration(int version) const
    {
        return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + routes_ + moreRoutes + "],\"Services\":["
            + serviceList_
            + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
              "\"IdleTimeoutMs\":15000,"
            + limits + "}" + tenants + "}";
    }
    bool start(int clientCount = 18)
    {
        bool isListening = platform_.listen({ deployment_.host(3, 0), deployment_.platformPort });
        platform_.onPromote = [this](const std::string &, const std::string &id, std::uint64_t) { return promote(id); };
        for (Process &process : deployment_.processes) {
            startProcess(loop_, deployment_, process);
        }
        supervise(loop_, deployment_, 500);
        for (const auto &database : databases) {
            isListening = isListening && database->start();
        }
        putConfiguration(loop_, deployment_.controls(), configuration(7), [this, clientCount]() {
            isConfigured = true;
            for (int at = 0; at < clientCount; ++at) {
                addClient(at);
            }
        });
        return isListening;
    }
    /// Writes the totals and ends all processes. \returns the exit status of the case.
    int finish(const std::string &name, bool isBroken)
    {
        int served = 0;
        int broken = 0;
        int mixed = 0;
        for (const auto &client : clients) {
            served += client->served;
            broken += client->broken;
            mixed += client->mixed;
        }
        loop_.record.line(
            "total: %d statements served, %d cut without an answer, %d with another answer", served, broken, mixed);
        endAll(deployment_);
        if (!isConfigured || served < 500) {
            loop_.record.line("result: the case could not run");
            std::printf("%s: could not run (folder %s)\n", name.c_str(), deployment_.folder.c_str());
            return 2;
        }
        loop_.record.line("result: %s", isBroken ? "rule broken" : "rule held");
        std::printf("%s: %s; %d statements served, %d cut without an answer\n", name.c_str(),
            isBroken ? "BROKEN" : "held", served, broken);
        const std::string remove = "rm -rf '" + deployment_.folder + "'";
        const int removed = std::getenv("KEEP") == nullptr ? std::system(remove.c_str()) : 0;
        return isBroken ? 1 : removed * 0;
    }

private:
    // Some hundred milliseconds after the call the named database leads the next term with what it had received.
    int promote(const std::string &id)
    {
        for (const std::unique_ptr<ServiceLog> &service : services) {
            for (Database *candidate : service->members) {
                if (candidate->id == id) {
                    if (onFirstPromote) {
                        std::exchange(onFirstPromote, nullptr)(id);
                    }
                    loop_.after(600, [this, service = service.get(), id]() { lead(*service, id); });
                    return 200;
                }
            }
        }
        return 409;
    }
    void lead(ServiceLog &service, const std::string &id)
    {
        const auto found = std::find_if(
            service.members.begin(), service.members.end(), [&id](const Database *member) { return member->id == id; });
        if (found == service.members.end() || (*found)->isPrimary) {
            return;
        }
        Database &leader = **found;
        ++service.term;
        for (std::size_t number = leader.received; number < service.log.size(); ++number) {
            service.discarded.insert(service.log[number].id);
        }
        loop_.record.line("promote in effect: %s leads term %lu of %s with %lu of %zu commits", id.c_str(),
            service.term, service.name.c_str(), leader.received, service.log.size());
        for (Database *member : std::vector<Database *>(service.members)) {
            if (member != &leader && member->isPrimary) {
                member->loseLead();
            }
            member->truncate(leader.received);
            member->term = service.term;
            member->isPaused = false;
        }
        service.log.resize(leader.received);
        leader.isPrimary = true;
        for (Database *member : service.members) {
            member->beat();
        }
    }
    void addService(int at)
    {
        services.push_back(std::make_unique<ServiceLog>());
        ServiceLog &service = *services.back();
        service.name = "svc" + std::to_string(at);
        static const char *const Types[] = { "primary", "bounded_staleness", "read_your_writes" };
        for (int type = 0; type < 3; ++type) {
            const std::string name = "db" + std::to_string(at) + "t" + std::to_string(type);
            routes_ += (routes_.empty() ? "" : ",") + std::string("{\"Name\":\"r-") + name + "\",\"Host\":\"" + name
                + "\",\"PathPrefix\":\"/\",\"Type\":\"" + Types[type]
                + "\",\"TimeoutMs\":800,\"GoalMs\":200,\"Priority\":1,\"Service\":\"" + service.name
                + "\",\"Attempts\":2,\"MaxStalenessMs\":1500}";
        }
        serviceList_ += (serviceList_.empty() ? "" : ",") + std::string("{\"Name\":\"") + service.name
            + "\",\"HealthPath\":\"/health\",\"MaxConns\":16,\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":"
            + std::to_string(syncReplicas_) + "}";
        service.syncReplicas = static_cast<std::uint64_t>(syncReplicas_);
        for (int copy = 0; copy < 3; ++copy) {
            auto database = std::make_unique<Database>(loop_, service, deployment_.controls());
            database->id = "i-" + service.name + "-" + std::to_string(copy);
            database->zone = "z" + std::to_string(copy + 1);
            database->address = { deployment_.host(10 + at, copy), deployment_.backendPort };
            database->isPrimary = copy == 0;
            database->onRun = [this](const std::string &id, const std::string &mac, const std::string &row) {
                answers.insert(id + " " + mac + " " + row);
            };
            databases.push_back(std::move(database));
        }
    }
    void addClient(int at)
    {
        const int serviceCount = static_cast<int>(services.size());
        auto client = std::make_unique<Client>(loop_);
        client->name = "c" + std::to_string(at);
        client->route = "db" + std::to_string(at % serviceCount) + "t" + std::to_string(at / serviceCount % 3);
        for (Process *entry : deployment_.entries()) {
            client->entries.push_back({ entry->host, deployment_.callerPort });
        }
        client->writeShare = at / serviceCount % 3 == 1 ? 0 : 0.2;
        client->answers = &answers;
        Client *started = client.get();
        clients.push_back(std::move(client));
        loop_.after(2000, [started]() { started->start(); });
    }
    Loop &loop_;
    Deployment &deployment_;
    Platform platform_;
    int syncReplicas_;
    std::string routes_;
    std::string serviceList_;
};

} // namespace standin
