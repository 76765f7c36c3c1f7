// Non-repeatable requests: a key runs at most once, whichever VM is the home when the request arrives.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration KeyClaimRetryInterval = std::chrono::milliseconds(100);
static constexpr Duration KeyCopyRetryInterval = std::chrono::milliseconds(200);

void RelayCore::Impl::claimKey(Instant now, Operation &operation)
{
    KeyResponseCache::Record *record = keyResponses_.find(operation.request);
    if (record == nullptr) {
        keyResponses_.recordStart(now, operation.request, operation.id);
        operation.isKeyRecorded = true;
        if (options_.keyStoreVms.empty()) {
            operation.isKeyGranted = true;
            startExecution(now, operation);
            return;
        }
        operation.stage = OperationStage::ClaimingKey;
        operations_.setTimer(operation, now + KeyClaimRetryInterval);
        sendKeyClaim(now, operation, KeyClaimAction::Claim);
        return;
    }
    if (record->statementHash != std::hash<std::string>()(operation.request.statement)) {
        fail(now, operation, { ErrorKind::KeyReused, "the idempotency key was used for a different statement", 0 });
    } else if (record->runningWork != 0) {
        counters_.add("duplicates.waiting");
        record->waitingDuplicates.push_back(operation.id);
        operation.stage = OperationStage::AwaitingDuplicate;
    } else if (record->response) {
        counters_.add("duplicates.answered");
        finish(now, operation.id, Expected<StatementResult>(*record->response));
    } else {
        fail(now, operation, { ErrorKind::DuplicateUnknown, "the first request with this key may have run", 0 });
    }
}

void RelayCore::Impl::sendKeyClaim(Instant now, const Operation &operation, KeyClaimAction action)
{
    const KeyClaim message { action, operation.id, operation.request.group, operation.request.key };
    const WorkId id = operation.id;
    for (const VmId &vm : options_.keyStoreVms) {
        if (vm != options_.vm) {
            actions_.emplace_back(SendToPeer { vm, message });
        }
    }
    // The local store is called last, since its response may finish the operation.
    KeyStore *store = keyStore(now);
    if (store == nullptr) {
        return;
    }
    if (const std::optional<KeyClaimResponse> response = store->onClaim(now, options_.vm, message);
        response && response->claimId == id) {
        handleKeyClaimResponse(now, options_.vm, *response);
    }
}

void RelayCore::Impl::handleKeyClaim(Instant now, const VmId &from, const KeyClaim &claim)
{
    if (KeyStore *store = keyStore(now); store != nullptr) {
        if (const std::optional<KeyClaimResponse> response = store->onClaim(now, from, claim); response) {
            actions_.emplace_back(SendToPeer { from, *response });
        }
    }
}

void RelayCore::Impl::handleKeyClaimResponse(Instant now, const VmId &from, const KeyClaimResponse &response)
{
    Operation *operation = operations_.find(response.claimId);
    const bool isKeyStoreVm
        = std::find(options_.keyStoreVms.begin(), options_.keyStoreVms.end(), from) != options_.keyStoreVms.end();
    if (operation == nullptr || operation->stage != OperationStage::ClaimingKey || !isKeyStoreVm) {
        return;
    }
    const std::size_t majority = options_.keyStoreVms.size() / 2 + 1;
    switch (response.status) {
    case KeyClaimStatus::Granted:
        operation->claim.grantedBy.insert(from);
        if (operation->claim.grantedBy.size() >= majority) {
            operation->isKeyGranted = true;
            operation->stage = OperationStage::Routing;
            startExecution(now, *operation);
        }
        return;
    case KeyClaimStatus::ClaimedElsewhere:
        fail(now, *operation, { ErrorKind::DuplicateUnknown, "another request with this key may have run", 0 });
        return;
    case KeyClaimStatus::Completed:
        fail(now, *operation, { ErrorKind::DuplicateRan, "the first request with this key has run", 0 });
        return;
    case KeyClaimStatus::Unknown:
    case KeyClaimStatus::StoreFull:
        operation->claim.unknownAt.insert(from);
        if (operation->claim.unknownAt.size() > options_.keyStoreVms.size() - majority) {
            fail(now, *operation,
                { ErrorKind::KeyMemoryLost, "too few key stores have complete records of earlier keys",
                    response.retryAfterMs });
        }
        return;
    }
}

void RelayCore::Impl::finishKey(Instant now, const Operation &operation, const Expected<StatementResult> &response)
{
    const StatementRequest &request = operation.request;
    std::vector<WorkId> duplicates;
    if (!operation.isKeyGranted) {
        // Nothing was sent under this claim, so a later request with this key claims it from the key stores again.
        duplicates = keyResponses_.erase(request);
        sendKeyClaim(now, operation, KeyClaimAction::Release);
    } else {
        duplicates = keyResponses_.recordResponse(request, response);
        if (guaranteesNotRun(response)) {
            sendKeyClaim(now, operation, KeyClaimAction::Release);
        } else if (const KeyResponseCache::Record *record = keyResponses_.find(request);
                   record != nullptr && record->response) {
            sendKeyClaim(now, operation, KeyClaimAction::Complete);
        }
    }
    const bool isOutcomeUnknown = !response && response.error().kind == ErrorKind::OutcomeUnknown;
    for (const WorkId id : duplicates) {
        Operation *duplicate = operations_.find(id);
        if (duplicate == nullptr || duplicate->stage != OperationStage::AwaitingDuplicate) {
            continue;
        }
        if (isOutcomeUnknown) {
            finish(now, id,
                tl::unexpected(
                    Error { ErrorKind::DuplicateUnknown, "the first request with this key may have run", 0 }));
        } else {
            counters_.add("duplicates.answered");
            finish(now, id, Expected<StatementResult>(response));
        }
    }
}

KeyStore *RelayCore::Impl::keyStore(Instant now)
{
    if (!keyStore_) {
        if (std::find(options_.keyStoreVms.begin(), options_.keyStoreVms.end(), options_.vm)
            == options_.keyStoreVms.end()) {
            return nullptr;
        }
        keyStore_.emplace(now, options_.keyStoreVms.size() - 1, options_.isFirstStart);
    }
    return &*keyStore_;
}

void RelayCore::Impl::requestKeyCopies(Instant now)
{
    KeyStore *store = keyStore(now);
    if (store == nullptr || store->hasAllKeys() || now < nextKeyCopyAt_) {
        return;
    }
    nextKeyCopyAt_ = now + KeyCopyRetryInterval;
    store->expire(now);
    const KeyCopyRequest request { nextWorkId_++, 0 };
    for (const VmId &vm : options_.keyStoreVms) {
        if (vm != options_.vm) {
            actions_.emplace_back(SendToPeer { vm, request });
        }
    }
}

void RelayCore::Impl::handleKeyCopyRequest(Instant now, const VmId &from, const KeyCopyRequest &request)
{
    if (const KeyStore *store = keyStore(now); store != nullptr) {
        actions_.emplace_back(SendToPeer { from, store->onCopyRequest(request) });
    }
}

void RelayCore::Impl::handleKeyCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk)
{
    KeyStore *store = keyStore(now);
    const bool isKeyStoreVm
        = std::find(options_.keyStoreVms.begin(), options_.keyStoreVms.end(), from) != options_.keyStoreVms.end();
    if (store == nullptr || !isKeyStoreVm) {
        return;
    }
    if (const std::optional<KeyCopyRequest> next = store->onCopyChunk(now, from, chunk); next) {
        actions_.emplace_back(SendToPeer { from, *next });
    }
}

} // namespace daisyrelay
