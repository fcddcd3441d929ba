#include "prefillbacklog.h"

#include <algorithm>

namespace Chestnutcove {

void PrefillBacklog::add(const RequestId &id, double promptTokens, TimePoint now)
{
    if (prompts_.empty()) {
        readingSince_ = now;
    }
    prompts_.push_back({id, promptTokens});
}

void PrefillBacklog::remove(const RequestId &id, TimePoint now)
{
    const auto it = std::find_if(prompts_.begin(), prompts_.end(), [&id](const Prompt &prompt) { return prompt.id == id; });
    if (it == prompts_.end()) {
        return;
    }
    if (it == prompts_.begin()) {
        readingSince_ = now;
    }
    prompts_.erase(it);
}

double PrefillBacklog::seconds(double tokensPerSecond, TimePoint now) const
{
    const double speed = std::max(tokensPerSecond, 1.0);
    double tokens = 0;
    for (const Prompt &prompt : prompts_) {
        tokens += prompt.tokens;
    }
    // Only the first prompt has been read in part; one that takes longer than expected says nothing of those behind it.
    const double firstTokens = prompts_.empty() ? 0 : prompts_.front().tokens;
    return (tokens - std::min(firstTokens, toSeconds(now - readingSince_) * speed)) / speed;
}

}
