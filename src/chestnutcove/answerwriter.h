/**
 * Writes one answer to its caller in the requested form: a stream of server-sent events or a single body.
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
    /** @param created the answer's "created" field: wall-clock time in seconds since the Unix epoch. */
    AnswerWriter(const CallerRequest &caller, std::int64_t created);

    /** Forwards the events of a chunk; the first call sends the response headers. */
    void sendEvents(const wire::Chunk &chunk);
    /** Ends the stream with "[DONE]", preceded by a usage event if @p wantsUsage. */
    void finishStream(const nlohmann::json &usage, bool wantsUsage);
    /** Sends the complete answer as a single body. */
    void sendCompletion(const nlohmann::json &choices, const nlohmann::json &usage) const;
    /**
     * Sends an error response, or, once the stream has begun, an error event without "[DONE]", so that a cut answer is not taken for a
     * complete one.
     */
    void sendError(const CallerFailure &failure) const;
    bool hasBegun() const;

private:
    HttpReply reply_;
    std::string publicId_;
    std::string model_;
    std::int64_t created_;
    bool hasBegun_ = false;
};

inline bool AnswerWriter::hasBegun() const
{
    return hasBegun_;
}

}
