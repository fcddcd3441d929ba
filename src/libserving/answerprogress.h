/**
 * How far an answer has come while it arrives. A request that crashes its endpoint does so soon after the answer has begun, so an answer
 * that goes on for longer shows, like a whole one, that the request is sound.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Chestnutcove {

class AnswerProgress
{
public:
    /** Bytes of the answer have arrived. @return true once: as soon as the answer has come far enough. */
    bool onPiece(TimePoint now);

private:
    /** Time from the first piece, and number of pieces: both are needed, since engines differ in speed. */
    static constexpr Duration ProvenTime = std::chrono::seconds(2);
    static constexpr unsigned ProvenPieces = 16;

    std::optional<TimePoint> begunAt_;
    unsigned pieces_ = 0;
    bool isProven_ = false;
};

inline bool AnswerProgress::onPiece(TimePoint now)
{
    if (!begunAt_) {
        begunAt_ = now;
    }
    ++pieces_;
    const bool isFarEnough = pieces_ >= ProvenPieces && now - *begunAt_ >= ProvenTime;
    if (!isFarEnough || isProven_) {
        return false;
    }
    isProven_ = true;
    return true;
}

}
