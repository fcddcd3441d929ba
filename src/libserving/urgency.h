/**
 * The urgency with which a model engine is asked to handle a call, from 0 (first) to 9. It follows from the rank of the request, so that a
 * short answer of a low rank never goes before a long one of a higher rank.
 */
#pragma once

#include "endpointloads.h"

#include <algorithm>

namespace Chestnutcove {

/** What the urgency of a call depends on. */
struct UrgencyQuery
{
    /** Priority of the customer, else of the route; 0 is the highest rank. */
    int rank = 0;
    /** The prompt is predicted to miss its target latency. */
    bool isLate = false;
    CallWork work = CallWork::Run;
    bool hasShortAnswer = false;
};

inline constexpr int HighestRankUrgency = 3;
inline constexpr int UrgencyStepPerRank = 2;
inline constexpr int LowestTimelyUrgency = 7;
inline constexpr int LateHighestRankUrgency = 8;
inline constexpr int LateUrgency = 9;

/**
 * Whether the lateness of the prompt lowers the urgency of the call. Lateness arises in the queue of prompts; the run of a short answer of
 * the highest rank doesn't wait again at the decode engine, where it occupies a slot only briefly.
 */
inline bool isLateCall(const UrgencyQuery &query)
{
    const bool isShortRun = query.work == CallWork::Run && query.hasShortAnswer;
    return query.isLate && !(isShortRun && query.rank <= 0);
}

inline int urgencyOf(const UrgencyQuery &query)
{
    if (isLateCall(query)) {
        return query.rank <= 0 ? LateHighestRankUrgency : LateUrgency;
    }
    constexpr int LowestDistinctRank = (LowestTimelyUrgency - HighestRankUrgency) / UrgencyStepPerRank;
    return HighestRankUrgency + UrgencyStepPerRank * std::clamp(query.rank, 0, LowestDistinctRank);
}

}
