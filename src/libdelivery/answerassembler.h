/**
 * Puts the pieces of a streamed chat answer together, for callers that asked for a whole answer and for resuming a cut stream on another
 * endpoint.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace Chestnutcove {

class AnswerAssembler
{
public:
    /** @param choices the JSON text of one event's "choices" list; it is read only when it is needed. */
    void add(std::string choices);

    /** The "choices" list of a whole answer. */
    nlohmann::json choices() const;
    /** The text of the first choice so far. */
    std::string text() const;
    /** A choice ended, so that there is nothing to resume. */
    bool isComplete() const;
    /** The answer holds more than plain text, so that it can't be resumed from its text. */
    bool hasToolCalls() const;

private:
    struct Choice
    {
        std::string role = "assistant";
        std::string content;
        std::map<int, nlohmann::json> toolCalls;
        nlohmann::json finishReason;
    };

    void readPending() const;
    void read(const std::string &choices) const;
    static void addToolCalls(Choice &choice, const nlohmann::json &calls);

    mutable std::vector<std::string> pending_;
    mutable std::map<int, Choice> choices_;
};

}
