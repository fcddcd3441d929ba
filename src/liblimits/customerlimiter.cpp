#include "customerlimiter.h"

#include <algorithm>
#include <cmath>

namespace Chestnutcove {

namespace {

/** No tokens are requested from a holder for this time after it reported less than one token. */
constexpr Milliseconds EmptyHolderRetryDelay{20};
constexpr double DemandTimeConstantSeconds = 1.0;
/** A lot is returned to its holder when less than this fraction of its lifetime remains. */
constexpr double ReturnLifetimeFraction = 0.3;
constexpr double RoundingTolerance = 1e-6;

}

CustomerLimiter::CustomerLimiter(LimiterOptions options, double rate, double burst)
    : options_(options)
    , rate_(rate)
    , burst_(burst)
    , share_(options.grantLifetime)
{
}

void CustomerLimiter::setLimits(double rate, double burst, TimePoint now)
{
    rate_ = rate;
    burst_ = burst;
    applyLimits(now);
}

void CustomerLimiter::setShares(ShareAssignment shares, TimePoint now)
{
    if (shares.others != shares_.others) {
        holderStates_.assign(shares.others.size(), HolderState{});
        pendingRequest_.reset();
    }
    shares_ = std::move(shares);
    applyLimits(now);
}

void CustomerLimiter::applyLimits(TimePoint now)
{
    share_.setLimits(rate_ * shares_.ownFraction, burst_ * shares_.ownFraction, now);
}

void CustomerLimiter::setSuspended(bool suspended, TimePoint now)
{
    suspended_ = suspended;
    share_.setSuspended(suspended, now);
}

void CustomerLimiter::requestAdmission(const AdmissionRequest &request, TimePoint now)
{
    recordDemand(request.promptTokens + request.expectedOutputTokens, now);
    const auto position = std::find_if(waitingRequests_.begin(), waitingRequests_.end(), [&request](const WaitingRequest &other) {
        return other.request.serviceClass > request.serviceClass;
    });
    waitingRequests_.insert(position, WaitingRequest{request, now});
}

void CustomerLimiter::withdrawRequest(std::uint64_t id)
{
    waitingRequests_.remove_if([id](const WaitingRequest &waiting) { return waiting.request.id == id; });
}

void CustomerLimiter::onTokensDelivered(std::uint64_t id, double tokens, TimePoint now)
{
    const auto it = answers_.find(id);
    if (it == answers_.end()) {
        return;
    }
    Answer &answer = it->second;
    answer.delivered += tokens;
    double remaining = tokens;
    while (remaining > 0 && !answer.lots.empty()) {
        const double part = std::min(remaining, answer.lots.front().amount);
        answer.lots.front().amount -= part;
        remaining -= part;
        if (answer.lots.front().amount <= 0) {
            answer.lots.erase(answer.lots.begin());
        }
    }
    const double fromShare = std::min(remaining, answer.reserved);
    answer.reserved -= fromShare;
    share_.spendReserved(fromShare, now);
    const bool needsDraw = answer.drawn - answer.delivered < options_.drawSize / 2;
    if (needsDraw && std::find(answersAwaitingTokens_.begin(), answersAwaitingTokens_.end(), id) == answersAwaitingTokens_.end()) {
        answersAwaitingTokens_.push_back(id);
    }
}

void CustomerLimiter::onRequestFinished(std::uint64_t id, TimePoint now)
{
    const auto it = answers_.find(id);
    if (it == answers_.end()) {
        return;
    }
    Answer &answer = it->second;
    share_.releaseReserved(answer.reserved, now);
    for (TokenLot &lot : answer.lots) {
        receivedGrants_.add(std::move(lot), now);
    }
    debt_ += std::max(0.0, answer.delivered - answer.drawn);
    expectedOutput_ = std::max(0.0, expectedOutput_ - answer.expected);
    answers_.erase(it);
    std::erase(answersAwaitingTokens_, id);
    if (answers_.empty()) {
        expectedOutput_ = 0;
    }
}

void CustomerLimiter::onGrant(std::uint64_t number, double amount, double holderLevel, TimePoint now)
{
    if (!pendingRequest_ || pendingRequest_->number != number) {
        return;
    }
    const PendingRequest pending = *pendingRequest_;
    pendingRequest_.reset();
    holderStates_[pending.holder] = HolderState{holderLevel, now};
    receivedGrants_.add(TokenLot{amount, pending.sentAt + options_.grantLifetime, shares_.others[pending.holder], number}, now);
}

double CustomerLimiter::grantTokens(const GrantId &id, double amount, TimePoint now)
{
    // Tokens that this gateway's own requests and answers wait for are kept, up to half of the level, so that frequent requests of other
    // gateways don't starve them.
    double neededHere = debt_ + static_cast<double>(answersAwaitingTokens_.size()) * options_.drawSize;
    for (const WaitingRequest &waiting : waitingRequests_) {
        neededHere += waiting.request.promptTokens;
    }
    const double free = share_.level(now) - std::min(neededHere, share_.level(now) / 2);
    return share_.grant(id, std::max(0.0, std::min(amount, free)), now);
}

void CustomerLimiter::onGrantReturned(const GrantId &id, double amount, TimePoint now)
{
    share_.returnGrant(id, amount, now);
}

LimiterActions CustomerLimiter::poll(TimePoint now)
{
    LimiterActions actions;
    if (debt_ > 0) {
        debt_ -= spendTokens(debt_, now);
    }
    drawForWaitingAnswers(now, actions);
    admitWaitingRequests(now, actions);
    rejectLateRequests(now, actions);
    requestTokens(now, actions);
    const auto margin = std::chrono::duration_cast<Duration>(options_.grantLifetime * ReturnLifetimeFraction);
    actions.returns = receivedGrants_.takeExpiring(now + margin, now);
    return actions;
}

void CustomerLimiter::drawForWaitingAnswers(TimePoint now, LimiterActions &actions)
{
    std::erase_if(answersAwaitingTokens_, [&](std::uint64_t id) {
        Answer &answer = answers_.at(id);
        const double wanted = options_.drawSize - (answer.drawn - answer.delivered);
        const double drawn = drawTokens(answer, std::ceil(wanted), now);
        if (drawn > 0) {
            actions.allowances.push_back({id, answer.drawn});
        }
        return drawn + RoundingTolerance >= wanted;
    });
}

void CustomerLimiter::admitWaitingRequests(TimePoint now, LimiterActions &actions)
{
    while (!waitingRequests_.empty()) {
        const AdmissionRequest &request = waitingRequests_.front().request;
        if (request.promptTokens > burst_) {
            actions.admissions.push_back({request.id, AdmissionVerdict::ExceedsBurst, Duration::zero()});
            waitingRequests_.pop_front();
            continue;
        }
        const double needed = request.promptTokens + answerReserve(expectedOutput_ + request.expectedOutputTokens, answers_.size() + 1);
        if (availableTokens(now) + RoundingTolerance < std::min(needed, burst_)) {
            return;
        }
        admitRequest(request, now);
        actions.admissions.push_back({request.id, AdmissionVerdict::Admitted, Duration::zero()});
        if (request.expectedOutputTokens > 0) {
            actions.allowances.push_back({request.id, answers_.at(request.id).drawn});
        }
        waitingRequests_.pop_front();
    }
}

void CustomerLimiter::admitRequest(const AdmissionRequest &request, TimePoint now)
{
    debt_ += request.promptTokens - spendTokens(request.promptTokens, now);
    Answer answer;
    answer.expected = request.expectedOutputTokens;
    expectedOutput_ += answer.expected;
    if (answer.expected > 0) {
        const double first = std::min(options_.drawSize, std::ceil(answer.expected));
        if (drawTokens(answer, first, now) < options_.drawSize / 2) {
            answersAwaitingTokens_.push_back(request.id);
        }
    }
    answers_.emplace(request.id, std::move(answer));
}

double CustomerLimiter::spendTokens(double amount, TimePoint now)
{
    double spent = 0;
    for (const TokenLot &lot : receivedGrants_.take(amount, now)) {
        spent += lot.amount;
    }
    return spent + share_.take(amount - spent, now);
}

double CustomerLimiter::drawTokens(Answer &answer, double amount, TimePoint now)
{
    double drawn = 0;
    // Only whole tokens are drawn, because an allowance of a fraction lets no token through.
    const double whole = std::floor(std::min(amount, availableTokens(now)) + RoundingTolerance);
    if (whole < 1) {
        return 0;
    }
    for (TokenLot &lot : receivedGrants_.take(whole, now)) {
        drawn += lot.amount;
        answer.lots.push_back(std::move(lot));
    }
    const double reserved = share_.reserve(whole - drawn, now);
    answer.reserved += reserved;
    drawn += reserved;
    answer.drawn += drawn;
    const double before = answer.expected;
    answer.expected = std::max(0.0, answer.expected - drawn);
    expectedOutput_ = std::max(0.0, expectedOutput_ - (before - answer.expected));
    return drawn;
}

double CustomerLimiter::answerReserve(double expectedTokens, std::size_t answers) const
{
    const double drawRate = options_.drawRate * static_cast<double>(answers);
    const std::size_t holders = shares_.others.size() + (shares_.ownFraction > 0 ? 1 : 0);
    const double ownRate = rate_ / static_cast<double>(std::max<std::size_t>(holders, 1));
    if (drawRate <= ownRate) {
        return 0;
    }
    return expectedTokens * (1 - ownRate / drawRate);
}

void CustomerLimiter::rejectLateRequests(TimePoint now, LimiterActions &actions)
{
    const double supply = availableTokens(now) + tokensAtOtherHolders();
    double prompts = debt_;
    double expected = expectedOutput_;
    std::size_t answers = answers_.size();
    for (auto it = waitingRequests_.begin(); it != waitingRequests_.end();) {
        const AdmissionRequest &request = it->request;
        const double needed = prompts + request.promptTokens + answerReserve(expected + request.expectedOutputTokens, answers + 1);
        const double seconds = rate_ > 0 ? std::max(0.0, needed - supply) / rate_ : toSeconds(std::chrono::hours(1));
        const bool late = now + fromSeconds(seconds) > request.deadline && haveHoldersReportedSince(it->arrivedAt);
        if (!late && now < request.deadline) {
            prompts += request.promptTokens;
            expected += request.expectedOutputTokens;
            ++answers;
            ++it;
            continue;
        }
        const bool noKnownSupply = (shares_.ownFraction <= 0 || suspended_) && tokensAtOtherHolders() <= 0;
        const auto verdict = noKnownSupply && !late ? AdmissionVerdict::Unavailable : AdmissionVerdict::RateLimited;
        actions.admissions.push_back({request.id, verdict, std::max(fromSeconds(seconds), Duration(Milliseconds(1)))});
        it = waitingRequests_.erase(it);
    }
}

void CustomerLimiter::requestTokens(TimePoint now, LimiterActions &actions)
{
    if (pendingRequest_ && now - pendingRequest_->sentAt > options_.tokenRequestTimeout) {
        holderStates_[pendingRequest_->holder] = HolderState{0, now};
        pendingRequest_.reset();
    }
    if (pendingRequest_ || shares_.others.empty()) {
        return;
    }
    double wanted = debt_ + static_cast<double>(answersAwaitingTokens_.size()) * options_.drawSize;
    double expected = expectedOutput_;
    for (const WaitingRequest &waiting : waitingRequests_) {
        wanted += waiting.request.promptTokens;
        expected += waiting.request.expectedOutputTokens;
    }
    if (!waitingRequests_.empty()) {
        wanted += answerReserve(expected, answers_.size() + waitingRequests_.size());
    }
    const double target = std::min(std::max(wanted, prefetchTarget(now)), burst_);
    const double missing = target - availableTokens(now);
    if (missing < 1) {
        return;
    }
    const auto holder = chooseHolder(now);
    if (!holder) {
        return;
    }
    pendingRequest_ = PendingRequest{++lastRequestNumber_, *holder, now};
    actions.tokenRequests.push_back({shares_.others[*holder], lastRequestNumber_, std::ceil(missing)});
}

std::optional<std::size_t> CustomerLimiter::chooseHolder(TimePoint now) const
{
    for (std::size_t i = 0; i < holderStates_.size(); ++i) {
        const bool wasRecentlyEmpty = holderStates_[i].level < 1 && now - holderStates_[i].reportedAt < EmptyHolderRetryDelay;
        if (!wasRecentlyEmpty) {
            return i;
        }
    }
    return std::nullopt;
}

bool CustomerLimiter::haveHoldersReportedSince(TimePoint since) const
{
    return std::all_of(holderStates_.begin(), holderStates_.end(), [since](const HolderState &state) { return state.reportedAt >= since; });
}

double CustomerLimiter::tokensAtOtherHolders() const
{
    double sum = 0;
    for (const HolderState &state : holderStates_) {
        sum += state.level;
    }
    return sum;
}

void CustomerLimiter::recordDemand(double tokens, TimePoint now)
{
    const double seconds = demandAt_ == TimePoint{} ? DemandTimeConstantSeconds : toSeconds(now - demandAt_);
    demand_ = demand_ * std::exp(-seconds / DemandTimeConstantSeconds) + tokens / DemandTimeConstantSeconds;
    demandAt_ = now;
}

double CustomerLimiter::prefetchTarget(TimePoint now) const
{
    // Only the demand that exceeds the accrual of this gateway's own share is worth prefetching.
    const double seconds = toSeconds(now - demandAt_);
    const double current = demand_ * std::exp(-seconds / DemandTimeConstantSeconds);
    const double beyondShare = std::max(0.0, current - rate_ * shares_.ownFraction);
    return beyondShare * toSeconds(options_.prefetchTime);
}

bool CustomerLimiter::isBusy() const
{
    return !waitingRequests_.empty() || !answersAwaitingTokens_.empty() || pendingRequest_.has_value() || debt_ > 0;
}

double CustomerLimiter::availableTokens(TimePoint now)
{
    return share_.level(now) + receivedGrants_.balance(now);
}

double CustomerLimiter::shareLevel(TimePoint now)
{
    return share_.level(now);
}

}
