/**
 * Decides which engines of a service read prompts and which generate. It compares the use of both kinds of engine under the work of late
 * and moves one engine at a time where that lowers the greater of the two by enough to pay for the time that the engine is away.
 */
#pragma once

#include "endpointrecord.h"
#include "routecatalogue.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Work of a service, in tokens a millisecond over all gateways. */
struct EngineWork
{
    /** Prompt tokens that were not cached. */
    double readTokens = 0;
    /** Prompt tokens whose cache entries moved from an engine that read them to one that generates. */
    double movedTokens = 0;
    /** Prompt tokens read by engines that generate. */
    double wholeTokens = 0;
    /** Requests that were generating at the same time; not tokens. */
    double busySlots = 0;

    EngineWork &operator+=(const EngineWork &other);
    /** Each figure times a factor. */
    EngineWork scaled(double factor) const;
};

struct StagePlanOptions
{
    /** Prompt tokens that an engine reads in a millisecond, with its other work. */
    double readTokensPerMs = 320;
    /** Moves between data centres take longer. */
    double moveOverhead = 1.7;
    /** Use of engines that read up to which prompts hardly wait for each other, at the mean; it leaves room for bursts. */
    double comfortableReading = 0.42;
    /** Use of engines that generate up to which requests find a free slot. */
    double comfortableGenerating = 0.95;
    /** Work for each engine that is assumed before any was seen: long prompts, two thirds of them cached, with short answers, and a few
     * long answers. */
    EngineWork assumed{78, 250, 0, 4.4};
    /** Requests in progress, as a part of the slots of the engines that generate, that count at most: more of them only wait. */
    double maxSlotUse = 1.2;
    /** A change must lower the greater use by this factor, once there is work that it interrupts. */
    double worthwhileGain = 1.5;
    /** Time between two changes because of the mix; repairs after losses don't wait. */
    Duration dwell = std::chrono::seconds(10);
    /** Time over which work is averaged, so that short swings are left to routing. */
    Duration average = std::chrono::seconds(25);
    /** The number of engines must have stayed the same for this long, since engines become known one after the other. */
    Duration countSettles = std::chrono::seconds(2);
    /** A plan that begins while there is work must have seen it for this long before it follows it. */
    Duration firstLook = std::chrono::seconds(20);
    /** Engines that each stage keeps where there are twice as many or more, so that the loss of one doesn't stop the service. */
    unsigned leastOfAStage = 2;
    /** Engines that may be away for a change at the same time, as a part of all. */
    double maxAway = 0.5;
};

struct StageChange
{
    EndpointRecord engine;
    EngineStage stage = EngineStage::Decode;
    /** No engine has that stage: the service stands still until the change is made. */
    bool isUrgent = false;
};

class StagePlan
{
public:
    explicit StagePlan(StagePlanOptions options);

    /** Number of engines out of @p engines that should read prompts; at least one for each stage where there are two or more. */
    unsigned readersFor(unsigned engines, const EngineTraits &traits, const EngineWork &work) const;

    /**
     * The changes to order now.
     * @param engines those that take work; an engine whose change is under way counts as having its new stage.
     * @param changing engines whose change is under way.
     */
    std::vector<StageChange> plan(const std::vector<EndpointRecord> &engines,
                                  unsigned changing,
                                  const EngineTraits &traits,
                                  const std::optional<EngineWork> &work,
                                  TimePoint now);

private:
    double use(unsigned readers, unsigned writers, const EngineTraits &traits, const EngineWork &work) const;
    void average(const std::optional<EngineWork> &work, std::size_t engines, TimePoint now);

    StagePlanOptions options_;
    /** Number of engines at the last call, and since when it has been the same. */
    std::size_t count_ = 0;
    TimePoint countSince_{};
    /** Number of engines when the last change was planned. */
    std::size_t plannedFor_ = 0;
    std::optional<TimePoint> lastChange_;
    /** Meaningful once work was seen. */
    EngineWork averaged_;
    std::optional<TimePoint> workSince_;
    /** The plan began before there was work, and its average with what is assumed. */
    bool beganIdle_ = false;
    TimePoint averagedAt_{};
};

}
