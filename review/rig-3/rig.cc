#include "rig.hh"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

void sleepFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

std::string newId()
{
    static std::atomic<std::uint64_t> next { 1 };
    static const std::uint64_t Base = std::random_device {}();
    std::ostringstream text;
    text << std::hex << Base << 'q' << next++;
    return text.str();
}

Record::Record(const std::string &file) : out_(file)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - startedAt_).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << std::fixed << std::setprecision(4) << seconds() << ' ' << text << '\n' << std::flush;
}

static sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

Link::~Link()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

bool Link::connect(const std::string &host, int port, Millis timeout)
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    ::fcntl(descriptor_, F_SETFL, O_NONBLOCK);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd writable { descriptor_, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&writable, 1, static_cast<int>(timeout.count())) <= 0
            || ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return false;
        }
    }
    ::fcntl(descriptor_, F_SETFL, 0);
    const int one = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
}

bool Link::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> Link::readLine(Millis timeout)
{
    const auto deadline = Clock::now() + timeout;
    for (;;) {
        if (const std::size_t end = buffer_.find("\r\n"); end != std::string::npos) {
            std::string line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return line;
        }
        const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
        pollfd readable { descriptor_, POLLIN, 0 };
        if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
            return std::nullopt;
        }
        char bytes[65536];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return std::nullopt;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
    }
}

std::optional<std::string> Link::readBytes(std::size_t count, Millis timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (buffer_.size() < count) {
        const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
        pollfd readable { descriptor_, POLLIN, 0 };
        if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
            return std::nullopt;
        }
        char bytes[65536];
        const ssize_t received = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (received <= 0) {
            return std::nullopt;
        }
        buffer_.append(bytes, static_cast<std::size_t>(received));
    }
    std::string result = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return result;
}

void Link::shutdown(bool resets)
{
    if (resets) {
        const linger now { 1, 0 };
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::shutdown(descriptor_, SHUT_RDWR);
}

static HttpReply readHttp(Link &link, Millis timeout)
{
    HttpReply reply;
    std::size_t length = 0;
    std::optional<std::string> line = link.readLine(timeout);
    if (!line || line->size() < 12) {
        return {};
    }
    const int status = std::atoi(line->substr(9, 3).c_str());
    while ((line = link.readLine(timeout)) && !line->empty()) {
        std::string lower = *line;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        if (lower.rfind("content-length:", 0) == 0) {
            length = static_cast<std::size_t>(std::atol(lower.c_str() + 15));
        }
    }
    if (!line) {
        return {};
    }
    reply.status = status;
    reply.body = link.readBytes(length, timeout).value_or("");
    return reply;
}

HttpReply httpCall(const std::string &host, int port, const std::string &method, const std::string &target,
    const std::string &body, Millis timeout)
{
    Link link;
    if (!link.connect(host, port, timeout)) {
        return {};
    }
    const std::string head = method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        + (body.empty() ? "" : "Content-Type: application/json\r\n") + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n";
    if (!link.send(head + body)) {
        return {};
    }
    return readHttp(link, timeout);
}

Listener::~Listener()
{
    close();
}

bool Listener::open(const std::string &host, int port, Serve serve)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(host, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return false;
    }
    descriptor_ = descriptor;
    thread_ = std::thread([this, descriptor, serve = std::move(serve)]() {
        for (;;) {
            pollfd readable { descriptor, POLLIN, 0 };
            ::poll(&readable, 1, 50);
            if (descriptor_ != descriptor) {
                return;
            }
            if ((readable.revents & POLLIN) == 0) {
                continue;
            }
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int noDelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            auto link = std::make_shared<Link>(accepted);
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                links_.emplace_back(link);
            }
            std::thread([serve, link]() { serve(link); }).detach();
        }
    });
    return true;
}

void Listener::close()
{
    const int descriptor = descriptor_.exchange(-1);
    if (descriptor >= 0) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
    if (thread_.joinable()) {
        thread_.join();
    }
    if (descriptor >= 0) {
        ::close(descriptor);
    }
}

