/**
 * Tokens that other gateways granted to this one. Each lot may be spent for a limited time only; see ShareHolder.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Chestnutcove {

struct TokenLot
{
    double amount = 0;
    TimePoint expires;
    /** The gateway that granted it, and the number of our request for it. */
    std::string holder;
    std::uint64_t number = 0;
};

class Wallet
{
public:
    void add(TokenLot lot, TimePoint now);
    double balance(TimePoint now);
    /** Spends up to @p amount, the lots that expire first before others. @return what was taken of each lot. */
    std::vector<TokenLot> take(double amount, TimePoint now);
    /** Takes out the lots that expire before @p time, to be given back to their holders. */
    std::vector<TokenLot> takeExpiring(TimePoint time, TimePoint now);

private:
    void dropExpired(TimePoint now);

    /** In the order of expiry. */
    std::deque<TokenLot> lots_;
};

}
