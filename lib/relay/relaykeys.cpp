// Requests that are not repeatable: a key runs once, whichever VM is the home when it arrives.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration ClaimRetry = std::chrono::milliseconds(100);
static constexpr Duration CopyRetry = std::chrono::milliseconds(200);

void RelayCore::Impl::guardKey(Instant now, Operation &operation)
{
    KeyMemory::Record *record = keys_.find(operation.request);
    if (record == nullptr) {
        keys_.begin(now, operation.request, operation.id);
        operation.keyHeld = true;
        if (options_.keepers.empty()) {
            operation.keyGranted = true;
            runGranted(now, operation);
            return;
        }
        operation.stage = OperationStage::Claiming;
        operations_.wakeAt(operation, now + ClaimRetry);
        sendKeyStep(now, operation, KeyStep::Claim);
        return;
    }
    if (record->statementHash != std::hash<std::string>()(operation.request.statement)) {
        fail(now, operation, { ErrorKind::KeyReused, "the key belongs to another statement", 0 });
    } else if (record->running != 0) {
        counters_.add("duplicates.waiting");
        record->waiting.push_back(operation.id);
        operation.stage = OperationStage::DuplicateWait;
    } else if (record->answer) {
        counters_.add("duplicates.answered");
        finish(now, operation.id, Expected<StatementResult>(*record->answer));
    } else {
        fail(now, operation, { ErrorKind::DuplicateUnknown, "the first request with this key may have run", 0 });
    }
}

void RelayCore::Impl::sendKeyStep(Instant now, const Operation &operation, KeyStep step)
{
    const KeyClaim message { step, operation.id, operation.request.group, operation.request.key };
    const WorkId id = operation.id;
    for (const VmId &vm : options_.keepers) {
        if (vm != options_.vm) {
            actions_.emplace_back(SendToPeer { vm, message });
        }
    }
    // Asked last, since its answer may finish the operation.
    KeyKeeper *own = keeper(now);
    if (own == nullptr) {
        return;
    }
    if (const std::optional<KeyVerdict> verdict = own->onClaim(now, options_.vm, message);
        verdict && verdict->claimId == id) {
        claimAnswered(now, options_.vm, *verdict);
    }
}

void RelayCore::Impl::claimAsked(Instant now, const VmId &from, const KeyClaim &claim)
{
    if (KeyKeeper *own = keeper(now); own != nullptr) {
        if (const std::optional<KeyVerdict> verdict = own->onClaim(now, from, claim); verdict) {
            actions_.emplace_back(SendToPeer { from, *verdict });
        }
    }
}

void RelayCore::Impl::claimAnswered(Instant now, const VmId &from, const KeyVerdict &verdict)
{
    Operation *operation = operations_.find(verdict.claimId);
    const bool isKeeper = std::find(options_.keepers.begin(), options_.keepers.end(), from) != options_.keepers.end();
    if (operation == nullptr || operation->stage != OperationStage::Claiming || !isKeeper) {
        return;
    }
    const std::size_t majority = options_.keepers.size() / 2 + 1;
    switch (verdict.state) {
    case KeyState::Granted:
        operation->claim.granted.insert(from);
        if (operation->claim.granted.size() >= majority) {
            operation->keyGranted = true;
            operation->stage = OperationStage::Routing;
            runGranted(now, *operation);
        }
        return;
    case KeyState::Taken:
        fail(now, *operation, { ErrorKind::DuplicateUnknown, "another request with this key may have run", 0 });
        return;
    case KeyState::Completed:
        fail(now, *operation, { ErrorKind::DuplicateRan, "the first request with this key has run", 0 });
        return;
    case KeyState::Forgotten:
    case KeyState::Full:
        operation->claim.forgotten.insert(from);
        if (operation->claim.forgotten.size() > options_.keepers.size() - majority) {
            fail(now, *operation,
                { ErrorKind::KeyMemoryLost, "the keys of earlier requests are not known", verdict.retryAfterMs });
        }
        return;
    }
}

void RelayCore::Impl::endKey(Instant now, const Operation &operation, const Expected<StatementResult> &answer)
{
    const StatementRequest &request = operation.request;
    std::vector<WorkId> waiting;
    if (!operation.keyGranted) {
        // Nothing was sent under this claim. What the keepers know decides when the key comes again.
        waiting = keys_.forget(request);
        sendKeyStep(now, operation, KeyStep::Release);
    } else {
        waiting = keys_.end(request, answer);
        if (didNotRun(answer)) {
            sendKeyStep(now, operation, KeyStep::Release);
        } else if (const KeyMemory::Record *record = keys_.find(request); record != nullptr && record->answer) {
            sendKeyStep(now, operation, KeyStep::Complete);
        }
    }
    const bool uncertain = !answer && answer.error().kind == ErrorKind::OutcomeUnknown;
    for (const WorkId id : waiting) {
        Operation *duplicate = operations_.find(id);
        if (duplicate == nullptr || duplicate->stage != OperationStage::DuplicateWait) {
            continue;
        }
        if (uncertain) {
            finish(now, id,
                tl::unexpected(
                    Error { ErrorKind::DuplicateUnknown, "the first request with this key may have run", 0 }));
        } else {
            counters_.add("duplicates.answered");
            finish(now, id, Expected<StatementResult>(answer));
        }
    }
}

KeyKeeper *RelayCore::Impl::keeper(Instant now)
{
    if (!keeper_) {
        if (std::find(options_.keepers.begin(), options_.keepers.end(), options_.vm) == options_.keepers.end()) {
            return nullptr;
        }
        keeper_.emplace(now, options_.keepers.size() - 1, options_.firstStart);
    }
    return &*keeper_;
}

void RelayCore::Impl::copyKeys(Instant now)
{
    KeyKeeper *own = keeper(now);
    if (own == nullptr || own->isComplete() || now < copyAt_) {
        return;
    }
    copyAt_ = now + CopyRetry;
    own->expire(now);
    const KeyCopyRequest request { nextWork_++, 0 };
    for (const VmId &vm : options_.keepers) {
        if (vm != options_.vm) {
            actions_.emplace_back(SendToPeer { vm, request });
        }
    }
}

void RelayCore::Impl::copyAsked(Instant now, const VmId &from, const KeyCopyRequest &request)
{
    if (const KeyKeeper *own = keeper(now); own != nullptr) {
        actions_.emplace_back(SendToPeer { from, own->onCopyRequest(request) });
    }
}

void RelayCore::Impl::copyArrived(Instant now, const VmId &from, const KeyCopy &copy)
{
    KeyKeeper *own = keeper(now);
    const bool isKeeper = std::find(options_.keepers.begin(), options_.keepers.end(), from) != options_.keepers.end();
    if (own == nullptr || !isKeeper) {
        return;
    }
    if (const std::optional<KeyCopyRequest> next = own->onCopy(now, from, copy); next) {
        actions_.emplace_back(SendToPeer { from, *next });
    }
}

} // namespace daisyrelay
