/**
 * The prompt of one request that a prefill engine holds for the run of the request.
 */
#pragma once

#include "endpointpool.h"
#include "endpointrecord.h"
#include "requestcodec.h"

#include <optional>
#include <string>

namespace Chestnutcove {

class HeldPrompt
{
public:
    /** @param pool outlives the prompt. */
    explicit HeldPrompt(EndpointPool &pool);

    /** A prefill engine holds the prompt from now on. */
    void hold(const EndpointRecord &engine, const std::string &handle);
    /** Empty if no engine holds the prompt. */
    const std::optional<Platform::PrefilledPrompt> &prompt() const;
    bool mayRun() const;
    void onRunStarted();
    /** An endpoint has taken the prompt over, or may have. */
    void forget();
    /** Tells the engine, if one holds the prompt, that it is no longer needed. */
    void release();

private:
    EndpointPool &pool_;
    std::optional<Platform::PrefilledPrompt> prompt_;
    std::optional<EndpointRecord> engine_;
    /** Number of runs that were sent with the prompt. */
    unsigned runs_ = 0;
};

inline const std::optional<Platform::PrefilledPrompt> &HeldPrompt::prompt() const
{
    return prompt_;
}

}
