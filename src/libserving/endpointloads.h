/**
 * What one gateway knows of each endpoint's load and health: its own calls in progress, what answers told, and recent failures.
 */
#pragma once

#include "attemptpolicy.h"
#include "endpointrecord.h"
#include "timepoint.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

/** The kinds of work that a call gives to an endpoint. */
enum class CallWork {
    /** The whole request, or the part after its prompt was read elsewhere. */
    Run,
    /** Only the prompt is read. */
    Prefill,
};

/** What a call gives an endpoint to read. */
struct PromptWork
{
    std::uint64_t tokens = 0;
    /** It gives way to prompts that will be in time. */
    bool isLate = false;
    TimePoint startedAt{};
};

class EndpointLoads
{
public:
    struct Load
    {
        /** Calls of this gateway in progress. */
        unsigned calls = 0;
        /** Prompt tokens of those calls that the endpoint has to read, and those of them that don't give way. */
        std::uint64_t promptTokens = 0;
        std::uint64_t timelyPromptTokens = 0;
        /** When the calls in progress that have a prompt to read were started. */
        std::multiset<TimePoint> timelyStarts;
        std::multiset<TimePoint> lateStarts;
        ReportedLoad reported;
        /** Requests of other gateways at that time. */
        unsigned othersReported = 0;
        /** Meaningful once something was reported. */
        TimePoint reportedAt{};
        /** Smoothed share of calls that failed, 0 to 1. */
        double failureRate = 0;
        unsigned silentInARow = 0;
        unsigned refusedInARow = 0;
        /** Other endpoints are preferred until then. */
        TimePoint avoidUntil{};
    };

    void callStarted(const std::string &endpoint, const PromptWork &prompt);
    void callEnded(const std::string &endpoint, const PromptWork &prompt, AttemptOutcome outcome, TimePoint now);
    void loadReported(const std::string &endpoint, const ReportedLoad &load, TimePoint now);
    void forget(const std::string &endpoint);

    const Load &of(const std::string &endpoint) const;
    bool isAvoided(const std::string &endpoint, TimePoint now) const;
    /** Requests of other gateways that the endpoint works on, as far as its last report still tells. */
    double others(const std::string &endpoint, TimePoint now) const;
    /** For how long the oldest prompt in progress waits: engines take prompts of one urgency in turn. */
    Duration oldestTimelyPrompt(const std::string &endpoint, TimePoint now) const;
    Duration oldestPrompt(const std::string &endpoint, TimePoint now) const;
    /** The share of this gateway's prompt tokens in progress that don't give way, 0 to 1; the other gateways' is taken to be the same. */
    double timelyShare() const;

private:
    std::unordered_map<std::string, Load> loads_;
    /** Over all endpoints. */
    std::uint64_t promptTokens_ = 0;
    std::uint64_t timelyPromptTokens_ = 0;
};

}
