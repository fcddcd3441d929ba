/**
 * Assembles the events of a streamed chat answer, to return it whole to callers that don't stream and to resume an interrupted stream on
 * another endpoint.
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
    /** @param choices the JSON text of one event's "choices" list; it is parsed only when a query needs it. */
    void add(std::string choices);

    /** The "choices" list of the whole answer. */
    nlohmann::json choices() const;
    /** The text of the first choice so far. */
    std::string text() const;
    /** Whether a choice has a finish reason, so that there is nothing to resume. */
    bool isComplete() const;
    /** Whether the answer contains tool calls, so that it can't be resumed from its text. */
    bool hasToolCalls() const;

private:
    struct Choice
    {
        std::string role = "assistant";
        std::string content;
        std::map<int, nlohmann::json> toolCalls;
        nlohmann::json finishReason;
    };

    void parsePending() const;
    void parseChoices(const std::string &choices) const;
    static void addToolCalls(Choice &choice, const nlohmann::json &calls);

    mutable std::vector<std::string> pending_;
    mutable std::map<int, Choice> choices_;
};

}
