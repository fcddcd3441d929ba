#include "answerwriter.h"

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int CodeOk = 200;

std::string eventOf(const std::string &json)
{
    return "data: " + json + "\n\n";
}

}

AnswerWriter::AnswerWriter(const CallerRequest &caller, std::int64_t created)
    : reply_(caller.reply)
    , publicId_(caller.publicId)
    , model_(caller.serves)
    , created_(created)
{
}

void AnswerWriter::sendEvents(const wire::Chunk &chunk)
{
    if (!begun_) {
        begun_ = true;
        reply_.beginStream(CodeOk, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", publicId_}});
    }
    const std::string head = R"({"id":")" + publicId_ + R"(","object":"chat.completion.chunk","created":)" + std::to_string(created_)
        + R"(,"model":")" + model_ + R"(","choices":)";
    std::string text;
    for (const std::string &event : chunk.events()) {
        text += eventOf(head + event + "}");
    }
    if (!text.empty()) {
        reply_.append(std::move(text));
    }
}

void AnswerWriter::finishStream(const nlohmann::json &usage, bool wantsUsage)
{
    if (!begun_) {
        sendEvents(wire::Chunk());
    }
    if (wantsUsage) {
        const nlohmann::json event{{"id", publicId_},
                                   {"object", "chat.completion.chunk"},
                                   {"created", created_},
                                   {"model", model_},
                                   {"choices", nlohmann::json::array()},
                                   {"usage", usage}};
        reply_.append(eventOf(event.dump()));
    }
    reply_.append(eventOf("[DONE]"));
    reply_.finish();
}

void AnswerWriter::sendWhole(const nlohmann::json &choices, const nlohmann::json &usage) const
{
    const nlohmann::json body{
        {"id", publicId_}, {"object", "chat.completion"}, {"created", created_}, {"model", model_}, {"choices", choices}, {"usage", usage}};
    reply_.respond(CodeOk,
                   {{"Content-Type", "application/json"}, {"X-Request-Id", publicId_}},
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void AnswerWriter::fail(const CallerFailure &failure) const
{
    if (!begun_) {
        respondWith(reply_, failure, publicId_);
        return;
    }
    reply_.append(eventOf(toJson(failure).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    reply_.finish();
}

}
