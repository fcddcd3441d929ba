#include "callerapi.h"

#include "callerkey.h"
#include "promptblocks.h"
#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxClientIdLength = 128;

CallerFailure invalidRequest(std::string message)
{
    return {CallerError::InvalidRequest, std::move(message)};
}

bool isCustomerAllowed(const std::vector<std::string> &customers, const std::string &name)
{
    return customers.empty() || std::find(customers.begin(), customers.end(), name) != customers.end();
}

/** Appends the text of a message's content; @return false if the content has an unsupported type. */
bool appendContent(const nlohmann::json &content, std::string &text)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string &>();
        return true;
    }
    if (!content.is_array()) {
        return content.is_null();
    }
    for (const auto &part : content) {
        if (!part.is_object()) {
            return false;
        }
        const auto it = part.find("text");
        if (it != part.end() && it->is_string()) {
            text += it->get_ref<const std::string &>();
        }
    }
    return true;
}

std::optional<CallerFailure> readMessages(const nlohmann::json &chat, std::string &text)
{
    const auto messages = chat.find("messages");
    if (messages == chat.end() || !messages->is_array() || messages->empty()) {
        return invalidRequest("\"messages\" must be a list that is not empty");
    }
    for (const auto &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return invalidRequest("each message must be an object with a text as \"role\"");
        }
        text += message["role"].get_ref<const std::string &>() + "\n";
        if (!appendContent(message.value("content", nlohmann::json()), text)) {
            return invalidRequest("a message's \"content\" must be a text or a list of parts");
        }
        text += "\n";
    }
    return std::nullopt;
}

std::optional<CallerFailure> readBoolean(const nlohmann::json &object, const char *key, bool &value)
{
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) {
        return std::nullopt;
    }
    if (!it->is_boolean()) {
        return invalidRequest(std::string("\"") + key + "\" must be true or false");
    }
    value = it->get<bool>();
    return std::nullopt;
}

std::optional<CallerFailure> readMaxTokens(const nlohmann::json &chat, std::uint64_t limit, std::uint64_t &value)
{
    value = limit;
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        const auto it = chat.find(key);
        if (it == chat.end() || it->is_null()) {
            continue;
        }
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0) {
            return invalidRequest(std::string("\"") + key + "\" must be a positive whole number");
        }
        value = std::min(limit, it->get<std::uint64_t>());
    }
    return std::nullopt;
}

}

void KeyFreshness::setValidUntil(TimePoint time)
{
    validUntil_.store(time.time_since_epoch().count(), std::memory_order_release);
}

bool KeyFreshness::isFresh(TimePoint now) const
{
    return now.time_since_epoch().count() <= validUntil_.load(std::memory_order_acquire);
}

CallerApi::CallerApi(const GatewaySettings &settings,
                     const Snapshot<Catalogue> &catalogue,
                     const KeyFreshness &freshness,
                     Metrics &metrics,
                     std::uint64_t incarnation,
                     RequestHandler onRequest)
    : settings_(settings)
    , catalogue_(catalogue)
    , freshness_(freshness)
    , metrics_(metrics)
    , incarnation_(incarnation)
    , onRequest_(std::move(onRequest))
{
}

void CallerApi::setShuttingDown()
{
    shuttingDown_ = true;
}

std::string CallerApi::publicIdFor(const HttpRequest &request)
{
    const auto requestedId = request.headerValue("X-Request-Id");
    const bool isUsable = requestedId && !requestedId->empty() && requestedId->size() <= MaxClientIdLength
        && std::all_of(requestedId->begin(), requestedId->end(), [](unsigned char c) {
                              return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                          });
    const std::uint64_t number = ++lastRequestNumber_;
    return isUsable ? std::string(*requestedId) : absl::StrFormat("req-%016x-%x", incarnation_, number);
}

