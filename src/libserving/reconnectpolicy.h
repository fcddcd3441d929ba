/**
 * Decides when the connection to a peer that doesn't answer is replaced by a new one. A new connection costs both sides a handshake, and
 * what was sent on the old one is lost, so it is no remedy for a peer that is late: only silence, without any late answer, counts, and
 * connections that don't help are replaced more and more rarely.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>

namespace Chestnutcove {

struct ReconnectOptions
{
    /** Silence after which a connection that worked is replaced. */
    Duration firstSilence = std::chrono::milliseconds(500);
    /** The silence that is waited for doubles with each replacement up to this. */
    Duration longestSilence = std::chrono::seconds(16);
};

class ReconnectPolicy
{
public:
    /** @param seed differs between peers, so that connections that went silent together aren't all replaced at the same time. */
    ReconnectPolicy(ReconnectOptions options, std::uint64_t seed);

    /** Something arrived on the connection. */
    void onHeard();
    /** A message was not answered in time. @return whether the connection is to be replaced now. */
    bool onUnanswered(TimePoint now);

private:
    ReconnectOptions options_;
    std::uint64_t seed_;
    /** When the first message was found to be unanswered since the peer was heard, or since the connection was replaced. */
    std::optional<TimePoint> silentSince_;
    /** Replacements since the peer was heard. */
    unsigned replacements_ = 0;
};

}
