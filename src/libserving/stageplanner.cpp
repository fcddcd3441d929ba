#include "stageplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr double BitsPerByte = 8;
/** Bits per millisecond of a link of 1 Mbit/s. */
constexpr double BitsPerMillisecond = 1000;
constexpr double MinTransferMsPerToken = 1e-9;
/** Averaging times after which the work that was assumed at the start has decayed to exp(-2), about 14 %. */
constexpr int AveragingTimesUntilObserved = 2;

/** The mean of the learned rates; 0 if there are none. */
double meanRate(const EngineRates &rates)
{
    double sum = 0;
    for (const auto &[id, rate] : rates) {
        sum += rate;
    }
    return rates.empty() ? 0 : sum / static_cast<double>(rates.size());
}

/** The rate of the engine, or the mean if it isn't known. */
double rateOf(const EndpointRecord &engine, const EngineRates &rates, double mean)
{
    const auto it = rates.find(engine.id);
    return it == rates.end() ? mean : it->second;
}

/**
 * Selects an engine of stage @p from to reassign, in the data centre with the largest surplus of that stage over the other one: the fastest
 * one to prefill, or the slowest one to decode.
 */
std::vector<EndpointRecord>::const_iterator
selectEngine(const std::vector<EndpointRecord> &engines, EngineStage from, const EngineRates &rates)
{
    const double mean = meanRate(rates);
    const auto isFitter = [&](const EndpointRecord &left, const EndpointRecord &right) {
        const double leftRate = rateOf(left, rates, mean);
        const double rightRate = rateOf(right, rates, mean);
        return from == EngineStage::Decode ? leftRate > rightRate : leftRate < rightRate;
    };
    std::map<std::string, int> balance;
    for (const auto &engine : engines) {
        balance[engine.dataCentre] += engine.stage == from ? 1 : -1;
    }
    auto best = engines.end();
    for (auto it = engines.begin(); it != engines.end(); ++it) {
        if (it->stage != from) {
            continue;
        }
        const int surplus = best == engines.end() ? 1 : balance[it->dataCentre] - balance[best->dataCentre];
        if (surplus > 0 || (surplus == 0 && isFitter(*it, *best))) {
            best = it;
        }
    }
    return best;
}

}

EngineWork &EngineWork::operator+=(const EngineWork &other)
{
    prefilledTokens += other.prefilledTokens;
    transferredTokens += other.transferredTokens;
    decodePrefilledTokens += other.decodePrefilledTokens;
    busySlots += other.busySlots;
    return *this;
}

EngineWork EngineWork::scaled(double factor) const
{
    return {prefilledTokens * factor, transferredTokens * factor, decodePrefilledTokens * factor, busySlots * factor};
}

StagePlanner::StagePlanner(StagePlannerOptions options)
    : options_(options)
    , prefillTokensPerMs_(options.prefillTokensPerMs)
{
}

double StagePlanner::transferMsPerToken(const EngineTraits &traits) const
{
    const double linkBitsPerMs = std::max(1.0, traits.linkMegabitsPerSecond) * BitsPerMillisecond;
    return static_cast<double>(traits.kvBytesPerToken) * BitsPerByte / linkBitsPerMs * options_.transferOverhead;
}

EngineWork StagePlanner::assumedWork(std::size_t engines, const EngineTraits &traits) const
{
    EngineWork work;
    work.prefilledTokens = options_.assumedPrefillUtilisation * options_.prefillTokensPerMs;
    work.transferredTokens = options_.assumedTransferUtilisation / std::max(transferMsPerToken(traits), MinTransferMsPerToken);
    work.busySlots = options_.assumedBusySlots;
    return work.scaled(static_cast<double>(engines));
}

double
StagePlanner::relativeUtilisation(unsigned prefillEngines, unsigned decodeEngines, const EngineTraits &traits, const EngineWork &work) const
{
    const double prefillLoad = work.prefilledTokens / prefillTokensPerMs_;
    // A decode engine prefills at half the speed of a prefill engine.
    const double decodeLoad = work.transferredTokens * transferMsPerToken(traits) + work.decodePrefilledTokens * 2 / prefillTokensPerMs_
        + work.busySlots / traits.slots;
    return std::max(prefillLoad / prefillEngines / options_.targetPrefillUtilisation,
                    decodeLoad / decodeEngines / options_.targetDecodeUtilisation);
}

unsigned StagePlanner::optimalPrefillEngines(unsigned engines, const EngineTraits &traits, const EngineWork &work) const
{
    if (engines < 2) {
        return 0;
    }
    const unsigned minimum = engines >= 2 * options_.minEnginesPerStage ? options_.minEnginesPerStage : 1;
    unsigned best = minimum;
    for (unsigned prefillEngines = minimum + 1; prefillEngines <= engines - minimum; ++prefillEngines) {
        if (relativeUtilisation(prefillEngines, engines - prefillEngines, traits, work)
            < relativeUtilisation(best, engines - best, traits, work)) {
            best = prefillEngines;
        }
    }
    return best;
}

