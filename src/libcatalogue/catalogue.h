/**
 * The catalogue at one version, a value that is shared between threads as an immutable Snapshot, and the changes that turn one version
 * into the next.
 */
#pragma once

#include "entry.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Chestnutcove {

/** A committed edit of one entry. Versions are consecutive: change N + 1 follows change N. */
struct CatalogueChange
{
    std::uint64_t version = 0;
    EntryKind kind = EntryKind::Customer;
    std::string name;
    /** The new content; empty when the edit removed the entry. */
    std::optional<Entry> entry;
    /** Id of the write attempt, by which the writer recognises its own change when the response to the write was lost. */
    std::string attempt;

    std::string toText() const;
    static absl::StatusOr<CatalogueChange> fromText(const std::string &text);
};

/** All entries at one version. Entries are shared between copies, so that apply() doesn't copy them. */
class Catalogue
{
public:
    template<typename T>
    using EntryMap = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

    std::uint64_t version() const;

    /**
     * Returns the catalogue with @p change applied.
     * @return FailedPrecondition unless the version of the change is version() + 1.
     */
    absl::StatusOr<Catalogue> apply(const CatalogueChange &change) const;

    const EntryMap<CustomerEntry> &customers() const;
    const EntryMap<ModelEntry> &models() const;
    const EntryMap<ServiceEntry> &services() const;
    const EntryMap<EndpointEntry> &endpoints() const;
    const EntryMap<KeyEntry> &keys() const;

    /** The service whose path prefix is the longest match of @p path, by whole path segments; null when none matches. */
    std::shared_ptr<const ServiceEntry> serviceFor(std::string_view path) const;
    std::optional<Entry> find(EntryKind kind, std::string_view name) const;
    /** The version of the last change of the entry, including its removal; 0 when it never existed. */
    std::uint64_t entryVersion(EntryKind kind, std::string_view name) const;

    /** The JSON text of the whole catalogue, as sent to gateways that are too far behind for single changes. */
    std::string toText() const;
    /** @return DataLoss or InvalidArgument when @p text is not a result of toText(). */
    static absl::StatusOr<Catalogue> fromText(const std::string &text);

private:
    void put(const Entry &entry);
    void remove(EntryKind kind, const std::string &name);

    std::uint64_t version_ = 0;
    EntryMap<CustomerEntry> customers_;
    EntryMap<ModelEntry> models_;
    EntryMap<ServiceEntry> services_;
    EntryMap<EndpointEntry> endpoints_;
    EntryMap<KeyEntry> keys_;
    /** By "kind/name". Includes removed entries, so that the version check of an edit that creates the entry again sees the removal. */
    std::map<std::string, std::uint64_t, std::less<>> entryVersions_;
};

inline std::uint64_t Catalogue::version() const
{
    return version_;
}

inline const Catalogue::EntryMap<CustomerEntry> &Catalogue::customers() const
{
    return customers_;
}

inline const Catalogue::EntryMap<ModelEntry> &Catalogue::models() const
{
    return models_;
}

inline const Catalogue::EntryMap<ServiceEntry> &Catalogue::services() const
{
    return services_;
}

inline const Catalogue::EntryMap<EndpointEntry> &Catalogue::endpoints() const
{
    return endpoints_;
}

inline const Catalogue::EntryMap<KeyEntry> &Catalogue::keys() const
{
    return keys_;
}

}
