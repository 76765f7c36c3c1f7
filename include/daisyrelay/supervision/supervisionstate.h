// The replicated state of supervision: each control VM applies the same commands in the same order.
#pragma once

#include "daisyrelay/supervision/leaseholdertable.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>

namespace daisyrelay {

/// The configuration, the backend servers and the primaries.
class SupervisionState
{
public:
    /// Applies the command at log \p index. \returns whether the configuration or the topology changed.
    bool apply(std::uint64_t index, const SupervisionCommand &command);

    [[nodiscard]] const RouteConfiguration &configuration() const;

    /// Returns the configuration text as the operator sent it.
    [[nodiscard]] const std::string &configurationSource() const;

    [[nodiscard]] const std::map<BackendId, BackendRecord> &backends() const;
    [[nodiscard]] const std::map<ServiceId, PrimaryRecord> &primaries() const;
    [[nodiscard]] const BackendRecord *find(const BackendId &backend) const;

    /// Returns null if \p service has no recorded primary.
    [[nodiscard]] const PrimaryRecord *primaryOf(const ServiceId &service) const;

    /// Returns the promotion of \p service that may still be carried out, or null if there is none.
    [[nodiscard]] const PrimaryRecord *pendingPromotionOf(const ServiceId &service) const;

    [[nodiscard]] const std::map<ServiceId, PrimaryRecord> &pendingPromotions() const;

    [[nodiscard]] const LeaseHolderTable &leaseHolders() const;

    /// Returns the format version that was activated; zero if none was.
    [[nodiscard]] FormatVersion activeFormat() const;

    /// Tells whether every entry that may hold a lease is in leaseHolders().
    [[nodiscard]] bool areLeaseHoldersComplete() const;

    /// Tells whether lease holders may be registered: all control VMs apply the commands that do so.
    [[nodiscard]] bool registersLeaseHolders() const;

    /// Tells whether nothing has been recorded yet, so that no entry can use any primary.
    [[nodiscard]] bool isEmpty() const;

    [[nodiscard]] const ServiceLimits *limitsOf(const ServiceId &service) const;
    [[nodiscard]] std::uint64_t topologyIndex() const;
    [[nodiscard]] Topology topology() const;

    /// Returns the changes after \p index, oldest first and at most \p maxChanges of them; the complete topology if the
    /// changes since then are not known.
    [[nodiscard]] Topology changesSince(std::uint64_t index, std::size_t maxChanges) const;

    /// Tells whether \p record belongs to an incarnation that has ended or been superseded.
    [[nodiscard]] bool isOutdated(const BackendRecord &record) const;

    /// Returns the lowest start time, not below that of \p record, that makes it a later incarnation than every other
    /// one under its id.
    [[nodiscard]] std::int64_t nextStartOf(const BackendRecord &record) const;

    /// Returns the server that is recorded at an address, or null.
    [[nodiscard]] const BackendRecord *findAt(const std::string &host, std::uint16_t port) const;

    [[nodiscard]] std::string encode() const;

    /// \returns an error if \p bytes are damaged.
    static Expected<SupervisionState> decode(std::string_view bytes);

private:
    bool applyCommand(std::uint64_t index, const PutConfiguration &command);
    bool applyCommand(std::uint64_t index, const RecordBackend &command);
    bool applyCommand(std::uint64_t index, const RemoveBackend &command);
    bool applyCommand(std::uint64_t index, const DecidePromotion &command);
    bool applyCommand(std::uint64_t index, const RecordPrimary &command);
    bool applyCommand(std::uint64_t index, const RegisterLeaseHolder &command);
    bool applyCommand(std::uint64_t index, const RemoveLeaseHolder &command);
    bool applyCommand(std::uint64_t index, const ActivateFormat &command);
    bool applyCommand(std::uint64_t index, const CompleteLeaseHolders &command);
    void recordRemoved(std::uint64_t index, const BackendRecord &removed);
    void recordAddress(const BackendRecord &record);

    RouteConfiguration configuration_;
    std::string configurationSource_;
    std::uint64_t topologyIndex_ = 0;
    std::map<BackendId, BackendRecord> backends_;
    std::map<ServiceId, PrimaryRecord> primaries_;
    std::map<ServiceId, PrimaryRecord> pendingPromotions_;
    LeaseHolderTable leaseHolders_;
    FormatVersion activeFormat_ = 0;
    bool isLeaseHolderTableComplete_ = false; ///< Set by CompleteLeaseHolders, or known when a version was activated.
    std::deque<BackendRecord> removed_; ///< Last incarnations of removed backend servers, oldest first.
    std::map<std::pair<std::string, std::uint16_t>, BackendId> idByAddress_;
    std::map<BackendId, std::uint64_t> changedAt_; ///< Log index of the last change of each backend server.
    std::deque<std::pair<std::uint64_t, BackendId>> removals_; ///< Recent removals with their log index, oldest first.
    std::uint64_t removalsSince_ = 0; ///< All later removals are in `removals_`.
};

} // namespace daisyrelay