void StagePlanner::updateAverage(const std::optional<EngineWork> &work, std::size_t engines, const EngineTraits &traits, TimePoint now)
{
    if (!work) {
        if (!workSince_) {
            startedIdle_ = true;
            averageWork_ = assumedWork(engines, traits);
            averagedAt_ = now;
        }
        return;
    }
    if (!workSince_) {
        workSince_ = now;
    }
    if (!startedIdle_ && now == *workSince_) {
        averageWork_ = *work;
    } else {
        const double weight = 1 - std::exp(-toSeconds(now - averagedAt_) / toSeconds(options_.averagingTime));
        averageWork_ = averageWork_.scaled(1 - weight);
        averageWork_ += work->scaled(weight);
    }
    averagedAt_ = now;
}

void StagePlanner::updateRate(const std::vector<EndpointRecord> &engines, const EngineRates &rates, TimePoint now)
{
    prefillTokensPerMs_ = options_.prefillTokensPerMs;
    // If there was no traffic at first, the average contains assumed work until then, which was reckoned with the stated rate.
    const bool isAverageObserved
        = !startedIdle_ || (workSince_ && now - *workSince_ >= AveragingTimesUntilObserved * options_.averagingTime);
    if (!isAverageObserved) {
        return;
    }
    std::size_t prefillEngines = 0;
    EngineRates known;
    for (const EndpointRecord &engine : engines) {
        if (engine.stage != EngineStage::Prefill) {
            continue;
        }
        ++prefillEngines;
        if (const auto it = rates.find(engine.id); it != rates.end()) {
            known.insert(*it);
        }
    }
    if (!known.empty() && static_cast<double>(known.size()) >= options_.minKnownFraction * static_cast<double>(prefillEngines)) {
        prefillTokensPerMs_ = meanRate(known);
    }
}

std::vector<StageChange> StagePlanner::plan(const std::vector<EndpointRecord> &engines,
                                            unsigned changing,
                                            const EngineTraits &traits,
                                            const std::optional<EngineWork> &work,
                                            TimePoint now,
                                            const EngineRates &rates)
{
    updateAverage(work, engines.size(), traits, now);
    updateRate(engines, rates, now);
    std::vector<StageChange> changes;
    const auto count = static_cast<unsigned>(engines.size());
    if (std::exchange(engineCount_, engines.size()) != engines.size()) {
        engineCountSince_ = now;
    }
    if (count < 2) {
        return changes;
    }
    auto prefillEngines = static_cast<unsigned>(
        std::count_if(engines.begin(), engines.end(), [](const auto &engine) { return engine.stage == EngineStage::Prefill; }));
    const bool observedLongEnough = startedIdle_ || (workSince_ && now - *workSince_ >= options_.minObservationTime);
    EngineWork current = averageWork_;
    if (workSince_) {
        current.busySlots = std::min(current.busySlots, options_.maxSlotUtilisation * traits.slots * (count - prefillEngines));
    }
    const unsigned wanted = optimalPrefillEngines(count, traits, current);
    const bool isStageEmpty = prefillEngines == 0 || prefillEngines == count;
    const bool isCountSettled = now - engineCountSince_ >= options_.engineCountSettleTime;
    const bool engineCountChanged = plannedEngineCount_ != engines.size();
    const double gain = workSince_ ? options_.minGain : 1;
    const bool isWorthwhile = isStageEmpty
        || relativeUtilisation(prefillEngines, count - prefillEngines, traits, current)
            > relativeUtilisation(wanted, count - wanted, traits, current) * gain;
    // Without enough observed traffic, only changes in the number of engines and empty stages cause a reassignment.
    const bool isStillObserving = workSince_ && !observedLongEnough;
    const bool intervalElapsed = !isStillObserving && (!lastChange_ || now - *lastChange_ >= options_.minInterval);
    if (wanted == prefillEngines || !isWorthwhile || !(isStageEmpty || (isCountSettled && (engineCountChanged || intervalElapsed)))) {
        return changes;
    }
    const auto maxChanging = static_cast<unsigned>(std::max(1.0, std::floor(count * options_.maxChangingFraction)));
    std::vector<EndpointRecord> planned = engines;
    while (prefillEngines != wanted && changing + changes.size() < maxChanging) {
        const EngineStage from = prefillEngines < wanted ? EngineStage::Decode : EngineStage::Prefill;
        const EngineStage to = prefillEngines < wanted ? EngineStage::Prefill : EngineStage::Decode;
        const auto engine = planned.begin() + (selectEngine(planned, from, rates) - planned.cbegin());
        changes.push_back({*engine, to, isStageEmpty});
        engine->stage = to;
        prefillEngines += prefillEngines < wanted ? 1 : -1;
    }
    if (prefillEngines == wanted) {
        plannedEngineCount_ = engines.size();
    }
    lastChange_ = now;
    return changes;
}

}
