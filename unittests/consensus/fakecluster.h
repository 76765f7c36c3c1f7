// Control VMs with disks in memory and a network that loses, repeats, delays and reorders messages. Checks on every
// step what consensus promises.
#pragma once

#include "../storage/fakedisk.h"
#include "daisyrelay/consensus.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace daisyrelay {

class FakeCluster
{
public:
    struct Vm {
        VmId id;
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<RaftStorage> storage;
        std::unique_ptr<RaftCore> core; ///< Empty while the VM is down.
        std::vector<std::string> applied;
        bool paused = false;
    };

    RaftOptions options;
    Instant now = Instant() + std::chrono::hours(1);
    Duration step = std::chrono::milliseconds(5);
    int lossPercent = 0;
    int repeatPercent = 0;
    std::chrono::milliseconds longestDelay { 2 };
    std::set<std::pair<std::size_t, std::size_t>> cuts; ///< One way, from the first to the second.
    std::vector<Vm> vms;
    std::map<Term, VmId> leaders;
    std::map<std::uint64_t, LogEntry> committed;
    std::uint64_t highestCommit = 0;
    std::string violation;

    explicit FakeCluster(std::size_t size, std::uint64_t seed = 1, RaftOptions with = {})
        : options(std::move(with)), random_(seed)
    {
        for (std::size_t at = 0; at < size; ++at) {
            options.controlVms.push_back(VmId { "vm" + std::to_string(at) });
        }
        vms.resize(size);
        for (std::size_t at = 0; at < size; ++at) {
            vms[at].id = options.controlVms[at];
            wipe(at);
        }
    }

    void start(std::size_t at)
    {
        Vm &vm = vms[at];
        vm.storage = std::make_unique<RaftStorage>(*vm.disk);
        Expected<StoredState> stored = vm.storage->open();
        if (!stored) {
            violation = "storage: " + stored.error().detail;
            return;
        }
        RaftOptions own = options;
        own.self = vm.id;
        own.seed = random_();
        vm.applied.clear();
        vm.paused = false;
        vm.core = std::make_unique<RaftCore>(now, own, std::move(*stored));
    }

    void crash(std::size_t at, std::size_t keptBytes = 0)
    {
        vms[at].core.reset();
        vms[at].disk->crash(keptBytes);
    }

    void restart(std::size_t at)
    {
        crash(at);
        start(at);
    }

    void wipe(std::size_t at)
    {
        vms[at].core.reset();
        vms[at].disk = std::make_unique<FakeDisk>();
        start(at);
    }

    void cut(std::size_t from, std::size_t to)
    {
        cuts.insert({ from, to });
        cuts.insert({ to, from });
    }

    void isolate(std::size_t at)
    {
        for (std::size_t other = 0; other < vms.size(); ++other) {
            cut(at, other);
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += step) {
            for (std::size_t at = 0; at < vms.size(); ++at) {
                if (vms[at].core && !vms[at].paused) {
                    vms[at].core->tick(now);
                    flush(at);
                }
            }
            deliver();
            check();
        }
    }

    bool runUntil(const std::function<bool()> &condition, Duration most = std::chrono::seconds(20))
    {
        for (const Instant end = now + most; now < end;) {
            if (condition()) {
                return true;
            }
            run(step);
        }
        return condition();
    }

    /// Returns the VM that may answer, if there is one.
    std::optional<std::size_t> leader() const
    {
        for (std::size_t at = 0; at < vms.size(); ++at) {
            if (vms[at].core && !vms[at].paused && vms[at].core->mayAnswer(now)) {
                return at;
            }
        }
        return std::nullopt;
    }

    bool propose(std::size_t at, const std::string &command)
    {
        const bool taken = vms[at].core && vms[at].core->propose(now, command).has_value();
        flush(at);
        return taken;
    }

    /// Whether all VMs are up and the leader knows each as a voter under its present incarnation.
    bool settled() const
    {
        const std::optional<std::size_t> at = leader();
        if (!at || vms[*at].core->log().membershipIndex() > vms[*at].core->commitIndex()) {
            return false;
        }
        const Membership &membership = vms[*at].core->log().membership();
        return std::all_of(vms.begin(), vms.end(), [&membership](const Vm &vm) {
            return vm.core && !vm.paused
                && std::count(membership.members.begin(), membership.members.end(),
                       Member { vm.id, vm.core->incarnation(), true })
                == 1;
        });
    }

    bool applied(std::size_t at, const std::string &command) const
    {
        const std::vector<std::string> &all = vms[at].applied;
        return std::find(all.begin(), all.end(), command) != all.end();
    }

    std::vector<std::string> committedCommands() const
    {
        std::vector<std::string> commands;
        for (const auto &[index, entry] : committed) {
            commands.push_back(entry.command);
        }
        return commands;
    }