void Listener::resetAll()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::weak_ptr<Link> &weak : links_) {
        if (const std::shared_ptr<Link> link = weak.lock(); link) {
            link->shutdown(true);
        }
    }
    links_.clear();
}

static std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Service::Service(Record &record, Options options, std::vector<std::string> controlHosts, int controlPort)
    : record_(record), options_(std::move(options)), controlHosts_(std::move(controlHosts)), controlPort_(controlPort)
{
    threads_.emplace_back([this]() { replicate(); });
}

Service::~Service()
{
    isStopping_ = true;
    changed_.notify_all();
    for (const std::unique_ptr<Database> &database : databases_) {
        if (database->listener) {
            database->listener->close();
            database->listener->resetAll();
        }
        if (database->beats.joinable()) {
            database->beats.join();
        }
    }
    for (;;) {
        std::vector<std::thread> threads;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            threads.swap(threads_);
        }
        if (threads.empty()) {
            break;
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    sleepFor(Millis(100)); // Threads of connections end.
}

Database &Service::add(const std::string &id, const std::string &host, int port, const std::string &zone)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto database = std::make_unique<Database>();
    database->id = id;
    database->host = host;
    database->port = port;
    database->zone = zone;
    databases_.push_back(std::move(database));
    if (primary_ == nullptr) {
        primary_ = databases_.back().get();
    }
    return *databases_.back();
}

void Service::start(Database &database)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        database.isUp = true;
        database.isBeating = true;
        database.isDraining = false;
        database.pausedTerm = 0;
        database.born = unixMillis();
        database.sequence = 0;
    }
    database.listener = std::make_unique<Listener>();
    if (!database.listener->open(
            database.host, database.port, [this, &database](std::shared_ptr<Link> link) { serve(database, link); })) {
        record_.line("database " + database.id + " cannot listen");
    }
    record_.line("database " + database.id + " starts");
    if (database.beats.joinable()) {
        return;
    }
    database.beats = std::thread([this, &database]() {
        while (!isStopping_) {
            if (database.isUp && database.isBeating && !database.isDark) {
                beat(database);
            }
            for (int step = 0; step < 24 && !isStopping_; ++step) {
                sleepFor(Millis(50)); // HeartbeatMs is 1,200.
            }
        }
    });
}

void Service::crash(Database &database)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        database.isUp = false;
    }
    record_.line("database " + database.id + " ends");
    database.listener->close();
    database.listener->resetAll();
    changed_.notify_all();
}

void Service::setDeaf(Database &database, bool isDeaf)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    database.isDeaf = isDeaf;
    record_.line("database " + database.id + (isDeaf ? " receives nothing" : " receives again"));
}

void Service::setDraining(Database &database)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        database.isDraining = true;
    }
    record_.line("database " + database.id + " drains");
    beat(database);
}

void Service::beatNow(Database &database)
{
    beat(database);
}

bool Service::beat(Database &database)
{
    std::ostringstream body;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        body << R"({"Service":")" << options_.name << R"(","Addr":")" << database.host << ':' << database.port
             << R"(","Zone":")" << database.zone << R"(","Version":"v1","Slots":2,"State":")"
             << (database.isDraining ? "draining" : "ready") << R"(","ColdLeftMs":0,"DbRole":")"
             << (isPrimary(database) ? "primary" : "replica") << R"(","Seq":)" << ++database.sequence << R"(,"born":)"
             << database.born << "}";
    }
    static std::atomic<std::size_t> next { 0 };
    for (std::size_t attempt = 0; attempt < controlHosts_.size() && !isStopping_; ++attempt) {
        const std::string &host = controlHosts_[next++ % controlHosts_.size()];
        const HttpReply reply
            = httpCall(host, controlPort_, "POST", "/-/Instances.Heartbeat/" + database.id, body.str(), Millis(1000));
        if (reply.status / 100 == 2) {
            return true;
        }
    }
    return false;
}

bool Service::leave(Database &database)
{
    const std::string body = R"({"born":)" + std::to_string(database.born) + "}";
    for (const std::string &host : controlHosts_) {
        const HttpReply reply
            = httpCall(host, controlPort_, "POST", "/-/Instances.Leave/" + database.id, body, Millis(1000));
        if (reply.status / 100 == 2) {
            return true;
        }
    }
    return false;
}

