#include "endpointlinks.h"

#include "suspendclock.h"

#include <utility>

namespace Chestnutcove {

namespace {

/** How long the link of a removed endpoint stays for the answers that still run there. */
constexpr std::chrono::minutes RetireTime{10};
constexpr std::chrono::seconds ConnectPatience{1};

LinkKey keyOf(const EndpointEntry &entry)
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
    result.prefillTokensPerSecond = load.prefill_tokens_per_second();
    result.decodeTokensPerSecond = load.decode_tokens_per_second();
    result.draining = load.draining();
    result.healthy = load.healthy();
    result.promptTokensTotal = load.prompt_tokens_total();
    result.outputTokensTotal = load.output_tokens_total();
    result.requestsTotal = load.requests_total();
    return result;
}

EndpointLinks::EndpointLinks(
    LinkContext &links, Router &router, const Log &log, EndpointLinkOptions options, MessageHandler onMessage, LostHandler onLost)
    : links_(links)
    , router_(router)
    , log_(log)
    , options_(std::move(options))
    , onMessage_(std::move(onMessage))
    , onLost_(std::move(onLost))
{
}

void EndpointLinks::update(const Catalogue &catalogue, TimePoint now)
{
    for (const auto &[name, entry] : catalogue.endpoints()) {
        router_.putEndpoint(*entry);
        const LinkKey key = keyOf(*entry);
        const auto previous = current_.find(name);
        if (previous != current_.end() && previous->second != key) {
            byKey_.at(previous->second).retired = true;
            byKey_.at(previous->second).retiredAt = now;
            router_.onLinkLost(name);
        }
        current_[name] = key;
        if (!byKey_.contains(key)) {
            open(*entry, key, now);
        }
        byKey_.at(key).drain = entry->draining;
        byKey_.at(key).retired = false;
    }
    std::erase_if(current_, [&](const auto &item) {
        if (catalogue.endpoints().contains(item.first)) {
            return false;
        }
        router_.removeEndpoint(item.first);
        Link &link = byKey_.at(item.second);
        link.retired = true;
        link.retiredAt = now;
        return true;
    });
}

void EndpointLinks::open(const EndpointEntry &entry, const LinkKey &key, TimePoint now)
{
    Link link;
    link.endpoint = entry.name;
    link.connectedAt = now;
    link.client = std::make_unique<LinkClient>(
        links_, entry.sidecar, options_.sidecarKey, [this, key](const wire::Envelope &message) { receive(key, message); });
    byKey_.emplace(key, std::move(link));
}

void EndpointLinks::beat(TimePoint now)
{
    std::erase_if(byKey_, [now](const auto &item) { return item.second.retired && now - item.second.retiredAt > RetireTime; });
    std::vector<LinkKey> lost;
    for (auto &[key, link] : byKey_) {
        wire::Envelope message;
        auto *heartbeat = message.mutable_heartbeat();
        heartbeat->set_incarnation(options_.incarnation);
        heartbeat->set_number(++link.heartbeats);
        heartbeat->set_gateway(options_.gateway);
        heartbeat->set_drain(link.drain);
        heartbeat->set_cache_cursor(link.cacheCursor);
        heartbeat->set_cache_incarnation(link.tick.incarnation);
        const auto known = router_.endpoints().find(link.endpoint);
        const std::uint64_t dispatches = known == router_.endpoints().end() ? 0 : known->second.lastDispatchNumber;
        link.sent.push_back({link.heartbeats, now, dispatches});
        const bool sent = link.client->send(message);
        const bool silent = link.alive && (!sent || now - link.lastHeard > options_.timeout);
        const bool unreachable = !link.alive && now - link.connectedAt > ConnectPatience;
        if (silent || unreachable) {
            lost.push_back(key);
        }
    }
    for (const LinkKey &key : lost) {
        const auto it = byKey_.find(key);
        if (it != byKey_.end()) {
            lose(key, it->second, now);
        }
    }
}

void EndpointLinks::lose(const LinkKey &key, Link &link, TimePoint now)
{
    const bool wasAlive = std::exchange(link.alive, false);
    link.sent.clear();
    link.connectedAt = now;
    link.client->reconnect();
    if (!wasAlive) {
        return;
    }
    log_.warning("link to sidecar lost", {{"endpoint", link.endpoint}});
    if (!link.retired) {
        router_.onLinkLost(link.endpoint);
    }
    onLost_(key);
}

bool EndpointLinks::send(const LinkKey &key, const wire::Envelope &message)
{
    const auto it = byKey_.find(key);
    return it != byKey_.end() && it->second.client->send(message);
}

void EndpointLinks::receive(const LinkKey &key, const wire::Envelope &message)
{
    const auto now = suspendAwareNow();
    const auto it = byKey_.find(key);
    if (it == byKey_.end()) {
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
    while (!link.sent.empty() && link.sent.front().number < reply.number()) {
        link.sent.pop_front();
    }
    if (link.sent.empty() || link.sent.front().number != reply.number()) {
        return;
    }
    const Link::Sent asked = link.sent.front();
    if (!link.alive) {
        log_.info("link to sidecar up", {{"endpoint", link.endpoint}});
    }
    link.alive = true;
    link.tick = {reply.sidecar_incarnation(), reply.tick_us()};
    link.tickAskedAt = asked.at;
    link.highestEpoch = reply.highest_epoch();
    link.cacheCursor = reply.cache_cursor();
    link.role = reply.load().role();
    if (link.retired) {
        return;
    }
    router_.updateLoad(link.endpoint, toEndpointLoad(reply.load()), asked.dispatches, now);
    if (reply.cache_reset() || reply.cached_blocks_size() > 0 || reply.evicted_blocks_size() > 0) {
        router_.updateCachedBlocks(link.endpoint,
                                   reply.cache_reset(),
                                   {reply.cached_blocks().begin(), reply.cached_blocks().end()},
                                   {reply.evicted_blocks().begin(), reply.evicted_blocks().end()});
    }
}

std::optional<LinkKey> EndpointLinks::linkOf(const std::string &endpoint) const
{
    const auto it = current_.find(endpoint);
    if (it == current_.end() || !byKey_.at(it->second).alive) {
        return std::nullopt;
    }
    return it->second;
}

Tick EndpointLinks::tickOf(const LinkKey &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? Tick{} : it->second.tick;
}

TimePoint EndpointLinks::tickAskedAt(const LinkKey &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? TimePoint{} : it->second.tickAskedAt;
}

std::uint64_t EndpointLinks::highestEpochOf(const LinkKey &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? 0 : it->second.highestEpoch;
}

std::string EndpointLinks::endpointOf(const LinkKey &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? std::string() : it->second.endpoint;
}

std::string EndpointLinks::roleOf(const LinkKey &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? std::string() : it->second.role;
}

std::vector<LinkKey> EndpointLinks::keys() const
{
    std::vector<LinkKey> result;
    for (const auto &[key, link] : byKey_) {
        if (link.alive && !link.retired) {
            result.push_back(key);
        }
    }
    return result;
}

}
