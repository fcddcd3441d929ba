#include "endpointadmission.h"

#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
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
                                     ColdBounds coldBounds,
                                     ClockReader storeClock,
                                     Metrics &metrics,
                                     const Log &log)
    : coldBounds_(coldBounds)
    , storeClock_(std::move(storeClock))
    , log_(log)
    , heldFromCold_(metrics.counter("requests_held_from_cold_endpoints_total"))
    , coldStarts_(ColdShares(vm, QuotaShareOptions{}.maxAge))
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
    metrics.gauge("cold_endpoints", [this] { return static_cast<double>(coldStarts_.coldRuns(suspendAwareNow())); });
}

void EndpointAdmission::onCatalogue(const RouteCatalogue &catalogue)
{
    std::map<std::string, ColdService> services;
    for (const RoutedService &service : catalogue.services()) {
        if (!std::isfinite(service.coldStartRate) || service.coldStartRate < 0) {
            log_.warning("rate of cold endpoints is ignored",
                         {{"service", service.name}, {"perSecond", absl::StrFormat("%g", service.coldStartRate)}});
        } else if (service.coldStartRate > 0) {
            services.emplace(service.name, coldServiceOf(service));
        }
    }
    coldStarts_.setServices(std::move(services));
    const auto &customers = catalogue.customers();
    coldStarts_.shares().setDivisionRequired(
        std::any_of(customers.begin(), customers.end(), [](const auto &customer) { return customer.rate > 0; }));
}

ColdService EndpointAdmission::coldServiceOf(const RoutedService &service) const
{
    const double bound = service.coldStartRate * coldBounds_.overage + coldBounds_.allowance;
    if (!(service.coldStartRate <= bound)) {
        log_.warning("rate of cold endpoints is above its bound, which is used instead",
                     {{"service", service.name},
                      {"perSecond", absl::StrFormat("%g", service.coldStartRate)},
                      {"bound", absl::StrFormat("%g", bound)}});
    }
    const double usable = std::isfinite(bound) ? bound : service.coldStartRate;
    return {{std::min(service.coldStartRate, usable), usable}, service.coldStartTime};
}

void EndpointAdmission::onAllEntries(const std::vector<EndpointRecord> &records, TimePoint now)
{
    coldStarts_.onAllEntries(records, now);
}

void EndpointAdmission::onEntry(const EndpointRecord &record, TimePoint now)
{
    coldStarts_.onEntry(record, now);
}

void EndpointAdmission::onDataCentreReleased(const std::string &dataCentre, TimePoint now)
{
    coldStarts_.onDataCentreReleased(dataCentre, now);
}

void EndpointAdmission::onDivisionRead(const QuotaDivision &division, TimePoint readAt)
{
    coldStarts_.shares().onDivisionRead(division, readAt, suspendAwareNow());
}

void EndpointAdmission::onDivisionConfirmed(TimePoint readAt)
{
    coldStarts_.shares().onDivisionConfirmed(readAt);
}

void EndpointAdmission::tick(TimePoint now)
{
    for (const auto &change : coldStarts_.takeChanges(now)) {
        const auto ms = std::chrono::duration_cast<Milliseconds>(change.remaining);
        log_.info(change.isCold ? "endpoint is cold" : "endpoint is warm",
                  {{"endpoint", change.run}, {"service", change.service}, {"remainingMs", std::to_string(ms.count())}});
    }
}

const ColdStarts &EndpointAdmission::coldStarts() const
{
    return coldStarts_;
}

void EndpointAdmission::recordHeld()
{
    heldFromCold_.add();
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
    if (call.answer.coldStartRemaining && !call.answer.wrongEndpoint) {
        coldStarts_.onAnswer(call.endpoint, *call.answer.coldStartRemaining, suspendAwareNow());
    }
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
    coldStarts_.remove(endpoint, suspendAwareNow());
}

std::map<std::string, EndpointLimits::Observation> EndpointAdmission::recentLimits(TimePoint now) const
{
    return known_.recentLimits(now);
}

