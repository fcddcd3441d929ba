#include "crashevidence.h"

#include "rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Chestnutcove {

namespace {

/** More crashes of one part tell nothing new. Far more than block it, and than one gateway reports. */
constexpr std::size_t MaxCrashes = 64;

/** Calls @p action with each part that may be shared with other prompts. */
template<typename Action>
void forEachSharedPart(const std::vector<PromptPart> &parts, Action action)
{
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        action(parts[i]);
    }
}

}

CrashEvidenceOptions CrashEvidenceOptions::forWholeRequests()
{
    constexpr unsigned RoundsToProve = 3;
    constexpr std::size_t CrashesToBlock = 2;
    CrashEvidenceOptions options;
    options.crashesToBlock = CrashesToBlock;
    options.roundsToProve = RoundsToProve;
    options.blockTime = std::chrono::hours(24);
    options.keepsWhileRefused = true;
    return options;
}

AnsweredParts::AnsweredParts(std::size_t maxParts, Duration generation)
    : maxParts_(maxParts)
    , generation_(generation)
{
}

void AnsweredParts::insert(const std::string &key, TimePoint now)
{
    if (current_.size() >= maxParts_ / 2 || now - currentSince_ >= generation_) {
        previous_ = std::exchange(current_, {});
        currentSince_ = now;
    }
    current_.insert(rendezvousHash(key));
}

bool AnsweredParts::contains(const std::string &key) const
{
    const std::uint64_t hash = rendezvousHash(key);
    return current_.contains(hash) || previous_.contains(hash);
}

CrashEvidence::CrashEvidence(CrashEvidenceOptions options, std::function<bool(const std::string &key)> isTrialGateway)
    : options_(options)
    , isTrialGateway_(std::move(isTrialGateway))
    , answered_(options.maxAnsweredParts, options.answerGeneration)
{
}

std::string CrashEvidence::keyOf(const std::string &service, const PromptPart &part)
{
    return service + ' ' + part.id;
}

bool CrashEvidence::isSuspected(const std::string &service, const std::vector<PromptPart> &parts) const
{
    return !suspicions_.empty() && suspectCount(service, parts) > 0;
}

void CrashEvidence::onAnswered(const std::string &service, const std::vector<PromptPart> &parts, TimePoint now)
{
    bool wasSuspected = false;
    forEachSharedPart(parts, [&](const PromptPart &part) {
        const std::string key = keyOf(service, part);
        answered_.insert(key, now);
        if (const auto it = suspicions_.find(key); it != suspicions_.end()) {
            it->second.isAnswered = true;
            wasSuspected = true;
        }
    });
    if (wasSuspected) {
        updateClears();
    }
}

void CrashEvidence::onCrashed(
    const std::string &run, const std::string &service, const std::vector<PromptPart> &parts, TimePoint sentAt, TimePoint now)
{
    const std::size_t suspects = suspectCount(service, parts);
    forEachSharedPart(parts, [&](const PromptPart &part) {
        const std::string key = keyOf(service, part);
        if (answered_.contains(key)) {
            return;
        }
        Suspicion &suspicion = suspicionOf(key);
        const bool isOnlySuspect = suspects <= 1;
        const bool isNextRound = suspicion.round == 0 || (sentAt > suspicion.roundLearnedAt && isOnlySuspect);
        addCrash(suspicion, run, suspicion.round + (isNextRound ? 1 : 0), now, Duration::zero());
        suspicion.lastCrashAt = now;
        if (suspicion.crashes.contains(run)) {
            suspicion.ownRuns.insert(run);
        }
    });
    limitSuspicions();
}

CrashEvidence::Suspicion &CrashEvidence::suspicionOf(const std::string &key)
{
    const auto [it, isNew] = suspicions_.try_emplace(key);
    it->second.isAnswered = it->second.isAnswered || (isNew && answered_.contains(key));
    return it->second;
}

