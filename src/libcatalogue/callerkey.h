/**
 * API keys of callers, in the form "cc-NAME-SECRET". The name selects the catalogue entry; the secret is checked in constant time against
 * the keyed hash stored there.
 */
#pragma once

#include "catalogue.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>

namespace Chestnutcove {

struct GrantedKey
{
    /** The key itself. It is shown to the operator once and not stored. */
    std::string key;
    KeyEntry entry;
};

/**
 * Generates a key for @p customer.
 * @param pepper the secret from the settings that keys the stored hashes.
 */
absl::StatusOr<GrantedKey> grantKey(const std::string &customer, const std::string &pepper);

/** @return the entry of @p key, or null when the key is not valid. The time taken doesn't depend on which byte of the secret differs. */
std::shared_ptr<const KeyEntry> authenticate(const Catalogue &catalogue, std::string_view key, const std::string &pepper);

}
