#include "endpointlinks.h"

#include "suspendclock.h"

#include <utility>

namespace Chestnutcove {

namespace {

/** Time for which the link of a removed endpoint is kept for answers that are still in progress. */
constexpr std::chrono::minutes RetiredLinkLifetime{10};
constexpr std::chrono::seconds ConnectTimeout{1};

LinkKey linkKeyOf(const EndpointEntry &entry)
{
    return entry.name + "@" + entry.sidecar;
}

}

EndpointLoad toEndpointLoad(const wire::Load &load)
{
    EndpointLoad result;
    result.queued = load.queued();
    result.running = load.running();
    result.slots = load.slots();
    result.queuedSeconds = load.queued_seconds();
    result.runningSeconds = load.running_seconds();
    result.prefillSeconds = load.prefill_seconds();
    result.prefillTokensPerSecond = load.prefill_tokens_per_second();
    result.decodeTokensPerSecond = load.decode_tokens_per_second();
    result.draining = load.draining();
    result.healthy = load.healthy();
    result.promptTokensTotal = load.prompt_tokens_total();
    result.outputTokensTotal = load.output_tokens_total();
    result.requestsTotal = load.requests_total();
    return result;
}

EndpointLinks::EndpointLinks(LinkContext &linkContext,
                             Router &router,
                             const Log &log,
                             EndpointLinkOptions options,
                             MessageHandler onMessage,
                             LinkLostHandler onLinkLost)
    : linkContext_(linkContext)
    , router_(router)
    , log_(log)
    , options_(std::move(options))
    , onMessage_(std::move(onMessage))
    , onLinkLost_(std::move(onLinkLost))
{
}

void EndpointLinks::setCatalogue(const Catalogue &catalogue, TimePoint now)
{
    for (const auto &[name, entry] : catalogue.endpoints()) {
        router_.putEndpoint(*entry);
        const LinkKey key = linkKeyOf(*entry);
        const auto previous = currentLinks_.find(name);
        if (previous != currentLinks_.end() && previous->second != key) {
            linksByKey_.at(previous->second).isRetired = true;
            linksByKey_.at(previous->second).retiredAt = now;
            router_.onLinkLost(name);
        }
        currentLinks_[name] = key;
        if (!linksByKey_.contains(key)) {
            openLink(*entry, key, now);
        }
        linksByKey_.at(key).isDrainRequested = entry->draining;
        linksByKey_.at(key).isRetired = false;
    }
    std::erase_if(currentLinks_, [&](const auto &item) {
        if (catalogue.endpoints().contains(item.first)) {
            return false;
        }
        router_.removeEndpoint(item.first);
        Link &link = linksByKey_.at(item.second);
        link.isRetired = true;
        link.retiredAt = now;
        return true;
    });
}

void EndpointLinks::openLink(const EndpointEntry &entry, const LinkKey &key, TimePoint now)
{
    Link link;
    link.endpoint = entry.name;
    link.connectStartedAt = now;
    link.client = std::make_unique<LinkClient>(
        linkContext_, entry.sidecar, options_.sidecarKey, [this, key](const wire::Envelope &message) { onLinkMessage(key, message); });
    linksByKey_.emplace(key, std::move(link));
}

void EndpointLinks::sendHeartbeats(TimePoint now)
{
    std::erase_if(linksByKey_,
                  [now](const auto &item) { return item.second.isRetired && now - item.second.retiredAt > RetiredLinkLifetime; });
    std::vector<LinkKey> lost;
    for (auto &[key, link] : linksByKey_) {
        wire::Envelope message;
        auto *heartbeat = message.mutable_heartbeat();
        heartbeat->set_incarnation(options_.incarnation);
        heartbeat->set_number(++link.lastHeartbeatNumber);
        heartbeat->set_gateway(options_.gateway);
        heartbeat->set_drain(link.isDrainRequested);
        heartbeat->set_cache_cursor(link.cacheCursor);
        heartbeat->set_cache_incarnation(link.newestTick.incarnation);
        const auto known = router_.endpoints().find(link.endpoint);
        const std::uint64_t dispatches = known == router_.endpoints().end() ? 0 : known->second.lastDispatchNumber;
        link.sentHeartbeats.push_back({link.lastHeartbeatNumber, now, dispatches});
        const bool sent = link.client->send(message);
        const bool isUnresponsive = link.isAlive && (!sent || now - link.lastHeard > options_.timeout);
        const bool isConnectTimedOut = !link.isAlive && now - link.connectStartedAt > ConnectTimeout;
        if (isUnresponsive || isConnectTimedOut) {
            lost.push_back(key);
        }
    }
    for (const LinkKey &key : lost) {
        const auto it = linksByKey_.find(key);
        if (it != linksByKey_.end()) {
            markLost(key, it->second, now);
        }
    }
}

void EndpointLinks::markLost(const LinkKey &key, Link &link, TimePoint now)
{
    const bool wasAlive = std::exchange(link.isAlive, false);
    link.sentHeartbeats.clear();
    link.connectStartedAt = now;
    link.client->reconnect();
    if (!wasAlive) {
        return;
    }
    log_.warning("link to sidecar lost", {{"endpoint", link.endpoint}});
    if (!link.isRetired) {
        router_.onLinkLost(link.endpoint);
    }
    onLinkLost_(key);
}

bool EndpointLinks::send(const LinkKey &key, const wire::Envelope &message)
{
    const auto it = linksByKey_.find(key);
    return it != linksByKey_.end() && it->second.client->send(message);
}

void EndpointLinks::onLinkMessage(const LinkKey &key, const wire::Envelope &message)
{
    const auto now = suspendAwareNow();
    const auto it = linksByKey_.find(key);
    if (it == linksByKey_.end()) {
        return;
    }
    it->second.lastHeard = now;
    if (message.body_case() == wire::Envelope::kHeartbeatReply) {
        onHeartbeatReply(it->second, message.heartbeat_reply(), now);
        return;
    }
    onMessage_(key, message);
}

void EndpointLinks::onHeartbeatReply(Link &link, const wire::HeartbeatReply &reply, TimePoint now)
{
    while (!link.sentHeartbeats.empty() && link.sentHeartbeats.front().number < reply.number()) {
        link.sentHeartbeats.pop_front();
    }
    if (link.sentHeartbeats.empty() || link.sentHeartbeats.front().number != reply.number()) {
        return;
    }
    const Link::SentHeartbeat answered = link.sentHeartbeats.front();
    if (!link.isAlive) {
        log_.info("link to sidecar up", {{"endpoint", link.endpoint}});
    }
    link.isAlive = true;
    link.newestTick = {reply.sidecar_incarnation(), reply.tick_us()};
    link.newestTickRequestedAt = answered.sentAt;
    link.highestEpoch = reply.highest_epoch();
    link.cacheCursor = reply.cache_cursor();
    link.reportedRole = reply.load().role();
    if (link.isRetired) {
        return;
    }
    router_.updateLoad(link.endpoint, toEndpointLoad(reply.load()), answered.dispatches, now);
    if (reply.cache_reset() || reply.cached_blocks_size() > 0 || reply.evicted_blocks_size() > 0) {
        router_.updateCachedBlocks(link.endpoint,
                                   reply.cache_reset(),
                                   {reply.cached_blocks().begin(), reply.cached_blocks().end()},
                                   {reply.evicted_blocks().begin(), reply.evicted_blocks().end()});
    }
}

std::optional<LinkKey> EndpointLinks::currentLinkTo(const std::string &endpoint) const
{
    const auto it = currentLinks_.find(endpoint);
    if (it == currentLinks_.end() || !linksByKey_.at(it->second).isAlive) {
        return std::nullopt;
    }
    return it->second;
}

Tick EndpointLinks::newestTick(const LinkKey &key) const
{
    const auto it = linksByKey_.find(key);
    return it == linksByKey_.end() ? Tick{} : it->second.newestTick;
}

TimePoint EndpointLinks::newestTickRequestedAt(const LinkKey &key) const
{
    const auto it = linksByKey_.find(key);
    return it == linksByKey_.end() ? TimePoint{} : it->second.newestTickRequestedAt;
}

std::uint64_t EndpointLinks::highestEpoch(const LinkKey &key) const
{
    const auto it = linksByKey_.find(key);
    return it == linksByKey_.end() ? 0 : it->second.highestEpoch;
}

std::string EndpointLinks::endpointNameOf(const LinkKey &key) const
{
    const auto it = linksByKey_.find(key);
    return it == linksByKey_.end() ? std::string() : it->second.endpoint;
}

std::string EndpointLinks::reportedRole(const LinkKey &key) const
{
    const auto it = linksByKey_.find(key);
    return it == linksByKey_.end() ? std::string() : it->second.reportedRole;
}

std::vector<LinkKey> EndpointLinks::activeLinkKeys() const
{
    std::vector<LinkKey> result;
    for (const auto &[key, link] : linksByKey_) {
        if (link.isAlive && !link.isRetired) {
            result.push_back(key);
        }
    }
    return result;
}

}
