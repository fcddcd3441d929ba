/**
 * Links over which gateways ask each other for units of limits. A link is opened when its gateway is first asked, and has no heartbeats:
 * each ask has a timeout of its own, so the cost of the links doesn't grow with the fleet.
 */
#pragma once

#include "link.h"
#include "log.h"
#include "reconnectpolicy.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

class QuotaLinks
{
public:
    struct Handlers
    {
        /** Answers the token request of another gateway. */
        std::function<wire::TokenGrant(const wire::TokenRequest &)> onRequest;
        std::function<void(const wire::TokenGrant &)> onGrant;
        std::function<void(const wire::TokenReturn &)> onReturn;
    };

    QuotaLinks(asio::io_context &context, const Log &log);

    /** Sets who handles the messages about limits of this kind. */
    void setHandlers(wire::LimitKind kind, Handlers handlers);

    /**
     * Begins to listen.
     * @param keys key pair that all gateways of the fleet share; a process without it can neither ask nor answer.
     * @param port 0 selects a free port.
     */
    absl::Status start(const LinkKeys &keys, const std::string &ip, std::uint16_t port);
    bool isStarted() const;
    /** "IP:port" at which other gateways reach this one; empty until it listens. */
    const std::string &address() const;

    /** @return false if the message can't be queued. */
    bool send(const std::string &address, const wire::Envelope &message);
    /** A message to the gateway was not answered in time. Replaces the connection if it seems to be dead; messages in flight are lost. */
    void onUnanswered(const std::string &address);
    /** Closes the links to all gateways but these. */
    void retain(const std::vector<std::string> &addresses);
    std::size_t linkCount() const;
    /** Connections that were replaced, since the start. */
    std::uint64_t reconnectCount() const;

private:
    struct Link
    {
        std::unique_ptr<LinkClient> client;
        ReconnectPolicy reconnectPolicy;
    };

    /** The handlers of messages of this kind, or null. */
    const Handlers *handlersOf(wire::LimitKind kind) const;
    void onClientMessage(const std::string &address, const wire::Envelope &message);
    void onServerMessage(const LinkServer::PeerId &peer, const wire::Envelope &message);

    asio::io_context &ioContext_;
    const Log &log_;
    std::map<wire::LimitKind, Handlers> handlers_;
    std::string address_;
    LinkKeys keys_;
    std::optional<LinkContext> linkContext_;
    std::optional<LinkServer> server_;
    /** By address. */
    std::unordered_map<std::string, Link> links_;
    std::uint64_t reconnectCount_ = 0;
};

}
