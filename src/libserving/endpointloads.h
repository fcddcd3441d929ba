/**
 * What this gateway knows about the load and health of each endpoint: its own calls in flight, the load that endpoints report with their
 * responses, and recent failures.
 */
#pragma once

#include "attemptpolicy.h"
#include "endpointrecord.h"
#include "nametable.h"
#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

/** What a call asks an endpoint to do. */
enum class CallWork {
    /** Run the whole request, or decode after another engine has prefilled its prompt. */
    Run,
    /** Prefill the prompt only. */
    Prefill,
};

inline constexpr NameTable<CallWork, 2> CallWorkNames{{
    {CallWork::Run, "run"},
    {CallWork::Prefill, "prefill"},
}};

/** The prefill work that a call gives to an endpoint. */
struct PromptWork
{
    std::uint64_t tokens = 0;
    /** The prompt is predicted to miss its target latency and has lower priority than prompts that can still meet theirs. */
    bool isLate = false;
    TimePoint startedAt{};
};

class EndpointLoads
{
public:
    /** "Timely" prompts are those that are not late; see PromptWork::isLate. */
    struct Load
    {
        /** This gateway's calls in flight. */
        unsigned calls = 0;
        /** Prompt tokens that the endpoint has to prefill for those calls, in all and for timely prompts only. */
        std::uint64_t promptTokens = 0;
        std::uint64_t timelyPromptTokens = 0;
        /** Start times of the calls in flight that include a prefill. */
        std::multiset<TimePoint> timelyStarts;
        std::multiset<TimePoint> lateStarts;
        /** When a prefill of this gateway began or ended while another one of it was in flight there. */
        std::optional<TimePoint> lastOverlapAt;
        ReportedLoad reported;
        /** Requests of other gateways according to that report. */
        unsigned reportedOtherRequests = 0;
        /** Valid once a load has been reported. */
        TimePoint reportedAt{};
        /** Exponentially smoothed fraction of calls that failed, 0 to 1. */
        double failureRate = 0;
        unsigned consecutiveUnanswered = 0;
        unsigned consecutiveRefusals = 0;
        /** Other endpoints are preferred until then. */
        TimePoint avoidUntil{};
    };

    void onCallStarted(const std::string &endpoint, const PromptWork &prompt);
    void onCallEnded(const std::string &endpoint, const PromptWork &prompt, AttemptOutcome outcome, TimePoint now);
    void onLoadReported(const std::string &endpoint, const ReportedLoad &load, TimePoint now);
    void removeEndpoint(const std::string &endpoint);
    /** Forgets all other endpoints that have no call in flight. Calls may begin and end after their endpoint was removed. */
    void keepOnly(const std::set<std::string> &endpoints);
    /** Number of endpoints of which anything is known. */
    std::size_t size() const;

    const Load &loadOf(const std::string &endpoint) const;
    bool isAvoided(const std::string &endpoint, TimePoint now) const;
    /** Estimated requests of other gateways at the endpoint. Decays from the last reported value to 0 as the report ages. */
    double otherGatewayRequests(const std::string &endpoint, TimePoint now) const;
    /**
     * Age of the oldest timely prompt in flight. Engines prefill prompts of the same priority one after the other, so a new prompt is
     * expected to wait at least as long.
     */
    Duration oldestTimelyPromptAge(const std::string &endpoint, TimePoint now) const;
    /** Age of the oldest prompt in flight, timely or late. */
    Duration oldestPromptAge(const std::string &endpoint, TimePoint now) const;
    /** Whether a prefill that began then and has ended was the only one of this gateway at the endpoint during all that time. */
    bool wasAlone(const std::string &endpoint, TimePoint startedAt) const;
    /**
     * Factor on the time that work takes at the endpoint at present. Decays from the last reported value to 1 as the report ages; 1 for an
     * endpoint that reports none.
     */
    double slowdown(const std::string &endpoint, TimePoint now) const;
    /** Mean of the slowdowns that endpoints reported last; 1 if none did. */
    double meanReportedSlowdown() const;
    /** Fraction of this gateway's prompt tokens in flight that are timely, 0 to 1; used as an estimate for the other gateways too. */
    double timelyTokenFraction() const;

private:
    std::unordered_map<std::string, Load> loads_;
    /** Sums over all endpoints. */
    std::uint64_t promptTokens_ = 0;
    std::uint64_t timelyPromptTokens_ = 0;
};

inline std::size_t EndpointLoads::size() const
{
    return loads_.size();
}

}
