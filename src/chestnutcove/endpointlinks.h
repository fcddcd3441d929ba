/**
 * The gateway's links to sidecars, one for each endpoint of the catalogue. The replies to its heartbeats carry the sidecar's tick, load and
 * cache changes.
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

/** Identifies one link by endpoint name and sidecar address. A replaced endpoint's old link is kept for answers in progress. */
using LinkKey = std::string;

class EndpointLinks
{
public:
    using MessageHandler = std::function<void(const LinkKey &, const wire::Envelope &)>;
    using LinkLostHandler = std::function<void(const LinkKey &)>;

    EndpointLinks(LinkContext &linkContext,
                  Router &router,
                  const Log &log,
                  EndpointLinkOptions options,
                  MessageHandler onMessage,
                  LinkLostHandler onLinkLost);

    /** Opens links to new endpoints and retires the links of removed ones. */
    void setCatalogue(const Catalogue &catalogue, TimePoint now);
    /** Sends a heartbeat on each link and reconnects unresponsive links. Call it at the heartbeat interval. */
    void sendHeartbeats(TimePoint now);
    bool send(const LinkKey &key, const wire::Envelope &message);

    /** The link to the endpoint's current sidecar; nothing if the link is not alive. */
    std::optional<LinkKey> currentLinkTo(const std::string &endpoint) const;
    /** The newest tick received over a link. */
    Tick newestTick(const LinkKey &key) const;
    /** When the heartbeat that brought the newest tick was sent. */
    TimePoint newestTickRequestedAt(const LinkKey &key) const;
    std::uint64_t highestEpoch(const LinkKey &key) const;
    std::string endpointNameOf(const LinkKey &key) const;
    std::string reportedRole(const LinkKey &key) const;
    std::vector<LinkKey> activeLinkKeys() const;

private:
    struct Link
    {
        std::string endpoint;
        std::unique_ptr<LinkClient> client;
        bool isDrainRequested = false;
        bool isAlive = false;
        bool isRetired = false;
        TimePoint retiredAt;
        TimePoint lastHeard;
        TimePoint connectStartedAt;
        std::uint64_t lastHeartbeatNumber = 0;
        struct SentHeartbeat
        {
            std::uint64_t number = 0;
            TimePoint sentAt;
            /** Number of dispatches of this gateway to the endpoint before this heartbeat. */
            std::uint64_t dispatches = 0;
        };
        std::deque<SentHeartbeat> sentHeartbeats;
        Tick newestTick;
        TimePoint newestTickRequestedAt;
        std::uint64_t highestEpoch = 0;
        std::uint64_t cacheCursor = 0;
        std::string reportedRole;
    };

    void openLink(const EndpointEntry &entry, const LinkKey &key, TimePoint now);
    void onLinkMessage(const LinkKey &key, const wire::Envelope &message);
    void onHeartbeatReply(Link &link, const wire::HeartbeatReply &reply, TimePoint now);
    void markLost(const LinkKey &key, Link &link, TimePoint now);

    LinkContext &linkContext_;
    Router &router_;
    const Log &log_;
    EndpointLinkOptions options_;
    MessageHandler onMessage_;
    LinkLostHandler onLinkLost_;
    std::map<LinkKey, Link> linksByKey_;
    std::map<std::string, LinkKey> currentLinks_;
};

/** Converts a sidecar's load report to the router's type. */
EndpointLoad toEndpointLoad(const wire::Load &load);

}
