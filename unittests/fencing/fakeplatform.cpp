#include "fakeplatform.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

FakePlatform::FakePlatform(bool fences, Scheduler schedule, std::uint64_t seed)
    : fences_(fences), schedule_(std::move(schedule)), random_(seed)
{
    for (const char *name : { "b0", "b1", "b2" }) {
        databases[name] = {};
    }
    databases["b0"].isPrimary = true;
}

LogPoint FakePlatform::endOf(const Database &database) const
{
    return database.log.empty() ? LogPoint { 1, 0 } : commits[database.log.back()].point;
}

void FakePlatform::tick(Instant now)
{
    const Database &primary = databases[primary_];
    for (auto &[name, database] : databases) {
        const bool reachesPrimary = primary.isUp && database.isUp && !cuts.contains({ name, primary_ });
        if (name == primary_ || !reachesPrimary) {
            database.reachesNewPrimarySince.reset();
            continue;
        }
        if (!database.isPrimary) {
            database.log = primary.log;
            database.term = primary.term;
            continue;
        }
        constexpr Duration NoticeTime = 1s;
        database.reachesNewPrimarySince = database.reachesNewPrimarySince.value_or(now);
        if (now - *database.reachesNewPrimarySince >= NoticeTime) {
            database.isPrimary = false;
        }
    }
}

PromotionOutcome FakePlatform::promote(Instant now, const PromoteThroughPlatform &call, bool isAnsweredLate)
{
    if (call.fencingToken < highestToken) {
        violation = "token below an earlier one";
    }
    highestToken = std::max(highestToken, call.fencingToken);
    const std::string candidate = call.backend.value;
    const auto token = call.fencingToken;
    if (isAnsweredLate) {
        const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 5000)(random_));
        const Instant effectAt = now + delay;
        schedule_(delay, [this, candidate, token, effectAt]() { takeEffect(effectAt, candidate, token); });
        return PromotionOutcome::Unknown;
    }
    if (!databases[candidate].isUp) {
        return PromotionOutcome::Rejected;
    }
    constexpr Duration EffectDelay = 300ms;
    const Instant effectAt = now + EffectDelay;
    schedule_(EffectDelay, [this, candidate, token, effectAt]() { takeEffect(effectAt, candidate, token); });
    return PromotionOutcome::Accepted;
}

void FakePlatform::takeEffect(Instant /*now*/, const std::string &candidate, std::uint64_t token)
{
    Database &database = databases[candidate];
    if (!database.isUp || candidate == primary_ || (fences_ && token < highestToken)) {
        return;
    }
    ++promotionCount;
    ++term_;
    for (std::uint64_t index = 0; index < commits.size(); ++index) {
        const bool isKept = std::find(database.log.begin(), database.log.end(), index) != database.log.end();
        commits[index].isLost = commits[index].isLost || !isKept;
    }
    if (fences_) {
        databases[primary_].isPrimary = false;
    }
    database.isPrimary = true;
    database.term = term_;
    primary_ = candidate;
}

std::uint64_t FakePlatform::commit(Instant now, const std::string &name)
{
    Database &database = databases[name];
    Commit commit;
    commit.point = { database.term, endOf(database).position + 1 };
    commit.at = now;
    commit.isAtFormerPrimary = database.term < term_;
    commit.isLost = commit.isAtFormerPrimary;
    commits.push_back(commit);
    database.log.push_back(commits.size() - 1);
    return commits.size() - 1;
}

} // namespace daisyrelay
