/**
 * HTTP client for one endpoint: an engine with the OpenAI chat interface and control calls, or a plain service. The interface that an
 * endpoint must offer is described in docs/OPERATIONS.md.
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
    /** Ok: the answer is complete. Unavailable: the call certainly did not reach the endpoint. */
    absl::Status status;
    int code = 0;
    std::string contentType;
    /** Body of an answer that was not streamed. */
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

/** Changes of the endpoint's prompt cache, or all cached blocks. */
struct CacheReport
{
    bool hasAllBlocks = false;
    /** Sequence number of the first event of a list of changes. */
    std::uint64_t firstEvent = 0;
    /** Sequence number of the first event after a list of all blocks. */
    std::uint64_t nextEvent = 0;
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

    void probeState(const std::function<void(absl::StatusOr<EndpointState>)> &onState);
    /** Reads the cache events from sequence number @p nextEvent on. */
    void readCacheEvents(std::uint64_t nextEvent, const std::function<void(absl::StatusOr<CacheReport>)> &onReport);
    /** Reads the list of all cached blocks. */
    void readCacheContents(const std::function<void(absl::StatusOr<CacheReport>)> &onReport);
    void sendOrder(const std::string &action,
                   const std::string &argument,
                   std::uint64_t fencingToken,
                   const std::function<void(absl::Status)> &onDone);

private:
    HttpCall controlCall(const std::string &path) const;

    HttpClient &httpClient_;
    /** Must outlive the adapter. */
    const SidecarSettings &settings_;
};

}
