#include "endpointadapter.h"

#include "jsonfield.h"
#include "sseparser.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace Chestnutcove {

namespace {

constexpr Milliseconds ControlTimeout{1000};
constexpr int StatusOk = 200;

struct StreamState
{
    SseParser parser;
    EndpointResult result;
    bool hasEndMark = false;
    HttpClient::CallId call = 0;
};

void parseUsage(const nlohmann::json &json, EndpointResult &result)
{
    const auto usage = json.find("usage");
    if (usage == json.end() || !usage->is_object()) {
        return;
    }
    result.promptTokens = usage->value("prompt_tokens", result.promptTokens);
    result.outputTokens = usage->value("completion_tokens", result.outputTokens);
    const auto details = usage->find("prompt_tokens_details");
    if (details != usage->end() && details->is_object()) {
        result.cachedTokens = details->value("cached_tokens", std::uint64_t{0});
    }
}

std::uint64_t countTokens(const nlohmann::json &choices)
{
    std::uint64_t tokens = 0;
    for (const auto &choice : choices) {
        const auto delta = choice.find("delta");
        if (delta != choice.end() && delta->is_object() && delta->contains("content") && (*delta)["content"].is_string()) {
            tokens += (*delta)["content"].get_ref<const std::string &>().empty() ? 0 : 1;
        }
    }
    return tokens;
}

std::vector<EndpointEvent> parseEvents(StreamState &state, std::string_view bytes)
{
    std::vector<EndpointEvent> events;
    for (const std::string &data : state.parser.feed(bytes)) {
        if (data == "[DONE]") {
            state.hasEndMark = true;
            continue;
        }
        const auto json = nlohmann::json::parse(data, nullptr, false);
        if (!json.is_object()) {
            continue;
        }
        parseUsage(json, state.result);
        const auto choices = json.find("choices");
        if (choices == json.end() || !choices->is_array() || choices->empty()) {
            continue;
        }
        events.push_back({choices->dump(), countTokens(*choices)});
    }
    return events;
}

absl::StatusOr<nlohmann::json> parseJsonObject(const HttpResult &result)
{
    if (!result.status.ok()) {
        return result.status;
    }
    if (result.code != StatusOk) {
        return absl::UnavailableError("the endpoint answered " + std::to_string(result.code));
    }
    auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object()) {
        return absl::DataLossError("the endpoint answered with something else than a JSON object");
    }
    return json;
}

std::uint64_t parseBlockHash(const nlohmann::json &value)
{
    std::uint64_t block = 0;
    if (value.is_string() && !absl::SimpleHexAtoi(value.get<std::string>(), &block)) {
        return 0;
    }
    return block;
}

}

EndpointAdapter::EndpointAdapter(HttpClient &client, const SidecarSettings &settings)
    : httpClient_(client)
    , settings_(settings)
{
}

HttpClient::CallId EndpointAdapter::send(const EndpointCall &call, EventsHandler onEvents, ResultHandler onResult)
{
    HttpCall httpCall;
    httpCall.method = call.method;
    httpCall.url = settings_.endpointUrl + call.path;
    httpCall.body = call.body;
    httpCall.timeout = settings_.requestTimeout;
    httpCall.silenceTimeout = call.stream ? settings_.answerSilence : Milliseconds::zero();
    httpCall.atMostOnce = call.atMostOnce;
    httpCall.headers.emplace_back("X-Request-Id", call.requestId);
    if (!call.contentType.empty()) {
        httpCall.headers.emplace_back("Content-Type", call.contentType);
    }
    if (!call.stream) {
        return httpClient_.send(std::move(httpCall), [onResult = std::move(onResult)](HttpResult answer) {
            EndpointResult result;
            result.status = std::move(answer.status);
            result.code = answer.code;
            result.contentType = std::move(answer.contentType);
            result.body = std::move(answer.body);
            const auto json = nlohmann::json::parse(result.body, nullptr, false);
            if (json.is_object()) {
                parseUsage(json, result);
            }
            onResult(std::move(result));
        });
    }
    auto state = std::make_shared<StreamState>();
    state->call = httpClient_.stream(
        std::move(httpCall),
        [this, state, onEvents = std::move(onEvents)](const std::string &bytes) {
            auto events = parseEvents(*state, bytes);
            if (state->parser.isEventTooLong()) {
                httpClient_.cancel(state->call);
            }
            if (!events.empty()) {
                onEvents(std::move(events));
            }
        },
        [state, onResult = std::move(onResult)](HttpResult answer) {
            EndpointResult result = std::move(state->result);
            result.status = std::move(answer.status);
            result.code = answer.code;
            result.body = std::move(answer.body);
            if (state->parser.isEventTooLong()) {
                result.status = absl::DataLossError("an event of the endpoint's stream is too long");
            } else if (result.status.ok() && result.code == StatusOk && !state->hasEndMark) {
                result.status = absl::DataLossError("the endpoint's stream ended without its end mark");
            }
            onResult(std::move(result));
        });
    return state->call;
}