bool Service::isPrimary(const Database &database) const
{
    return database.isUp && primary_ == &database;
}

std::size_t Service::applied(const Database &database) const
{
    std::size_t count = database.log.size();
    if (isPrimary(database)) {
        database.appliedBefore = count;
        return count;
    }
    const auto until = Clock::now() - database.applyDelay;
    database.appliedBefore = std::min(database.appliedBefore, count);
    while (count > database.appliedBefore && database.log[count - 1].at > until) {
        --count;
    }
    database.appliedBefore = count;
    return count;
}

static std::string pointOf(const Database &database, std::size_t count)
{
    return count == 0
        ? "1.0"
        : std::to_string(database.log[count - 1].term) + '.' + std::to_string(database.log[count - 1].number);
}

std::string Service::position(const Database &database) const
{
    return pointOf(database, database.log.size());
}

Database *Service::find(const std::string &id)
{
    for (const std::unique_ptr<Database> &database : databases_) {
        if (database->id == id) {
            return database.get();
        }
    }
    return nullptr;
}

Database &Service::primary()
{
    return *primary_;
}

void Service::replicate()
{
    while (!isStopping_) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto until = Clock::now() - options_.receiveDelay;
            if (primary_ != nullptr && primary_->isUp && !primary_->isDark) {
                for (const std::unique_ptr<Database> &database : databases_) {
                    if (database.get() == primary_ || !database->isUp || database->isDeaf || database->isDark
                        || database->pausedTerm != 0) {
                        continue;
                    }
                    database->term = term_;
                    while (database->log.size() < primary_->log.size()
                        && primary_->log[database->log.size()].at <= until) {
                        database->log.push_back(primary_->log[database->log.size()]);
                    }
                }
            }
        }
        changed_.notify_all();
        sleepFor(Millis(1));
    }
}

int Service::promote(const std::string &id, std::uint64_t token, const std::string &holder)
{
    ++calls;
    if (const int late = lateMs; late > 0) {
        record_.line("POST /promote " + id + " token " + std::to_string(token) + " gets no answer");
        const std::lock_guard<std::mutex> lock(mutex_);
        threads_.emplace_back([this, id, token, holder, late]() {
            sleepFor(Millis(late));
            carryOut(id, token, holder);
        });
        return 0;
    }
    return carryOut(id, token, holder);
}

int Service::carryOut(const std::string &id, std::uint64_t token, const std::string &holder)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.line("POST /promote " + id + " token " + std::to_string(token) + " from " + holder);
    Database *database = find(id);
    if (token < highestToken_ || database == nullptr || !database->isUp) {
        return 409;
    }
    highestToken_ = token;
    if (database == primary_) {
        return 200;
    }
    threads_.emplace_back([this, database]() {
        sleepFor(options_.promoteTime);
        const std::lock_guard<std::mutex> inner(mutex_);
        if (!database->isUp || database == primary_) {
            return;
        }
        Database *former = primary_;
        primary_ = database;
        ++term_;
        database->term = term_;
        database->pausedTerm = 0;
        for (const std::unique_ptr<Database> &other : databases_) {
            if (other->log.size() > database->log.size()) {
                other->log.resize(database->log.size());
            }
            other->pausedTerm = other.get() == former ? 0 : other->pausedTerm;
        }
        ++promotions;
        record_.line("database " + database->id + " leads term " + std::to_string(term_) + " from position "
            + position(*database));
        if (onPromoted) {
            onPromoted(*database);
        }
    });
    return 200;
}

namespace {

struct Session {
    char state = 'I';
    bool isReadOnly = false;
    std::uint64_t term = 0;
    std::vector<std::string> writes;
    std::vector<std::string> texts;
    std::map<std::string, std::string> prepared;
};

} // namespace