bool CrashEvidence::makeRoom(Suspicion &suspicion, const std::string &run, unsigned round)
{
    if (suspicion.crashes.size() < MaxCrashes || suspicion.crashes.contains(run)) {
        return true;
    }
    const auto rankOf = [](const auto &crash) { return std::tie(crash.second, crash.first); };
    const auto lowest = std::min_element(suspicion.crashes.begin(), suspicion.crashes.end(), [rankOf](const auto &left, const auto &right) {
        return rankOf(left) < rankOf(right);
    });
    if (std::tie(round, run) < rankOf(*lowest)) {
        return false;
    }
    suspicion.ownRuns.erase(lowest->first);
    suspicion.crashes.erase(lowest);
    return true;
}

void CrashEvidence::addCrash(Suspicion &suspicion, const std::string &run, unsigned round, TimePoint now, Duration age) const
{
    if (!makeRoom(suspicion, run, round)) {
        return;
    }
    const auto [it, isNew] = suspicion.crashes.try_emplace(run, round);
    if (isNew) {
        suspicion.lastCrashAt = now;
    }
    // Gateways that sent their requests later may know a higher round of the same crash.
    it->second = std::max(it->second, round);
    if (round > suspicion.round) {
        suspicion.round = round;
        suspicion.roundLearnedAt = now;
    }
    if (suspicion.crashes.size() >= options_.crashesToBlock && !suspicion.sufficientSince) {
        suspicion.sufficientSince = now - age;
    }
}

void CrashEvidence::onReport(const CrashReport &report, TimePoint now, Duration age)
{
    for (const auto &[key, crashes] : report.crashes) {
        Suspicion &suspicion = suspicionOf(key);
        for (const auto &[run, round] : crashes) {
            addCrash(suspicion, run, round, now, age);
        }
    }
    for (const std::string &key : report.cleared) {
        answered_.insert(key, now);
        if (const auto it = suspicions_.find(key); it != suspicions_.end()) {
            it->second.isAnswered = true;
            it->second.isClearedByOthers = true;
        }
    }
    limitSuspicions();
    updateClears();
}

void CrashEvidence::onOwnReport(const CrashReport &report, TimePoint now, Duration age)
{
    onReport(report, now, age);
    for (const auto &[key, crashes] : report.crashes) {
        Suspicion &suspicion = suspicionOf(key);
        for (const auto &[run, round] : crashes) {
            if (suspicion.crashes.contains(run)) {
                suspicion.ownRuns.insert(run);
            }
        }
    }
    for (const std::string &key : report.cleared) {
        Suspicion &suspicion = suspicionOf(key);
        suspicion.lastCrashAt = now;
        suspicion.isClearedHere = true;
    }
}

void CrashEvidence::updateClears()
{
    for (auto &[key, suspicion] : suspicions_) {
        // A single crash blocks no part, so nobody needs to know yet that the part is sound.
        const bool isWorthClearing = suspicion.isAnswered && !suspicion.isClearedByOthers && suspicion.crashes.size() > 1;
        suspicion.isClearedHere = suspicion.isClearedHere || isWorthClearing;
    }
}

bool CrashEvidence::isBlocked(const Suspicion &suspicion, TimePoint now) const
{
    return !suspicion.isAnswered && suspicion.sufficientSince && now - *suspicion.sufficientSince >= options_.blockDelay;
}

std::optional<Duration> CrashEvidence::blockedFor(const std::string &service, const std::vector<PromptPart> &parts, TimePoint now)
{
    std::optional<Duration> longest;
    if (suspicions_.empty()) {
        return longest;
    }
    const bool isOnlySuspect = suspectCount(service, parts) <= 1;
    forEachSharedPart(parts, [&](const PromptPart &part) {
        const std::string key = keyOf(service, part);
        const auto it = suspicions_.find(key);
        if (it == suspicions_.end() || !isBlocked(it->second, now)) {
            return;
        }
        Suspicion &suspicion = it->second;
        if (mayTry(key, suspicion, isOnlySuspect, now)) {
            suspicion.lastTrialAt = now;
            return;
        }
        suspicion.lastRefusedAt = now;
        longest = std::max(longest.value_or(options_.suspectTrialInterval), nextTrialAt(suspicion) - now);
    });
    return longest;
}

