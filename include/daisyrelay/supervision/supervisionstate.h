// The replicated state: each control VM applies the same commands in the same order.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>

namespace daisyrelay {

/// Configuration, backend servers and primaries.
class SupervisionState
{
public:
    /// Applies the command at log \p index. \returns whether anything that entries see has changed.
    bool apply(std::uint64_t index, const SupervisionCommand &command);

    [[nodiscard]] const RouteConfiguration &configuration() const;

    /// Returns the configuration as the operator sent it.
    [[nodiscard]] const std::string &configurationSource() const;

    [[nodiscard]] const std::map<BackendId, BackendRecord> &backends() const;
    [[nodiscard]] const std::map<ServiceId, PrimaryRecord> &primaries() const;
    [[nodiscard]] const BackendRecord *find(const BackendId &backend) const;

    /// Returns null if no primary of \p service was ever found.
    [[nodiscard]] const PrimaryRecord *primaryOf(const ServiceId &service) const;

    [[nodiscard]] const ServiceLimits *limitsOf(const ServiceId &service) const;
    [[nodiscard]] std::uint64_t topologyIndex() const;
    [[nodiscard]] Topology topology() const;

    /// Tells whether \p record belongs to a life that is known to be over.
    [[nodiscard]] bool isOutdated(const BackendRecord &record) const;

    [[nodiscard]] std::string encode() const;

    /// \returns an error if \p bytes are damaged.
    static Expected<SupervisionState> decode(std::string_view bytes);

private:
    bool applyCommand(std::uint64_t index, const PutConfiguration &command);
    bool applyCommand(std::uint64_t index, const RecordBackend &command);
    bool applyCommand(std::uint64_t index, const RemoveBackend &command);
    bool applyCommand(std::uint64_t index, const DecidePromotion &command);
    bool applyCommand(std::uint64_t index, const RecordPrimary &command);
    void rememberRemoved(const BackendRecord &removed);

    RouteConfiguration configuration_;
    std::string configurationSource_;
    std::uint64_t topologyIndex_ = 0;
    std::map<BackendId, BackendRecord> backends_;
    std::map<ServiceId, PrimaryRecord> primaries_;
    std::deque<BackendRecord> removed_;
};

} // namespace daisyrelay
