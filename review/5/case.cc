// Case 5: clients that send statements faster than they are answered fill the memory of the entries.
#include "../standin/standin.hh"

using namespace standin;

static constexpr int FloodersPerEntry = 4;
static constexpr std::size_t FloodBytesPerSecond = 40'000'000; // At each entry: a third of LinkMbps 1,000.
static constexpr std::size_t MemoryLimitKb = 260 * 1000;
static constexpr Millis FloodAt = 6000;
static constexpr Millis EndAt = 50000;

/// Sends statements without waiting for the answers, which it reads and drops.
class Flooder
{
public:
    Flooder(Loop &loop, Address entry, std::string route, std::string name)
        : loop_(loop), entry_(std::move(entry)), route_(std::move(route)), name_(std::move(name))
    {
    }
    std::size_t sentBytes = 0;
    int connections = 0;
    void start()
    {
        open();
        loop_.every(10, [this]() {
            if (isOpen_ && fd_ >= 0) {
                pump();
            }
            return true;
        });
    }

private:
    void open()
    {
        ++connections;
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = entry_.raw();
        if (::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            retry();
            return;
        }
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
        isOpen_ = true;
        pending_ = "START " + route_ + " u1\r\n";
        loop_.watch(fd_,
            { []() { return static_cast<short>(POLLIN); },
                [this](short) {
                    char buffer[65536];
                    const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
                    if (count == 0 || (count < 0 && errno != EAGAIN)) {
                        retry();
                    }
                } });
    }
    void retry()
    {
        isOpen_ = false;
        if (fd_ >= 0) {
            loop_.unwatch(fd_);
            ::close(fd_);
            fd_ = -1;
        }
        loop_.after(500, [this]() { open(); });
    }
    void pump()
    {
        std::size_t budget = FloodBytesPerSecond / 100 / FloodersPerEntry;
        while (budget > 0) {
            while (pending_.size() < 65536) {
                pending_ += "QUERY " + name_ + "f" + std::to_string(++count_) + " FETCH i7\r\n";
            }
            const ssize_t sent = ::send(fd_, pending_.data(), std::min(pending_.size(), budget), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            pending_.erase(0, static_cast<std::size_t>(sent));
            sentBytes += static_cast<std::size_t>(sent);
            budget -= std::min(budget, static_cast<std::size_t>(sent));
        }
    }
    Loop &loop_;
    Address entry_;
    std::string route_;
    std::string name_;
    std::string pending_;
    std::uint64_t count_ = 0;
    int fd_ = -1;
    bool isOpen_ = false;
};

static std::size_t residentKb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1000;
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Loop loop;
    Deployment deployment;
    if (argc < 2 || !loop.record.open(argv[1]) || !prepare(deployment, 4, 3)) {
        std::fprintf(stderr, "case 5: cannot prepare the deployment\n");
        return 2;
    }
    loop.random.seed(std::random_device {}());
    SmallSystem system(loop, deployment, 3);
    if (!system.start()) {
        return 2;
    }
    std::vector<std::unique_ptr<Flooder>> flooders;
    loop.after(FloodAt, [&]() {
        for (std::size_t at = 0; hasTrouble && at < 2; ++at) {
            const Process &entry = *deployment.entries()[at];
            for (int peer = 0; peer < FloodersPerEntry; ++peer) {
                flooders.push_back(std::make_unique<Flooder>(loop, Address { entry.host, deployment.callerPort },
                    "db0t1", "x" + std::to_string(at) + "p" + std::to_string(peer)));
                flooders.back()->start();
            }
            loop.record.line("%d peers flood %s", FloodersPerEntry, entry.name.c_str());
        }
    });
    std::map<std::string, std::size_t> peaks;
    std::map<std::string, int> kills;
    loop.every(50, [&]() {
        for (Process &process : deployment.processes) {
            if (process.pid <= 0) {
                continue;
            }
            const std::size_t kb = residentKb(process.pid);
            peaks[process.name] = std::max(peaks[process.name], kb);
            if (kb > MemoryLimitKb) {
                // The platform kills a process that uses more than MemoryMb, which counts as an end by itself.
                ++kills[process.name];
                loop.record.line("process %s uses %zu kB, over its MemoryMb of 260: killed", process.name.c_str(), kb);
                ::kill(process.pid, SIGKILL);
            }
        }
        return true;
    });
    loop.every(1000, [&]() {
        std::string text;
        for (const Process &process : deployment.processes) {
            text += " " + process.name + "=" + std::to_string(process.pid > 0 ? residentKb(process.pid) : 0);
        }
        loop.record.line("memory in kB:%s", text.c_str());
        return true;
    });
    loop.after(EndAt, [&loop]() { loop.stop(); });
    loop.run();
    int machinesWithThreeEnds = 0;
    for (const Process &process : deployment.processes) {
        machinesWithThreeEnds += process.ownEnds >= 3 ? 1 : 0;
        loop.record.line(
            "total: process %s: peak %zu kB, %d ends", process.name.c_str(), peaks[process.name], process.ownEnds);
    }
    return system.finish("case 5", machinesWithThreeEnds >= 2);
}
