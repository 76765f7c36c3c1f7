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
    impl_->acceptCaller(now, request);
}

void RelayCore::onForwardRequest(Instant now, const VmId &from, const ForwardRequest &request)
{
    impl_->acceptForward(now, from, request);
}

void RelayCore::onForwardAnswer(Instant now, const VmId &from, const ForwardResponse &answer)
{
    impl_->forwardAnswered(now, from, answer);
}

void RelayCore::onPeerUnreachable(Instant now, const VmId &vm)
{
    impl_->peerUnreachable(now, vm);
}

void RelayCore::onKeyClaim(Instant now, const VmId &from, const KeyClaim &claim)
{
    impl_->claimAsked(now, from, claim);
}

void RelayCore::onKeyVerdict(Instant now, const VmId &from, const KeyVerdict &verdict)
{
    impl_->claimAnswered(now, from, verdict);
}

void RelayCore::onKeyCopyRequest(Instant now, const VmId &from, const KeyCopyRequest &request)
{
    impl_->copyAsked(now, from, request);
}

void RelayCore::onKeyCopy(Instant now, const VmId &from, const KeyCopy &copy)
{
    impl_->copyArrived(now, from, copy);
}

void RelayCore::onConnectionOpened(Instant now, ConnectionId connection)
{
    impl_->connectionOpened(now, connection);
}

void RelayCore::onConnectionClosed(Instant now, ConnectionId connection)
{
    impl_->connectionClosed(now, connection);
}

void RelayCore::onBackendReply(Instant now, const BackendReply &reply)
{
    impl_->replied(now, reply);
}

void RelayCore::onReplicaPoint(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    impl_->replicaAt(now, backend, point);
}

void RelayCore::onAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    impl_->announced(now, announcement);
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
    impl_->retarget(now);
}

void RelayCore::drain(Instant /*now*/)
{
    impl_->draining_ = true;
}

void RelayCore::tick(Instant now)
{
    impl_->tick(now);
}

std::vector<RelayAction> RelayCore::takeActions()
{
    return std::exchange(impl_->actions_, {});
}

bool RelayCore::idle() const
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

std::vector<BackendView> RelayCore::views(Instant now) const
{
    return impl_->views(now);
}

} // namespace daisyrelay
