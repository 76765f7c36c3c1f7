#include "daisyrelay/relay/relaycore.h"

#include "relayimpl.h"

namespace daisyrelay {

RelayCore::RelayCore(RelayOptions options, Counters &counters)
    : impl_(std::make_unique<Impl>(std::move(options), counters))
{
}

RelayCore::~RelayCore() = default;

void RelayCore::onCallerRequest(Instant now, const CallerRequest &request)
{
    impl_->acceptCallerRequest(now, request);
}

void RelayCore::onForwardRequest(Instant now, const VmId &from, const ForwardRequest &request)
{
    impl_->acceptForwardRequest(now, from, request);
}

void RelayCore::onForwardResponse(Instant now, const VmId &from, const ForwardResponse &response)
{
    impl_->handleForwardResponse(now, from, response);
}

void RelayCore::onPeerUnreachable(Instant now, const VmId &vm)
{
    impl_->handlePeerUnreachable(now, vm);
}

void RelayCore::onKeyClaim(Instant now, const VmId &from, const KeyClaim &claim)
{
    impl_->handleKeyClaim(now, from, claim);
}

void RelayCore::onKeyClaimResponse(Instant now, const VmId &from, const KeyClaimResponse &response)
{
    impl_->handleKeyClaimResponse(now, from, response);
}

void RelayCore::onKeyCopyRequest(Instant now, const VmId &from, const KeyCopyRequest &request)
{
    impl_->handleKeyCopyRequest(now, from, request);
}

void RelayCore::onKeyCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk)
{
    impl_->handleKeyCopyChunk(now, from, chunk);
}

void RelayCore::onConnectionOpened(Instant now, ConnectionId connection)
{
    impl_->handleConnectionOpened(now, connection);
}

void RelayCore::onConnectionClosed(Instant now, ConnectionId connection)
{
    impl_->handleConnectionClosed(now, connection);
}

void RelayCore::onBackendResponse(Instant now, const BackendStatementResponse &response)
{
    impl_->handleBackendResponse(now, response);
}

void RelayCore::onBackendPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    impl_->handleBackendPosition(now, backend, point);
}

void RelayCore::onAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    impl_->handleAnnouncement(now, announcement);
}

void RelayCore::onLease(Instant now, const LeaseState &lease)
{
    impl_->setLease(now, lease);
}

void RelayCore::onConfiguration(Instant now, std::uint64_t version, const Configuration &configuration)
{
    if (version < impl_->configVersion_) {
        return;
    }
    impl_->configVersion_ = version;
    impl_->configuration_ = configuration;
    impl_->applyLatencyTargets(now);
}

void RelayCore::drain(Instant /*now*/)
{
    impl_->isDraining_ = true;
}

void RelayCore::tick(Instant now)
{
    impl_->tick(now);
}

std::vector<RelayAction> RelayCore::takeActions()
{
    return std::exchange(impl_->actions_, {});
}

bool RelayCore::isIdle() const
{
    return impl_->operations_.empty() && impl_->transactions_.empty();
}

const BackendTable &RelayCore::backends() const
{
    return impl_->backends_;
}

const LeaseState &RelayCore::lease() const
{
    return impl_->lease_;
}

std::uint64_t RelayCore::configVersion() const
{
    return impl_->configVersion_;
}

std::vector<BackendView> RelayCore::backendViews(Instant now) const
{
    return impl_->backendViews(now);
}

} // namespace daisyrelay
