/**
 * Callers' keys: "cc-NAME-SECRET". The name finds the entry, the secret is proved against a keyed hash in constant time.
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
    /** Shown once to the operator and kept nowhere. */
    std::string key;
    KeyEntry entry;
};

/** @param pepper the secret, from the settings, with which hashes are keyed. */
absl::StatusOr<GrantedKey> grantKey(const std::string &customer, const std::string &pepper);

/** The entry whose key this is, or null. Takes the same time whichever byte of the secret differs. */
std::shared_ptr<const KeyEntry> authenticate(const Catalogue &catalogue, std::string_view key, const std::string &pepper);

}