void EndpointAdapter::cancel(HttpClient::CallId id)
{
    httpClient_.cancel(id);
}

HttpCall EndpointAdapter::controlCall(const std::string &path) const
{
    HttpCall call;
    call.url = settings_.endpointUrl + path;
    call.timeout = ControlTimeout;
    return call;
}

void EndpointAdapter::probeState(const std::function<void(absl::StatusOr<EndpointState>)> &onState)
{
    const bool isEngine = settings_.kind == EndpointKind::Engine;
    httpClient_.send(controlCall(isEngine ? "/load" : "/healthz"), [onState, isEngine](const HttpResult &result) {
        if (!isEngine) {
            const bool isHealthy = result.status.ok() && result.code == StatusOk;
            onState(isHealthy ? absl::StatusOr<EndpointState>(EndpointState{}) : absl::UnavailableError("the service is not healthy"));
            return;
        }
        const auto json = parseJsonObject(result);
        if (!json.ok()) {
            onState(json.status());
            return;
        }
        onState(EndpointState{json->value("role", "mixed"), json->value("model", ""), json->value("running", std::uint64_t{0})});
    });
}

void EndpointAdapter::readCacheEvents(std::uint64_t nextEvent, const std::function<void(absl::StatusOr<CacheReport>)> &onReport)
{
    httpClient_.send(controlCall("/cache/events?after=" + std::to_string(nextEvent)), [onReport](const HttpResult &result) {
        const auto json = parseJsonObject(result);
        if (!json.ok()) {
            onReport(json.status());
            return;
        }
        CacheReport report;
        report.firstEvent = json->value("first", std::uint64_t{0});
        for (const auto &event : json->value("events", nlohmann::json::array())) {
            report.events.push_back({fieldOr(event, "kind", "") == "stored", parseBlockHash(event.value("block", nlohmann::json()))});
        }
        onReport(std::move(report));
    });
}

void EndpointAdapter::readCacheContents(const std::function<void(absl::StatusOr<CacheReport>)> &onReport)
{
    httpClient_.send(controlCall("/cache/blocks"), [onReport](const HttpResult &result) {
        const auto json = parseJsonObject(result);
        if (!json.ok()) {
            onReport(json.status());
            return;
        }
        CacheReport report;
        report.hasAllBlocks = true;
        report.nextEvent = json->value("next", std::uint64_t{0});
        for (const auto &block : json->value("blocks", nlohmann::json::array())) {
            report.events.push_back({true, parseBlockHash(block)});
        }
        onReport(std::move(report));
    });
}

void EndpointAdapter::sendOrder(const std::string &action,
                                const std::string &argument,
                                std::uint64_t fencingToken,
                                const std::function<void(absl::Status)> &onDone)
{
    HttpCall call = controlCall("/orders");
    call.method = "POST";
    call.atMostOnce = true;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = nlohmann::json{{"action", action}, {"argument", argument}, {"fencing", fencingToken}}.dump();
    httpClient_.send(std::move(call), [onDone](const HttpResult &result) {
        if (!result.status.ok()) {
            onDone(result.status);
        } else if (result.code != StatusOk) {
            onDone(absl::FailedPreconditionError("the endpoint answered " + std::to_string(result.code)));
        } else {
            onDone(absl::OkStatus());
        }
    });
}

}
