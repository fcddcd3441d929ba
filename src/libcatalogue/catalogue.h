/**
 * The catalogue at one version: an immutable value that request threads read through a Snapshot, and the changes that lead from one
 * version to the next.
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

/** One accepted edit. Versions are dense: change N + 1 follows change N. */
struct CatalogueChange
{
    std::uint64_t version = 0;
    EntryKind kind = EntryKind::Customer;
    std::string name;
    /** Nothing: the entry was removed. */
    std::optional<Entry> entry;
    /** Names the attempt that wrote it, so that its writer recognises it after a lost answer. */
    std::string attempt;

    std::string toText() const;
    static absl::StatusOr<CatalogueChange> fromText(const std::string &text);
};

class Catalogue
{
public:
    template<typename T>
    using EntryMap = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

    std::uint64_t version() const;

    /**
     * The catalogue after @p change.
     * @return FailedPrecondition unless the change's version is the next one.
     */
    absl::StatusOr<Catalogue> apply(const CatalogueChange &change) const;

    const EntryMap<CustomerEntry> &customers() const;
    const EntryMap<ModelEntry> &models() const;
    const EntryMap<ServiceEntry> &services() const;
    const EntryMap<EndpointEntry> &endpoints() const;
    const EntryMap<KeyEntry> &keys() const;

    /** The service with the longest prefix of @p path. */
    std::shared_ptr<const ServiceEntry> serviceFor(std::string_view path) const;
    std::optional<Entry> find(EntryKind kind, std::string_view name) const;
    /** The version at which the entry was last changed; 0 where it never was. */
    std::uint64_t entryVersion(EntryKind kind, std::string_view name) const;

    std::string toText() const;
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
    /** Holds removed entries too, so that a later edit of one meets its version. */
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
