// Stand-ins of clients, databases, the operator and the platform for the cases of the third review, and the processes
// of a small deployment. Everything runs on loopback addresses and the real clock.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Writes lines with the seconds since the start to record.txt of a case.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point startedAt_ = Clock::now();
};

/// Reads and writes lines that end with CR LF.
class Link
{
public:
    explicit Link(int descriptor = -1) : descriptor_(descriptor)
    {
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link();
    bool connect(const std::string &host, int port, Millis timeout);
    bool send(const std::string &bytes);
    /// \returns nothing at the end of the connection or after \p timeout.
    std::optional<std::string> readLine(Millis timeout);
    std::optional<std::string> readBytes(std::size_t count, Millis timeout);
    /// Ends the connection; may be called from another thread.
    void shutdown(bool resets = false);
    int descriptor() const
    {
        return descriptor_;
    }

private:
    int descriptor_;
    std::string buffer_;
};

/// Response of an HTTP call; no status if none arrived in time.
struct HttpReply {
    int status = 0;
    std::string body;
};
HttpReply httpCall(const std::string &host, int port, const std::string &method, const std::string &target,
    const std::string &body, Millis timeout);

/// Accepts connections, each served by a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(std::shared_ptr<Link>)>;
    ~Listener();
    bool open(const std::string &host, int port, Serve serve);
    void close();
    /// Resets all connections.
    void resetAll();

private:
    std::atomic<int> descriptor_ { -1 };
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Link>> links_;
};

/// One commit in the log of a database.
struct Commit {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::vector<std::string> writes; ///< Ids of its writes.
    std::vector<std::string> texts;
    Clock::time_point at;
};

struct Database {
    std::string id;
    std::string host;
    int port = 0;
    std::string zone;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    bool isUp = false;
    bool isDraining = false;
    bool isBeating = true; ///< Sends check-ins.
    bool isDeaf = false; ///< Receives nothing from the primary.
    std::atomic<bool> isDark { false }; ///< Does not respond.
    std::uint64_t pausedTerm = 0;
    std::uint64_t term = 1;
    std::vector<Commit> log; ///< What it has received.
    Millis applyDelay { 5 };
    mutable std::size_t appliedBefore = 0; ///< What reads have seen stays applied when the delay grows.
    std::set<std::string> running; ///< Ids of statements at work.
    std::unique_ptr<Listener> listener;
    std::thread beats;
    std::atomic<int> connections { 0 };
};

/// A service of databases: one primary and its replicas. Follows the users' protocol, with fencing by the platform.
class Service
{
public:
    struct Options {
        std::string name = "svc1";
        int syncReplicas = 0;
        int maxConnections = 16;
        Millis workTime { 3 };
        Millis receiveDelay { 2 };
        Millis promoteTime { 600 };
        int largeRows = 0; ///< Rows of the answer to a FETCH of an item that begins with "large".
        std::size_t largeRowBytes = 1000000; ///< A message is at most 1 MiB.
    };
    Service(Record &record, Options options, std::vector<std::string> controlHosts, int controlPort);
    ~Service();

