#include "stageplan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr double BitsPerByte = 8;
/** Bits a millisecond of a link of one megabit a second. */
constexpr double BitsPerMillisecond = 1000;

/** The engine to change: of the data centre that has most of the stage it leaves, compared with the one it takes. */
std::vector<EndpointRecord>::const_iterator pickEngine(const std::vector<EndpointRecord> &engines, EngineStage from)
{
    std::map<std::string, int> balance;
    for (const auto &engine : engines) {
        balance[engine.dataCentre] += engine.stage == from ? 1 : -1;
    }
    auto best = engines.end();
    for (auto it = engines.begin(); it != engines.end(); ++it) {
        if (it->stage != from) {
            continue;
        }
        if (best == engines.end() || balance[it->dataCentre] > balance[best->dataCentre]) {
            best = it;
        }
    }
    return best;
}

}

EngineWork &EngineWork::operator+=(const EngineWork &other)
{
    readTokens += other.readTokens;
    movedTokens += other.movedTokens;
    wholeTokens += other.wholeTokens;
    busySlots += other.busySlots;
    return *this;
}

EngineWork EngineWork::scaled(double factor) const
{
    return {readTokens * factor, movedTokens * factor, wholeTokens * factor, busySlots * factor};
}

StagePlan::StagePlan(StagePlanOptions options)
    : options_(options)
{
}

double StagePlan::use(unsigned readers, unsigned writers, const EngineTraits &traits, const EngineWork &work) const
{
    const double linkBitsPerMs = std::max(1.0, traits.linkMegabitsPerSecond) * BitsPerMillisecond;
    const double movePerToken = static_cast<double>(traits.cacheBytesPerToken) * BitsPerByte / linkBitsPerMs * options_.moveOverhead;
    const double reading = work.readTokens / options_.readTokensPerMs;
    // Engines that generate read prompts at half the speed.
    const double generating
        = work.movedTokens * movePerToken + work.wholeTokens * 2 / options_.readTokensPerMs + work.busySlots / traits.slots;
    return std::max(reading / readers / options_.comfortableReading, generating / writers / options_.comfortableGenerating);
}

unsigned StagePlan::readersFor(unsigned engines, const EngineTraits &traits, const EngineWork &work) const
{
    if (engines < 2) {
        return 0;
    }
    const unsigned least = engines >= 2 * options_.leastOfAStage ? options_.leastOfAStage : 1;
    unsigned best = least;
    for (unsigned readers = least + 1; readers <= engines - least; ++readers) {
        if (use(readers, engines - readers, traits, work) < use(best, engines - best, traits, work)) {
            best = readers;
        }
    }
    return best;
}

void StagePlan::average(const std::optional<EngineWork> &work, std::size_t engines, TimePoint now)
{
    if (!work) {
        if (!workSince_) {
            beganIdle_ = true;
            averaged_ = options_.assumed.scaled(static_cast<double>(engines));
            averagedAt_ = now;
        }
        return;
    }
    if (!workSince_) {
        workSince_ = now;
    }
    if (!beganIdle_ && now == *workSince_) {
        averaged_ = *work;
    } else {
        const double weight = 1 - std::exp(-toSeconds(now - averagedAt_) / toSeconds(options_.average));
        averaged_ = averaged_.scaled(1 - weight);
        averaged_ += work->scaled(weight);
    }
    averagedAt_ = now;
}

std::vector<StageChange> StagePlan::plan(const std::vector<EndpointRecord> &engines,
                                         unsigned changing,
                                         const EngineTraits &traits,
                                         const std::optional<EngineWork> &work,
                                         TimePoint now)
{
    average(work, engines.size(), now);
    std::vector<StageChange> changes;
    const auto count = static_cast<unsigned>(engines.size());
    if (std::exchange(count_, engines.size()) != engines.size()) {
        countSince_ = now;
    }
    if (count < 2) {
        return changes;
    }
    auto readers = static_cast<unsigned>(
        std::count_if(engines.begin(), engines.end(), [](const auto &engine) { return engine.stage == EngineStage::Prefill; }));
    const bool seen = beganIdle_ || (workSince_ && now - *workSince_ >= options_.firstLook);
    EngineWork current = averaged_;
    if (workSince_) {
        current.busySlots = std::min(current.busySlots, options_.maxSlotUse * traits.slots * (count - readers));
    }
    const unsigned wanted = readersFor(count, traits, current);
    const bool missing = readers == 0 || readers == count;
    const bool settled = now - countSince_ >= options_.countSettles;
    const bool fleetChanged = plannedFor_ != engines.size();
    const double gain = workSince_ ? options_.worthwhileGain : 1;
    const bool pays = missing || use(readers, count - readers, traits, current) > use(wanted, count - wanted, traits, current) * gain;
    // While work has not been seen for long enough, the plan stays as it is.
    const bool undecided = workSince_ && !seen;
    const bool dwelt = !undecided && (!lastChange_ || now - *lastChange_ >= options_.dwell);
    if (wanted == readers || !pays || !(missing || (settled && (fleetChanged || dwelt)))) {
        return changes;
    }
    const auto mayBeAway = static_cast<unsigned>(std::max(1.0, std::floor(count * options_.maxAway)));
    std::vector<EndpointRecord> planned = engines;
    while (readers != wanted && changing + changes.size() < mayBeAway) {
        const EngineStage from = readers < wanted ? EngineStage::Decode : EngineStage::Prefill;
        const EngineStage to = readers < wanted ? EngineStage::Prefill : EngineStage::Decode;
        const auto engine = planned.begin() + (pickEngine(planned, from) - planned.cbegin());
        changes.push_back({*engine, to, missing});
        engine->stage = to;
        readers += readers < wanted ? 1 : -1;
    }
    if (readers == wanted) {
        plannedFor_ = engines.size();
    }
    lastChange_ = now;
    return changes;
}

}
