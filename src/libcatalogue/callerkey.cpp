#include "callerkey.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace Chestnutcove {

namespace {

constexpr std::string_view KeyPrefix = "cc-";
constexpr std::size_t KeyNameBytes = 6;
constexpr std::size_t KeySecretBytes = 24;

std::string keyedHash(std::string_view secret, const std::string &pepper)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         pepper.data(),
         static_cast<int>(pepper.size()),
         reinterpret_cast<const unsigned char *>(secret.data()),
         secret.size(),
         digest.data(),
         &length);
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), length});
}

absl::StatusOr<std::string> randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes)) != 1) {
        return absl::InternalError("no random numbers are available");
    }
    return absl::BytesToHexString(raw);
}

}

absl::StatusOr<GrantedKey> grantKey(const std::string &customer, const std::string &pepper)
{
    const auto name = randomHex(KeyNameBytes);
    const auto secret = randomHex(KeySecretBytes);
    if (!name.ok() || !secret.ok()) {
        return absl::InternalError("no random numbers are available");
    }
    GrantedKey result;
    result.key = std::string(KeyPrefix) + *name + "-" + *secret;
    result.entry = KeyEntry{*name, customer, keyedHash(*secret, pepper)};
    return result;
}

std::shared_ptr<const KeyEntry> authenticate(const Catalogue &catalogue, std::string_view key, const std::string &pepper)
{
    if (!key.starts_with(KeyPrefix)) {
        return nullptr;
    }
    key.remove_prefix(KeyPrefix.size());
    const auto separator = key.find('-');
    if (separator == std::string_view::npos) {
        return nullptr;
    }
    const std::string hash = keyedHash(key.substr(separator + 1), pepper);
    const auto it = catalogue.keys().find(key.substr(0, separator));
    if (it == catalogue.keys().end() || it->second->hash.size() != hash.size()) {
        return nullptr;
    }
    return CRYPTO_memcmp(hash.data(), it->second->hash.data(), hash.size()) == 0 ? it->second : nullptr;
}

}