void Service::serve(Database &database, const std::shared_ptr<Link> &link)
{
    struct Count {
        std::atomic<int> &count;
        ~Count()
        {
            --count;
        }
    };
    ++database.connections;
    const Count count { database.connections };
    const auto ready = [&](const Session &session) {
        return std::string("READY ") + session.state + ' ' + pointOf(database, applied(database)) + "\r\n";
    };
    Session session;
    std::optional<std::string> line = link->readLine(Millis(10000));
    if (!line) {
        return;
    }
    {
        std::istringstream words(*line);
        std::string word;
        std::string service;
        std::string who;
        std::string id;
        words >> word >> service >> who >> id;
        if (word != "START" || service != options_.name || (!id.empty() && id != database.id)) {
            link->send("ERROR WRONGNODE " + database.id + "\r\n");
            return;
        }
        if (database.connections > options_.maxConnections) {
            link->send("ERROR MAXCONN " + database.id + "\r\n");
            return;
        }
        sleepFor(Millis(5));
        const std::lock_guard<std::mutex> lock(mutex_);
        link->send(ready(session));
    }
    while (!isStopping_ && database.isUp && (line = link->readLine(Millis(130000)))) {
        if (*line == "BYE" || line->rfind("QUERY ", 0) != 0) {
            return;
        }
        while (database.isDark && database.isUp && !isStopping_) {
            sleepFor(Millis(5));
        }
        if (!database.isUp) {
            return;
        }
        std::string rest = line->substr(6);
        const std::size_t blank = rest.find(' ');
        const std::string id = rest.substr(0, blank);
        std::string text = blank == std::string::npos ? "" : rest.substr(blank + 1);
        std::uint64_t since = 0;
        if (text.rfind("SINCE ", 0) == 0) {
            const std::size_t end = text.find(' ', 6);
            const std::string point = text.substr(6, end - 6);
            since = std::strtoull(point.c_str() + point.find('.') + 1, nullptr, 10);
            text = text.substr(end + 1);
        }
        std::string verb = text.substr(0, text.find(' '));
        std::string argument = verb.size() < text.size() ? text.substr(verb.size() + 1) : "";
        const auto fail = [&](const std::string &code) {
            session.state = session.state == 'I' ? 'I' : 'E';
            link->send("ERROR " + code + ' ' + database.id + "\r\n" + ready(session));
        };
        const auto succeed = [&](const std::string &row, const std::string &mac) {
            link->send((row.empty() ? "" : "ROW " + row + "\r\n") + "DONE " + mac + "\r\n" + ready(session));
        };
        std::unique_lock<std::mutex> lock(mutex_);
        if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
            fail("BADMSG");
            continue;
        }
        if (since > applied(database)) {
            fail("LAGGING");
            continue;
        }
        if (verb == "BEGIN") {
            session.isReadOnly = argument == "FETCH";
            if (!session.isReadOnly && !isPrimary(database)) {
                fail("READONLY");
                continue;
            }
            session.state = 'T';
            session.term = term_;
            succeed("", "-");
            continue;
        }
        if (verb == "ROLLBACK" || (verb == "COMMIT" && session.state == 'E')) {
            session.state = 'I';
            session.writes.clear();
            session.texts.clear();
            succeed("", "-");
            continue;
        }
        if (verb == "SET" || verb == "RESET" || verb == "DEALLOC") {
            if (verb == "RESET") {
                session.prepared.clear();
            } else if (verb == "DEALLOC") {
                session.prepared.erase(argument);
            }
            succeed("", "-");
            continue;
        }
        if (verb == "PREPARE") {
            session.prepared[argument.substr(0, argument.find(' '))] = argument.substr(argument.find(' ') + 1);
            succeed("", "-");
            continue;
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            const std::uint64_t term = std::strtoull(argument.c_str(), nullptr, 10);
            if (verb == "PAUSE" && term > database.term && !isPrimary(database)) {
                database.pausedTerm = term;
            } else if (verb == "RESUME") {
                database.pausedTerm = 0;
            } else if (verb == "STEPDOWN" && isPrimary(database) && term > term_) {
                primary_ = nullptr;
            }
            std::ostringstream row;
            row << (isPrimary(database) ? "primary " : "replica ") << database.term << ' ' << position(database) << ' '
                << database.pausedTerm << " 0 0 " << database.connections;
            if (verb != "STATUS") {
                record_.line(verb + " at " + database.id + " -> " + row.str());
            }
            succeed(row.str(), "-");
            continue;
        }
        const auto prepared
            = verb == "EXEC" ? session.prepared.find(argument.substr(0, argument.find(' '))) : session.prepared.end();
        if (verb == "EXEC" && prepared == session.prepared.end()) {
            if (onUnknownName) {
                onUnknownName(database, id, text);
            }
            fail("NOSTMT");
            continue;
        }
        const bool isWrite
            = verb == "PUT" || (prepared != session.prepared.end() && prepared->second.rfind("PUT", 0) == 0);
        const std::string mac = database.id + '.' + std::to_string(nextMac_++);
        lock.unlock();
        sleepFor(options_.workTime);
        lock.lock();
        if (!database.isUp) {
            return;
        }
        const bool needsLead = (isWrite || (session.state == 'T' && !session.isReadOnly))
            && !(verb == "COMMIT" && session.writes.empty());
        if (needsLead && (!isPrimary(database) || (session.state == 'T' && session.term != term_))) {
            if (verb == "COMMIT") {
                session.state = 'I';
                session.writes.clear();
                session.texts.clear();
                link->send("ERROR READONLY " + database.id + "\r\n" + ready(session));
            } else {
                fail("READONLY");
            }
            continue;
        }
        if (onRun) {
            onRun(database, id, text);
        }
        if (isWrite) {
            session.writes.push_back(id);
            session.texts.push_back(text);
        }
        const bool commits = (isWrite && session.state == 'I') || (verb == "COMMIT" && !session.writes.empty());
        if (commits) {
            const std::uint64_t number = database.log.size() + 1;
            database.log.push_back({ term_, number, session.writes, session.texts, Clock::now() });
            session.writes.clear();
            session.texts.clear();
            const std::uint64_t term = term_;
            const auto isAcknowledgeable = [&]() {
                if (isStopping_ || !database.isUp || primary_ != &database || term != term_) {
                    return true;
                }
                int receivers = 0;
                for (const std::unique_ptr<Database> &other : databases_) {
                    receivers += other.get() != &database && other->isUp && other->log.size() >= number ? 1 : 0;
                }
                return receivers >= options_.syncReplicas;
            };
            changed_.wait(lock, isAcknowledgeable);
            if (isStopping_ || !database.isUp || primary_ != &database || term != term_) {
                link->shutdown(true);
                return; // The answer is lost with the lead.
            }
        }
        if (verb == "COMMIT") {
            session.state = 'I';
        }
        if (verb == "FETCH" && argument.rfind("large", 0) == 0) {
            std::string bytes;
            for (int row = 0; row < options_.largeRows; ++row) {
                bytes += "ROW " + std::string(options_.largeRowBytes, 'a' + static_cast<char>(row % 26)) + "\r\n";
            }
            bytes += "DONE " + mac + "\r\n" + ready(session);
            lock.unlock();
            link->send(bytes);
            continue;
        }
        succeed(isWrite || verb == "COMMIT" ? "" : "v" + mac, mac);
    }
}

