/**
 * Chooses the endpoints of a request. A long prompt goes to the prefill engine that probably has its session in the KV cache (rendezvous
 * hashing, corrected by the prompts that this gateway sent to each engine), unless another engine would finish the prefill sooner; then a
 * decode engine generates. A request with a short prompt is run by a decode engine alone, and a request for a service without engines by
 * its least loaded endpoint: an endpoint that isn't registered as a prefill engine would run what it is to prefill. At decode engines,
 * short answers have priority over long ones, since they occupy a slot only briefly; a long answer is refused while it would have to wait
 * for a slot at every decode engine.
 */
#pragma once

#include "endpointloads.h"
#include "endpointrecord.h"
#include "endpointspeeds.h"
#include "promptpart.h"
#include "timepoint.h"

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

struct PlacementOptions
{
    /** A prompt with fewer tokens skips the prefill engines: a decode engine runs the whole request. */
    std::uint64_t minDisaggregatedTokens = 1000;
    /** Prefill throughput of an engine whose own one was not learned. */
    double prefillTokensPerMs = 330;
    /** A prompt is timely if its expected wait is at most this fraction of the target latency. */
    double timelyWaitFraction = 0.5;
    /** A prompt is refused if its expected wait exceeds this fraction of the time that the caller still waits. */
    double refusalWaitFraction = 0.15;
    /** Cost of each rank in a session's rendezvous order of engines, so that all gateways send a new session to the same engine. */
    Duration rankPenalty = std::chrono::milliseconds(2);
    /** Utilisation that is added for an endpoint in another data centre. */
    double otherDataCentrePenalty = 0.1;
    /** Answers of up to this many tokens are short: they occupy a slot only briefly. */
    std::uint64_t shortAnswerTokens = 16;
    /** Requests per slot of a decode engine up to which it accepts long answers, and short answers. */
    double maxLoadForLongAnswers = 1.5;
    double maxLoadForShortAnswers = 3.5;
    /** Time after which a long answer that was refused for want of a slot may be retried. */
    Duration slotRetryDelay = std::chrono::seconds(1);
    /** Prompt parts tracked for each engine. */
    std::size_t maxTrackedParts = 4096;
};

/** What a request asks of model engines. */
struct GenerationDemand
{
    std::vector<PromptPart> promptParts;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
};

struct PlacementQuery
{
    std::string dataCentre;
    /** Set only if the request's service is one of model engines, whatever the request states. Without it nothing is prefilled. */
    std::optional<GenerationDemand> generation;
    Duration targetLatency{};
    /** Time that the caller still waits for its answer. */
    Duration maxWait{};
    /** Priority of the customer, else of the route; 0 is the highest rank. */
    int rank = 0;
    /** Endpoints that have already been tried. */
    std::set<std::string> excluded;
};

struct Placement
{
    enum class Result {
        Placed,
        /** No endpoint can take the request. */
        NoEndpoint,
        /** The endpoints have more work queued than they could finish in time. */
        Overloaded,
    };

    Result result = Result::NoEndpoint;
    std::optional<EndpointRecord> prefillEngine;
    /** Prompt tokens that the prefill engine does not have in its cache. */
    std::uint64_t uncachedTokens = 0;
    /** Runs the whole request; set where there is no prefill engine. */
    std::optional<EndpointRecord> runEndpoint;
    Duration expectedWait{};
    /** The prompt is predicted to miss its target latency and has lower priority than timely prompts. */
    bool isLate = false;
    /** The answer is short and has priority over long answers. */
    bool hasShortAnswer = false;
};

class PlacementPolicy
{
public:
    PlacementPolicy(PlacementOptions options, const EndpointLoads &loads, const EndpointSpeeds &speeds);

    Placement place(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    /**
     * Chooses the decode engine, or for a service without engines the endpoint, that runs the request. One in the gateway's own data centre
     * is preferred, since it saves sending the request between data centres again.
     */
    std::optional<EndpointRecord>
    chooseRunEndpoint(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    /** Records that the endpoint prefilled these parts and caches them now; @p uncachedTokens of their tokens were not cached before. */
    void recordPrefill(const std::string &endpoint, const std::vector<PromptPart> &parts, std::uint64_t uncachedTokens);
    void removeEndpoint(const std::string &endpoint);
    /** Forgets all other endpoints. A prompt may have been prefilled by one that was removed meanwhile. */
    void keepOnly(const std::set<std::string> &endpoints);
    /** Number of endpoints whose cached parts are tracked. */
    std::size_t trackedEndpoints() const;

private:
    /** The prompt parts that were sent to an engine, least recently used first. */
    struct TrackedParts
    {
        std::list<std::string> order;
        std::unordered_map<std::string, std::list<std::string>::iterator> positions;
    };

    /** Whether the decode engine that would run the request has capacity for its answer. */
    bool hasDecodeCapacity(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    bool hasShortAnswer(const PlacementQuery &query) const;
    Placement placePrompt(const PlacementQuery &query,
                          const GenerationDemand &generation,
                          const std::vector<EndpointRecord> &endpoints,
                          TimePoint now) const;
    /** @param assumeSessionCached treat the shared parts of the prompt as cached even if this gateway did not send them there. */
    std::uint64_t countUncachedTokens(const GenerationDemand &generation, const std::string &endpoint, bool assumeSessionCached) const;
    bool isTracked(const std::string &endpoint, const std::string &part) const;
    /** Time until the engine has prefilled all prompts in flight, and until it has prefilled the timely ones. */
    Duration expectedWait(const EndpointRecord &endpoint, TimePoint now) const;
    Duration timelyWait(const EndpointRecord &endpoint, TimePoint now) const;
    /** Time in which the engine prefills that many tokens at its present speed. */
    Duration prefillTime(const EndpointRecord &endpoint, double tokens, TimePoint now) const;
    /** The engine that would finish the prefill first if the prompt waited for as long as @p waitOf returns for each engine. */
    template<typename Wait>
    Placement
    fastestPrefill(const GenerationDemand &generation, const std::vector<EndpointRecord> &engines, TimePoint now, Wait waitOf) const;
    double utilisation(const EndpointRecord &endpoint, const std::string &dataCentre, TimePoint now) const;
    /**
     * Utilisation that is added for an endpoint that takes longer than its service's usual one, or subtracted for a faster one; 0 if
     * nothing is known. The request to place counts too, so that speeds matter also at idle endpoints.
     */
    double slownessPenalty(const EndpointRecord &endpoint, double requests, TimePoint now) const;
    /** The endpoints that @p isFit accepts and that were not tried yet; those that are avoided only if there are no others. */
    template<typename Fitness>
    std::vector<EndpointRecord>
    candidates(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, Fitness isFit, TimePoint now) const;

    PlacementOptions options_;
    const EndpointLoads &loads_;
    const EndpointSpeeds &speeds_;
    /** Exponentially smoothed number of tokens that an engine had to prefill for a prompt. */
    double meanUncachedTokens_ = 3000;
    /** By endpoint. */
    std::unordered_map<std::string, TrackedParts> trackedParts_;
};

inline std::size_t PlacementPolicy::trackedEndpoints() const
{
    return trackedParts_.size();
}

}
