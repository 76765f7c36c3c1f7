// Simulated control VMs with in-memory disks and a network that loses, duplicates, delays and reorders messages. Checks
// the consensus invariants on every tick.
#pragma once

#include "../storage/fakedisk.h"
#include "daisyrelay/consensus.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace daisyrelay {

/// A simulated cluster driven by a simulated clock. A broken invariant is recorded in `violation`.
class FakeCluster
{
public:
    struct Vm {
        VmId id;
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<RaftStorage> storage;
        std::unique_ptr<RaftCore> core; ///< Empty while the VM is down.
        std::vector<std::string> applied; ///< Commands applied since the start or the last restored snapshot.
        bool isPaused = false;
    };

    RaftOptions options;
    Instant now = Instant() + std::chrono::hours(1);
    Duration tickInterval = std::chrono::milliseconds(5);
    int lossPercent = 0;
    int duplicatePercent = 0;
    std::chrono::milliseconds maxDelay { 2 };
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks; ///< Directed links (from, to) that drop all messages.
    std::vector<Vm> vms;
    std::map<Term, VmId> leaderOfTerm; ///< Leaders observed so far.
    std::map<std::uint64_t, LogEntry> committed; ///< Committed commands by index.
    std::uint64_t maxCommitIndex = 0; ///< Highest commit index observed on any VM.
    std::string violation; ///< Describes the last broken invariant; empty if none was broken.
    /// Called before each write with the VM and what it writes.
    std::function<void(std::size_t vm, const RaftWrite &write)> beforeWrite;

    /// Starts \p size VMs. The first \p seeds of them, or all if it is zero, are listed in the settings.
    explicit FakeCluster(
        std::size_t size, std::uint64_t seed = 1, RaftOptions initialOptions = {}, std::size_t seeds = 0)
        : options(std::move(initialOptions)), random_(seed)
    {
        vms.resize(size);
        for (std::size_t index = 0; index < size; ++index) {
            vms[index].id = VmId { "vm" + std::to_string(index) };
            if (seeds == 0 || index < seeds) {
                options.controlVms.push_back(vms[index].id);
            }
        }
        for (std::size_t index = 0; index < size; ++index) {
            wipeDisk(index);
        }
    }

    void start(std::size_t index)
    {
        Vm &vm = vms[index];
        vm.storage = std::make_unique<RaftStorage>(*vm.disk);
        Expected<StoredState> stored = vm.storage->open();
        if (!stored) {
            violation = "storage: " + stored.error().detail;
            return;
        }
        RaftOptions vmOptions = options;
        vmOptions.self = vm.id;
        vmOptions.seed = random_();
        vm.applied.clear();
        vm.isPaused = false;
        vm.core = std::make_unique<RaftCore>(now, vmOptions, std::move(*stored));
    }

    /// Stops a VM. Each of its files keeps the first \p keptUnsyncedBytes bytes that were not synced.
    void crash(std::size_t index, std::size_t keptUnsyncedBytes = 0)
    {
        vms[index].core.reset();
        vms[index].disk->crash(keptUnsyncedBytes);
    }

    void restart(std::size_t index)
    {
        crash(index);
        start(index);
    }

    /// Ends the process of a VM; what it has not synced stays so.
    void kill(std::size_t index)
    {
        vms[index].core.reset();
        vms[index].disk->kill();
    }

    /// Stops a VM. Each unsynced write and name is kept or lost independently.
    void losePower(std::size_t index)
    {
        vms[index].core.reset();
        vms[index].disk->losePower(random_);
    }

    /// Replaces the disk of a VM with an empty one and starts the VM.
    void wipeDisk(std::size_t index)
    {
        vms[index].core.reset();
        vms[index].disk = std::make_unique<FakeDisk>();
        start(index);
    }

    /// Blocks a link in both directions.
    void cutLink(std::size_t from, std::size_t to)
    {
        blockedLinks.insert({ from, to });
        blockedLinks.insert({ to, from });
    }

    void isolate(std::size_t index)
    {
        for (std::size_t other = 0; other < vms.size(); ++other) {
            cutLink(index, other);
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += tickInterval) {
            for (std::size_t index = 0; index < vms.size(); ++index) {
                if (vms[index].core && !vms[index].isPaused) {
                    vms[index].core->tick(now);
                    performActions(index);
                }
            }
            deliverMessages();
            checkInvariants();
        }
    }

    /// Runs until \p condition holds or \p timeout has passed. \returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(20))
    {
        for (const Instant end = now + timeout; now < end;) {
            if (condition()) {
                return true;
            }
            run(tickInterval);
        }
        return condition();
    }

    /// Returns the index of the confirmed leader, if there is one.
    std::optional<std::size_t> leader() const
    {
        for (std::size_t index = 0; index < vms.size(); ++index) {
            if (vms[index].core && !vms[index].isPaused && vms[index].core->isConfirmedLeader(now)) {
                return index;
            }
        }
        return std::nullopt;
    }

    bool propose(std::size_t index, const std::string &command)
    {
        const bool isAccepted = vms[index].core && vms[index].core->propose(now, command).has_value();
        performActions(index);
        return isAccepted;
    }

    /// Whether all VMs are up and each is a voter under its current incarnation in the committed membership of the
    /// leader.
    bool isSettled() const
    {
        const std::optional<std::size_t> index = leader();
        if (!index || vms[*index].core->log().membershipIndex() > vms[*index].core->commitIndex()) {
            return false;
        }
        const Membership &membership = vms[*index].core->log().membership();
        return std::all_of(vms.begin(), vms.end(), [&membership](const Vm &vm) {
            return vm.core && !vm.isPaused
                && std::count(membership.members.begin(), membership.members.end(),
                       Member { vm.id, vm.core->incarnation(), true })
                == 1;
        });
    }