void CallerApi::handleRequest(HttpRequest request, const HttpReply &reply)
{
    const std::string publicId = publicIdFor(request);
    const auto catalogue = catalogue_.read();
    if (shuttingDown_) {
        respondWithError(reply, {CallerError::ShuttingDown, "this gateway is stopping", true, std::chrono::seconds(1)}, publicId);
        return;
    }
    if (request.path == ModelsPath && request.method == "GET") {
        listModels(request, reply, *catalogue, publicId);
        return;
    }
    ParseOutcome outcome = readRequest(request, reply, *catalogue, publicId);
    if (const auto *failure = std::get_if<CallerFailure>(&outcome)) {
        metrics_.counter("requests_refused_total{code=\"" + std::string(nameOf(CallerErrorNames, failure->error)) + "\"}").add();
        respondWithError(reply, *failure, publicId);
        return;
    }
    onRequest_(std::get<CallerRequest>(std::move(outcome)));
}

CallerApi::ParseOutcome
CallerApi::readRequest(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const
{
    try {
        return parseRequest(request, reply, catalogue, publicId);
    } catch (const nlohmann::json::exception &) {
        return invalidRequest("the body has a field of a wrong type");
    }
}

CallerApi::ParseOutcome
CallerApi::parseRequest(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const
{
    CallerRequest result{reply};
    result.connection = request.connection;
    result.publicId = publicId;
    result.arrivedAt = suspendAwareNow();
    result.method = request.method;
    for (const char *name : {"Authorization", "Content-Type", "Idempotency-Key"}) {
        if (request.headerValues(name).size() > 1) {
            return invalidRequest(std::string("the header ") + name + " is given more than once");
        }
    }
    if (request.body.size() > settings_.maxBodyBytes) {
        return CallerFailure{CallerError::BodyTooLarge, "the body is larger than " + std::to_string(settings_.maxBodyBytes) + " bytes"};
    }
    result.contentType = std::string(request.headerValue("Content-Type").value_or(""));
    result.idempotencyKey = std::string(request.headerValue("Idempotency-Key").value_or(""));
    if (request.path == ChatPath) {
        if (request.method != "POST") {
            return CallerFailure{CallerError::MethodNotAllowed, "chat completions take POST"};
        }
        return parseChat(request, std::move(result), catalogue);
    }
    const auto service = catalogue.serviceFor(request.path);
    if (!service) {
        return CallerFailure{CallerError::RouteNotFound, "nothing is served at this path"};
    }
    if (!service->allowsAnonymous) {
        if (auto failure = authenticateCaller(request, catalogue, result)) {
            return *std::move(failure);
        }
        if (!isCustomerAllowed(service->customers, result.customer->name)) {
            return CallerFailure{CallerError::NotAllowed, "the key's customer may not use this service"};
        }
    }
    return parseServiceRequest(request, std::move(result), *service);
}

std::optional<CallerFailure>
CallerApi::authenticateCaller(const HttpRequest &request, const Catalogue &catalogue, CallerRequest &result) const
{
    const auto header = request.headerValue("Authorization");
    if (!header || !header->starts_with(BearerPrefix)) {
        return CallerFailure{CallerError::KeyMissing, "send the key as \"Authorization: Bearer KEY\""};
    }
    if (!freshness_.isFresh(suspendAwareNow())) {
        return CallerFailure{CallerError::KeysNotFresh,
                             "this gateway can't tell at present which keys are withdrawn; try again",
                             true,
                             std::chrono::seconds(1)};
    }
    const auto key = authenticate(catalogue, header->substr(BearerPrefix.size()), settings_.keyPepper);
    if (!key) {
        return CallerFailure{CallerError::KeyInvalid, "the key is unknown or was withdrawn"};
    }
    const auto customer = catalogue.customers().find(key->customer);
    if (customer == catalogue.customers().end()) {
        return CallerFailure{CallerError::NotAllowed, "the key's customer is no longer in the catalogue"};
    }
    result.customer = customer->second;
    return std::nullopt;
}

CallerApi::ParseOutcome CallerApi::parseChat(HttpRequest &request, CallerRequest result, const Catalogue &catalogue) const
{
    if (auto failure = authenticateCaller(request, catalogue, result)) {
        return *std::move(failure);
    }
    nlohmann::json chat = nlohmann::json::parse(request.body, nullptr, false);
    if (chat.is_discarded()) {
        return invalidRequest("the body is not JSON in UTF-8");
    }
    if (!chat.is_object() || !chat.contains("model") || !chat["model"].is_string()) {
        return invalidRequest("the body must be an object with a text as \"model\"");
    }
    const auto model = catalogue.models().find(chat["model"].get_ref<const std::string &>());
    if (model == catalogue.models().end()) {
        return CallerFailure{CallerError::ModelNotFound, "there is no such model"};
    }
    if (!isCustomerAllowed(model->second->customers, result.customer->name)) {
        return CallerFailure{CallerError::NotAllowed, "the key's customer may not use this model"};
    }
    std::string text;
    if (auto failure = readMessages(chat, text)) {
        return *std::move(failure);
    }
    if (auto failure = readBoolean(chat, "stream", result.wantsStream)) {
        return *std::move(failure);
    }
    const auto options = chat.find("stream_options");
    if (options != chat.end() && !options->is_null()) {
        if (!options->is_object()) {
            return invalidRequest("\"stream_options\" must be an object");
        }
        if (auto failure = readBoolean(*options, "include_usage", result.wantsUsage)) {
            return *std::move(failure);
        }
    }
    if (auto failure = readMaxTokens(chat, model->second->maxOutputTokens, result.maxOutputTokens)) {
        return *std::move(failure);
    }
    if (chat.contains("n") && chat["n"] != 1) {
        return invalidRequest("only one choice can be asked for: \"n\" must be 1");
    }
    result.promptTokens = estimateTokens(text.size());
    if (result.promptTokens > model->second->maxPromptTokens) {
        return CallerFailure{CallerError::PromptTooLong,
                             "the prompt is longer than the model's " + std::to_string(model->second->maxPromptTokens) + " tokens"};
    }
    result.promptBlockHashes = promptBlocks(text);
    result.isChat = true;
    result.modelOrService = model->second->name;
    result.serviceClass = model->second->serviceClass;
    result.path = ChatPath;
    result.contentType = "application/json";
    chat["stream"] = true;
    chat["stream_options"] = {{"include_usage", true}};
    chat["priority"] = static_cast<int>(result.serviceClass);
    chat.erase("max_completion_tokens");
    chat["max_tokens"] = result.maxOutputTokens;
    result.chat = std::move(chat);
    return result;
}

CallerApi::ParseOutcome CallerApi::parseServiceRequest(HttpRequest &request, CallerRequest result, const ServiceEntry &service) const
{
    result.modelOrService = service.name;
    result.serviceClass = service.serviceClass;
    const auto &safe = service.safeMethods;
    result.isIdempotent = std::find(safe.begin(), safe.end(), request.method) != safe.end();
    result.promptTokens = service.tokensPerCall;
    result.path = request.path + (request.query.empty() ? "" : "?" + request.query);
    result.body = std::move(request.body);
    return result;
}

void CallerApi::listModels(const HttpRequest &request,
                           const HttpReply &reply,
                           const Catalogue &catalogue,
                           const std::string &publicId) const
{
    CallerRequest caller{reply};
    if (const auto failure = authenticateCaller(request, catalogue, caller)) {
        respondWithError(reply, *failure, publicId);
        return;
    }
    nlohmann::json data = nlohmann::json::array();
    for (const auto &[name, model] : catalogue.models()) {
        if (isCustomerAllowed(model->customers, caller.customer->name)) {
            data.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", model->owner}});
        }
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    reply.respond(200, {{"Content-Type", "application/json"}, {"X-Request-Id", publicId}}, body.dump());
}

}
