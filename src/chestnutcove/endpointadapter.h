/**
 * Speaks to one endpoint over HTTP: an engine with the OpenAI chat interface and its control calls, or a plain service. The contract is in
 * docs/OPERATIONS.md.
 */
#pragma once

#include "cacheindex.h"
#include "httpclient.h"
#include "settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct EndpointCall
{
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string requestId;
    bool stream = false;
    bool atMostOnce = false;
};

/** One event of a streamed answer. */
struct EndpointEvent
{
    /** JSON text of an OpenAI "choices" list. */
    std::string choices;
    std::uint64_t tokens = 0;
};

struct EndpointResult
{
    /** Ok: the endpoint answered whole. Unavailable: the call certainly did not reach it. */
    absl::Status status;
    int code = 0;
    std::string contentType;
    /** Of an answer that was not streamed. */
    std::string body;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t cachedTokens = 0;
};

struct EndpointState
{
    std::string role;
    std::string model;
    std::uint64_t running = 0;
};

struct CacheReport
{
    bool whole = false;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<CacheEvent> events;
};

class EndpointAdapter
{
public:
    EndpointAdapter(HttpClient &client, const SidecarSettings &settings);

    using EventsHandler = std::function<void(std::vector<EndpointEvent>)>;
    using ResultHandler = std::function<void(EndpointResult)>;
    HttpClient::CallId send(const EndpointCall &call, EventsHandler onEvents, ResultHandler onResult);
    void cancel(HttpClient::CallId id);

    void probe(const std::function<void(absl::StatusOr<EndpointState>)> &onState);
    void readCacheEvents(std::uint64_t after, const std::function<void(absl::StatusOr<CacheReport>)> &onReport);
    void readCache(const std::function<void(absl::StatusOr<CacheReport>)> &onReport);
    void
    order(const std::string &action, const std::string &argument, std::uint64_t fencing, const std::function<void(absl::Status)> &onDone);

private:
    HttpCall get(const std::string &path) const;

    HttpClient &client_;
    /** Must outlive the adapter. */
    const SidecarSettings &settings_;
};

}