bool Platform::open(const std::string &host, int port, Service &service, Record &record)
{
    (void)record;
    return listener_.open(host, port, [&service](const std::shared_ptr<Link> &link) {
        for (;;) {
            std::optional<std::string> line = link->readLine(Millis(130000));
            if (!line) {
                return;
            }
            std::uint64_t token = 0;
            std::size_t length = 0;
            std::string holder;
            while ((line = link->readLine(Millis(2000))) && !line->empty()) {
                std::string lower = *line;
                std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
                if (lower.rfind("x-fence-token:", 0) == 0) {
                    token = std::strtoull(lower.c_str() + 14, nullptr, 10);
                } else if (lower.rfind("x-duty-holder:", 0) == 0) {
                    holder = line->substr(15);
                } else if (lower.rfind("content-length:", 0) == 0) {
                    length = std::strtoull(lower.c_str() + 15, nullptr, 10);
                }
            }
            const std::string body = link->readBytes(length, Millis(2000)).value_or("");
            const std::size_t at = body.find("\"Id\":\"");
            const std::string id = at == std::string::npos ? "" : body.substr(at + 6, body.find('"', at + 6) - at - 6);
            const int status = service.promote(id, token, holder);
            if (status == 0) {
                continue; // The connection stays open without an answer.
            }
            link->send("HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Conflict")
                + "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
        }
    });
}

