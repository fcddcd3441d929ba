/**
 * The sidecar process: the only one that talks to its endpoint. It queues and dispatches the requests of all gateways, passes on orders in
 * sequence, and reports load and cache contents.
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
    /** @param incarnation random for each start. */
    Sidecar(SidecarSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);

    absl::Status start();
    std::uint16_t port() const;
    /** Stops gracefully: nothing new, running requests finish, then @p onStopped. */
    void stop(std::function<void()> onStopped);

private:
    struct Running
    {
        LinkServer::PeerId peer;
        wire::Submit submit;
        HttpClient::CallId call = 0;
        bool dispatched = false;
        TimePoint dispatchedAt;
        TimePoint firstTokenAt;
        std::uint64_t chunks = 0;
        std::uint64_t sentTokens = 0;
        std::uint64_t allowance = 0;
        /** Events beyond the allowance, in order. */
        std::deque<EndpointEvent> held;
        /** The answer's end, kept until all held events were sent. */
        std::optional<EndpointResult> result;
        std::uint64_t outputTokens = 0;
    };
    struct Gateway
    {
        LinkServer::PeerId peer;
        std::string name;
        TimePoint lastHeard;
    };

    void receive(const LinkServer::PeerId &peer, const wire::Envelope &message);
    void onSubmit(const LinkServer::PeerId &peer, const wire::Submit &submit);
    void onCancel(const LinkServer::PeerId &peer, const wire::Cancel &cancel);
    void onAllowance(const wire::Allowance &allowance);
    void onHeartbeat(const LinkServer::PeerId &peer, const wire::Heartbeat &heartbeat);
    void onOrder(const LinkServer::PeerId &peer, const wire::Order &order);
    /** Drains the endpoint, then orders, then verifies. */
    void advanceOrder(TimePoint now);
    void completeOrder(bool done, const std::string &message);

    void dispatchReady();
    void call(const RequestId &id, Running &running);
    void onEvents(const RequestId &id, std::vector<EndpointEvent> events);
    void onResult(const RequestId &id, EndpointResult result);
    void flush(const RequestId &id, Running &running);
    void sendChunk(const RequestId &id, Running &running, wire::Chunk chunk);
    void finish(const RequestId &id, Running &running);
    void refuse(const LinkServer::PeerId &peer, const RequestId &id, RefusalReason reason, Duration retryAfter);
    void refuseAll(const std::vector<Refusal> &refusals);
    /** The caller is gone, or the gateway is: the endpoint need not go on, if the call may be given up. */
    void abandon(const RequestId &id);

    void tick();
    void probe();
    void pollCache();
    void checkGateways(TimePoint now);
    void fillLoad(wire::Load &load) const;
    nlohmann::json dump() const;

    SidecarSettings settings_;
    asio::io_context &context_;
    const Log &log_;
    Metrics &metrics_;
    LinkContext links_;
    LinkServer server_;
    HttpClient client_;
    EndpointAdapter endpoint_;
    TickClock clock_;
    Dispatcher dispatcher_;
    OrderGuard orders_;
    CacheIndex cache_;
    asio::steady_timer tickTimer_;
    asio::steady_timer probeTimer_;
    /** Queued and dispatched requests. */
    std::unordered_map<RequestId, Running, RequestIdHash> requests_;
    std::unordered_map<std::uint64_t, Gateway> gateways_;
    EndpointState state_;
    std::string lastOrder_;
    /** Taken and waiting for running requests to finish, or being carried out. */
    struct PendingOrder
    {
        LinkServer::PeerId peer;
        wire::Order order;
        bool sent = false;
        /** The endpoint took it; its effect is to be seen in a probe until then. */
        TimePoint verifyUntil;
        bool verifying = false;
    };
    std::optional<PendingOrder> pendingOrder_;
    double promptTokensTotal_ = 0;
    double outputTokensTotal_ = 0;
    double requestsTotal_ = 0;
    std::uint32_t failedProbes_ = 0;
    bool cacheBusy_ = false;
    bool catalogueDrain_ = false;
    std::function<void()> onStopped_;
};

}
