/**
 * The entries of the catalogue (customers, models, plain services, endpoints and API keys) and their conversion from and to JSON.
 */
#pragma once

#include "nametable.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Chestnutcove {

enum class EntryKind {
    Customer,
    Model,
    Service,
    Endpoint,
    Key,
};

inline constexpr NameTable<EntryKind, 5> EntryKindNames{{
    {EntryKind::Customer, "customer"},
    {EntryKind::Model, "model"},
    {EntryKind::Service, "service"},
    {EntryKind::Endpoint, "endpoint"},
    {EntryKind::Key, "key"},
}};

/** Priority of requests, highest first. The integer value is sent on the wire. */
enum class ServiceClass {
    Urgent,
    Standard,
    Bulk,
};

inline constexpr NameTable<ServiceClass, 3> ServiceClassNames{{
    {ServiceClass::Urgent, "urgent"},
    {ServiceClass::Standard, "standard"},
    {ServiceClass::Bulk, "bulk"},
}};

/** The kind of work that an endpoint does. */
enum class EndpointRole {
    /** Prefill and decode of model requests. */
    Mixed,
    Prefill,
    Decode,
    /** Calls to a plain service instead of a model. */
    Plain,
};

inline constexpr NameTable<EndpointRole, 4> EndpointRoleNames{{
    {EndpointRole::Mixed, "mixed"},
    {EndpointRole::Prefill, "prefill"},
    {EndpointRole::Decode, "decode"},
    {EndpointRole::Plain, "plain"},
}};

struct CustomerEntry
{
    std::string name;
    /** Rate limit over all VMs together, in tokens per second. */
    double rate = 0;
    /** Capacity of the token bucket, in tokens. */
    double burst = 0;
    /** Weight in fair queueing against other customers when endpoint capacity is short. */
    double weight = 1;
};

struct ModelEntry
{
    std::string name;
    /** The customer responsible for the entry; other customers may use the model as well. */
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    std::uint64_t maxPromptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /** Customers that may use the model; empty means all customers. */
    std::vector<std::string> customers;
};

/** A service that takes plain HTTP requests. */
struct ServiceEntry
{
    std::string name;
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    /** Requests whose path starts with this prefix are routed to the service. */
    std::string pathPrefix;
    /** Callers need no API key. */
    bool allowsAnonymous = false;
    /** HTTP methods whose requests may be retried. */
    std::vector<std::string> safeMethods;
    /** Tokens that one request costs against the customer's rate limit. */
    std::uint64_t tokensPerCall = 1;
    /** Customers that may use the service; empty means all customers. */
    std::vector<std::string> customers;
};

struct EndpointEntry
{
    std::string name;
    std::string dataCentre;
    /** "host:port" of the sidecar of this endpoint. */
    std::string sidecar;
    /** Name of the model or service that the endpoint runs. */
    std::string serves;
    EndpointRole role = EndpointRole::Mixed;
    /** A draining endpoint gets no new requests. */
    bool draining = false;
};

struct KeyEntry
{
    /** The public part of the key, NAME in "cc-NAME-SECRET". */
    std::string name;
    std::string customer;
    /** HMAC-SHA256 of the secret part, as 64 hexadecimal digits. */
    std::string hash;
};

using Entry = std::variant<CustomerEntry, ModelEntry, ServiceEntry, EndpointEntry, KeyEntry>;

EntryKind kindOf(const Entry &entry);
const std::string &nameOf(const Entry &entry);
nlohmann::json toJson(const Entry &entry);
/** @return InvalidArgument with one line for each invalid key: its name, its value and the allowed values. */
absl::StatusOr<Entry> entryFromJson(EntryKind kind, const std::string &name, const nlohmann::json &document);

}
