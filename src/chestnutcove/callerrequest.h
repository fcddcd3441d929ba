/**
 * A caller's request after it was read, checked and matched to its catalogue entry, and the errors that callers see.
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

/** HTTP status of an error. */
int statusOf(CallerError error);
/** The OpenAI error object. */
nlohmann::json toJson(const CallerFailure &failure);
void respondWith(const HttpReply &reply, const CallerFailure &failure, const std::string &requestId);

struct CallerRequest
{
    HttpReply reply;
    std::uint64_t connection = 0;
    /** What the caller knows the request by. */
    std::string publicId;
    /** Null on routes open to all. */
    std::shared_ptr<const CustomerEntry> customer;
    /** Model or service. */
    std::string serves;
    bool isChat = false;
    ServiceClass serviceClass = ServiceClass::Standard;
    bool idempotent = true;
    bool stream = false;
    bool wantsUsage = false;
    std::string method;
    std::string path;
    std::string contentType;
    /** Of a plain service. */
    std::string body;
    /** Of a chat, as the endpoint will get it. */
    nlohmann::json chat;
    std::vector<std::uint64_t> blocks;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::string idempotencyKey;
    TimePoint arrival;
};

}