bool CrashEvidence::mayTry(const std::string &key, const Suspicion &suspicion, bool isOnlySuspect, TimePoint now) const
{
    // Parts that always come together can only be tried together.
    const bool isConclusive = isOnlySuspect || now >= suspicion.lastCrashAt + options_.blockTime;
    return isConclusive && now >= nextTrialAt(suspicion) && isTrialGateway_(key);
}

std::size_t CrashEvidence::suspectCount(const std::string &service, const std::vector<PromptPart> &parts) const
{
    std::size_t count = 0;
    forEachSharedPart(parts, [&](const PromptPart &part) {
        const auto it = suspicions_.find(keyOf(service, part));
        count += it != suspicions_.end() && !it->second.isAnswered ? 1 : 0;
    });
    return count;
}

TimePoint CrashEvidence::nextTrialAt(const Suspicion &suspicion) const
{
    if (suspicion.round < options_.roundsToProve) {
        return suspicion.lastTrialAt + options_.suspectTrialInterval;
    }
    return std::max(suspicion.lastCrashAt + options_.blockTime, suspicion.lastTrialAt + options_.guiltyTrialInterval);
}

std::vector<std::string> CrashEvidence::blockedParts(TimePoint now) const
{
    std::vector<std::string> keys;
    for (const auto &[key, suspicion] : suspicions_) {
        if (isBlocked(suspicion, now)) {
            keys.push_back(key);
        }
    }
    return keys;
}

void CrashEvidence::expire(TimePoint now)
{
    std::erase_if(suspicions_, [&](const auto &item) {
        const Suspicion &suspicion = item.second;
        const bool isRefused = options_.keepsWhileRefused && now - suspicion.lastRefusedAt < options_.lifetime;
        return now - suspicion.lastCrashAt >= options_.lifetime && !isRefused;
    });
}

void CrashEvidence::limitSuspicions()
{
    while (suspicions_.size() > options_.maxSuspectedParts) {
        // Most parts that are suspected once are sound; the oldest of them tell least.
        const auto weaker = [](const auto &left, const auto &right) {
            return std::pair(left.second.crashes.size(), left.second.lastCrashAt)
                < std::pair(right.second.crashes.size(), right.second.lastCrashAt);
        };
        suspicions_.erase(std::min_element(suspicions_.begin(), suspicions_.end(), weaker));
    }
}

CrashReport CrashEvidence::report() const
{
    std::vector<std::pair<std::string, const Suspicion *>> reported;
    for (const auto &[key, suspicion] : suspicions_) {
        const bool isSuspected = !suspicion.isAnswered && !suspicion.ownRuns.empty();
        if (suspicion.isClearedHere || isSuspected) {
            reported.emplace_back(key, &suspicion);
        }
    }
    const auto stronger = [](const auto &left, const auto &right) {
        return std::pair(left.second->crashes.size(), left.second->lastCrashAt)
            > std::pair(right.second->crashes.size(), right.second->lastCrashAt);
    };
    std::stable_sort(reported.begin(), reported.end(), stronger);
    reported.resize(std::min(reported.size(), options_.maxReportedParts));
    CrashReport result;
    for (const auto &[key, suspicion] : reported) {
        if (suspicion->isAnswered) {
            result.cleared.insert(key);
        } else {
            result.crashes[key] = reportedCrashes(*suspicion);
        }
    }
    return result;
}

CrashRounds CrashEvidence::reportedCrashes(const Suspicion &suspicion) const
{
    // The latest rounds decide, and more crashes than block a part add nothing.
    std::vector<std::pair<unsigned, std::string>> own;
    for (const std::string &run : suspicion.ownRuns) {
        own.emplace_back(suspicion.crashes.at(run), run);
    }
    std::sort(own.rbegin(), own.rend());
    own.resize(std::min(own.size(), options_.crashesToBlock));
    CrashRounds result;
    for (const auto &[round, run] : own) {
        result.emplace(run, round);
    }
    return result;
}

}
