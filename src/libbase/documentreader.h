/**
 * Reads a JSON object key by key and collects every fault, so that a user sees all of them at once. Shared by settings files and
 * catalogue entries.
 */
#pragma once

#include "nametable.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

/** Faults found so far, shared by a reader and the readers of its nested objects. */
class DocumentFaults
{
public:
    /** @param source the file or entry that the messages name. */
    explicit DocumentFaults(std::string source);
    void add(const std::string &key, const std::string &found, const std::string &allowed);
    bool isEmpty() const;
    /** Ok, or InvalidArgument with one line for each fault. */
    absl::Status status() const;

private:
    std::string source_;
    std::vector<std::string> lines_;
};

class DocumentReader
{
public:
    /** @param prefix the key path of @p object, empty at the top. */
    DocumentReader(const nlohmann::json &object, DocumentFaults &faults, std::string prefix = {});

    std::string text(const std::string &key);
    std::string text(const std::string &key, std::string fallback);
    bool flag(const std::string &key, bool fallback);
    std::uint64_t integer(const std::string &key, std::uint64_t fallback, std::uint64_t low, std::uint64_t high);
    std::uint64_t integer(const std::string &key, std::uint64_t low, std::uint64_t high);
    double number(const std::string &key, double low, double high);
    double number(const std::string &key, double fallback, double low, double high);
    /** A text with a unit: "250 ms", "5 s", "2 min". */
    std::chrono::milliseconds
    duration(const std::string &key, std::chrono::milliseconds fallback, std::chrono::milliseconds low, std::chrono::milliseconds high);
    std::vector<std::string> texts(const std::string &key);
    /** "host:port" with an IP number. */
    std::string address(const std::string &key);
    DocumentReader object(const std::string &key);
    std::vector<DocumentReader> objects(const std::string &key);
    bool has(const std::string &key) const;
    template<typename Enum, std::size_t Size>
    Enum choice(const std::string &key, const NameTable<Enum, Size> &table, Enum fallback);

    /** Reports a fault of @p key that only the caller can judge. */
    void fault(const std::string &key, const std::string &allowed);
    /** Reports every key that no call asked for. Call it last. */
    void finish();

private:
    const nlohmann::json *find(const std::string &key, bool required, const char *allowed);
    std::string path(const std::string &key) const;

    const nlohmann::json *object_;
    DocumentFaults *faults_;
    std::string prefix_;
    std::set<std::string> known_;
};

template<typename Enum, std::size_t Size>
Enum DocumentReader::choice(const std::string &key, const NameTable<Enum, Size> &table, Enum fallback)
{
    if (!has(key)) {
        known_.insert(key);
        return fallback;
    }
    const auto value = valueOf(table, text(key));
    if (!value) {
        fault(key, "one of " + allNames(table));
    }
    return value.value_or(fallback);
}

}
