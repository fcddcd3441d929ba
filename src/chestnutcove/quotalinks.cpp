#include "quotalinks.h"

#include "rendezvous.h"
#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** Asks that wait longer than their timeout are of no use, so few of them are queued for a gateway that can't be reached. */
constexpr int MaxQueuedMessages = 200;
/** The accepting side closes connections of gateways that are gone. */
constexpr std::chrono::seconds ServerHeartbeatInterval{15};
constexpr std::chrono::seconds ServerHeartbeatTimeout{30};

LinkOptions clientOptions()
{
    LinkOptions options;
    options.heartbeatInterval = std::chrono::milliseconds::zero();
    options.maxQueuedMessages = MaxQueuedMessages;
    options.queuesUntilConnected = true;
    return options;
}

LinkOptions serverOptions()
{
    LinkOptions options;
    options.heartbeatInterval = ServerHeartbeatInterval;
    options.heartbeatTimeout = ServerHeartbeatTimeout;
    options.maxQueuedMessages = MaxQueuedMessages;
    return options;
}

}

QuotaLinks::QuotaLinks(asio::io_context &context, const Log &log)
    : ioContext_(context)
    , log_(log)
{
}

void QuotaLinks::setHandlers(wire::LimitKind kind, Handlers handlers)
{
    handlers_[kind] = std::move(handlers);
}

const QuotaLinks::Handlers *QuotaLinks::handlersOf(wire::LimitKind kind) const
{
    const auto it = handlers_.find(kind);
    return it == handlers_.end() ? nullptr : &it->second;
}

absl::Status QuotaLinks::start(const LinkKeys &keys, const std::string &ip, std::uint16_t port)
{
    keys_ = keys;
    linkContext_.emplace(ioContext_, keys, std::vector<std::string>{keys.publicKey});
    server_.emplace(
        *linkContext_,
        [this](const LinkServer::PeerId &peer, const wire::Envelope &message) { onServerMessage(peer, message); },
        serverOptions());
    if (const auto status = server_->bind(ip, port); !status.ok()) {
        server_.reset();
        linkContext_.reset();
        return status;
    }
    address_ = ip + ':' + std::to_string(server_->port());
    log_.info("quota links started", {{"address", address_}});
    return absl::OkStatus();
}

bool QuotaLinks::isStarted() const
{
    return server_.has_value();
}

const std::string &QuotaLinks::address() const
{
    return address_;
}

void QuotaLinks::onServerMessage(const LinkServer::PeerId &peer, const wire::Envelope &message)
{
    if (message.body_case() == wire::Envelope::kTokenRequest) {
        if (const Handlers *handlers = handlersOf(message.token_request().kind())) {
            wire::Envelope answer;
            *answer.mutable_token_grant() = handlers->onRequest(message.token_request());
            server_->send(peer, answer);
        }
    } else if (message.body_case() == wire::Envelope::kTokenReturn) {
        if (const Handlers *handlers = handlersOf(message.token_return().kind())) {
            handlers->onReturn(message.token_return());
        }
    }
}

bool QuotaLinks::send(const std::string &address, const wire::Envelope &message)
{
    if (!isStarted()) {
        return false;
    }
    const auto [it, isNew] = links_.try_emplace(address, Link{nullptr, ReconnectPolicy({}, rendezvousHash(address_ + address))});
    if (isNew) {
        it->second.client = std::make_unique<LinkClient>(
            *linkContext_,
            address,
            keys_.publicKey,
            [this, address](const wire::Envelope &answer) { onClientMessage(address, answer); },
            clientOptions());
    }
    return it->second.client->send(message);
}

void QuotaLinks::onClientMessage(const std::string &address, const wire::Envelope &message)
{
    if (const auto it = links_.find(address); it != links_.end()) {
        it->second.reconnectPolicy.onHeard();
    }
    if (message.body_case() != wire::Envelope::kTokenGrant) {
        return;
    }
    if (const Handlers *handlers = handlersOf(message.token_grant().kind())) {
        handlers->onGrant(message.token_grant());
    }
}

void QuotaLinks::onUnanswered(const std::string &address)
{
    const auto it = links_.find(address);
    if (it == links_.end() || !it->second.reconnectPolicy.onUnanswered(suspendAwareNow())) {
        return;
    }
    ++reconnectCount_;
    log_.warning("gateway does not answer; its connection is replaced", {{"address", address}});
    it->second.client->reconnect();
}

void QuotaLinks::retain(const std::vector<std::string> &addresses)
{
    std::erase_if(links_,
                  [&addresses](const auto &item) { return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end(); });
}

std::size_t QuotaLinks::linkCount() const
{
    return links_.size();
}

std::uint64_t QuotaLinks::reconnectCount() const
{
    return reconnectCount_;
}

}
