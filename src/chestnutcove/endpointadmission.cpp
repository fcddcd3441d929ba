#include "endpointadmission.h"

#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

std::string limitText(const std::optional<double> &perSecond)
{
    return perSecond ? absl::StrFormat("%.3f", *perSecond) : "none";
}

}

EndpointAdmission::EndpointAdmission(asio::io_context &context,
                                     std::string vm,
                                     std::uint64_t incarnation,
                                     QuotaLinks &links,
                                     ClockReader storeClock,
                                     Metrics &metrics,
                                     const Log &log)
    : storeClock_(std::move(storeClock))
    , log_(log)
    , limits_(context,
              std::move(vm),
              incarnation,
              {wire::ENDPOINT, EndpointLimits::shareOptions(), EndpointLimits::collectorOptions(), false, "endpoint_limit"},
              links,
              {[this](const std::string &run) { return known_.find(run); },
               [this](wire::TokenRequest &request) { describe(request); },
               [this](wire::TokenGrant &grant) { describe(grant); },
               [this](const wire::TokenRequest &request) { learn(request, request.gateway()); },
               [this](const wire::TokenGrant &grant) { learn(grant, "a holder of the limit"); }},
              metrics,
              log)
{
    metrics.gauge("limited_endpoints", [this] { return static_cast<double>(known_.limitedRuns()); });
}

LimitAdmission &EndpointAdmission::limits()
{
    return limits_;
}

template<typename Message>
void EndpointAdmission::describe(Message &message) const
{
    const auto newest = known_.newestOf(message.customer());
    const auto seenAt = newest ? storeClock_().remoteTime(newest->seenAt) : std::nullopt;
    if (!seenAt) {
        return;
    }
    auto *limit = message.mutable_endpoint_limit();
    limit->set_seen_at_ms(seenAt->count());
    if (newest->perSecond) {
        limit->set_per_second(*newest->perSecond);
    }
}

template<typename Message>
void EndpointAdmission::learn(const Message &message, const std::string &sender)
{
    if (!message.has_endpoint_limit()) {
        return;
    }
    const auto &limit = message.endpoint_limit();
    const auto seenAt = storeClock_().localTime(Milliseconds(limit.seen_at_ms()));
    if (!seenAt) {
        return;
    }
    const auto perSecond = limit.has_per_second() ? std::optional(limit.per_second()) : std::nullopt;
    onReported(message.customer(), {perSecond, std::min(*seenAt, suspendAwareNow())}, sender);
}

void EndpointAdmission::onAnswer(const OutgoingCall &call)
{
    const auto &limit = call.answer.requestsPerSecond;
    // Only an answer to work that was done proves that a limit has ended; refusals may leave it out.
    if (call.answer.wrongEndpoint || (!limit && !call.isSuccess())) {
        return;
    }
    const std::string run = EndpointLimits::runOf(call.endpoint);
    onReported(run, {limit, suspendAwareNow()}, std::string(nameOf(CallWorkNames, call.work)) + ' ' + std::to_string(call.head->status));
    if (limit) {
        ++answers_[run];
    }
}

void EndpointAdmission::onReported(const std::string &run, const EndpointLimits::Observation &observation, const std::string &source)
{
    const auto before = known_.newestOf(run);
    if (!known_.observe(run, observation)) {
        return;
    }
    log_.info("limit of an endpoint has changed",
              {{"endpoint", run},
               {"before", limitText(before ? before->perSecond : std::nullopt)},
               {"now", limitText(observation.perSecond)},
               {"source", source},
               {"answersSince", std::to_string(answers_[run])}});
    answers_.erase(run);
}

void EndpointAdmission::removeEndpoint(const EndpointRecord &endpoint)
{
    const std::string run = EndpointLimits::runOf(endpoint);
    known_.remove(run);
    known_.removeStale(suspendAwareNow());
    answers_.erase(run);
    limits_.remove(run);
}

std::map<std::string, EndpointLimits::Observation> EndpointAdmission::recentLimits(TimePoint now) const
{
    return known_.recentLimits(now);
}

bool EndpointAdmission::isLimited(const EndpointRecord &endpoint) const
{
    return known_.limitedRuns() > 0 && known_.find(EndpointLimits::runOf(endpoint)) != nullptr;
}

std::vector<EndpointRecord> EndpointAdmission::withUnits(std::vector<EndpointRecord> endpoints, TimePoint now) const
{
    if (known_.limitedRuns() > 0) {
        std::erase_if(endpoints, [&](const EndpointRecord &each) { return now < known_.usedUpUntil(EndpointLimits::runOf(each)); });
    }
    return endpoints;
}

Duration EndpointAdmission::waitForUnits(const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    if (known_.limitedRuns() == 0 || endpoints.empty()) {
        return Duration::zero();
    }
    std::map<std::optional<EngineStage>, TimePoint> earliest;
    for (const EndpointRecord &each : endpoints) {
        const TimePoint until = known_.usedUpUntil(EndpointLimits::runOf(each));
        const auto [it, isNew] = earliest.emplace(each.stage, until);
        it->second = std::min(it->second, until);
    }
    Duration wait{};
    for (const auto &[stage, until] : earliest) {
        wait = std::max<Duration>(wait, until - now);
    }
    return wait;
}

std::uint64_t EndpointAdmission::takeUnit(const EndpointRecord &endpoint, UnitHandler onDecided)
{
    const std::string run = EndpointLimits::runOf(endpoint);
    const RateLimit *limit = known_.find(run);
    if (limit == nullptr) {
        onDecided(LimitCharge{});
        return 0;
    }
    return limits_.admit(
        *limit, 1, [this, run, onDecided = std::move(onDecided)](const QuotaVerdict &verdict) { onVerdict(run, verdict, onDecided); });
}

void EndpointAdmission::onVerdict(const std::string &run, const QuotaVerdict &verdict, const UnitHandler &onDecided)
{
    if (verdict.result == QuotaVerdict::Result::Admitted) {
        onDecided(LimitCharge{run, verdict.lots});
        return;
    }
    if (known_.find(run) == nullptr) {
        // The limit has ended meanwhile, which is why the others hold no share of it.
        onDecided(LimitCharge{});
        return;
    }
    known_.onUsedUp(run, suspendAwareNow() + EndpointLimits::pauseAfter(verdict));
    onDecided(std::nullopt);
}

void EndpointAdmission::cancel(std::uint64_t id)
{
    limits_.cancel(id);
}

void EndpointAdmission::returnUnit(const LimitCharge &unit)
{
    limits_.refund(unit);
}

}
