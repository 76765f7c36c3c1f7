// Decides which VM is pinged when, and which one did not answer.
#pragma once

#include "daisyrelay/membership/membertable.h"

#include <deque>
#include <optional>
#include <random>

namespace daisyrelay {

/// What the prober wants sent or noted.
struct ProbeStep {
    enum class Kind : std::uint8_t {
        Ping,
        RequestPing, ///< Ask \c to to ping \c target.
        Failed, ///< Nobody reached \c target.
    };
    Kind kind = Kind::Ping;
    VmId to;
    VmId target;
    std::uint64_t probe = 0;
};

/// Probes all VMs in a shuffled order, one in each interval, with retries and through other VMs.
class Prober
{
public:
    Prober(const MembershipTiming &timing, std::uint64_t seed);

    /// Probes \p id next, ahead of the others.
    void probeSoon(const VmId &id);

    void onAck(std::uint64_t probe);

    std::vector<ProbeStep> tick(Instant now, const MemberTable &members);

private:
    struct Probe {
        VmId target;
        std::uint64_t number = 0;
        Instant startedAt {};
        Instant nextPingAt {};
        unsigned indirectRounds = 0; ///< Rounds in which other VMs were asked to help.
    };

    void start(Instant now, const VmId &target);
    void advance(Instant now, Probe &probe, const MemberTable &members, std::vector<ProbeStep> &steps);
    [[nodiscard]] std::optional<VmId> nextTarget(const MemberTable &members);
    [[nodiscard]] std::vector<VmId> chooseHelpers(const VmId &target, const MemberTable &members);

    MembershipTiming timing_;
    std::mt19937_64 random_;
    Instant nextProbeAt_ {};
    std::uint64_t nextNumber_ = 1;
    std::deque<VmId> order_;
    std::deque<VmId> urgentTargets_;
    std::vector<Probe> probes_;
};

} // namespace daisyrelay
