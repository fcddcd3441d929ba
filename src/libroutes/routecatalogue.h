/**
 * What the operators of a deployment have configured: routes, services, customers with their keys and limits. One immutable value for each
 * version; the process replaces it as a whole.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** What may be repeated on a route. */
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
    /** Longest time that a caller is kept waiting for the whole answer. */
    Milliseconds timeout{0};
    /** Time to the answer, or to the first event, that is still good. */
    Milliseconds targetLatency{0};
    /** Longest pause between two events that is still good; 0 where there are no events. */
    Milliseconds eventGap{0};
    /** 0 is the most urgent. */
    int priority = 0;
    /** At least one. */
    std::vector<WeightedService> services;
    /** Endpoints that one request may be sent to. */
    unsigned maxAttempts = 1;
    /** No key is needed. */
    bool anonymous = false;
    /** Requests name the parts of their prompt. */
    bool carriesPrompt = false;
    /** A broken stream may go on at another endpoint. */
    bool resumable = false;

    /** Whether one request may run more than once. */
    bool mayRepeat() const;
};

/** What an engine is made of, the same for all engines of a service. */
struct EngineTraits
{
    unsigned slots = 1;
    std::uint64_t cacheTokens = 0;
    std::uint64_t cacheBytesPerToken = 0;
    double linkMegabitsPerSecond = 0;
    /** Time that a change of stage takes an engine away. */
    Duration stageChange{};
    /** Time that a prefilled prompt waits for its decode engine. */
    Duration handleLifetime{};
};

/** Bounds of the number of endpoints in one data centre. */
struct ScaleBounds
{
    unsigned minimum = 0;
    unsigned maximum = 0;
};

struct RoutedService
{
    std::string name;
    std::string healthPath;
    /** Connections that one endpoint accepts from all callers together; 0 for no limit. */
    unsigned maxConnections = 0;
    /** Present for model engines. */
    std::optional<EngineTraits> engine;
    /** Present where endpoints can be ordered. */
    std::optional<ScaleBounds> scale;
};

struct CustomerQuota
{
    std::string name;
    /** Goes before the route's priority where present. */
    std::optional<int> priority;
    /** The quota counts tokens and not requests. */
    bool countsTokens = false;
    /** Tokens of a request that doesn't say how many it has. */
    double tokensOfPlainRequest = 1;
    /** Units a second; 0 for no limit. */
    double rate = 0;
    double burst = 0;
};

/** What a caller may send, and how long it may take. 0 means no limit. */
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

struct RouteCatalogueData
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::vector<CustomerQuota> customers;
    /** From a caller's key to an index into customers. */
    std::unordered_map<std::string, std::size_t> customerOfKey;
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

    /** The route with the longest prefix of @p path among those of @p host, or null. @p host may carry a port. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const RoutedService *findService(std::string_view name) const;
    /** The customer that holds the key, or null. */
    const CustomerQuota *customerOfKey(const std::string &key) const;
    /** Callers need a key on routes that are not anonymous. */
    bool needsKeys() const;

private:
    RouteCatalogueData data_;
    /** Indices into the routes, longest prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> routesOfHost_;
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
