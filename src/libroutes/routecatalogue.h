/**
 * The configuration set by a deployment's operators: routes, services, and customers with their keys and limits. Each version is an
 * immutable value; a process replaces it as a whole.
 */
#pragma once

#include "ratelimit.h"
#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** How often a request of a route may run. */
enum class RequestKind {
    /** May run any number of times. */
    Idempotent,
    /** Runs at most once. */
    NonIdempotent,
    /** An event stream; runs at most once unless the route is resumable. */
    Streaming,
};

struct WeightedService
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** Maximum time until the answer is complete. */
    Milliseconds timeout{0};
    /** Target for the time to the answer, or for a stream to the first event. */
    Milliseconds targetLatency{0};
    /** Target for the time between two events of a stream; 0 for routes without events. */
    Milliseconds targetEventGap{0};
    /** 0 is the most urgent. */
    int priority = 0;
    /** Never empty. */
    std::vector<WeightedService> services;
    /** Maximum number of endpoints that one request may be sent to. */
    unsigned maxAttempts = 1;
    /** Callers need no API key. */
    bool anonymous = false;
    /** Requests list the parts of their prompt. */
    bool listsPromptParts = false;
    /** A broken stream may be continued at another endpoint. */
    bool resumable = false;
    /** Regions whose endpoints may process its requests; empty for all. */
    std::vector<std::string> allowedRegions;

    /** Whether one request may run more than once. */
    bool mayRepeat() const;
};

/** Capacity of an engine; the same for all engines of a service. */
struct EngineTraits
{
    unsigned slots = 1;
    std::uint64_t kvCacheTokens = 0;
    std::uint64_t kvBytesPerToken = 0;
    double linkMegabitsPerSecond = 0;
    /** Time for which an engine is unavailable while it changes its stage. */
    Duration stageChangeTime{};
    /** Time for which a prefill engine holds a prefilled prompt until a decode engine fetches it. */
    Duration kvHandleLifetime{};
};

/** Bounds on the number of endpoints in one data centre. */
struct ScaleBounds
{
    unsigned minimum = 0;
    unsigned maximum = 0;
};

struct RoutedService
{
    std::string name;
    std::string healthPath;
    /** Maximum number of connections that one endpoint accepts from all its clients together; 0 for no limit. */
    unsigned maxConnections = 0;
    /** Requests a second that one cold endpoint tolerates, as the configuration states it; none unless it is finite and above 0. */
    double coldStartRate = 0;
    /** Time for which an endpoint is cold after it starts. */
    Duration coldStartTime{};
    /** Set for services of model engines only. */
    std::optional<EngineTraits> engine;
    /** Set if the number of endpoints can be scaled. */
    std::optional<ScaleBounds> scale;
};

struct CustomerQuota : RateLimit
{
    /** Overrides the route's priority if set. */
    std::optional<int> priority;
    /** The quota is counted in tokens instead of requests. */
    bool countsTokens = false;
    /** Tokens charged for a request that doesn't state its number of tokens. */
    double defaultRequestTokens = 1;
    /** Regions whose endpoints may process its requests; empty for all. */
    std::vector<std::string> allowedRegions;
};

/** Limits on the size and duration of callers' requests; 0 means no limit. */
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/** Whether callers need an API key on routes that are not anonymous. */
enum class KeyRequirement {
    /** The configuration has no list of customers at all. */
    None,
    /** It has one, which may be empty, or of which nothing may be readable: then no key is good. */
    Required,
};

struct RouteCatalogueData
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    KeyRequirement keyRequirement = KeyRequirement::None;
    std::vector<CustomerQuota> customers;
    /** From an API key to the index of its customer in customers. */
    std::unordered_map<std::string, std::size_t> customerIndexByKey;
    CallerLimits limits;
};

class RouteCatalogue
{
public:
    explicit RouteCatalogue(RouteCatalogueData data);

    std::uint64_t version() const;
    const CallerLimits &limits() const;
    const std::vector<Route> &routes() const;
    const std::vector<RoutedService> &services() const;
    const std::vector<CustomerQuota> &customers() const;

    /** The route of @p host with the longest prefix of @p path, or null. @p host may include a port. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const RoutedService *findService(std::string_view name) const;
    /** The customer that owns the API key, or null. */
    const CustomerQuota *findCustomer(const std::string &key) const;
    /** Whether callers need an API key on routes that are not anonymous. */
    bool needsKeys() const;
    /** Whether any customer has a limit. */
    bool hasQuotas() const;

private:
    RouteCatalogueData data_;
    /** Indices into the routes, by host, longest path prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_;
};

inline bool Route::mayRepeat() const
{
    return kind == RequestKind::Idempotent;
}

inline std::uint64_t RouteCatalogue::version() const
{
    return data_.version;
}

inline const CallerLimits &RouteCatalogue::limits() const
{
    return data_.limits;
}

inline const std::vector<Route> &RouteCatalogue::routes() const
{
    return data_.routes;
}

inline const std::vector<RoutedService> &RouteCatalogue::services() const
{
    return data_.services;
}

inline const std::vector<CustomerQuota> &RouteCatalogue::customers() const
{
    return data_.customers;
}

}
