#include "answerassembler.h"

#include "jsonfield.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

void appendText(nlohmann::json &target, const nlohmann::json &source, const char *key)
{
    const auto it = source.find(key);
    if (it != source.end() && it->is_string()) {
        nlohmann::json &text = target[key];
        text = (text.is_string() ? text.get<std::string>() : std::string()) + it->get<std::string>();
    }
}

}

void AnswerAssembler::add(std::string choices)
{
    pending_.push_back(std::move(choices));
}

void AnswerAssembler::parsePending() const
{
    for (const std::string &choices : pending_) {
        parseChoices(choices);
    }
    pending_.clear();
}

void AnswerAssembler::parseChoices(const std::string &choices) const
{
    const auto json = nlohmann::json::parse(choices, nullptr, false);
    if (!json.is_array()) {
        return;
    }
    for (const auto &item : json) {
        Choice &choice = choices_[fieldOr(item, "index", 0)];
        if (item.contains("finish_reason") && !item["finish_reason"].is_null()) {
            choice.finishReason = item["finish_reason"];
        }
        const auto delta = item.find("delta");
        if (delta == item.end() || !delta->is_object()) {
            continue;
        }
        if (delta->contains("role") && (*delta)["role"].is_string()) {
            choice.role = (*delta)["role"].get<std::string>();
        }
        if (delta->contains("content") && (*delta)["content"].is_string()) {
            choice.content += (*delta)["content"].get_ref<const std::string &>();
        }
        if (delta->contains("tool_calls") && (*delta)["tool_calls"].is_array()) {
            addToolCalls(choice, (*delta)["tool_calls"]);
        }
    }
}

void AnswerAssembler::addToolCalls(Choice &choice, const nlohmann::json &calls)
{
    for (const auto &call : calls) {
        nlohmann::json &target = choice.toolCalls[fieldOr(call, "index", 0)];
        for (const char *key : {"id", "type"}) {
            if (call.contains(key)) {
                target[key] = call[key];
            }
        }
        const auto function = call.find("function");
        if (function != call.end() && function->is_object()) {
            appendText(target["function"], *function, "name");
            appendText(target["function"], *function, "arguments");
        }
    }
}

nlohmann::json AnswerAssembler::choices() const
{
    parsePending();
    nlohmann::json result = nlohmann::json::array();
    for (const auto &[index, choice] : choices_) {
        nlohmann::json message{{"role", choice.role}, {"content", choice.content}};
        if (!choice.toolCalls.empty()) {
            message["tool_calls"] = nlohmann::json::array();
            for (const auto &[position, call] : choice.toolCalls) {
                message["tool_calls"].push_back(call);
            }
        }
        result.push_back({{"index", index}, {"message", std::move(message)}, {"finish_reason", choice.finishReason}});
    }
    return result;
}

std::string AnswerAssembler::text() const
{
    parsePending();
    return choices_.empty() ? std::string() : choices_.begin()->second.content;
}

bool AnswerAssembler::isComplete() const
{
    parsePending();
    return std::any_of(choices_.begin(), choices_.end(), [](const auto &item) { return !item.second.finishReason.is_null(); });
}

bool AnswerAssembler::hasToolCalls() const
{
    parsePending();
    return std::any_of(choices_.begin(), choices_.end(), [](const auto &item) { return !item.second.toolCalls.empty(); });
}

}