bool EndpointAdmission::isLimited(const EndpointRecord &endpoint) const
{
    const bool namesLimit = known_.limitedRuns() > 0 && known_.find(EndpointLimits::runOf(endpoint)) != nullptr;
    return namesLimit || coldStarts_.isCold(endpoint, suspendAwareNow());
}

std::vector<EndpointRecord> EndpointAdmission::withUnits(std::vector<EndpointRecord> endpoints, TimePoint now)
{
    if (known_.limitedRuns() > 0) {
        std::erase_if(endpoints, [&](const EndpointRecord &each) { return now < known_.usedUpUntil(EndpointLimits::runOf(each)); });
    }
    if (!coldStarts_.mayAnyBeCold(now)) {
        return endpoints;
    }
    if (std::erase_if(endpoints, [&](const EndpointRecord &each) { return !coldStarts_.mayTake(each, now); }) > 0) {
        recordHeld();
    }
    return endpoints;
}

TimePoint EndpointAdmission::usedUpUntil(const EndpointRecord &endpoint, TimePoint now) const
{
    return std::max(known_.usedUpUntil(EndpointLimits::runOf(endpoint)), coldStarts_.nextUnitAt(endpoint, now));
}

Duration EndpointAdmission::waitForUnits(const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    const bool isAnyLimited = known_.limitedRuns() > 0 || coldStarts_.mayAnyBeCold(now);
    if (!isAnyLimited || endpoints.empty()) {
        return Duration::zero();
    }
    std::map<std::optional<EngineStage>, TimePoint> earliest;
    for (const EndpointRecord &each : endpoints) {
        const TimePoint until = usedUpUntil(each, now);
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
        takeColdUnit(endpoint, {}, onDecided);
        return 0;
    }
    return limits_.admit(*limit, 1, [this, endpoint, onDecided = std::move(onDecided)](const QuotaVerdict &verdict) {
        onVerdict(endpoint, verdict, onDecided);
    });
}

void EndpointAdmission::onVerdict(const EndpointRecord &endpoint, const QuotaVerdict &verdict, const UnitHandler &onDecided)
{
    const std::string run = EndpointLimits::runOf(endpoint);
    if (verdict.result == QuotaVerdict::Result::Admitted) {
        takeColdUnit(endpoint, {{run, verdict.lots}, ""}, onDecided);
        return;
    }
    if (known_.find(run) == nullptr) {
        // The limit has ended meanwhile, which is why the others hold no share of it.
        takeColdUnit(endpoint, {}, onDecided);
        return;
    }
    known_.onUsedUp(run, suspendAwareNow() + EndpointLimits::pauseAfter(verdict));
    onDecided(std::nullopt);
}

void EndpointAdmission::takeColdUnit(const EndpointRecord &endpoint, EndpointUnit unit, const UnitHandler &onDecided)
{
    std::optional<EndpointUnit> taken(std::move(unit));
    if (confirmUnit(endpoint, taken, suspendAwareNow())) {
        onDecided(std::move(taken));
        return;
    }
    returnUnit(*taken);
    onDecided(std::nullopt);
}

bool EndpointAdmission::confirmUnit(const EndpointRecord &endpoint, std::optional<EndpointUnit> &unit, TimePoint now)
{
    if (!coldStarts_.isCold(endpoint, now)) {
        return true;
    }
    const std::string run = ColdStarts::runOf(endpoint);
    const bool hasUnit = unit && unit->coldRun == run;
    if (hasUnit ? !coldStarts_.maySendTaken(endpoint, now) : !coldStarts_.take(endpoint, now)) {
        recordHeld();
        return false;
    }
    if (!unit) {
        unit.emplace();
    }
    unit->coldRun = run;
    return true;
}

void EndpointAdmission::onSent(const EndpointUnit &unit, TimePoint now)
{
    if (!unit.coldRun.empty()) {
        coldStarts_.onSent(unit.coldRun, now);
    }
}

void EndpointAdmission::cancel(std::uint64_t id)
{
    limits_.cancel(id);
}

void EndpointAdmission::returnUnit(const EndpointUnit &unit)
{
    limits_.refund(unit.charge);
    if (!unit.coldRun.empty()) {
        coldStarts_.giveBack(unit.coldRun);
    }
}

}
