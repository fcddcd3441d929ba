#include "heldprompt.h"

#include "shortcall.h"

#include <utility>

namespace Chestnutcove {

namespace {

/** Maximum number of runs with one held prompt. Then it is prefilled again, since its KV cache may be gone from the prefill engine. */
constexpr unsigned MaxRuns = 2;

}

HeldPrompt::HeldPrompt(EndpointPool &pool)
    : pool_(pool)
{
}

void HeldPrompt::hold(const EndpointRecord &engine, const std::string &handle)
{
    prompt_ = Platform::PrefilledPrompt{engine.address, handle};
    engine_ = engine;
    runs_ = 0;
}

bool HeldPrompt::mayRun() const
{
    return prompt_ && runs_ < MaxRuns;
}

void HeldPrompt::onRunStarted()
{
    ++runs_;
}

void HeldPrompt::forget()
{
    prompt_.reset();
}

void HeldPrompt::release()
{
    if (!prompt_) {
        return;
    }
    const auto prompt = *std::exchange(prompt_, std::nullopt);
    pool_.acquire(*engine_, 0, [&pool = pool_, holder = *engine_, prompt](const auto &connection) {
        if (!connection.ok()) {
            return;
        }
        ShortCall::send(pool, holder, *connection, Platform::encodeHandleRelease(prompt), "", [](int, const std::string &) {});
    });
}

}