System::System(Record &record, std::string root, std::string folder, int entryCount, int controlCount, bool fences)
    : record_(record), root_(std::move(root)), folder_(std::move(folder)), fences_(fences)
{
    constexpr int FirstNet = 20;
    constexpr int Nets = 40;
    // Takes the first second byte whose addresses are free.
    for (int attempt = 0; attempt < Nets && net_ == 0; ++attempt) {
        const int net = FirstNet + (::getpid() + attempt) % Nets;
        Listener probe;
        if (probe.open("127." + std::to_string(net) + ".3.1", PlatformPort, [](const std::shared_ptr<Link> &) {})) {
            net_ = net;
        }
    }
    const auto hostOf = [this](int group, int index) {
        return "127." + std::to_string(net_) + '.' + std::to_string(group) + '.' + std::to_string(index + 1);
    };
    for (int index = 0; index < controlCount; ++index) {
        controls.push_back({ "core-" + std::to_string(index + 1), hostOf(2, index), "z" + std::to_string(index % 3),
            false, folder_ + "/core-" + std::to_string(index + 1) + ".yaml", 0 });
    }
    for (int index = 0; index < entryCount; ++index) {
        entries.push_back({ "front-" + std::to_string(index + 1), hostOf(1, index), "z" + std::to_string(index % 3),
            true, folder_ + "/front-" + std::to_string(index + 1) + ".yaml", 0 });
    }
}

System::~System()
{
    for (std::vector<Node> *nodes : { &entries, &controls }) {
        for (Node &node : *nodes) {
            if (node.pid > 0) {
                ::kill(node.pid, SIGKILL);
                ::waitpid(node.pid, nullptr, 0);
            }
        }
    }
}

std::vector<std::string> System::controlHosts() const
{
    std::vector<std::string> hosts;
    for (const Node &node : controls) {
        hosts.push_back(node.host);
    }
    return hosts;
}

std::string System::backendHost(int index) const
{
    return "127." + std::to_string(net_) + ".10." + std::to_string(index + 1);
}

std::string System::platformHost() const
{
    return "127." + std::to_string(net_) + ".3.1";
}

void System::startNode(Node &node, bool isBootstrap)
{
    // What deploy/node.yaml renders from the settings of a process.
    std::ofstream file(node.settings);
    file << "address: " << node.host << "\nname: " << node.name << "\nzone: " << node.zone << "\nlisten:\n";
    if (node.isEntry) {
        file << "  callers: \"" << node.host << ':' << CallerPort << "\"\n  health: \"" << node.host << ':'
             << HealthPort << "\"\n";
    } else {
        file << "  control: \"" << node.host << ':' << ControlPort << "\"\n";
    }
    file << "peer_port: " << PeerPort << "\nmetrics_port: " << MetricsPort << "\nseeds:\n";
    for (std::size_t index = 0; index < controls.size() && index < 3; ++index) {
        file << "  - \"" << controls[index].host << ':' << ControlPort << "\"\n";
    }
    file << "founding: " << (isBootstrap ? "true" : "false") << '\n';
    if (!node.isEntry) {
        const std::string data = folder_ + '/' + node.name;
        ::mkdir(data.c_str(), 0700);
        file << "data_folder: \"" << data << "\"\n";
    }
    file << "tolerated: 1\ngrace: 6s\nplatform_fences: " << (fences_ ? "true" : "false") << "\nplatform: \""
         << platformHost() << ':' << PlatformPort << "\"\n";
    file.close();
    const std::string program = root_ + "/target/daisyrelay-node";
    const std::string log = folder_ + '/' + node.name + ".log";
    node.pid = ::fork();
    if (node.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("DAISYRELAY_CONFIG", node.settings.c_str(), 1);
        if (::chdir(root_.c_str()) != 0) {
            ::_exit(126);
        }
        ::execl(program.c_str(), "target/daisyrelay-node", static_cast<char *>(nullptr));
        ::_exit(127);
    }
    record_.line("process " + node.name + " starts");
}

