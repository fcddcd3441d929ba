#include "entry.h"

#include "documentreader.h"

#include <algorithm>
#include <type_traits>

namespace Chestnutcove {

namespace {

constexpr double MaxTokensPerSecond = 1e9;
constexpr double MaxBurstTokens = 1e10;
constexpr std::uint64_t MaxTokensPerRequest = 10'000'000;

CustomerEntry readCustomer(const std::string &name, DocumentReader &reader)
{
    CustomerEntry entry;
    entry.name = name;
    entry.rate = reader.number("rate", 0, MaxTokensPerSecond);
    entry.burst = reader.number("burst", 0, MaxBurstTokens);
    entry.weight = reader.number("weight", 1, 0.01, 100);
    return entry;
}

ModelEntry readModel(const std::string &name, DocumentReader &reader)
{
    ModelEntry entry;
    entry.name = name;
    entry.owner = reader.text("owner");
    entry.serviceClass = reader.choice("class", ServiceClassNames, ServiceClass::Standard);
    entry.maxPromptTokens = reader.integer("maxPromptTokens", 32'768, 1, MaxTokensPerRequest);
    entry.maxOutputTokens = reader.integer("maxOutputTokens", 4'096, 1, MaxTokensPerRequest);
    entry.customers = reader.texts("customers");
    return entry;
}

ServiceEntry readService(const std::string &name, DocumentReader &reader)
{
    ServiceEntry entry;
    entry.name = name;
    entry.owner = reader.text("owner");
    entry.serviceClass = reader.choice("class", ServiceClassNames, ServiceClass::Standard);
    entry.pathPrefix = reader.text("pathPrefix");
    if (!entry.pathPrefix.empty() && (entry.pathPrefix.front() != '/' || entry.pathPrefix.starts_with("/v1/"))) {
        reader.fault("pathPrefix", "a path that starts with / and not with /v1/");
    }
    entry.allowsAnonymous = reader.flag("open", false);
    entry.safeMethods = reader.texts("safeMethods");
    entry.tokensPerCall = reader.integer("tokensPerCall", 1, 0, MaxTokensPerRequest);
    entry.customers = reader.texts("customers");
    return entry;
}

EndpointEntry readEndpoint(const std::string &name, DocumentReader &reader)
{
    EndpointEntry entry;
    entry.name = name;
    entry.dataCentre = reader.text("dataCentre");
    entry.sidecar = reader.address("sidecar");
    entry.serves = reader.text("serves");
    entry.role = reader.choice("role", EndpointRoleNames, EndpointRole::Mixed);
    entry.draining = reader.flag("draining", false);
    return entry;
}

KeyEntry readKey(const std::string &name, DocumentReader &reader)
{
    constexpr std::size_t HashLength = 64;
    KeyEntry entry;
    entry.name = name;
    entry.customer = reader.text("customer");
    entry.hash = reader.text("hash");
    if (!entry.hash.empty() && entry.hash.size() != HashLength) {
        reader.fault("hash", "64 hexadecimal digits");
    }
    return entry;
}

bool isValidName(const std::string &name)
{
    constexpr std::size_t MaxNameLength = 80;
    return !name.empty() && name.size() <= MaxNameLength
        && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

nlohmann::json toDocument(const CustomerEntry &entry)
{
    return {{"rate", entry.rate}, {"burst", entry.burst}, {"weight", entry.weight}};
}

nlohmann::json toDocument(const ModelEntry &entry)
{
    return {{"owner", entry.owner},
            {"class", nameOf(ServiceClassNames, entry.serviceClass)},
            {"maxPromptTokens", entry.maxPromptTokens},
            {"maxOutputTokens", entry.maxOutputTokens},
            {"customers", entry.customers}};
}

nlohmann::json toDocument(const ServiceEntry &entry)
{
    return {{"owner", entry.owner},
            {"class", nameOf(ServiceClassNames, entry.serviceClass)},
            {"pathPrefix", entry.pathPrefix},
            {"open", entry.allowsAnonymous},
            {"safeMethods", entry.safeMethods},
            {"tokensPerCall", entry.tokensPerCall},
            {"customers", entry.customers}};
}

nlohmann::json toDocument(const EndpointEntry &entry)
{
    return {{"dataCentre", entry.dataCentre},
            {"sidecar", entry.sidecar},
            {"serves", entry.serves},
            {"role", nameOf(EndpointRoleNames, entry.role)},
            {"draining", entry.draining}};
}

nlohmann::json toDocument(const KeyEntry &entry)
{
    return {{"customer", entry.customer}, {"hash", entry.hash}};
}

}

EntryKind kindOf(const Entry &entry)
{
    return static_cast<EntryKind>(entry.index());
}

const std::string &nameOf(const Entry &entry)
{
    return std::visit([](const auto &value) -> const std::string & { return value.name; }, entry);
}

nlohmann::json toJson(const Entry &entry)
{
    return std::visit([](const auto &value) { return toDocument(value); }, entry);
}

absl::StatusOr<Entry> entryFromJson(EntryKind kind, const std::string &name, const nlohmann::json &document)
{
    DocumentFaults faults(std::string(nameOf(EntryKindNames, kind)) + " " + name);
    if (!isValidName(name)) {
        faults.add("name", name, "1 to 80 letters, digits, '-', '_' or '.'");
    }
    DocumentReader reader(document, faults);
    Entry result;
    switch (kind) {
    case EntryKind::Customer:
        result = readCustomer(name, reader);
        break;
    case EntryKind::Model:
        result = readModel(name, reader);
        break;
    case EntryKind::Service:
        result = readService(name, reader);
        break;
    case EntryKind::Endpoint:
        result = readEndpoint(name, reader);
        break;
    case EntryKind::Key:
        result = readKey(name, reader);
        break;
    }
    reader.finish();
    if (!faults.isEmpty()) {
        return faults.status();
    }
    return result;
}

}
