/**
 * The sidecar process, the only one that talks to its endpoint. It queues and dispatches the requests of all gateways, forwards orders to
 * the endpoint one at a time, and reports load and cache contents to the gateways.
 */
#pragma once

#include "cacheindex.h"
#include "dispatcher.h"
#include "endpointadapter.h"
#include "httpclient.h"
#include "link.h"
#include "log.h"
#include "metrics.h"
#include "orderguard.h"
#include "settings.h"
#include "tickclock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

class Sidecar
{
public:
    /** @param incarnation a random number that identifies this run of the process. */
    Sidecar(SidecarSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);

    absl::Status start();
    std::uint16_t port() const;
    /** Stops gracefully: refuses new and queued requests, lets running ones finish, then calls @p onStopped. */
    void stop(std::function<void()> onStopped);

private:
    /** A queued or dispatched request. */
    struct TrackedRequest
    {
        LinkServer::PeerId peer;
        wire::Submit submit;
        HttpClient::CallId endpointCall = 0;
        bool isDispatched = false;
        TimePoint dispatchedAt;
        TimePoint firstTokenAt;
        std::uint64_t sentChunks = 0;
        std::uint64_t sentTokens = 0;
        std::uint64_t allowance = 0;
        /** Events that are not sent yet because they exceed the allowance, in order. */
        std::deque<EndpointEvent> withheldEvents;
        /** How the endpoint's answer ended; kept until all withheld events are sent. */
        std::optional<EndpointResult> result;
        std::uint64_t outputTokens = 0;
    };
    struct GatewayPeer
    {
        LinkServer::PeerId peer;
        std::string name;
        TimePoint lastHeard;
    };

    void onLinkMessage(const LinkServer::PeerId &peer, const wire::Envelope &message);
    void onSubmit(const LinkServer::PeerId &peer, const wire::Submit &submit);
    void onCancel(const LinkServer::PeerId &peer, const wire::Cancel &cancel);
    void onAllowance(const wire::Allowance &allowance);
    void onHeartbeat(const LinkServer::PeerId &peer, const wire::Heartbeat &heartbeat);
    void onOrder(const LinkServer::PeerId &peer, const wire::Order &order);
    /** Takes the pending order's next step: waits until no request runs, sends the order, then verifies its effect. */
    void advancePendingOrder(TimePoint now);
    void completePendingOrder(bool done, const std::string &message);

    void dispatchQueued();
    void callEndpoint(const RequestId &id, TrackedRequest &request);
    void onEvents(const RequestId &id, std::vector<EndpointEvent> events);
    void onResult(const RequestId &id, EndpointResult result);
    void sendAllowedEvents(const RequestId &id, TrackedRequest &request);
    void sendChunk(const RequestId &id, TrackedRequest &request, wire::Chunk chunk);
    void finishRequest(const RequestId &id, TrackedRequest &request);
    void sendRefusal(const LinkServer::PeerId &peer, const RequestId &id, RefusalReason reason, Duration retryAfter);
    void sendRefusals(const std::vector<Refusal> &refusals);
    /** Drops a dispatched request whose caller or gateway is gone, and cancels its call if the request is idempotent. */
    void abandonRequest(const RequestId &id);

    void onTick();
    void probeEndpoint();
    void pollCache();
    void dropUnresponsiveGateways(TimePoint now);
    void fillLoad(wire::Load &load) const;
    nlohmann::json dump() const;

    SidecarSettings settings_;
    asio::io_context &ioContext_;
    const Log &log_;
    Metrics &metrics_;
    LinkContext linkContext_;
    LinkServer server_;
    HttpClient httpClient_;
    EndpointAdapter endpointAdapter_;
    TickClock tickClock_;
    Dispatcher dispatcher_;
    OrderGuard orderGuard_;
    CacheIndex cacheIndex_;
    asio::steady_timer tickTimer_;
    asio::steady_timer probeTimer_;
    /** Queued and dispatched requests by id. */
    std::unordered_map<RequestId, TrackedRequest, RequestIdHash> requests_;
    std::unordered_map<std::uint64_t, GatewayPeer> gateways_;
    EndpointState endpointState_;
    std::string lastOrder_;
    /** An accepted order that waits for running requests to finish, or is being executed. */
    struct PendingOrder
    {
        LinkServer::PeerId peer;
        wire::Order order;
        bool isSent = false;
        /** Once the endpoint has accepted the order, a probe must show its effect before this time. */
        TimePoint verifyDeadline;
        bool isVerifying = false;
    };
    std::optional<PendingOrder> pendingOrder_;
    double promptTokensTotal_ = 0;
    double outputTokensTotal_ = 0;
    double requestsTotal_ = 0;
    std::uint32_t failedProbes_ = 0;
    bool isReadingCache_ = false;
    bool isDrainedByCatalogue_ = false;
    std::function<void()> onStopped_;
};

}
