/**
 * The gateway's links to sidecars: one for each endpoint of the catalogue, with heartbeats that carry ticks, load and cache changes back.
 */
#pragma once

#include "catalogue.h"
#include "link.h"
#include "log.h"
#include "router.h"
#include "tickclock.h"

#include <asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Chestnutcove {

struct EndpointLinkOptions
{
    std::string gateway;
    std::uint64_t incarnation = 0;
    std::string sidecarKey;
    Duration timeout{};
};

/** Names one link: the endpoint and the address of its sidecar. A replaced endpoint keeps the old link while answers run on it. */
using LinkKey = std::string;

class EndpointLinks
{
public:
    using MessageHandler = std::function<void(const LinkKey &, const wire::Envelope &)>;
    using LostHandler = std::function<void(const LinkKey &)>;

    EndpointLinks(
        LinkContext &links, Router &router, const Log &log, EndpointLinkOptions options, MessageHandler onMessage, LostHandler onLost);

    /** Opens links for new endpoints and lets go of removed ones. */
    void update(const Catalogue &catalogue, TimePoint now);
    /** Sends the heartbeats and finds the links that are silent. Call it at the heartbeat interval. */
    void beat(TimePoint now);
    bool send(const LinkKey &key, const wire::Envelope &message);

    /** The link of the endpoint's current sidecar, where it answered lately. */
    std::optional<LinkKey> linkOf(const std::string &endpoint) const;
    /** The newest tick received over a link. */
    Tick tickOf(const LinkKey &key) const;
    /** When the heartbeat that brought the newest tick was sent. */
    TimePoint tickAskedAt(const LinkKey &key) const;
    std::uint64_t highestEpochOf(const LinkKey &key) const;
    std::string endpointOf(const LinkKey &key) const;
    std::string roleOf(const LinkKey &key) const;
    std::vector<LinkKey> keys() const;

private:
    struct Link
    {
        std::string endpoint;
        std::unique_ptr<LinkClient> client;
        bool drain = false;
        bool alive = false;
        bool retired = false;
        TimePoint retiredAt;
        TimePoint lastHeard;
        TimePoint connectedAt;
        std::uint64_t heartbeats = 0;
        struct Sent
        {
            std::uint64_t number = 0;
            TimePoint at;
            /** Our dispatches to the endpoint until then. */
            std::uint64_t dispatches = 0;
        };
        std::deque<Sent> sent;
        Tick tick;
        TimePoint tickAskedAt;
        std::uint64_t highestEpoch = 0;
        std::uint64_t cacheCursor = 0;
        std::string role;
    };

    void open(const EndpointEntry &entry, const LinkKey &key, TimePoint now);
    void receive(const LinkKey &key, const wire::Envelope &message);
    void onHeartbeatReply(Link &link, const wire::HeartbeatReply &reply, TimePoint now);
    void lose(const LinkKey &key, Link &link, TimePoint now);

    LinkContext &links_;
    Router &router_;
    const Log &log_;
    EndpointLinkOptions options_;
    MessageHandler onMessage_;
    LostHandler onLost_;
    std::map<LinkKey, Link> byKey_;
    std::map<std::string, LinkKey> current_;
};

/** The report that a message carried, in the router's terms. */
EndpointLoad toEndpointLoad(const wire::Load &load);

}
