/**
 * Tokens that other gateways granted to this one. Each lot may be spent only for a limited time (see ShareBucket).
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Unspent tokens of one grant. */
struct TokenLot
{
    double amount = 0;
    TimePoint expires;
    /** The gateway that granted the tokens. */
    std::string holder;
    /** Number of this gateway's request for the tokens. */
    std::uint64_t number = 0;
};

class ReceivedGrants
{
public:
    void add(TokenLot lot, TimePoint now);
    /** Sum of all lots that have not expired. */
    double balance(TimePoint now);
    /** Takes up to @p amount, from the lots that expire first. @return what was taken of each lot. */
    std::vector<TokenLot> take(double amount, TimePoint now);
    /** Removes the lots that expire by @p time, to be returned to their holders. */
    std::vector<TokenLot> takeExpiring(TimePoint time, TimePoint now);

private:
    void dropExpired(TimePoint now);

    /** In the order of expiry. */
    std::deque<TokenLot> lots_;
};

}
