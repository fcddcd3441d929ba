/**
 * A caller's request after parsing, authentication and lookup of its catalogue entry, and the errors that are returned to callers.
 */
#pragma once

#include "entry.h"
#include "httpserver.h"
#include "timepoint.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

enum class CallerError {
    InvalidRequest,
    BodyTooLarge,
    KeyMissing,
    KeyInvalid,
    NotAllowed,
    ModelNotFound,
    RouteNotFound,
    MethodNotAllowed,
    PromptTooLong,
    RateLimited,
    ExceedsBurst,
    NoCapacity,
    KeysNotFresh,
    StoreUnavailable,
    KeyReused,
    EndpointFailed,
    EndpointRefused,
    OutcomeUnknown,
    ShuttingDown,
};

inline constexpr NameTable<CallerError, 19> CallerErrorNames{{
    {CallerError::InvalidRequest, "invalid_request"},   {CallerError::BodyTooLarge, "body_too_large"},
    {CallerError::KeyMissing, "key_missing"},           {CallerError::KeyInvalid, "key_invalid"},
    {CallerError::NotAllowed, "not_allowed"},           {CallerError::ModelNotFound, "model_not_found"},
    {CallerError::RouteNotFound, "route_not_found"},    {CallerError::MethodNotAllowed, "method_not_allowed"},
    {CallerError::PromptTooLong, "prompt_too_long"},    {CallerError::RateLimited, "rate_limited"},
    {CallerError::ExceedsBurst, "exceeds_burst"},       {CallerError::NoCapacity, "no_capacity"},
    {CallerError::KeysNotFresh, "keys_not_fresh"},      {CallerError::StoreUnavailable, "store_unavailable"},
    {CallerError::KeyReused, "idempotency_key_reused"}, {CallerError::EndpointFailed, "endpoint_failed"},
    {CallerError::EndpointRefused, "endpoint_refused"}, {CallerError::OutcomeUnknown, "outcome_unknown"},
    {CallerError::ShuttingDown, "shutting_down"},
}};

struct CallerFailure
{
    CallerError error = CallerError::InvalidRequest;
    std::string message;
    /** No endpoint ran any part of the request, and none will. */
    bool notRun = true;
    Duration retryAfter{};
};

/** HTTP status code of an error. */
int httpStatusOf(CallerError error);
/** Converts the failure to an OpenAI error object. */
nlohmann::json toJson(const CallerFailure &failure);
void respondWithError(const HttpReply &reply, const CallerFailure &failure, const std::string &requestId);

struct CallerRequest
{
    HttpReply reply;
    std::uint64_t connection = 0;
    /** Request id that is returned to the caller in X-Request-Id. */
    std::string publicId;
    /** Null for services that need no key. */
    std::shared_ptr<const CustomerEntry> customer;
    /** Name of the requested model or service. */
    std::string modelOrService;
    bool isChat = false;
    ServiceClass serviceClass = ServiceClass::Standard;
    bool isIdempotent = true;
    bool wantsStream = false;
    bool wantsUsage = false;
    std::string method;
    std::string path;
    std::string contentType;
    /** Body of a request to a plain service. */
    std::string body;
    /** Body of a chat completion, as it is sent to the endpoint. */
    nlohmann::json chat;
    /** Hashes of the prompt's blocks, for prefix affinity. */
    std::vector<std::uint64_t> promptBlockHashes;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::string idempotencyKey;
    TimePoint arrivedAt;
};

}
