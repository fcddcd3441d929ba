/**
 * Chooses the endpoints of a request. Long prompts go to a prefill engine that is likely to hold their session (rendezvous hashing,
 * corrected by what this gateway has sent where) unless another one would be done sooner; then a decode engine generates. Short prompts go
 * to a decode engine whole, plain requests to the endpoint with the least work. Short answers go before long ones at decode engines, since
 * they hold a slot for an instant; long ones are refused while they would have to wait for a slot everywhere.
 */
#pragma once

#include "endpointloads.h"
#include "endpointrecord.h"
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
    /** Prompts with fewer tokens to read are run whole on a decode engine. */
    std::uint64_t wholePromptTokens = 1000;
    /** Tokens that a prefill engine reads in a millisecond. */
    double prefillTokensPerMs = 330;
    /** The part of the target latency that a prompt may be expected to wait and still be in time. */
    double timelyWaitShare = 0.5;
    /** The part of the caller's patience that a prompt may be expected to wait before it is refused. */
    double maxWaitShare = 0.15;
    /** Cost of a lower place in a session's order of engines, so that gateways agree where a new session goes. */
    Duration rankPenalty = std::chrono::milliseconds(2);
    /** Extra load that an endpoint in another data centre is taken to have, in parts of its slots. */
    double otherDataCentrePenalty = 0.1;
    /** Answers up to this length hold a slot for an instant only. */
    std::uint64_t shortAnswerTokens = 16;
    /** Requests of a decode engine as a part of its slots, up to which it gets long answers, and up to which it gets short ones. */
    double maxUseForLong = 1.5;
    double maxUseForShort = 3.5;
    /** Time after which a long answer that found no slot may find one. */
    Duration slotWait = std::chrono::seconds(1);
    /** Parts remembered for each engine. */
    std::size_t rememberedParts = 4096;
};

struct PlacementQuery
{
    std::string dataCentre;
    std::vector<PromptPart> parts;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    Duration targetLatency{};
    /** How long the caller will still wait. */
    Duration patience{};
    /** Endpoints that were tried already. */
    std::set<std::string> excluded;
};

struct Placement
{
    enum class Verdict {
        Placed,
        /** No endpoint can take it. */
        NoEndpoint,
        /** Each endpoint has more work than could be done in time. */
        Overloaded,
    };

    Verdict verdict = Verdict::NoEndpoint;
    std::optional<EndpointRecord> prefill;
    /** Prompt tokens that the prefill engine has to read. */
    std::uint64_t tokensToRead = 0;
    std::optional<EndpointRecord> run;
    Duration expectedWait{};
    /** It will not be in time, and gives way to those that will. */
    bool isLate = false;
    /** Its answer is short, and goes before long ones. */
    bool isShort = false;
};

class PlacementPolicy
{
public:
    PlacementPolicy(PlacementOptions options, const EndpointLoads &loads);

    Placement place(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    /** Chooses the engine that generates. One in the gateway's data centre saves sending the request across once more. */
    std::optional<EndpointRecord>
    placeDecode(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    /** The endpoint has read these parts, @p tokensRead of which it did not have, and keeps them for a while. */
    void partsRead(const std::string &endpoint, const std::vector<PromptPart> &parts, std::uint64_t tokensRead);
    void forget(const std::string &endpoint);

private:
    /** The parts that an engine was sent, least recently used first. */
    struct Memory
    {
        std::list<std::string> order;
        std::unordered_map<std::string, std::list<std::string>::iterator> places;
    };

    /** Some decode engine has room for the answer. */
    bool hasDecodeRoom(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    bool isShort(const PlacementQuery &query) const;
    Placement placePrompt(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    std::uint64_t tokensToRead(const PlacementQuery &query, const std::string &endpoint, bool assumeSession) const;
    bool remembers(const std::string &endpoint, const std::string &part) const;
    /** Time until an engine has read all that it was given, and until it has read what doesn't give way. */
    Duration expectedWait(const EndpointRecord &endpoint, TimePoint now) const;
    Duration timelyWait(const EndpointRecord &endpoint, TimePoint now) const;
    Duration readingTime(double tokens) const;
    /** The engine that would be done with the prompt first if it had to wait as @p waitOf says. */
    template<typename Wait>
    Placement bestReader(const PlacementQuery &query, const std::vector<EndpointRecord> &engines, Wait waitOf) const;
    double use(const EndpointRecord &endpoint, const std::string &dataCentre, TimePoint now) const;
    std::vector<EndpointRecord> candidates(const PlacementQuery &query,
                                           const std::vector<EndpointRecord> &endpoints,
                                           std::optional<EngineStage> stage,
                                           TimePoint now) const;

    PlacementOptions options_;
    const EndpointLoads &loads_;
    /** Tokens that an engine had to read for a prompt, smoothed. */
    double meanTokensToRead_ = 3000;
    std::unordered_map<std::string, Memory> memories_;
};

}
