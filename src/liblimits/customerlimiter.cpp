#include "customerlimiter.h"

#include <algorithm>
#include <cmath>

namespace Chestnutcove {

namespace {

/** A holder that had nothing is not asked again before this time. */
constexpr Milliseconds EmptyHolderPause{20};
constexpr double DemandTimeConstant = 1.0;
/** Lots with less than this part of their life left go back to their holder. */
constexpr double ReturnPart = 0.3;
constexpr double Rounding = 1e-6;

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
        news_.assign(shares.others.size(), HolderNews{});
        ask_.reset();
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

void CustomerLimiter::request(const AdmissionRequest &request, TimePoint now)
{
    noteDemand(request.promptTokens + request.expectedOutputTokens, now);
    const auto place = std::find_if(
        waiting_.begin(), waiting_.end(), [&request](const Waiting &other) { return other.request.serviceClass > request.serviceClass; });
    waiting_.insert(place, Waiting{request, now});
}

void CustomerLimiter::withdraw(std::uint64_t id)
{
    waiting_.remove_if([id](const Waiting &waiting) { return waiting.request.id == id; });
}

void CustomerLimiter::delivered(std::uint64_t id, double tokens, TimePoint now)
{
    const auto it = answers_.find(id);
    if (it == answers_.end()) {
        return;
    }
    Answer &answer = it->second;
    answer.delivered += tokens;
    double left = tokens;
    while (left > 0 && !answer.lots.empty()) {
        const double part = std::min(left, answer.lots.front().amount);
        answer.lots.front().amount -= part;
        left -= part;
        if (answer.lots.front().amount <= 0) {
            answer.lots.erase(answer.lots.begin());
        }
    }
    const double fromShare = std::min(left, answer.held);
    answer.held -= fromShare;
    share_.useHeld(fromShare, now);
    const bool low = answer.drawn - answer.delivered < options_.drawSize / 2;
    if (low && std::find(thirsty_.begin(), thirsty_.end(), id) == thirsty_.end()) {
        thirsty_.push_back(id);
    }
}

void CustomerLimiter::finished(std::uint64_t id, TimePoint now)
{
    const auto it = answers_.find(id);
    if (it == answers_.end()) {
        return;
    }
    Answer &answer = it->second;
    share_.releaseHeld(answer.held, now);
    for (TokenLot &lot : answer.lots) {
        wallet_.add(std::move(lot), now);
    }
    owed_ += std::max(0.0, answer.delivered - answer.drawn);
    expected_ = std::max(0.0, expected_ - answer.expected);
    answers_.erase(it);
    std::erase(thirsty_, id);
    if (answers_.empty()) {
        expected_ = 0;
    }
}

void CustomerLimiter::onGrant(std::uint64_t number, double amount, double holderLevel, TimePoint now)
{
    if (!ask_ || ask_->number != number) {
        return;
    }
    const Ask ask = *ask_;
    ask_.reset();
    news_[ask.holder] = HolderNews{holderLevel, now};
    wallet_.add(TokenLot{amount, ask.sentAt + options_.grantLifetime, shares_.others[ask.holder], number}, now);
}

double CustomerLimiter::grantTo(const GrantId &id, double amount, TimePoint now)
{
    // What is waited for here is kept, so that gateways that ask often don't starve this one.
    double kept = owed_ + static_cast<double>(thirsty_.size()) * options_.drawSize;
    for (const Waiting &waiting : waiting_) {
        kept += waiting.request.promptTokens;
    }
    const double free = share_.level(now) - std::min(kept, share_.level(now) / 2);
    return share_.grant(id, std::max(0.0, std::min(amount, free)), now);
}

void CustomerLimiter::takeBack(const GrantId &id, double amount, TimePoint now)
{
    share_.giveBack(id, amount, now);
}

LimiterActions CustomerLimiter::poll(TimePoint now)
{
    LimiterActions actions;
    if (owed_ > 0) {
        owed_ -= spend(owed_, now);
    }
    serveAnswers(now, actions);
    serveWaiting(now, actions);
    refuseHopeless(now, actions);
    askForTokens(now, actions);
    const auto margin = std::chrono::duration_cast<Duration>(options_.grantLifetime * ReturnPart);
    actions.returns = wallet_.takeExpiring(now + margin, now);
    return actions;
}

void CustomerLimiter::serveAnswers(TimePoint now, LimiterActions &actions)
{
    std::erase_if(thirsty_, [&](std::uint64_t id) {
        Answer &answer = answers_.at(id);
        const double wanted = options_.drawSize - (answer.drawn - answer.delivered);
        const double drawn = draw(answer, std::ceil(wanted), now);
        if (drawn > 0) {
            actions.draws.push_back({id, answer.drawn});
        }
        return drawn + Rounding >= wanted;
    });
}

void CustomerLimiter::serveWaiting(TimePoint now, LimiterActions &actions)
{
    while (!waiting_.empty()) {
        const AdmissionRequest &request = waiting_.front().request;
        if (request.promptTokens > burst_) {
            actions.admissions.push_back({request.id, AdmissionVerdict::ExceedsBurst, Duration::zero()});
            waiting_.pop_front();
            continue;
        }
        const double needed = request.promptTokens + reserve(expected_ + request.expectedOutputTokens, answers_.size() + 1);
        if (available(now) + Rounding < std::min(needed, burst_)) {
            return;
        }
        admit(request, now);
        actions.admissions.push_back({request.id, AdmissionVerdict::Admitted, Duration::zero()});
        if (request.expectedOutputTokens > 0) {
            actions.draws.push_back({request.id, answers_.at(request.id).drawn});
        }
        waiting_.pop_front();
    }
}

void CustomerLimiter::admit(const AdmissionRequest &request, TimePoint now)
{
    owed_ += request.promptTokens - spend(request.promptTokens, now);
    Answer answer;
    answer.expected = request.expectedOutputTokens;
    expected_ += answer.expected;
    if (answer.expected > 0) {
        const double first = std::min(options_.drawSize, std::ceil(answer.expected));
        if (draw(answer, first, now) < options_.drawSize / 2) {
            thirsty_.push_back(request.id);
        }
    }
    answers_.emplace(request.id, std::move(answer));
}

double CustomerLimiter::spend(double amount, TimePoint now)
{
    double spent = 0;
    for (const TokenLot &lot : wallet_.take(amount, now)) {
        spent += lot.amount;
    }
    return spent + share_.take(amount - spent, now);
}

double CustomerLimiter::draw(Answer &answer, double amount, TimePoint now)
{
    double drawn = 0;
    // Whole tokens only: an allowance of half a token would let nothing through.
    const double whole = std::floor(std::min(amount, available(now)) + Rounding);
    if (whole < 1) {
        return 0;
    }
    for (TokenLot &lot : wallet_.take(whole, now)) {
        drawn += lot.amount;
        answer.lots.push_back(std::move(lot));
    }
    const double held = share_.hold(whole - drawn, now);
    answer.held += held;
    drawn += held;
    answer.drawn += drawn;
    const double before = answer.expected;
    answer.expected = std::max(0.0, answer.expected - drawn);
    expected_ = std::max(0.0, expected_ - (before - answer.expected));
    return drawn;
}

double CustomerLimiter::reserve(double expectedTokens, std::size_t answers) const
{
    const double drawRate = options_.drawRate * static_cast<double>(answers);
    const std::size_t holders = shares_.others.size() + (shares_.ownFraction > 0 ? 1 : 0);
    const double ownRate = rate_ / static_cast<double>(std::max<std::size_t>(holders, 1));
    if (drawRate <= ownRate) {
        return 0;
    }
    return expectedTokens * (1 - ownRate / drawRate);
}

void CustomerLimiter::refuseHopeless(TimePoint now, LimiterActions &actions)
{
    const double supply = available(now) + levelsElsewhere();
    double prompts = owed_;
    double expected = expected_;
    std::size_t answers = answers_.size();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const AdmissionRequest &request = it->request;
        const double needed = prompts + request.promptTokens + reserve(expected + request.expectedOutputTokens, answers + 1);
        const double seconds = rate_ > 0 ? std::max(0.0, needed - supply) / rate_ : toSeconds(std::chrono::hours(1));
        const bool late = now + fromSeconds(seconds) > request.deadline && knowsOthers(it->since);
        if (!late && now < request.deadline) {
            prompts += request.promptTokens;
            expected += request.expectedOutputTokens;
            ++answers;
            ++it;
            continue;
        }
        const bool nobody = (shares_.ownFraction <= 0 || suspended_) && levelsElsewhere() <= 0;
        const auto verdict = nobody && !late ? AdmissionVerdict::Unavailable : AdmissionVerdict::RateLimited;
        actions.admissions.push_back({request.id, verdict, std::max(fromSeconds(seconds), Duration(Milliseconds(1)))});
        it = waiting_.erase(it);
    }
}

void CustomerLimiter::askForTokens(TimePoint now, LimiterActions &actions)
{
    if (ask_ && now - ask_->sentAt > options_.askTimeout) {
        news_[ask_->holder] = HolderNews{0, now};
        ask_.reset();
    }
    if (ask_ || shares_.others.empty()) {
        return;
    }
    double wanted = owed_ + static_cast<double>(thirsty_.size()) * options_.drawSize;
    double expected = expected_;
    for (const Waiting &waiting : waiting_) {
        wanted += waiting.request.promptTokens;
        expected += waiting.request.expectedOutputTokens;
    }
    if (!waiting_.empty()) {
        wanted += reserve(expected, answers_.size() + waiting_.size());
    }
    const double target = std::min(std::max(wanted, prefetchTarget(now)), burst_);
    const double missing = target - available(now);
    if (missing < 1) {
        return;
    }
    const auto holder = chooseHolder(now);
    if (!holder) {
        return;
    }
    ask_ = Ask{++lastAsk_, *holder, now};
    actions.asks.push_back({shares_.others[*holder], lastAsk_, std::ceil(missing)});
}

std::optional<std::size_t> CustomerLimiter::chooseHolder(TimePoint now) const
{
    for (std::size_t i = 0; i < news_.size(); ++i) {
        const bool emptyLately = news_[i].level < 1 && now - news_[i].heardAt < EmptyHolderPause;
        if (!emptyLately) {
            return i;
        }
    }
    return std::nullopt;
}

bool CustomerLimiter::knowsOthers(TimePoint since) const
{
    return std::all_of(news_.begin(), news_.end(), [since](const HolderNews &news) { return news.heardAt >= since; });
}

double CustomerLimiter::levelsElsewhere() const
{
    double sum = 0;
    for (const HolderNews &news : news_) {
        sum += news.level;
    }
    return sum;
}

void CustomerLimiter::noteDemand(double tokens, TimePoint now)
{
    const double seconds = demandAt_ == TimePoint{} ? DemandTimeConstant : toSeconds(now - demandAt_);
    demand_ = demand_ * std::exp(-seconds / DemandTimeConstant) + tokens / DemandTimeConstant;
    demandAt_ = now;
}

double CustomerLimiter::prefetchTarget(TimePoint now) const
{
    // Only what this gateway's own share doesn't bring in is worth fetching ahead.
    const double seconds = toSeconds(now - demandAt_);
    const double current = demand_ * std::exp(-seconds / DemandTimeConstant);
    const double beyondShare = std::max(0.0, current - rate_ * shares_.ownFraction);
    return beyondShare * toSeconds(options_.prefetch);
}

bool CustomerLimiter::isBusy() const
{
    return !waiting_.empty() || !thirsty_.empty() || ask_.has_value() || owed_ > 0;
}

double CustomerLimiter::available(TimePoint now)
{
    return share_.level(now) + wallet_.balance(now);
}

double CustomerLimiter::shareLevel(TimePoint now)
{
    return share_.level(now);
}

}
