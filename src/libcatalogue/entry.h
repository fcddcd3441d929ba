/**
 * The entries of the catalogue: customers, models, plain services, endpoints and keys, with their JSON form.
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

/** Order of urgency; lower values are served first. */
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

/** What an endpoint runs. */
enum class EndpointRole {
    Mixed,
    Prefill,
    Decode,
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
    /** Tokens per second over all VMs together. */
    double rate = 0;
    /** Tokens. */
    double burst = 0;
    /** Share against other customers when endpoints are short; 1 is usual. */
    double weight = 1;
};

struct ModelEntry
{
    std::string name;
    /** The customer that answers for the entry; it need not be the only one that uses it. */
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    std::uint64_t maxPromptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /** Customers that may use it; empty: all. */
    std::vector<std::string> customers;
};

struct ServiceEntry
{
    std::string name;
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    /** Requests whose path starts with this go to the service. */
    std::string pathPrefix;
    /** No key is asked for. */
    bool open = false;
    /** Methods whose calls may be repeated. */
    std::vector<std::string> safeMethods;
    /** Tokens that one call takes from the customer's rate. */
    std::uint64_t tokensPerCall = 1;
    std::vector<std::string> customers;
};

struct EndpointEntry
{
    std::string name;
    std::string dataCentre;
    /** "host:port" of the sidecar beside it. */
    std::string sidecar;
    /** Name of the model or service that it runs. */
    std::string serves;
    EndpointRole role = EndpointRole::Mixed;
    /** No new work is sent to it. */
    bool draining = false;
};

struct KeyEntry
{
    /** The public part of the key. */
    std::string name;
    std::string customer;
    /** HMAC-SHA256 of the secret part, in hex. */
    std::string hash;
};

using Entry = std::variant<CustomerEntry, ModelEntry, ServiceEntry, EndpointEntry, KeyEntry>;

EntryKind kindOf(const Entry &entry);
const std::string &nameOf(const Entry &entry);
nlohmann::json toJson(const Entry &entry);
/** @return InvalidArgument with one line per fault: key, value and what is allowed. */
absl::StatusOr<Entry> entryFromJson(EntryKind kind, const std::string &name, const nlohmann::json &document);

}