    Database &add(const std::string &id, const std::string &host, int port, const std::string &zone);
    void start(Database &database);
    void crash(Database &database);
    /// Sends Leave to the first control VM that takes it. \returns whether it was acknowledged.
    bool leave(Database &database);
    void beatNow(Database &database);
    /// Carries out POST /promote after the usual time. \returns the status.
    int promote(const std::string &id, std::uint64_t token, const std::string &holder);
    Database *find(const std::string &id);
    Database &primary();
    Database *primaryIfAny()
    {
        return primary_;
    }
    void setDeaf(Database &database, bool isDeaf);
    void setDraining(Database &database);
    const Options &options() const
    {
        return options_;
    }
    std::mutex &mutex()
    {
        return mutex_;
    }
    /// Called with the lock held when a promotion has taken effect.
    std::function<void(const Database &)> onPromoted;
    /// Called with the lock held for each run of a statement.
    std::function<void(const Database &, const std::string &id, const std::string &text)> onRun;
    /// Called with the lock held for an EXEC of a name that its connection does not know.
    std::function<void(const Database &, const std::string &id, const std::string &text)> onUnknownName;
    std::size_t appliedBy(const Database &database) const
    {
        return applied(database);
    }
    std::atomic<int> promotions { 0 };
    std::atomic<int> calls { 0 };
    /// Calls of the platform get no answer and are carried out after this time, if it is above zero.
    std::atomic<int> lateMs { 0 };

private:
    void serve(Database &database, const std::shared_ptr<Link> &link);
    void replicate();
    int carryOut(const std::string &id, std::uint64_t token, const std::string &holder);
    bool beat(Database &database);
    bool isPrimary(const Database &database) const;
    std::string position(const Database &database) const;
    /// Number of commits that a read sees.
    std::size_t applied(const Database &database) const;

    Record &record_;
    Options options_;
    std::vector<std::string> controlHosts_;
    int controlPort_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<Database>> databases_;
    Database *primary_ = nullptr;
    std::uint64_t term_ = 1;
    std::uint64_t highestToken_ = 0;
    std::atomic<bool> isStopping_ { false };
    std::vector<std::thread> threads_;
    std::atomic<std::uint64_t> nextMac_ { 1 };
};

/// Serves POST /promote for one service.
class Platform
{
public:
    bool open(const std::string &host, int port, Service &service, Record &record);

private:
    Listener listener_;
};

/// One process of the system, started with the command of the deploy file.
struct Node {
    std::string name;
    std::string host;
    std::string zone;
    bool isEntry = false;
    std::string settings;
    pid_t pid = 0;
};

class System
{
public:
    System(Record &record, std::string root, std::string folder, int entries, int controls, bool fences);
    ~System();
    /// Starts all processes. \returns false if the addresses are taken.
    bool start();
    void startNode(Node &node, bool isBootstrap);
    void kill(Node &node, int signal);
    /// Empties the data folder of a process that has ended.
    void wipe(const Node &node);
    /// Waits until \p count entries are ready.
    bool awaitReady(std::size_t count, Millis timeout);
    std::vector<std::string> controlHosts() const;
    std::string backendHost(int index) const;
    std::string platformHost() const;
    std::vector<Node> entries;
    std::vector<Node> controls;
    /// Processes that ended by themselves.
    std::vector<std::string> unexpectedEnds();
    /// Sends a configuration until it is acknowledged.
    bool putConfiguration(const std::string &body, Millis timeout);
    HttpReply readConfiguration(const Node &control);

    static constexpr int CallerPort = 7100;
    static constexpr int HealthPort = 7101;
    static constexpr int ControlPort = 7102;
    static constexpr int PeerPort = 7103;
    static constexpr int MetricsPort = 7104;
    static constexpr int BackendPort = 7200;
    static constexpr int PlatformPort = 7300;

private:
    Record &record_;
    std::string root_;
    std::string folder_;
    bool fences_;
    int net_ = 0;
    std::set<pid_t> ended_;
};

/// One session of a client.
class Client
{
public:
    struct Answer {
        bool isClosed = false; ///< No complete answer.
        std::string mac; ///< Of a success; "-" if the system answered by itself.
        std::string code; ///< Of an error.
        std::string detail;
        std::vector<std::string> rows;
        char state = '?';
    };
    bool open(const std::string &host, const std::string &database, Millis timeout = Millis(2000));
    Answer query(const std::string &id, const std::string &text, Millis timeout);
    void close();
    bool isOpen() const
    {
        return link_ != nullptr;
    }
    Link *link()
    {
        return link_.get();
    }

private:
    std::unique_ptr<Link> link_;
};

std::string newId();
void sleepFor(Millis time);

} // namespace rig
