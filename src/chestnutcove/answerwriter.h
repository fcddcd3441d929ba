/**
 * Writes one answer to its caller in the form that was asked for: a stream of server-sent events or one body.
 */
#pragma once

#include "callerrequest.h"
#include "wire.pb.h"

#include <cstdint>
#include <string>

namespace Chestnutcove {

class AnswerWriter
{
public:
    /** @param created wall-clock seconds that the answer names. */
    AnswerWriter(const CallerRequest &caller, std::int64_t created);

    /** Passes on a chunk's events; the first call begins the stream. */
    void sendEvents(const wire::Chunk &chunk);
    /** Ends a stream with its end mark, and before it the usage where it was asked for. */
    void finishStream(const nlohmann::json &usage, bool wantsUsage);
    void sendWhole(const nlohmann::json &choices, const nlohmann::json &usage) const;
    /** An error answer, or in a stream an error event without an end mark, so that a cut answer can't be taken for a whole one. */
    void fail(const CallerFailure &failure) const;
    bool hasBegun() const;

private:
    HttpReply reply_;
    std::string publicId_;
    std::string model_;
    std::int64_t created_;
    bool begun_ = false;
};

inline bool AnswerWriter::hasBegun() const
{
    return begun_;
}

}
