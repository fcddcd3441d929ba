#include "answerwriter.h"

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int StatusOk = 200;

std::string toServerSentEvent(const std::string &json)
{
    return "data: " + json + "\n\n";
}

}

AnswerWriter::AnswerWriter(const CallerRequest &caller, std::int64_t created)
    : reply_(caller.reply)
    , publicId_(caller.publicId)
    , model_(caller.modelOrService)
    , created_(created)
{
}

void AnswerWriter::sendEvents(const wire::Chunk &chunk)
{
    if (!hasBegun_) {
        hasBegun_ = true;
        reply_.beginStream(StatusOk, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", publicId_}});
    }
    const std::string eventPrefix = R"({"id":")" + publicId_ + R"(","object":"chat.completion.chunk","created":)" + std::to_string(created_)
        + R"(,"model":")" + model_ + R"(","choices":)";
    std::string eventText;
    for (const std::string &event : chunk.events()) {
        eventText += toServerSentEvent(eventPrefix + event + "}");
    }
    if (!eventText.empty()) {
        reply_.append(std::move(eventText));
    }
}

void AnswerWriter::finishStream(const nlohmann::json &usage, bool wantsUsage)
{
    if (!hasBegun_) {
        sendEvents(wire::Chunk());
    }
    if (wantsUsage) {
        const nlohmann::json event{{"id", publicId_},
                                   {"object", "chat.completion.chunk"},
                                   {"created", created_},
                                   {"model", model_},
                                   {"choices", nlohmann::json::array()},
                                   {"usage", usage}};
        reply_.append(toServerSentEvent(event.dump()));
    }
    reply_.append(toServerSentEvent("[DONE]"));
    reply_.finish();
}

void AnswerWriter::sendCompletion(const nlohmann::json &choices, const nlohmann::json &usage) const
{
    const nlohmann::json body{
        {"id", publicId_}, {"object", "chat.completion"}, {"created", created_}, {"model", model_}, {"choices", choices}, {"usage", usage}};
    reply_.respond(StatusOk,
                   {{"Content-Type", "application/json"}, {"X-Request-Id", publicId_}},
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void AnswerWriter::sendError(const CallerFailure &failure) const
{
    if (!hasBegun_) {
        respondWithError(reply_, failure, publicId_);
        return;
    }
    reply_.append(toServerSentEvent(toJson(failure).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    reply_.finish();
}

}
