// The decisions of the leader: which configuration and which backend servers are in force, who the primary of each
// service is, and which connections an entry may use. On control VMs that do not lead it only applies the log.
#pragma once

#include "daisyrelay/supervision/entryregistry.h"
#include "daisyrelay/supervision/primarywatch.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/telemetry.h"

#include <deque>
#include <map>
#include <vector>

namespace daisyrelay {

/// Holds no clock, socket or file.
class Supervisor
{
public:
    Supervisor(EventLog &log, Metrics &metrics, std::uint64_t firstId, SupervisionTiming timing = {});

    /// Tells whether this VM leads and may answer, and in which consensus term. Called with the current instant before
    /// any other input, since the process may have been suspended in between.
    void onLeadership(Instant now, bool leading, Term term, std::vector<VmId> controlVms);

    void onCommitted(Instant now, const LogEntry &entry);
    Expected<void> restore(std::string_view bytes);
    [[nodiscard]] std::string snapshot() const;

    /// Must only be called while this VM leads.
    void onReport(Instant now, const VmId &entry, const EntryReport &report);

    /// Exactly one AnswerControl with \p requestId follows. Must only be called while this VM leads.
    void onRequest(Instant now, std::uint64_t requestId, const ControlRequest &request);

    void onProbe(Instant now, const ProbeOutcome &outcome);
    void onPromotion(Instant now, const ServiceId &service, std::uint64_t token, PromotionOutcome outcome);
    void tick(Instant now);

    [[nodiscard]] std::vector<SupervisionAction> takeActions();
    [[nodiscard]] const SupervisionState &state() const;
    [[nodiscard]] bool leading() const;

private:
    struct Waiting {
        std::uint64_t requestId = 0;
        Instant until {};
        ControlRequest request;
    };

    void request(Instant now, std::uint64_t requestId, const PutConfiguration &change);
    void request(Instant now, std::uint64_t requestId, const ReadConfiguration &read);
    void request(Instant now, std::uint64_t requestId, const BackendHeartbeat &heartbeat);
    void request(Instant now, std::uint64_t requestId, const BackendLeave &leave);
    void wait(Instant now, std::uint64_t requestId, ControlRequest request);
    void answer(std::uint64_t requestId, ControlStatus status, std::string body = {});
    void answerWaiting(Instant now);
    [[nodiscard]] bool isDone(const ControlRequest &request) const;
    void refuseWaiting();
    void logCommand(Instant now, const SupervisionCommand &command, std::uint64_t index);
    void forgetSilentBackends(Instant now);
    void pushAll(Instant now);
    void push(Instant now, const VmId &entry, bool always);
    void propose(SupervisionCommand command);
    [[nodiscard]] WatchContext context();

    EventLog &log_;
    Metrics &metrics_;
    SupervisionTiming timing_;
    SupervisionState state_;
    bool leading_ = false;
    Term term_ = 0;
    Instant leadsSince_ {};
    Instant homesCheckedAt_ {};
    bool pushDue_ = false;
    std::vector<VmId> controlVms_;
    EntryRegistry entries_;
    std::map<BackendId, Instant> heardAt_;
    std::map<BackendId, std::pair<std::int64_t, std::uint64_t>> heardLast_; ///< Life and sequence.
    std::map<ServiceId, PrimaryWatch> watches_;
    std::deque<Waiting> waiting_;
    std::map<BackendId, Instant> removing_;
    std::uint64_t nextId_;
    std::vector<SupervisionAction> actions_;
};

} // namespace daisyrelay
