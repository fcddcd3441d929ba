#include "callerrequest.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

const char *errorTypeOf(int status)
{
    constexpr int FirstServerError = 500;
    constexpr int TooManyRequests = 429;
    constexpr int Unauthorized = 401;
    if (status == TooManyRequests) {
        return "rate_limit_error";
    }
    if (status == Unauthorized) {
        return "authentication_error";
    }
    return status >= FirstServerError ? "server_error" : "invalid_request_error";
}

}

int httpStatusOf(CallerError error)
{
    switch (error) {
    case CallerError::InvalidRequest:
    case CallerError::PromptTooLong:
        return 400;
    case CallerError::BodyTooLarge:
    case CallerError::ExceedsBurst:
        return 413;
    case CallerError::KeyMissing:
    case CallerError::KeyInvalid:
        return 401;
    case CallerError::NotAllowed:
        return 403;
    case CallerError::ModelNotFound:
    case CallerError::RouteNotFound:
        return 404;
    case CallerError::MethodNotAllowed:
        return 405;
    case CallerError::KeyReused:
        return 409;
    case CallerError::RateLimited:
        return 429;
    case CallerError::NoCapacity:
    case CallerError::KeysNotFresh:
    case CallerError::StoreUnavailable:
    case CallerError::ShuttingDown:
        return 503;
    case CallerError::EndpointFailed:
    case CallerError::EndpointRefused:
        return 502;
    case CallerError::OutcomeUnknown:
        return 504;
    }
    return 500;
}

nlohmann::json toJson(const CallerFailure &failure)
{
    nlohmann::json error{{"message", failure.message},
                         {"type", errorTypeOf(httpStatusOf(failure.error))},
                         {"param", nullptr},
                         {"code", nameOf(CallerErrorNames, failure.error)}};
    if (failure.notRun) {
        error["not_run"] = true;
    }
    return {{"error", std::move(error)}};
}

void respondWithError(const HttpReply &reply, const CallerFailure &failure, const std::string &requestId)
{
    HttpHeaders headers{{"Content-Type", "application/json"}, {"X-Request-Id", requestId}};
    if (failure.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter).count();
        headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    reply.respond(httpStatusOf(failure.error), headers, toJson(failure).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
