#include "endpointadapter.h"

#include "sseparser.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace Chestnutcove {

namespace {

constexpr Milliseconds ControlTimeout{1000};
constexpr int CodeOk = 200;

struct StreamState
{
    SseParser parser;
    EndpointResult result;
    bool done = false;
};

void readUsage(const nlohmann::json &json, EndpointResult &result)
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

std::vector<EndpointEvent> readEvents(StreamState &state, std::string_view bytes)
{
    std::vector<EndpointEvent> events;
    for (const std::string &data : state.parser.feed(bytes)) {
        if (data == "[DONE]") {
            state.done = true;
            continue;
        }
        const auto json = nlohmann::json::parse(data, nullptr, false);
        if (!json.is_object()) {
            continue;
        }
        readUsage(json, state.result);
        const auto choices = json.find("choices");
        if (choices == json.end() || !choices->is_array() || choices->empty()) {
            continue;
        }
        events.push_back({choices->dump(), countTokens(*choices)});
    }
    return events;
}

absl::StatusOr<nlohmann::json> toJson(const HttpResult &result)
{
    if (!result.status.ok()) {
        return result.status;
    }
    if (result.code != CodeOk) {
        return absl::UnavailableError("the endpoint answered " + std::to_string(result.code));
    }
    auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object()) {
        return absl::DataLossError("the endpoint answered with something else than a JSON object");
    }
    return json;
}

std::uint64_t parseBlock(const nlohmann::json &value)
{
    std::uint64_t block = 0;
    if (value.is_string() && !absl::SimpleHexAtoi(value.get<std::string>(), &block)) {
        return 0;
    }
    return block;
}

}

EndpointAdapter::EndpointAdapter(HttpClient &client, const SidecarSettings &settings)
    : client_(client)
    , settings_(settings)
{
}

HttpClient::CallId EndpointAdapter::send(const EndpointCall &call, EventsHandler onEvents, ResultHandler onResult)
{
    HttpCall http;
    http.method = call.method;
    http.url = settings_.endpointUrl + call.path;
    http.body = call.body;
    http.timeout = settings_.requestTimeout;
    http.silenceTimeout = call.stream ? settings_.answerSilence : Milliseconds::zero();
    http.atMostOnce = call.atMostOnce;
    http.headers.emplace_back("X-Request-Id", call.requestId);
    if (!call.contentType.empty()) {
        http.headers.emplace_back("Content-Type", call.contentType);
    }
    if (!call.stream) {
        return client_.send(std::move(http), [onResult = std::move(onResult)](HttpResult answer) {
            EndpointResult result;
            result.status = std::move(answer.status);
            result.code = answer.code;
            result.contentType = std::move(answer.contentType);
            result.body = std::move(answer.body);
            const auto json = nlohmann::json::parse(result.body, nullptr, false);
            if (json.is_object()) {
                readUsage(json, result);
            }
            onResult(std::move(result));
        });
    }
    auto state = std::make_shared<StreamState>();
    return client_.stream(
        std::move(http),
        [state, onEvents = std::move(onEvents)](const std::string &bytes) {
            auto events = readEvents(*state, bytes);
            if (!events.empty()) {
                onEvents(std::move(events));
            }
        },
        [state, onResult = std::move(onResult)](HttpResult answer) {
            EndpointResult result = std::move(state->result);
            result.status = std::move(answer.status);
            result.code = answer.code;
            result.body = std::move(answer.body);
            if (result.status.ok() && result.code == CodeOk && !state->done) {
                result.status = absl::DataLossError("the endpoint's stream ended without its end mark");
            }
            onResult(std::move(result));
        });
}

void EndpointAdapter::cancel(HttpClient::CallId id)
{
    client_.cancel(id);
}

HttpCall EndpointAdapter::get(const std::string &path) const
{
    HttpCall call;
    call.url = settings_.endpointUrl + path;
    call.timeout = ControlTimeout;
    return call;
}

void EndpointAdapter::probe(const std::function<void(absl::StatusOr<EndpointState>)> &onState)
{
    const bool engine = settings_.kind == EndpointKind::Engine;
    client_.send(get(engine ? "/load" : "/healthz"), [onState, engine](const HttpResult &result) {
        if (!engine) {
            const bool healthy = result.status.ok() && result.code == CodeOk;
            onState(healthy ? absl::StatusOr<EndpointState>(EndpointState{}) : absl::UnavailableError("the service is not healthy"));
            return;
        }
        const auto json = toJson(result);
        if (!json.ok()) {
            onState(json.status());
            return;
        }
        onState(EndpointState{json->value("role", "mixed"), json->value("model", ""), json->value("running", std::uint64_t{0})});
    });
}

void EndpointAdapter::readCacheEvents(std::uint64_t after, const std::function<void(absl::StatusOr<CacheReport>)> &onReport)
{
    client_.send(get("/cache/events?after=" + std::to_string(after)), [onReport](const HttpResult &result) {
        const auto json = toJson(result);
        if (!json.ok()) {
            onReport(json.status());
            return;
        }
        CacheReport report;
        report.first = json->value("first", std::uint64_t{0});
        for (const auto &event : json->value("events", nlohmann::json::array())) {
            report.events.push_back({event.value("kind", "") == "stored", parseBlock(event.value("block", nlohmann::json()))});
        }
        onReport(std::move(report));
    });
}

void EndpointAdapter::readCache(const std::function<void(absl::StatusOr<CacheReport>)> &onReport)
{
    client_.send(get("/cache/blocks"), [onReport](const HttpResult &result) {
        const auto json = toJson(result);
        if (!json.ok()) {
            onReport(json.status());
            return;
        }
        CacheReport report;
        report.whole = true;
        report.next = json->value("next", std::uint64_t{0});
        for (const auto &block : json->value("blocks", nlohmann::json::array())) {
            report.events.push_back({true, parseBlock(block)});
        }
        onReport(std::move(report));
    });
}

void EndpointAdapter::order(const std::string &action,
                            const std::string &argument,
                            std::uint64_t fencing,
                            const std::function<void(absl::Status)> &onDone)
{
    HttpCall call = get("/orders");
    call.method = "POST";
    call.atMostOnce = true;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = nlohmann::json{{"action", action}, {"argument", argument}, {"fencing", fencing}}.dump();
    client_.send(std::move(call), [onDone](const HttpResult &result) {
        if (!result.status.ok()) {
            onDone(result.status);
        } else if (result.code != CodeOk) {
            onDone(absl::FailedPreconditionError("the endpoint answered " + std::to_string(result.code)));
        } else {
            onDone(absl::OkStatus());
        }
    });
}

}
