/**
 * Chooses the endpoint of a request: the shortest predicted time to the first token, from late reports corrected by the gateway's own
 * dispatches since, with prefix affinity bounded by load.
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

/** What an endpoint's sidecar reported. */
struct EndpointLoad
{
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t slots = 1;
    /** Seconds of the endpoint that the queued and the running requests are expected to take. */
    double queuedSeconds = 0;
    double runningSeconds = 0;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
    bool draining = false;
    bool healthy = false;
    /** Served since the sidecar's start. */
    double promptTokensTotal = 0;
    double outputTokensTotal = 0;
    double requestsTotal = 0;
};

struct RouterOptions
{
    std::string dataCentre;
    /** Added to the predicted time of endpoints in other data centres. */
    Duration otherDataCentrePenalty = std::chrono::milliseconds(2);
    /** An affine endpoint is kept while its predicted time is below this factor of the best, plus the slack. */
    double affinityFactor = 1.5;
    Duration affinitySlack = std::chrono::milliseconds(20);
    /** Failures in a row after which an endpoint is on probation. */
    std::uint32_t ejectAfter = 3;
    Duration probation = std::chrono::seconds(2);
    /** A report older than this makes an endpoint no candidate. */
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
    /** Why, for the log and for "explain". */
    std::string reason;
};

class Router
{
public:
    explicit Router(RouterOptions options);

    void putEndpoint(const EndpointEntry &entry);
    void removeEndpoint(const std::string &name);
    /** A report; @p dispatchesIncluded says up to which of our dispatches to the endpoint it counts. */
    void report(const std::string &name, const EndpointLoad &load, std::uint64_t dispatchesIncluded, TimePoint now);
    void
    cacheChanged(const std::string &name, bool reset, const std::vector<std::uint64_t> &stored, const std::vector<std::uint64_t> &evicted);
    void linkLost(const std::string &name);

    std::optional<RouteChoice> choose(const RouteQuery &query, TimePoint now);
    /** Counts a dispatch of ours; @return its number, for report(). */
    std::uint64_t dispatched(const std::string &name, const RouteQuery &query, TimePoint now);
    void succeeded(const std::string &name);
    void failed(const std::string &name, TimePoint now);

    /** Endpoints of that model or service that could take work now. */
    std::size_t candidates(const std::string &serves, TimePoint now) const;

    struct Endpoint
    {
        EndpointEntry entry;
        std::uint64_t nameHash = 0;
        EndpointLoad load;
        bool reported = false;
        TimePoint reportedAt;
        std::uint32_t failures = 0;
        TimePoint probationUntil;
        struct OwnDispatch
        {
            std::uint64_t number = 0;
            double seconds = 0;
        };
        /** Ours that the last report did not count yet. */
        std::vector<OwnDispatch> uncounted;
        std::uint64_t dispatches = 0;
        std::unordered_set<std::uint64_t> blocks;
    };
    const std::map<std::string, Endpoint> &endpoints() const;

private:
    bool isCandidate(const Endpoint &endpoint, const RouteQuery &query, TimePoint now) const;
    Duration predict(const Endpoint &endpoint, const RouteQuery &query, std::size_t cachedBlocks) const;
    std::size_t cachedBlocks(const Endpoint &endpoint, const std::vector<std::uint64_t> &blocks) const;

    RouterOptions options_;
    std::map<std::string, Endpoint> endpoints_;
    /** Names by model or service, so that a decision looks only at what could serve. */
    std::unordered_map<std::string, std::vector<Endpoint *>> byServes_;
};

inline const std::map<std::string, Router::Endpoint> &Router::endpoints() const
{
    return endpoints_;
}

}
