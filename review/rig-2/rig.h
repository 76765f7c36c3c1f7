// Stand-ins of databases, clients, the operator and the infrastructure, and the system's own processes, on loopback.
// A scenario starts a Rig, disturbs it, and asks it which promises were broken.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point &origin()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline long nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - origin()).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// Writes what was sent, answered and run.
class Record
{
public:
    void open(const std::string &path)
    {
        file_.open(path);
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs()) / 1000);
        file_ << time << line << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

struct Address {
    std::string host;
    int port = 0;
    [[nodiscard]] std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

inline int listenAt(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = socketAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const Address &address, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        pollfd waiter { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiter, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads lines that end with CR LF.
class LineReader
{
public:
    explicit LineReader(int fd) : fd_(fd)
    {
    }

    /// Returns nothing if the connection ended or, with a timeout, if no line came in time.
    std::optional<std::string> next(int timeoutMs = -1)
    {
        const auto end = Clock::now() + Ms(timeoutMs < 0 ? 0 : timeoutMs);
        for (;;) {
            if (const std::size_t at = buffer_.find("\r\n"); at != std::string::npos) {
                std::string line = buffer_.substr(0, at);
                buffer_.erase(0, at + 2);
                return line;
            }
            if (timeoutMs >= 0) {
                const long left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
                pollfd waiter { fd_, POLLIN, 0 };
                if (left <= 0 || ::poll(&waiter, 1, static_cast<int>(left)) != 1) {
                    return std::nullopt;
                }
            }
            char bytes[8192];
            const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
            if (count <= 0) {
                isClosed = true;
                return std::nullopt;
            }
            buffer_.append(bytes, static_cast<std::size_t>(count));
        }
    }

    std::string takeBytes(std::size_t count, int timeoutMs)
    {
        const auto end = Clock::now() + Ms(timeoutMs);
        while (buffer_.size() < count) {
            const long left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
            pollfd waiter { fd_, POLLIN, 0 };
            if (left <= 0 || ::poll(&waiter, 1, static_cast<int>(left)) != 1) {
                break;
            }
            char bytes[8192];
            const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
            if (got <= 0) {
                break;
            }
            buffer_.append(bytes, static_cast<std::size_t>(got));
        }
        std::string taken = buffer_.substr(0, count);
        buffer_.erase(0, taken.size());
        return taken;
    }

    bool isClosed = false;

private:
    int fd_;
    std::string buffer_;
};

struct HttpAnswer {
    int status = 0; ///< Zero: no answer.
    std::string body;
};

inline HttpAnswer httpCall(
    const Address &address, const std::string &method, const std::string &path, const std::string &body, int timeoutMs)
{
    HttpAnswer answer;
    const int fd = connectTo(address, timeoutMs);
    if (fd < 0) {
        return answer;
    }
    sendAll(fd,
        method + " " + path + " HTTP/1.1\r\nHost: " + address.text()
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    LineReader reader(fd);
    if (const std::optional<std::string> line = reader.next(timeoutMs); line && line->size() > 12) {
        const int status = std::atoi(line->c_str() + 9);
        std::size_t length = 0;
        bool isWhole = false;
        while (const std::optional<std::string> header = reader.next(timeoutMs)) {
            if (header->empty()) {
                isWhole = true;
                break;
            }
            if (::strncasecmp(header->c_str(), "content-length:", 15) == 0) {
                length = static_cast<std::size_t>(std::atol(header->c_str() + 15));
            }
        }
        answer.body = isWhole ? reader.takeBytes(length, timeoutMs) : "";
        answer.status = isWhole && answer.body.size() == length ? status : 0;
    }
    ::close(fd);
    return answer;
}

/// A process of the system, started with the command of the deploy file.
struct Node {
    std::string name;
    std::string zone;
    std::string host;
    bool isControl = false;
    std::string settings;
    std::string folder;
    std::atomic<pid_t> pid { 0 };
};

struct LogEntry {
    long term = 0;
    std::string write;
};

/// A stand-in of a database.
struct Database {
    std::string id;
    std::string zone;
    Address address;
    bool isUp = false;
    bool isPrimary = false;
    bool isDraining = false;
    bool isCutFromControl = false;
    bool isDeaf = false; ///< Receives nothing from the primary.
    bool isPaused = false;
    long term = 1;
    long promisedTerm = 1;
    long long born = 0;
    long sequence = 0;
    long beatDelayMs = 0; ///< Time between a start and the first check-in.
    std::vector<LogEntry> log;
    std::size_t applied = 0;
    int listener = -1;
    std::set<int> sockets;
    long lifetime = 0;
    bool mustBeat = false;
};

struct ClientWrite {
    std::string id;
    long sentAt = 0;
    long ackedAt = 0;
};

struct Options {
    bool hasPeerProxies = false; ///< Links between processes pass through proxies, so that a zone can be cut off.
    int syncReplicas = 1;
    int promoteMs = 600;
    int entries = 3;
    int writers = 8;
    int pauseBetweenWritesMs = 25;
    int link = 1; ///< One way between databases, in ms.
    bool fences = true;
    std::string program = "target/daisyrelay-node";
};

class Rig
{
public:
    /// What to do with a promotion: answer it, or carry it out later without an answer (ms).
    std::function<std::optional<long>(const std::string &holder, const std::string &id, long token)> lateBy;
    std::vector<std::string> violations;
    std::mutex mutex; ///< Guards the databases and the violations.
    std::condition_variable changed;
    std::vector<std::unique_ptr<Database>> databases;
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> isOver { false };
    Options options;
    std::string folder;
    std::string service = "ledger1";
    std::string writeRoute = "posting1";
    std::string platformZone = "zb";
    std::atomic<long> acknowledged { 0 };
    std::atomic<long> attempts { 0 };
    std::map<std::string, std::string> outcomeCounts;

    explicit Rig(Options chosen) : options(std::move(chosen))
    {
        ::signal(SIGPIPE, SIG_IGN);
        char pattern[] = "/tmp/review-rig-XXXXXX";
        folder = ::mkdtemp(pattern);
        chooseNet();
        platform_ = { net_ + "9.1", 18783 };
        static const char *Zones[] = { "za", "zb", "zc" };
        for (int at = 0; at < 3; ++at) {
            addNode("core-" + std::string(Zones[at]) + "-1", Zones[at], net_ + "2." + std::to_string(at + 1), true);
        }
        for (int at = 0; at < options.entries; ++at) {
            addNode("front-" + std::string(Zones[at % 3]) + "-" + std::to_string(at / 3 + 1), Zones[at % 3],
                net_ + "1." + std::to_string(at + 1), false);
        }
        for (int at = 0; at < 3; ++at) {
            auto database = std::make_unique<Database>();
            database->id = "i-" + std::to_string(at) + "a7f" + std::to_string(at);
            database->zone = Zones[at];
            database->address = { net_ + "5." + std::to_string(at + 1), 18080 };
            databases.push_back(std::move(database));
        }
        databases[0]->isPrimary = true;
    }

    ~Rig()
    {
        stop();
    }

    /// Cuts a zone off from the others; clients still reach it. An empty name joins it again.
    void cutZone(const std::string &zone)
    {
        const std::lock_guard lock(zoneMutex_);
        record().add(zone.empty() ? "zone " + cutZone_ + " is joined again" : "zone " + zone + " is cut off");
        cutZone_ = zone;
    }

    bool isCut(const std::string &one, const std::string &other)
    {
        const std::lock_guard lock(zoneMutex_);
        return !cutZone_.empty() && one != other && !one.empty() && !other.empty()
            && (one == cutZone_ || other == cutZone_);
    }

    void start()
    {
        if (options.hasPeerProxies) {
            for (std::size_t from = 0; from < nodes.size(); ++from) {
                for (std::size_t to = 0; to < nodes.size(); ++to) {
                    if (from != to) {
                        run([this, from, to] { serveProxy(from, to); });
                    }
                }
            }
            sleepMs(50);
        }
        record().add("the infrastructure listens at " + platform_.text());
        run([this] { servePlatform(); });
        for (auto &node : nodes) {
            startNode(*node, true);
        }
        for (auto &database : databases) {
            startDatabase(*database);
        }
        run([this] { replicate(); });
        run([this] { putConfig(); });
    }

    /// Waits until a write succeeds through each entry.
    bool awaitService(long timeoutMs)
    {
        const long end = nowMs() + timeoutMs;
        for (auto &node : nodes) {
            while (!node->isControl && nowMs() < end && writeOnce(*node, "warm" + std::to_string(nowMs())) != "ok") {
                sleepMs(100);
            }
        }
        return nowMs() < end;
    }

    void startClients()
    {
        for (int at = 0; at < options.writers; ++at) {
            run([this, at] { writeForever(at); });
        }
    }

    void stopClients()
    {
        areClientsOver_ = true;
    }

    void stop()
    {
        if (isOver.exchange(true)) {
            return;
        }
        for (auto &node : nodes) {
            if (const pid_t pid = node->pid.exchange(0); pid > 0) {
                ::kill(pid, SIGKILL);
                ::waitpid(pid, nullptr, 0);
            }
        }
        {
            const std::lock_guard lock(mutex);
            for (auto &database : databases) {
                closeAll(*database);
            }
        }
        changed.notify_all();
        for (;;) {
            std::thread last;
            {
                const std::lock_guard lock(threadMutex_);
                if (threads_.empty()) {
                    break;
                }
                last = std::move(threads_.back());
                threads_.pop_back();
            }
            last.join();
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder, ignored);
        }
    }

    // Processes of the system

    void startNode(Node &node, bool isFirst)
    {
        std::ofstream file(node.settings);
        // As deploy/node.yaml is filled in for a small deployment.
        file << "address: \"" << node.host << "\"\nname: \"" << node.name << "\"\nzone: \"" << node.zone
             << "\"\nlisten:\n";
        if (node.isControl) {
            file << "  control: \"" << node.host << ":18782\"\n";
        } else {
            file << "  callers: \"" << node.host << ":18784\"\n  health: \"" << node.host << ":18785\"\n";
        }
        file << "peer_port: 17440\nmetrics_port: 17455\nseeds: [";
        const char *separator = "";
        for (auto &other : nodes) {
            if (other->isControl) {
                file << separator << '"' << other->host << ":18782\"";
                separator = ",";
            }
        }
        file << "]\nfounding: " << (isFirst ? "true" : "false") << "\n";
        if (node.isControl) {
            file << "data_folder: \"" << node.folder << "\"\n";
        }
        file << "tolerated: 1\ngrace: 6s\nplatform_fences: " << (options.fences ? "true" : "false") << "\nplatform: \""
             << platform_.text() << "\"\n"
             << extraSettings;
        if (options.hasPeerProxies) {
            file << "reached_at:\n";
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (nodes[to].get() != &node) {
                    file << "  \"" << nodes[to]->host << "\": \"" << proxyAddress(indexOf(node), to).text() << "\"\n";
                }
            }
        }
        file.close();
        const std::string log = folder + "/" + node.name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script, also if that is killed.
            const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string variable = "DAISYRELAY_CONFIG=" + node.settings;
            const char *const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
            const char *const arguments[] = { options.program.c_str(), nullptr };
            ::execve(
                options.program.c_str(), const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            ::_exit(127);
        }
        node.pid = pid;
        record().add("starts " + node.name);
    }

    void signalNode(Node &node, int signal, const std::string &what)
    {
        record().add(what + " " + node.name);
        if (node.pid > 0) {
            ::kill(node.pid, signal);
        }
    }

    void killNode(Node &node)
    {
        record().add("kills " + node.name);
        if (const pid_t pid = node.pid.exchange(0); pid > 0) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }

    Node *findNode(const std::string &name)
    {
        for (auto &node : nodes) {
            if (node->name == name) {
                return node.get();
            }
        }
        return nullptr;
    }

    // Databases

    void startDatabase(Database &database)
    {
        const std::lock_guard lock(mutex);
        database.isUp = true;
        ++database.lifetime;
        database.isPaused = false;
        database.sequence = 0;
        database.born = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
        if (Database *leader = primary(); leader != nullptr && leader != &database && leader->term > database.term) {
            database.isPrimary = false;
        }
        database.listener = listenAt(database.address);
        record().add("starts database " + database.id + (database.isPrimary ? " (primary)" : ""));
        run([this, &database, listener = database.listener] { accept(database, listener); });
        run([this, &database, lifetime = database.lifetime] { checkIn(database, lifetime); });
    }

    /// Starts a further database at an address of its own.
    Database &addDatabase(const std::string &zone)
    {
        std::unique_lock lock(mutex);
        const std::size_t number = ++addedDatabases_;
        auto database = std::make_unique<Database>();
        database->id = "i-n" + std::to_string(number) + "c9" + std::to_string(number);
        database->zone = zone;
        database->address = { net_ + "6." + std::to_string(number), 18080 };
        databases.push_back(std::move(database));
        Database &added = *databases.back();
        lock.unlock();
        startDatabase(added);
        return added;
    }

    /// Ends a database that has drained: it says that it leaves, and exits.
    void leave(Database &database)
    {
        for (std::size_t at = 0; at < 6; ++at) {
            const HttpAnswer answer = httpCall({ nodes[at % 3]->host, 18782 }, "POST",
                "/-/Instances.Leave/" + database.id, "{\"born\":" + std::to_string(database.born) + "}", 1000);
            if (answer.status == 200) {
                break;
            }
        }
        const std::lock_guard lock(mutex);
        record().add("database " + database.id + " leaves");
        database.isUp = false;
        closeAll(database);
        changed.notify_all();
    }

    void setDeaf(Database &database, bool isDeaf)
    {
        const std::lock_guard lock(mutex);
        record().add(database.id + (isDeaf ? " receives nothing" : " receives again"));
        database.isDeaf = isDeaf;
    }

    void setCutFromControl(Database &database, bool isCut)
    {
        const std::lock_guard lock(mutex);
        record().add(database.id + (isCut ? " is cut off from control" : " reaches control again"));
        database.isCutFromControl = isCut;
    }

    /// Ends everything. Returns the exit code of the script.
    int finish()
    {
        std::vector<std::string> broken;
        {
            const std::lock_guard lock(mutex);
            broken = violations;
        }
        record().add("writes sent " + std::to_string(attempts) + ", acknowledged " + std::to_string(acknowledged));
        record().add(broken.empty() ? "RESULT: held" : "RESULT: broken");
        for (const std::string &line : broken) {
            std::cout << line << "\n";
        }
        stop();
        return broken.empty() ? 0 : 1;
    }

    void drain(Database &database)
    {
        const std::lock_guard lock(mutex);
        record().add("drains database " + database.id);
        database.isDraining = true;
        database.mustBeat = true;
    }

    void crashDatabase(Database &database)
    {
        const std::lock_guard lock(mutex);
        record().add("crashes database " + database.id);
        database.isUp = false;
        closeAll(database);
        changed.notify_all();
    }

    /// With the lock held.
    Database *primary()
    {
        Database *found = nullptr;
        for (auto &database : databases) {
            if (database->isPrimary && (found == nullptr || database->term > found->term)) {
                found = database.get();
            }
        }
        return found;
    }

    Database *find(const std::string &id)
    {
        for (auto &database : databases) {
            if (database->id == id) {
                return database.get();
            }
        }
        return nullptr;
    }

    std::string extraSettings;

private:
    void run(std::function<void()> body)
    {
        const std::lock_guard lock(threadMutex_);
        if (!isOver) {
            threads_.emplace_back(std::move(body));
        }
    }

    std::size_t indexOf(const Node &node) const
    {
        std::size_t at = 0;
        while (nodes[at].get() != &node) {
            ++at;
        }
        return at;
    }

    [[nodiscard]] Address proxyAddress(std::size_t from, std::size_t to) const
    {
        return { net_ + std::to_string(100 + from) + "." + std::to_string(to + 1), 17440 };
    }

    void serveProxy(std::size_t from, std::size_t to)
    {
        const int listener = listenAt(proxyAddress(from, to));
        if (listener < 0) {
            std::exit(2);
        }
        while (!isOver) {
            pollfd waiter { listener, POLLIN, 0 };
            if (::poll(&waiter, 1, 100) != 1) {
                continue;
            }
            if (const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0) {
                run([this, from, to, fd] { pump(from, to, fd); });
            }
        }
        ::close(listener);
    }

    void pump(std::size_t from, std::size_t to, int one)
    {
        const auto isStalled = [&] { return isCut(nodes[from]->zone, nodes[to]->zone); };
        while (isStalled() && !isOver) {
            sleepMs(5);
        }
        const int other = connectTo({ nodes[to]->host, 17440 }, 500);
        while (other >= 0 && !isOver) {
            if (isStalled()) {
                sleepMs(5);
                continue;
            }
            pollfd waiters[2] { { one, POLLIN, 0 }, { other, POLLIN, 0 } };
            if (::poll(waiters, 2, 20) <= 0) {
                continue;
            }
            bool isOpen = true;
            for (int side = 0; side < 2; ++side) {
                if (waiters[side].revents == 0) {
                    continue;
                }
                char bytes[16384];
                const ssize_t count = ::recv(waiters[side].fd, bytes, sizeof bytes, 0);
                isOpen = isOpen && count > 0
                    && sendAll(waiters[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)));
            }
            if (!isOpen) {
                break;
            }
        }
        ::close(one);
        if (other >= 0) {
            ::close(other);
        }
    }

    void chooseNet()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 100; ++attempt) {
            net_ = "127." + std::to_string(30 + random() % 200) + ".";
            bool isFree = true;
            for (const auto &[host, port] : std::vector<std::pair<std::string, int>> {
                     { "9.1", 18783 }, { "2.1", 18782 }, { "2.1", 17440 }, { "1.1", 18784 }, { "5.1", 18080 } }) {
                const int fd = listenAt({ net_ + host, port });
                isFree = isFree && fd >= 0;
                ::close(fd);
            }
            if (isFree) {
                return;
            }
        }
        std::exit(2);
    }

    void addNode(const std::string &name, const std::string &zone, const std::string &host, bool isControl)
    {
        auto node = std::make_unique<Node>();
        node->name = name;
        node->zone = zone;
        node->host = host;
        node->isControl = isControl;
        node->settings = folder + "/" + name + ".yaml";
        node->folder = folder + "/" + name;
        std::filesystem::create_directories(node->folder);
        nodes.push_back(std::move(node));
    }

    // The infrastructure

    void servePlatform()
    {
        const int listener = listenAt(platform_);
        if (listener < 0) {
            std::exit(2);
        }
        while (!isOver) {
            pollfd waiter { listener, POLLIN, 0 };
            if (::poll(&waiter, 1, 100) != 1) {
                continue;
            }
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                run([this, fd] {
                    const Node *owner = ownerOf(fd);
                    while (owner != nullptr && isCut(owner->zone, platformZone) && !isOver) {
                        sleepMs(5);
                    }
                    servePlatformConnection(fd);
                });
            }
        }
        ::close(listener);
    }

    static std::string jsonText(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":\"");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = at + name.size() + 4;
        return body.substr(from, body.find('"', from) - from);
    }

    void servePlatformConnection(int fd)
    {
        LineReader reader(fd);
        while (!isOver) {
            std::optional<std::string> line = reader.next(200);
            if (!line) {
                if (reader.isClosed) {
                    break;
                }
                continue;
            }
            std::string holder;
            long token = 0;
            std::size_t length = 0;
            while (const std::optional<std::string> header = reader.next(1000)) {
                if (header->empty()) {
                    break;
                }
                const auto value = [&](const char *name) -> std::optional<std::string> {
                    const std::size_t size = std::strlen(name);
                    return ::strncasecmp(header->c_str(), name, size) == 0
                        ? std::optional(header->substr(std::min(header->size(), size + 2)))
                        : std::nullopt;
                };
                if (const auto text = value("x-duty-holder")) {
                    holder = *text;
                } else if (const auto number = value("x-fence-token")) {
                    token = std::atol(number->c_str());
                } else if (const auto size = value("content-length")) {
                    length = static_cast<std::size_t>(std::atol(size->c_str()));
                }
            }
            const std::string body = reader.takeBytes(length, 1000);
            const std::string id = jsonText(body, "Id");
            record().add("order: promote " + id + " by " + holder + " with token " + std::to_string(token));
            const std::optional<long> late = lateBy ? lateBy(holder, id, token) : std::nullopt;
            if (late) {
                record().add("no answer to token " + std::to_string(token) + "; carried out in " + std::to_string(*late)
                    + " ms");
                run([this, id, token, late] {
                    sleepUnlessOver(*late);
                    if (!isOver) {
                        promote(id, token);
                    }
                });
                continue;
            }
            const int status = promote(id, token);
            sendAll(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 2\r\n\r\n{}");
        }
        ::close(fd);
    }

    void sleepUnlessOver(long ms)
    {
        const long end = nowMs() + ms;
        while (!isOver && nowMs() < end) {
            sleepMs(std::min<long>(10, end - nowMs()));
        }
    }

    int promote(const std::string &id, long token)
    {
        const std::lock_guard lock(mutex);
        Database *candidate = find(id);
        int status = 200;
        if (options.fences && token < highestToken_) {
            status = 409;
        } else {
            highestToken_ = std::max(highestToken_, token);
            if (candidate == nullptr || !candidate->isUp) {
                status = 409;
            } else if (candidate != primary()) {
                run([this, candidate, lifetime = candidate->lifetime] {
                    sleepUnlessOver(options.promoteMs);
                    takeLead(*candidate, lifetime);
                });
            }
        }
        record().add("promote " + id + " with token " + std::to_string(token) + ": " + std::to_string(status));
        return status;
    }

    void takeLead(Database &candidate, long lifetime)
    {
        const std::lock_guard lock(mutex);
        if (isOver || !candidate.isUp || candidate.lifetime != lifetime || &candidate == primary()) {
            return;
        }
        const long at = nowMs();
        long term = 0;
        for (auto &database : databases) {
            term = std::max({ term, database->term });
        }
        std::set<std::string> kept;
        for (const LogEntry &entry : candidate.log) {
            kept.insert(entry.write);
        }
        std::string lost;
        long lostCount = 0;
        for (const ClientWrite &write : ackedWrites_) {
            if (!kept.contains(write.id) && write.ackedAt <= at && !reportedLost_.contains(write.id)) {
                reportedLost_.insert(write.id);
                ++lostCount;
                lost += lostCount <= 5 ? " " + write.id + "(acknowledged at " + std::to_string(write.ackedAt) + " ms)"
                                       : "";
            }
        }
        candidate.term = term + 1;
        candidate.promisedTerm = std::max(candidate.promisedTerm, candidate.term);
        candidate.isPrimary = true;
        candidate.isPaused = false;
        candidate.mustBeat = true;
        for (auto &database : databases) {
            if (database.get() == &candidate) {
                continue;
            }
            database->isPrimary = false;
            database->isPaused = false;
            database->mustBeat = true;
            truncateTo(*database, candidate);
        }
        record().add("EFFECT: " + candidate.id + " leads term " + std::to_string(candidate.term) + " with "
            + std::to_string(candidate.log.size()) + " commits");
        if (lostCount > 0 && options.syncReplicas > 0) {
            violations.push_back("LOST: " + std::to_string(lostCount)
                + " acknowledged commits aren't in the log of the promoted " + candidate.id + ":" + lost);
            record().add(violations.back());
        }
        changed.notify_all();
    }

    static void truncateTo(Database &database, const Database &leader)
    {
        std::size_t same = 0;
        while (same < database.log.size() && same < leader.log.size()
            && database.log[same].write == leader.log[same].write) {
            ++same;
        }
        database.log.resize(same);
        database.applied = std::min(database.applied, same);
    }

    void replicate()
    {
        std::map<Database *, std::pair<std::size_t, long>> pending;
        while (!isOver) {
            sleepMs(1);
            const std::lock_guard lock(mutex);
            Database *leader = primary();
            if (leader == nullptr || !leader->isUp) {
                continue;
            }
            bool hasReceived = false;
            for (auto &database : databases) {
                if (!database->isUp) {
                    continue;
                }
                if (database.get() != leader && !database->isPaused && !database->isDeaf
                    && !isCut(database->zone, leader->zone) && database->log.size() < leader->log.size()) {
                    if (database->term != leader->term) {
                        truncateTo(*database, *leader);
                        database->term = leader->term;
                    }
                    database->log.insert(database->log.end(),
                        leader->log.begin() + static_cast<std::ptrdiff_t>(database->log.size()), leader->log.end());
                    hasReceived = true;
                }
                if (database.get() != leader && !database->isPaused) {
                    database->term = std::max(database->term, leader->term);
                }
                database->applied = database->log.size();
            }
            if (hasReceived) {
                changed.notify_all();
            }
        }
    }

    void closeAll(Database &database)
    {
        if (database.listener >= 0) {
            ::shutdown(database.listener, SHUT_RDWR);
            ::close(database.listener);
            database.listener = -1;
        }
        for (const int fd : database.sockets) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    void accept(Database &database, int listener)
    {
        while (!isOver) {
            pollfd waiter { listener, POLLIN, 0 };
            if (::poll(&waiter, 1, 100) != 1) {
                continue;
            }
            sockaddr_in from {};
            socklen_t size = sizeof from;
            const int fd = ::accept4(listener, reinterpret_cast<sockaddr *>(&from), &size, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const std::lock_guard lock(mutex);
            if (!database.isUp) {
                ::close(fd);
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            database.sockets.insert(fd);
            run([this, &database, fd, lifetime = database.lifetime] {
                Connection connection;
                connection.fd = fd;
                // The table of sockets is not read at one moment and may miss one.
                const Node *owner = ownerOf(fd);
                for (int attempt = 0; owner == nullptr && attempt < 40 && !isOver; ++attempt) {
                    sleepMs(5);
                    owner = ownerOf(fd);
                }
                if (owner == nullptr) {
                    record().add("a connection to " + database.id + " has no known owner");
                }
                connection.isControl = owner != nullptr && owner->isControl;
                connection.zone = owner == nullptr ? "" : owner->zone;
                serve(database, connection, lifetime);
                const std::lock_guard ending(mutex);
                database.sockets.erase(fd);
                ::close(fd);
            });
        }
    }

    struct Connection {
        int fd = -1;
        bool isControl = false;
        std::string zone; ///< Of the process at the other end.
        char state = 'I';
        bool isReadOnly = false;
        long beginTerm = 0;
        std::vector<std::string> writes;
    };

    /// The process at the other end, told by the owner of its socket.
    const Node *ownerOf(int fd)
    {
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        ::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
        char wanted[32];
        std::snprintf(wanted, sizeof wanted, "%08X:%04X", peer.sin_addr.s_addr, ntohs(peer.sin_port));
        std::ifstream table("/proc/net/tcp");
        std::string line;
        std::string inode;
        while (std::getline(table, line)) {
            std::istringstream words(line);
            std::string number, local, remote, skipped;
            words >> number >> local >> remote;
            if (local != wanted) {
                continue;
            }
            for (int column = 0; column < 6; ++column) {
                words >> skipped;
            }
            words >> inode;
            break;
        }
        for (auto &node : nodes) {
            const pid_t pid = node->pid;
            if (pid <= 0) {
                continue;
            }
            const std::string path = "/proc/" + std::to_string(pid) + "/fd";
            DIR *directory = ::opendir(path.c_str());
            if (directory == nullptr) {
                continue;
            }
            bool isOwner = false;
            while (const dirent *item = ::readdir(directory)) {
                char target[64] {};
                if (::readlink((path + "/" + item->d_name).c_str(), target, sizeof target - 1) > 0
                    && std::string(target) == "socket:[" + inode + "]") {
                    isOwner = true;
                    break;
                }
            }
            ::closedir(directory);
            if (isOwner) {
                return node.get();
            }
        }
        return nullptr;
    }

    static std::string point(const Database &database)
    {
        return std::to_string(database.term) + "." + std::to_string(database.applied);
    }

    /// With the lock held.
    std::string ready(const Database &database, const Connection &connection)
    {
        return std::string("READY ") + connection.state + " " + point(database) + "\r\n";
    }

    bool isSilent(const Database &database, const Connection &connection)
    {
        return (database.isCutFromControl && connection.isControl) || isCut(database.zone, connection.zone);
    }

    void serve(Database &database, Connection &connection, long lifetime)
    {
        LineReader reader(connection.fd);
        bool hasStarted = false;
        while (!isOver) {
            const std::optional<std::string> line = reader.next(200);
            if (!line) {
                if (reader.isClosed) {
                    return;
                }
                continue;
            }
            std::unique_lock lock(mutex);
            if (!database.isUp || database.lifetime != lifetime) {
                return;
            }
            if (isSilent(database, connection)) {
                continue; // Lost on the cut link.
            }
            std::istringstream words(*line);
            std::string word;
            words >> word;
            if (!hasStarted) {
                std::string name, who, id;
                words >> name >> who >> id;
                if (word != "START" || name != service || (!id.empty() && id != database.id)) {
                    sendAll(connection.fd, "ERROR WRONGNODE " + database.id + "\r\n");
                    return;
                }
                hasStarted = true;
                sendAll(connection.fd, ready(database, connection));
                continue;
            }
            if (word == "BYE") {
                return;
            }
            std::string id, verb;
            words >> id >> verb;
            std::string since;
            if (verb == "SINCE") {
                words >> since >> verb;
            }
            std::string rest;
            std::getline(words >> std::ws, rest);
            if (!answer(database, connection, lock, lifetime, id, verb, since, rest)) {
                return;
            }
        }
    }

    bool done(Database &database, Connection &connection, const std::string &mac = "-", const std::string &row = "")
    {
        if (isSilent(database, connection)) {
            return true;
        }
        return sendAll(connection.fd,
            (row.empty() ? "" : "ROW " + row + "\r\n") + "DONE " + mac + "\r\n" + ready(database, connection));
    }

    bool fail(Database &database, Connection &connection, const std::string &code)
    {
        connection.state = connection.state == 'I' ? 'I' : 'E';
        return isSilent(database, connection)
            || sendAll(connection.fd, "ERROR " + code + " " + database.id + "\r\n" + ready(database, connection));
    }

    std::string mac(const Database &database)
    {
        return database.id + "." + std::to_string(++macs_);
    }

    bool answer(Database &database, Connection &connection, std::unique_lock<std::mutex> &lock, long lifetime,
        const std::string &id, const std::string &verb, const std::string &since, const std::string &rest)
    {
        if (!since.empty()) {
            const std::size_t dot = since.find('.');
            const std::size_t number = static_cast<std::size_t>(std::atol(since.c_str() + dot + 1));
            if (number > database.applied) {
                return fail(database, connection, "LAGGING");
            }
        }
        if (verb == "SET" || verb == "PREPARE" || verb == "DEALLOC" || verb == "RESET") {
            return done(database, connection);
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            const long term = std::atol(rest.c_str());
            long newest = 0;
            for (auto &other : databases) {
                newest = std::max(newest, other->term);
            }
            if (verb == "PAUSE" && term > database.term) {
                database.isPaused = true;
                database.promisedTerm = std::max(database.promisedTerm, term);
            } else if (verb == "RESUME") {
                database.isPaused = false;
            } else if (verb == "STEPDOWN" && database.isPrimary && database.term < term) {
                database.isPrimary = false;
                database.mustBeat = true;
                changed.notify_all();
            }
            if (verb != "STATUS") {
                record().add(database.id + ": " + verb + " " + rest);
            }
            return done(database, connection, "-",
                std::string(database.isPrimary ? "primary " : "replica ") + std::to_string(database.term) + " "
                    + std::to_string(database.term) + "." + std::to_string(database.log.size()) + " "
                    + std::to_string(database.promisedTerm) + " 0 0 " + std::to_string(database.sockets.size()));
        }
        if (verb == "BEGIN") {
            connection.isReadOnly = rest == "FETCH";
            if (!connection.isReadOnly && !database.isPrimary) {
                return fail(database, connection, "READONLY");
            }
            connection.state = 'T';
            connection.beginTerm = database.term;
            connection.writes.clear();
            return done(database, connection);
        }
        if (verb == "ROLLBACK") {
            connection.state = 'I';
            connection.writes.clear();
            return done(database, connection);
        }
        const bool isOpen = connection.state == 'T' && !connection.isReadOnly;
        const bool hasLead = database.isPrimary && (!isOpen || connection.beginTerm == database.term);
        if (verb == "FETCH") {
            if (isOpen && !hasLead) {
                return fail(database, connection, "READONLY");
            }
            return done(database, connection, mac(database), "v");
        }
        if (verb == "PUT" && connection.state == 'T') {
            if (!hasLead) {
                return fail(database, connection, "READONLY");
            }
            connection.writes.push_back(id);
            return done(database, connection, mac(database));
        }
        if (verb == "PUT" || verb == "COMMIT") {
            std::vector<std::string> writes = verb == "PUT" ? std::vector { id } : connection.writes;
            connection.state = 'I';
            if (writes.empty()) {
                return done(database, connection, mac(database));
            }
            if (!hasLead) {
                return fail(database, connection, "READONLY");
            }
            return commit(database, connection, lock, lifetime, writes);
        }
        return fail(database, connection, "BADMSG");
    }

    bool commit(Database &database, Connection &connection, std::unique_lock<std::mutex> &lock, long lifetime,
        const std::vector<std::string> &writes)
    {
        const long term = database.term;
        for (const std::string &write : writes) {
            database.log.push_back({ term, write });
        }
        database.applied = database.log.size();
        const std::size_t position = database.log.size();
        const std::string last = writes.back();
        lock.unlock();
        sleepMs(options.link); // To the replicas and back.
        lock.lock();
        const auto isCurrent = [&] {
            return !isOver && database.isUp && database.lifetime == lifetime && database.isPrimary
                && database.term == term;
        };
        const auto isReceived = [&] {
            return options.syncReplicas == 0 || std::any_of(databases.begin(), databases.end(), [&](const auto &other) {
                return other.get() != &database && other->isUp && other->log.size() >= position
                    && other->log[position - 1].write == last;
            });
        };
        changed.wait(lock, [&] { return !isCurrent() || isReceived(); });
        if (!isCurrent()) {
            return false; // The outcome is unknown: ends the connection without an answer.
        }
        return done(database, connection, mac(database));
    }

    // Check-ins

    void checkIn(Database &database, long lifetime)
    {
        std::size_t at = std::hash<std::string> {}(database.id);
        std::vector<const Node *> controls;
        for (auto &node : nodes) {
            if (node->isControl) {
                controls.push_back(node.get());
            }
        }
        sleepUnlessOver(database.beatDelayMs);
        while (!isOver) {
            std::string body;
            bool isUnreachable = false;
            {
                const std::lock_guard lock(mutex);
                if (!database.isUp || database.lifetime != lifetime) {
                    return;
                }
                isUnreachable = database.isCutFromControl || isCut(database.zone, controls[at % controls.size()]->zone);
                database.mustBeat = false;
                body = "{\"Service\":\"" + service + "\",\"Addr\":\"" + database.address.text() + "\",\"Zone\":\""
                    + database.zone + "\",\"Version\":\"v1\",\"Slots\":2,\"State\":\""
                    + (database.isDraining ? "draining" : "ready") + "\",\"ColdLeftMs\":0,\"DbRole\":\""
                    + (database.isPrimary ? "primary" : "replica") + "\",\"Seq\":" + std::to_string(++database.sequence)
                    + ",\"born\":" + std::to_string(database.born) + "}";
            }
            bool isAcknowledged = false;
            if (isUnreachable) {
                sleepUnlessOver(1000);
            } else {
                const HttpAnswer answer = httpCall({ controls[at % controls.size()]->host, 18782 }, "POST",
                    "/-/Instances.Heartbeat/" + database.id, body, 1000);
                isAcknowledged = answer.status / 100 == 2;
            }
            if (!isAcknowledged) {
                ++at;
                sleepUnlessOver(20);
                continue;
            }
            for (int waited = 0; waited < 1200 && !isOver; waited += 10) {
                sleepMs(10);
                const std::lock_guard lock(mutex);
                if (database.mustBeat) {
                    break;
                }
            }
        }
    }

    // The operator

    void putConfig()
    {
        const std::string body = config ? config()
                                        : "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + writeRoute
                + "\",\"PathPrefix\":\"/\",\"Type\":\"primary\",\"TimeoutMs\":800,\"GoalMs\":100,\"Priority\":1,"
                  "\"Service\":\""
                + service + "\",\"Attempts\":2}],\"Services\":[{\"Name\":\"" + service
                + "\",\"HealthPath\":\"/health\",\"MaxConns\":41,\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":"
                + std::to_string(options.syncReplicas)
                + "}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
                  "\"IdleTimeoutMs\":15000,\"TxIdleMs\":3000}}";
        for (std::size_t at = 0; !isOver; ++at) {
            const HttpAnswer answer = httpCall({ nodes[at % 3]->host, 18782 }, "POST", "/-/Config.Put", body, 1000);
            if (answer.status == 200) {
                record().add("the config is acknowledged");
                return;
            }
            sleepUnlessOver(100);
        }
    }

public:
    std::function<std::string()> config;

private:
    // Clients

    std::string writeOnce(const Node &node, const std::string &id)
    {
        const int fd = connectTo({ node.host, 18784 }, 500);
        if (fd < 0) {
            return "no connection";
        }
        std::string outcome = "no answer";
        LineReader reader(fd);
        sendAll(fd, "START " + writeRoute + "\r\n");
        if (const auto greeting = reader.next(2000); greeting && greeting->starts_with("READY")) {
            outcome = write(fd, reader, id);
        }
        ::close(fd);
        return outcome;
    }

    std::string write(int fd, LineReader &reader, const std::string &id)
    {
        const long sentAt = nowMs();
        ++attempts;
        sendAll(fd, "QUERY " + id + " PUT a" + std::to_string(sentAt % 2000) + " data\r\n");
        std::string outcome;
        while (const std::optional<std::string> line = reader.next(3000)) {
            if (line->starts_with("DONE")) {
                outcome = *line == "DONE -" ? "unsigned" : "ok";
            } else if (line->starts_with("ERROR")) {
                outcome = line->substr(6, line->find(' ', 6) - 6);
            } else if (line->starts_with("READY")) {
                if (outcome == "ok") {
                    const std::lock_guard lock(mutex);
                    ackedWrites_.push_back({ id, sentAt, nowMs() });
                    ++acknowledged;
                }
                return outcome;
            }
        }
        return "no answer";
    }

    void writeForever(int number)
    {
        std::vector<Node *> entries;
        for (auto &node : nodes) {
            if (!node->isControl) {
                entries.push_back(node.get());
            }
        }
        std::size_t at = static_cast<std::size_t>(number);
        long count = 0;
        int fd = -1;
        std::unique_ptr<LineReader> reader;
        while (!isOver && !areClientsOver_) {
            if (fd < 0) {
                fd = connectTo({ entries[at++ % entries.size()]->host, 18784 }, 500);
                if (fd < 0) {
                    sleepMs(50);
                    continue;
                }
                reader = std::make_unique<LineReader>(fd);
                sendAll(fd, "START " + writeRoute + "\r\n");
                const auto greeting = reader->next(2000);
                if (!greeting || !greeting->starts_with("READY")) {
                    ::close(fd);
                    fd = -1;
                    sleepMs(50);
                    continue;
                }
            }
            const std::string id = "w" + std::to_string(number) + "-" + std::to_string(++count);
            const std::string outcome = write(fd, *reader, id);
            record().add("write " + id + ": " + outcome);
            if (outcome == "no answer") {
                ::close(fd);
                fd = -1;
            }
            sleepMs(options.pauseBetweenWritesMs);
        }
        if (fd >= 0) {
            ::close(fd);
        }
    }

    std::string net_;
    Address platform_;
    std::mutex zoneMutex_;
    std::string cutZone_;
    std::size_t addedDatabases_ = 0;
    long highestToken_ = 0;
    std::atomic<long> macs_ { 0 };
    std::atomic<bool> areClientsOver_ { false };
    std::vector<ClientWrite> ackedWrites_;
    std::set<std::string> reportedLost_;
    std::mutex threadMutex_;
    std::vector<std::thread> threads_;
};

} // namespace rig