bool System::start()
{
    if (net_ == 0) {
        return false;
    }
    for (Node &node : controls) {
        startNode(node, true);
    }
    for (Node &node : entries) {
        startNode(node, true);
    }
    return true;
}

void System::kill(Node &node, int signal)
{
    record_.line("process " + node.name + " gets signal " + std::to_string(signal));
    ::kill(node.pid, signal);
    if (signal == SIGKILL) {
        ::waitpid(node.pid, nullptr, 0);
        node.pid = 0;
    }
}

void System::wipe(const Node &node)
{
    for (const auto &file : std::filesystem::directory_iterator(folder_ + '/' + node.name)) {
        std::filesystem::remove_all(file);
    }
    record_.line("the disk of " + node.name + " is lost");
}

std::vector<std::string> System::unexpectedEnds()
{
    std::vector<std::string> ends;
    for (std::vector<Node> *nodes : { &entries, &controls }) {
        for (Node &node : *nodes) {
            int status = 0;
            if (node.pid > 0 && ::waitpid(node.pid, &status, WNOHANG) == node.pid) {
                ends.push_back(node.name
                    + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                           : " with status " + std::to_string(WEXITSTATUS(status))));
                node.pid = 0;
            }
        }
    }
    return ends;
}

bool System::awaitReady(std::size_t count, Millis timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        std::size_t ready = 0;
        for (const Node &node : entries) {
            ready += httpCall(node.host, HealthPort, "GET", "/-/ready", "", Millis(500)).status == 200 ? 1 : 0;
        }
        if (ready >= count) {
            return true;
        }
        sleepFor(Millis(200));
    }
    return false;
}

bool System::putConfiguration(const std::string &body, Millis timeout)
{
    const auto deadline = Clock::now() + timeout;
    for (std::size_t attempt = 0; Clock::now() < deadline; ++attempt) {
        const Node &node = controls[attempt % controls.size()];
        const HttpReply reply = httpCall(node.host, ControlPort, "POST", "/-/Config.Put", body, Millis(1000));
        if (reply.status == 200) {
            return true;
        }
        sleepFor(Millis(100));
    }
    return false;
}

HttpReply System::readConfiguration(const Node &control)
{
    return httpCall(control.host, ControlPort, "GET", "/-/Config.Get", "", Millis(1000));
}

bool Client::open(const std::string &host, const std::string &database, Millis timeout)
{
    link_ = std::make_unique<Link>();
    if (link_->connect(host, System::CallerPort, timeout) && link_->send("START " + database + " rig\r\n")) {
        const std::optional<std::string> line = link_->readLine(timeout);
        if (line && line->rfind("READY", 0) == 0) {
            return true;
        }
    }
    link_.reset();
    return false;
}

Client::Answer Client::query(const std::string &id, const std::string &text, Millis timeout)
{
    Answer answer;
    const auto deadline = Clock::now() + timeout;
    const auto left = [&]() { return std::chrono::duration_cast<Millis>(deadline - Clock::now()); };
    answer.isClosed = true;
    if (!link_ || !link_->send("QUERY " + id + ' ' + text + "\r\n")) {
        link_.reset();
        return answer;
    }
    while (const std::optional<std::string> line = link_->readLine(left())) {
        if (line->rfind("ROW ", 0) == 0) {
            answer.rows.push_back(line->substr(4));
        } else if (line->rfind("DONE ", 0) == 0) {
            answer.mac = line->substr(5);
        } else if (line->rfind("ERROR ", 0) == 0) {
            const std::string rest = line->substr(6);
            answer.code = rest.substr(0, rest.find(' '));
            answer.detail = rest;
        } else if (line->rfind("READY ", 0) == 0) {
            answer.state = line->size() > 6 ? (*line)[6] : '?';
            answer.isClosed = false;
            return answer;
        }
    }
    link_.reset();
    return answer;
}

void Client::close()
{
    if (link_) {
        link_->send("BYE\r\n");
    }
    link_.reset();
}

} // namespace rig
