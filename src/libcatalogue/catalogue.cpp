#include "catalogue.h"

#include "jsonfield.h"

#include <utility>

namespace Chestnutcove {

namespace {

std::string entryPath(EntryKind kind, std::string_view name)
{
    return std::string(nameOf(EntryKindNames, kind)) + "/" + std::string(name);
}

template<typename T>
std::optional<Entry> findEntry(const Catalogue::EntryMap<T> &map, std::string_view name)
{
    const auto it = map.find(name);
    if (it == map.end()) {
        return std::nullopt;
    }
    return Entry(*it->second);
}

absl::Status unreadableDataError(const std::string &part)
{
    return absl::DataLossError("unreadable catalogue data: " + part);
}

}

std::string CatalogueChange::toText() const
{
    const nlohmann::json json{{"version", version},
                              {"kind", nameOf(EntryKindNames, kind)},
                              {"name", name},
                              {"document", entry ? toJson(*entry) : nlohmann::json()},
                              {"attempt", attempt}};
    return json.dump();
}

absl::StatusOr<CatalogueChange> CatalogueChange::fromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned() || !json.contains("document")) {
        return unreadableDataError("change");
    }
    const auto kind = valueOf(EntryKindNames, fieldOr(json, "kind", ""));
    if (!kind) {
        return unreadableDataError("kind of change");
    }
    CatalogueChange change;
    change.version = json["version"].get<std::uint64_t>();
    change.kind = *kind;
    change.name = fieldOr(json, "name", "");
    change.attempt = fieldOr(json, "attempt", "");
    if (!json["document"].is_null()) {
        auto entry = entryFromJson(*kind, change.name, json["document"]);
        if (!entry.ok()) {
            return entry.status();
        }
        change.entry = *std::move(entry);
    }
    return change;
}

absl::StatusOr<Catalogue> Catalogue::apply(const CatalogueChange &change) const
{
    if (change.version != version_ + 1) {
        return absl::FailedPreconditionError("change " + std::to_string(change.version) + " does not follow version "
                                             + std::to_string(version_));
    }
    Catalogue next = *this;
    next.version_ = change.version;
    next.entryVersions_[entryPath(change.kind, change.name)] = change.version;
    if (change.entry) {
        next.put(*change.entry);
    } else {
        next.remove(change.kind, change.name);
    }
    return next;
}

void Catalogue::put(const Entry &entry)
{
    std::visit(
        [this](const auto &value) {
            using T = std::decay_t<decltype(value)>;
            auto stored = std::make_shared<const T>(value);
            if constexpr (std::is_same_v<T, CustomerEntry>) {
                customers_[value.name] = std::move(stored);
            } else if constexpr (std::is_same_v<T, ModelEntry>) {
                models_[value.name] = std::move(stored);
            } else if constexpr (std::is_same_v<T, ServiceEntry>) {
                services_[value.name] = std::move(stored);
            } else if constexpr (std::is_same_v<T, EndpointEntry>) {
                endpoints_[value.name] = std::move(stored);
            } else {
                keys_[value.name] = std::move(stored);
            }
        },
        entry);
}

void Catalogue::remove(EntryKind kind, const std::string &name)
{
    switch (kind) {
    case EntryKind::Customer:
        customers_.erase(name);
        break;
    case EntryKind::Model:
        models_.erase(name);
        break;
    case EntryKind::Service:
        services_.erase(name);
        break;
    case EntryKind::Endpoint:
        endpoints_.erase(name);
        break;
    case EntryKind::Key:
        keys_.erase(name);
        break;
    }
}

std::shared_ptr<const ServiceEntry> Catalogue::serviceFor(std::string_view path) const
{
    std::shared_ptr<const ServiceEntry> longestMatch;
    for (const auto &[name, service] : services_) {
        const std::string &prefix = service->pathPrefix;
        const bool matches
            = path.starts_with(prefix) && (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
        if (matches && (!longestMatch || prefix.size() > longestMatch->pathPrefix.size())) {
            longestMatch = service;
        }
    }
    return longestMatch;
}

std::optional<Entry> Catalogue::find(EntryKind kind, std::string_view name) const
{
    switch (kind) {
    case EntryKind::Customer:
        return findEntry(customers_, name);
    case EntryKind::Model:
        return findEntry(models_, name);
    case EntryKind::Service:
        return findEntry(services_, name);
    case EntryKind::Endpoint:
        return findEntry(endpoints_, name);
    case EntryKind::Key:
        return findEntry(keys_, name);
    }
    return std::nullopt;
}

std::uint64_t Catalogue::entryVersion(EntryKind kind, std::string_view name) const
{
    const auto it = entryVersions_.find(entryPath(kind, name));
    return it == entryVersions_.end() ? 0 : it->second;
}

std::string Catalogue::toText() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[path, version] : entryVersions_) {
        const auto slash = path.find('/');
        const EntryKind kind = *valueOf(EntryKindNames, std::string_view(path).substr(0, slash));
        const auto entry = find(kind, path.substr(slash + 1));
        entries.push_back({{"kind", path.substr(0, slash)},
                           {"name", path.substr(slash + 1)},
                           {"version", version},
                           {"document", entry ? toJson(*entry) : nlohmann::json()}});
    }
    return nlohmann::json{{"version", version_}, {"entries", std::move(entries)}}.dump();
}

absl::StatusOr<Catalogue> Catalogue::fromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned() || !json.contains("entries")) {
        return unreadableDataError("snapshot");
    }
    Catalogue result;
    result.version_ = json["version"].get<std::uint64_t>();
    for (const auto &item : json["entries"]) {
        const auto kind = valueOf(EntryKindNames, fieldOr(item, "kind", ""));
        const std::string name = fieldOr(item, "name", "");
        if (!kind || !item.contains("document")) {
            return unreadableDataError("entry of a snapshot");
        }
        result.entryVersions_[entryPath(*kind, name)] = fieldOr(item, "version", std::uint64_t{0});
        if (item["document"].is_null()) {
            continue;
        }
        const auto entry = entryFromJson(*kind, name, item["document"]);
        if (!entry.ok()) {
            return entry.status();
        }
        result.put(*entry);
    }
    return result;
}

}