    /// Returns what each VM believes, for the message of a failed test.
    std::string describe() const
    {
        std::ostringstream text;
        for (const Vm &vm : vms) {
            text << vm.id.value;
            if (vm.core) {
                text << " incarnation " << vm.core->incarnation() << " role " << static_cast<int>(vm.core->role())
                     << " term " << vm.core->term() << " commit " << vm.core->commitIndex() << " last "
                     << vm.core->log().lastIndex() << " blocked " << vm.core->isBlocked() << ':';
                for (const Member &member : vm.core->log().membership().members) {
                    text << ' ' << member.vm.value << '/' << member.incarnation << (member.voter ? "/voter" : "");
                }
            }
            text << '\n';
        }
        return text.str();
    }

private:
    struct InFlight {
        Instant at;
        RaftMessage message;
    };

    void flush(std::size_t at)
    {
        Vm &vm = vms[at];
        while (vm.core) {
            const RaftActions actions = vm.core->takeActions();
            if (actions.empty()) {
                return;
            }
            if (!actions.write.empty()) {
                const bool stored = vm.storage->write(actions.write).has_value();
                if (vm.disk->stepsLeft == 0) {
                    crash(at, random_() % 64);
                    return;
                }
                if (stored) {
                    vm.core->onPersisted(now);
                } else {
                    vm.core->onPersistFailed(now);
                }
            }
            for (const RaftMessage &message : actions.messages) {
                post(message);
            }
            apply(vm, actions);
        }
    }

    void apply(Vm &vm, const RaftActions &actions)
    {
        if (actions.restore) {
            vm.applied.clear();
            std::istringstream lines(*actions.restore);
            for (std::string line; std::getline(lines, line);) {
                vm.applied.push_back(line);
            }
        }
        for (const LogEntry &entry : actions.committed) {
            if (committed.try_emplace(entry.index, entry).first->second != entry) {
                violation = "two commands were committed at index " + std::to_string(entry.index);
            }
            vm.applied.push_back(entry.command);
        }
        if (actions.restore || !actions.committed.empty()) {
            checkPrefix(vm);
        }
        if (actions.snapshotAt) {
            std::string data;
            for (const std::string &command : vm.applied) {
                data += command + "\n";
            }
            vm.core->compact(*actions.snapshotAt, data);
        }
    }

    void post(const RaftMessage &message)
    {
        const int copies = chance(repeatPercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!chance(lossPercent)) {
                const auto most = static_cast<std::uint64_t>(longestDelay.count());
                inFlight_.push_back({ now + std::chrono::milliseconds(1 + random_() % most), message });
            }
        }
    }

    void deliver()
    {
        std::vector<InFlight> due;
        const auto late = std::stable_partition(
            inFlight_.begin(), inFlight_.end(), [this](const InFlight &item) { return item.at > now; });
        std::move(late, inFlight_.end(), std::back_inserter(due));
        inFlight_.erase(late, inFlight_.end());
        std::shuffle(due.begin(), due.end(), random_);
        for (const InFlight &item : due) {
            const std::size_t from = indexOf(item.message.from);
            const std::size_t to = indexOf(item.message.to);
            if (vms[to].core && !vms[to].paused && !cuts.contains({ from, to })) {
                vms[to].core->receive(now, item.message);
                flush(to);
            }
        }
    }

    void checkPrefix(const Vm &vm)
    {
        const std::vector<std::string> all = committedCommands();
        if (vm.applied.size() > all.size() || !std::equal(vm.applied.begin(), vm.applied.end(), all.begin())) {
            violation = vm.id.value + " applied something that is no prefix of what is committed";
        }
    }

    void check()
    {
        for (const Vm &vm : vms) {
            if (vm.core) {
                highestCommit = std::max(highestCommit, vm.core->commitIndex());
            }
        }
        for (const Vm &vm : vms) {
            if (!vm.core) {
                continue;
            }
            if (vm.core->role() == RaftRole::Leader
                && leaders.try_emplace(vm.core->term(), vm.id).first->second != vm.id) {
                violation = "two leaders in term " + std::to_string(vm.core->term());
            }
            if (vm.core->mayAnswer(now) && vm.core->commitIndex() < highestCommit) {
                violation = vm.id.value + " may answer but does not know the latest commit";
            }
        }
    }

    bool chance(int percent)
    {
        constexpr std::uint64_t Hundred = 100;
        return random_() % Hundred < static_cast<std::uint64_t>(percent);
    }

    std::size_t indexOf(const VmId &vm) const
    {
        const auto found = std::find_if(vms.begin(), vms.end(), [&vm](const Vm &one) { return one.id == vm; });
        return static_cast<std::size_t>(found - vms.begin());
    }

    std::mt19937_64 random_;
    std::vector<InFlight> inFlight_;
};

} // namespace daisyrelay
