// Several membership cores connected by a simulated network with loss, delay, duplicates and partitions.
#pragma once

#include "daisyrelay/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace daisyrelay {

class FakeGossipNetwork
{
public:
    explicit FakeGossipNetwork(std::uint64_t seed) : random_(seed)
    {
    }

    /// Starts or restarts VM \p number; the first three VMs are the seeds.
    void start(unsigned number)
    {
        GossipOptions options;
        options.self = record(number);
        options.boot = options.self.incarnation = ++lastBoot_;
        options.randomSeed = random_();
        for (unsigned seed = 1; seed <= 3; ++seed) {
            options.seeds.push_back({ record(seed).id, record(seed).peerHost, record(seed).peerPort });
        }
        cores_[number] = std::make_unique<GossipCore>(options, counters);
    }

    void crash(unsigned number)
    {
        cores_.erase(number);
    }

    void leave(unsigned number)
    {
        cores_.at(number)->leave(now);
        performActions(number);
        cores_.erase(number);
    }

    void run(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(20);
        for (const Instant end = now + time; now < end; now += Step) {
            for (const auto &[number, core] : cores_) {
                core->tick(now);
                performActions(number);
            }
            deliver();
        }
    }

    GossipCore &core(unsigned number)
    {
        return *cores_.at(number);
    }

    [[nodiscard]] std::set<unsigned> running() const
    {
        std::set<unsigned> numbers;
        for (const auto &[number, core] : cores_) {
            numbers.insert(number);
        }
        return numbers;
    }

    /// Returns whether the set of alive VMs on each running VM equals the set of running VMs.
    [[nodiscard]] bool hasConverged() const
    {
        for (const auto &[number, core] : cores_) {
            std::set<VmId> alive;
            std::set<VmId> expected;
            for (const auto &[id, known] : core->members().all()) {
                if (known.record.state == MemberState::Alive) {
                    alive.insert(id);
                }
            }
            for (const unsigned other : running()) {
                expected.insert(record(other).id);
            }
            if (alive != expected) {
                return false;
            }
        }
        return true;
    }

    static MemberRecord record(unsigned number)
    {
        MemberRecord record;
        record.id = VmId { "vm" + std::to_string(number) };
        record.zone = ZoneId { "zone" + std::to_string(number % 3) };
        record.region = "region" + std::to_string(number % 3 / 2);
        record.isEntry = true;
        record.peerHost = "127.0.0.1";
        record.peerPort = static_cast<std::uint16_t>(number);
        return record;
    }

    Counters counters;
    Instant now { std::chrono::hours(1) };
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned delayedPercent = 0;
    std::function<bool(unsigned, unsigned)> isPartitioned = [](unsigned, unsigned) { return false; };
    std::size_t maxDatagramBytes = 0;
    std::uint64_t bytes = 0;
    std::size_t deaths = 0; ///< Number of changes to the dead state in all tables.

private:
    struct Datagram {
        unsigned from = 0;
        unsigned to = 0;
        GossipMessage message;
    };

    bool drawWithProbability(unsigned percent)
    {
        return random_() % 100 < percent;
    }

    void performActions(unsigned number)
    {
        for (GossipAction &action : cores_.at(number)->takeActions()) {
            if (const auto *send = std::get_if<SendGossip>(&action); send != nullptr) {
                const std::string encoded = encodeGossipMessage(send->message);
                maxDatagramBytes = std::max(maxDatagramBytes, encoded.size());
                bytes += encoded.size();
                // Encodes and decodes each message as in a real network.
                const Datagram datagram { number, send->port, *decodeGossipMessage(encoded) };
                for (unsigned copy = 0; copy <= (drawWithProbability(duplicatePercent) ? 1 : 0); ++copy) {
                    const auto delay = std::chrono::milliseconds(
                        drawWithProbability(delayedPercent) ? random_() % 2000 : random_() % 5);
                    if (!drawWithProbability(lossPercent)) {
                        inFlight_.emplace(now + delay, datagram);
                    }
                }
            } else if (const auto *sync = std::get_if<SendSync>(&action); sync != nullptr) {
                const auto to = static_cast<unsigned>(std::stoul(sync->to.value.substr(2)));
                syncs_.emplace_back(number, std::pair(to, sync->sync));
            } else if (const auto *changed = std::get_if<MemberChanged>(&action); changed != nullptr) {
                deaths += changed->record.state == MemberState::Dead ? 1 : 0;
            }
        }
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now) {
            const Datagram datagram = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            if (cores_.contains(datagram.to) && !isPartitioned(datagram.from, datagram.to)) {
                cores_.at(datagram.to)->receive(now, datagram.message);
                performActions(datagram.to);
            }
        }
        for (const auto &[from, sync] : std::exchange(syncs_, {})) {
            if (cores_.contains(sync.first) && !isPartitioned(from, sync.first)) {
                cores_.at(sync.first)->receiveSync(now, record(from).id, sync.second);
                performActions(sync.first);
            }
        }
    }

    std::mt19937_64 random_;
    std::uint64_t lastBoot_ = 0;
    std::map<unsigned, std::unique_ptr<GossipCore>> cores_;
    std::multimap<Instant, Datagram> inFlight_;
    std::vector<std::pair<unsigned, std::pair<unsigned, MembershipSync>>> syncs_;
};

} // namespace daisyrelay
