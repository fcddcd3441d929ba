/**
 * Decides which engines of a service prefill and which decode. For the averaged workload it compares the utilisation of both groups, and it
 * reassigns engines where that lowers the higher of the two by enough to outweigh the time that a reassigned engine is unavailable.
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

/** Workload of a service over all gateways, in tokens per millisecond. */
struct EngineWork
{
    /** Prompt tokens to prefill: those that were not cached. */
    double prefilledTokens = 0;
    /** Prompt tokens whose KV cache entries were transferred from a prefill engine to a decode engine. */
    double transferredTokens = 0;
    /** Prompt tokens prefilled by decode engines. */
    double decodePrefilledTokens = 0;
    /** Average number of requests that were decoding at the same time; not in tokens. */
    double busySlots = 0;

    EngineWork &operator+=(const EngineWork &other);
    /** The workload with each figure multiplied by a factor. */
    EngineWork scaled(double factor) const;
};

/** Learned prefill rates in tokens per millisecond, by engine id; engines whose rate isn't known are left out. */
using EngineRates = std::map<std::string, double>;

struct StagePlannerOptions
{
    /** Prefill throughput of an engine alongside its other work, while too few were learned. */
    double prefillTokensPerMs = 320;
    /** Factor on the time of a KV cache transfer at link speed, since transfers between data centres take longer. */
    double transferOverhead = 1.7;
    /** Mean utilisation of prefill engines up to which prompts hardly wait for each other; the remainder is headroom for bursts. */
    double targetPrefillUtilisation = 0.42;
    /** Utilisation of decode engines up to which requests find a free slot. */
    double targetDecodeUtilisation = 0.95;
    /**
     * Workload per engine that is assumed before any traffic, as utilisations, since nothing is known of the engines' speed then: long
     * prompts with short answers, and a few long answers.
     */
    double assumedPrefillUtilisation = 0.24;
    double assumedTransferUtilisation = 0.08;
    double assumedBusySlots = 4.4;
    /** Requests in progress count up to this multiple of the decode engines' slots; those beyond it only queue. */
    double maxSlotUtilisation = 1.2;
    /** Factor by which a reassignment must lower the higher utilisation once there is traffic that it interrupts. */
    double minGain = 1.5;
    /** Minimum time between two reassignments for a changed workload. Reassignments after a change in the number of engines don't wait. */
    Duration minInterval = std::chrono::seconds(10);
    /** Time constant of the workload average; routing has to absorb shorter swings. */
    Duration averagingTime = std::chrono::seconds(25);
    /** Time for which the number of engines must have been constant, since engines are discovered one after the other. */
    Duration engineCountSettleTime = std::chrono::seconds(2);
    /** Time for which a planner that starts while there is traffic must have observed it before it reassigns engines. */
    Duration minObservationTime = std::chrono::seconds(20);
    /** Minimum number of engines in each stage if there are at least twice as many, so that losing one doesn't stop the service. */
    unsigned minEnginesPerStage = 2;
    /** Fraction of the prefill engines whose rate must be known so that the mean rate takes the place of the stated one. */
    double minKnownFraction = 0.5;
    /** Maximum fraction of the engines that may be changing their stage at the same time. */
    double maxChangingFraction = 0.5;
};

struct StageChange
{
    EndpointRecord engine;
    EngineStage stage = EngineStage::Decode;
    /** No engine has this stage, so the service is down until the change is made. */
    bool isUrgent = false;
};

class StagePlanner
{
public:
    explicit StagePlanner(StagePlannerOptions options);

    /** The number of engines out of @p engines that should prefill. Each stage gets at least one if there are two or more engines. */
    unsigned optimalPrefillEngines(unsigned engines, const EngineTraits &traits, const EngineWork &work) const;

    /**
     * The stage changes to order now.
     * @param engines those that accept requests; an engine whose change is in progress is listed with its new stage.
     * @param changing number of engines whose change is in progress.
     * @param work empty if there has been no traffic.
     * @param rates as far as they were learned. Of the engines of a data centre, the fastest prefill.
     */
    std::vector<StageChange> plan(const std::vector<EndpointRecord> &engines,
                                  unsigned changing,
                                  const EngineTraits &traits,
                                  const std::optional<EngineWork> &work,
                                  TimePoint now,
                                  const EngineRates &rates = {});

private:
    /** The higher of both stages' utilisations, each relative to its target. */
    double relativeUtilisation(unsigned prefillEngines, unsigned decodeEngines, const EngineTraits &traits, const EngineWork &work) const;
    void updateAverage(const std::optional<EngineWork> &work, std::size_t engines, const EngineTraits &traits, TimePoint now);
    void updateRate(const std::vector<EndpointRecord> &engines, const EngineRates &rates, TimePoint now);
    /** The workload that is assumed for that many engines. */
    EngineWork assumedWork(std::size_t engines, const EngineTraits &traits) const;
    /** Time that an engine needs to fetch a token's KV cache. */
    double transferMsPerToken(const EngineTraits &traits) const;

    StagePlannerOptions options_;
    /** Prefill throughput that the plan reckons with: the stated one or the mean of the learned ones. */
    double prefillTokensPerMs_;
    /** Number of engines at the last call of plan(), and since when it has been constant. */
    std::size_t engineCount_ = 0;
    TimePoint engineCountSince_{};
    /** Number of engines at the last completed reassignment. */
    std::size_t plannedEngineCount_ = 0;
    std::optional<TimePoint> lastChange_;
    /** Valid once a workload was observed or assumed. */
    EngineWork averageWork_;
    /** When the first traffic was observed. */
    std::optional<TimePoint> workSince_;
    /** The planner started before there was traffic, so the average started from the assumed workload. */
    bool startedIdle_ = false;
    TimePoint averagedAt_{};
};

}
