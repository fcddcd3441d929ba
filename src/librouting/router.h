/**
 * Chooses the endpoint of a request by the shortest predicted time to the first token. The prediction combines the endpoints' load reports,
 * which lag, with the dispatches that this gateway made since. Prefix affinity applies within a load bound.
 */
#pragma once

#include "entry.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Chestnutcove {

/** A load report of an endpoint's sidecar. */
struct EndpointLoad
{
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t slots = 1;
    /** Seconds of the endpoint that the queued and the running requests are expected to take. */
    double queuedSeconds = 0;
    double runningSeconds = 0;
    /** Seconds until the endpoint has read the prompts of the requests that it runs. Prompts are read one after the other. */
    double prefillSeconds = 0;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
    bool draining = false;
    bool healthy = false;
    /** Totals of what was served since the sidecar started. */
    double promptTokensTotal = 0;
    double outputTokensTotal = 0;
    double requestsTotal = 0;
};

struct RouterOptions
{
    std::string dataCentre;
    /** Added to the predicted time of endpoints in other data centres. */
    Duration otherDataCentrePenalty = std::chrono::milliseconds(2);
    /** The endpoint with prefix affinity is preferred while its predicted time is at most this factor of the best one, plus the slack. */
    double affinityFactor = 1.5;
    Duration affinitySlack = std::chrono::milliseconds(20);
    /** Consecutive failures after which an endpoint is ejected. */
    std::uint32_t failuresToEject = 3;
    /** Time for which an ejected endpoint is no candidate; one further failure after it ejects the endpoint again. */
    Duration ejectionTime = std::chrono::seconds(2);
    /** An endpoint whose last report is older than this is no candidate. */
    Duration reportTimeout = std::chrono::milliseconds(1500);
};

struct RouteQuery
{
    /** Model or service name. */
    std::string serves;
    double promptTokens = 0;
    double outputTokens = 0;
    std::vector<std::uint64_t> blocks;
    /** Endpoints that refused or failed this request. */
    std::vector<std::string> excluded;
};

struct RouteChoice
{
    std::string endpoint;
    Duration predicted{};
    std::size_t cachedBlocks = 0;
    /** Why the endpoint was chosen, for the log and for "explain". */
    std::string reason;
};

class Router
{
public:
    explicit Router(RouterOptions options);

    void putEndpoint(const EndpointEntry &entry);
    void removeEndpoint(const std::string &name);
    /** Takes over a load report; @p dispatchesIncluded is the number of this gateway's last dispatch that the report includes. */
    void updateLoad(const std::string &name, const EndpointLoad &load, std::uint64_t dispatchesIncluded, TimePoint now);
    /** Takes over a change of the endpoint's cached blocks; @p reset first discards those known before. */
    void updateCachedBlocks(const std::string &name,
                            bool reset,
                            const std::vector<std::uint64_t> &stored,
                            const std::vector<std::uint64_t> &evicted);
    void onLinkLost(const std::string &name);

    std::optional<RouteChoice> choose(const RouteQuery &query, TimePoint now);
    /** Records a dispatch of this gateway; @return its number, to which dispatchesIncluded of updateLoad() refers. */
    std::uint64_t recordDispatch(const std::string &name, const RouteQuery &query, TimePoint now);
    void recordSuccess(const std::string &name);
    void recordFailure(const std::string &name, TimePoint now);

    /** Number of endpoints of that model or service that could take a request now. */
    std::size_t candidateCount(const std::string &serves, TimePoint now) const;

    struct Endpoint
    {
        EndpointEntry entry;
        std::uint64_t nameHash = 0;
        EndpointLoad load;
        bool hasReport = false;
        TimePoint reportedAt;
        std::uint32_t failures = 0;
        TimePoint ejectedUntil;
        struct Dispatch
        {
            std::uint64_t number = 0;
            double seconds = 0;
            TimePoint at;
            double prefillSeconds = 0;
        };
        /** Dispatches of this gateway that the last report does not include yet. */
        std::vector<Dispatch> unreportedDispatches;
        std::uint64_t lastDispatchNumber = 0;
        /** When the endpoint will have read the prompts of all reported requests and unreported dispatches. */
        TimePoint prefillFreeAt;
        std::unordered_set<std::uint64_t> blocks;
    };
    const std::map<std::string, Endpoint> &endpoints() const;

private:
    bool isCandidate(const Endpoint &endpoint, const RouteQuery &query, TimePoint now) const;
    Duration predictFirstTokenTime(const Endpoint &endpoint, const RouteQuery &query, std::size_t cachedBlocks, TimePoint now) const;
    std::size_t cachedPrefixBlocks(const Endpoint &endpoint, const std::vector<std::uint64_t> &blocks) const;

    RouterOptions options_;
    std::map<std::string, Endpoint> endpoints_;
    /** Endpoints by model or service, so that a choice examines only those that serve it. */
    std::unordered_map<std::string, std::vector<Endpoint *>> endpointsByServes_;
};

inline const std::map<std::string, Router::Endpoint> &Router::endpoints() const
{
    return endpoints_;
}

}