    bool hasApplied(std::size_t index, const std::string &command) const
    {
        const std::vector<std::string> &commands = vms[index].applied;
        return std::find(commands.begin(), commands.end(), command) != commands.end();
    }

    std::vector<std::string> committedCommands() const
    {
        std::vector<std::string> commands;
        for (const auto &[index, entry] : committed) {
            commands.push_back(entry.command);
        }
        return commands;
    }

    /// Returns the state of each VM, for the message of a failed test.
    std::string describe() const
    {
        std::ostringstream text;
        for (const Vm &vm : vms) {
            text << vm.id.value;
            if (vm.core) {
                text << " incarnation " << vm.core->incarnation() << " role " << static_cast<int>(vm.core->role())
                     << " term " << vm.core->term() << " commit " << vm.core->commitIndex() << " last "
                     << vm.core->log().lastIndex() << " blocked " << vm.core->isStorageBlocked() << ':';
                for (const Member &member : vm.core->log().membership().members) {
                    text << ' ' << member.vm.value << '/' << member.incarnation << (member.isVoter ? "/voter" : "");
                }
            }
            text << '\n';
        }
        return text.str();
    }

private:
    struct MessageInFlight {
        Instant deliverAt;
        RaftMessage message;
    };

    void performActions(std::size_t index)
    {
        Vm &vm = vms[index];
        while (vm.core) {
            const RaftActions actions = vm.core->takeActions();
            if (actions.empty()) {
                return;
            }
            if (!actions.write.empty()) {
                if (beforeWrite) {
                    beforeWrite(index, actions.write);
                }
                const bool isWritten = vm.storage->write(actions.write).has_value();
                if (vm.disk->stepsUntilFailure == 0) {
                    crash(index, random_() % 64);
                    return;
                }
                if (isWritten) {
                    vm.core->onPersisted(now);
                } else {
                    vm.core->onPersistenceFailed(now);
                }
            }
            for (const RaftMessage &message : actions.messages) {
                sendMessage(message);
            }
            applyActions(vm, actions);
        }
    }

    void applyActions(Vm &vm, const RaftActions &actions)
    {
        if (actions.snapshotToRestore) {
            vm.applied.clear();
            std::istringstream lines(*actions.snapshotToRestore);
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
        if (actions.snapshotToRestore || !actions.committed.empty()) {
            checkAppliedPrefix(vm);
        }
        if (actions.snapshotIndex) {
            std::string data;
            for (const std::string &command : vm.applied) {
                data += command + "\n";
            }
            vm.core->compact(*actions.snapshotIndex, data);
        }
    }

    void sendMessage(const RaftMessage &message)
    {
        const int copies = drawWithProbability(duplicatePercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!drawWithProbability(lossPercent)) {
                const auto maxDelayMs = static_cast<std::uint64_t>(maxDelay.count());
                inFlight_.push_back({ now + std::chrono::milliseconds(1 + random_() % maxDelayMs), message });
            }
        }
    }

    void deliverMessages()
    {
        std::vector<MessageInFlight> due;
        const auto firstDue = std::stable_partition(
            inFlight_.begin(), inFlight_.end(), [this](const MessageInFlight &item) { return item.deliverAt > now; });
        std::move(firstDue, inFlight_.end(), std::back_inserter(due));
        inFlight_.erase(firstDue, inFlight_.end());
        std::shuffle(due.begin(), due.end(), random_);
        for (const MessageInFlight &item : due) {
            const std::size_t from = indexOf(item.message.from);
            const std::size_t to = indexOf(item.message.to);
            if (vms[to].core && !vms[to].isPaused && !blockedLinks.contains({ from, to })) {
                vms[to].core->receive(now, item.message);
                performActions(to);
            }
        }
    }

    void checkAppliedPrefix(const Vm &vm)
    {
        const std::vector<std::string> commands = committedCommands();
        if (vm.applied.size() > commands.size()
            || !std::equal(vm.applied.begin(), vm.applied.end(), commands.begin())) {
            violation = vm.id.value + " applied commands that are not a prefix of the committed ones";
        }
    }

    void checkInvariants()
    {
        for (const Vm &vm : vms) {
            if (vm.core) {
                maxCommitIndex = std::max(maxCommitIndex, vm.core->commitIndex());
            }
        }
        for (const Vm &vm : vms) {
            if (!vm.core) {
                continue;
            }
            if (vm.core->role() == RaftRole::Leader
                && leaderOfTerm.try_emplace(vm.core->term(), vm.id).first->second != vm.id) {
                violation = "two leaders in term " + std::to_string(vm.core->term());
            }
            if (vm.core->isConfirmedLeader(now) && vm.core->commitIndex() < maxCommitIndex) {
                violation = vm.id.value + " is a confirmed leader with an outdated commit index";
            }
        }
    }

    /// Returns true with a probability of \p percent.
    bool drawWithProbability(int percent)
    {
        constexpr std::uint64_t FullPercent = 100;
        return random_() % FullPercent < static_cast<std::uint64_t>(percent);
    }

    std::size_t indexOf(const VmId &vm) const
    {
        const auto found
            = std::find_if(vms.begin(), vms.end(), [&vm](const Vm &candidate) { return candidate.id == vm; });
        return static_cast<std::size_t>(found - vms.begin());
    }

    std::mt19937_64 random_;
    std::vector<MessageInFlight> inFlight_;
};

} // namespace daisyrelay
