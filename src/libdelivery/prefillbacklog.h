/**
 * The prompts that an endpoint has been given and not answered with a first token yet. It reads them one after the other, so a new prompt
 * waits for all of them, also while the endpoint has free slots.
 */
#pragma once

#include "requestid.h"
#include "timepoint.h"

#include <deque>

namespace Chestnutcove {

class PrefillBacklog
{
public:
    void add(const RequestId &id, double promptTokens, TimePoint now);
    /** The prompt was read, or its request has ended. Does nothing for a request that isn't waiting. */
    void remove(const RequestId &id, TimePoint now);
    /** Expected time until all prompts are read, in seconds. */
    double seconds(double tokensPerSecond, TimePoint now) const;

private:
    struct Prompt
    {
        RequestId id;
        double tokens = 0;
    };

    /** In the order in which the endpoint got them. */
    std::deque<Prompt> prompts_;
    /** When the endpoint began to read the first of them. */
    TimePoint readingSince_;
};

}
