/**
 * The operator commands of the command line: clients of a gateway's operator listener.
 */
#pragma once

#include "operatorclient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Chestnutcove {

/** Exit codes of the program. */
enum class ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
};

struct OperatorOptions
{
    std::string url = "http://127.0.0.1:9090";
    std::string token;
    /** Whether to print the answer as JSON. */
    bool json = false;
};

class OperatorCommands
{
public:
    explicit OperatorCommands(OperatorOptions options);

    ExitCode listCatalogue(const std::string &kind) const;
    ExitCode showEntry(const std::string &kind, const std::string &name) const;
    /** @param file path of a JSON document with comments, or "-" for standard input. */
    ExitCode
    putEntry(const std::string &kind, const std::string &name, const std::string &file, std::optional<std::uint64_t> expectedVersion) const;
    ExitCode removeEntry(const std::string &kind, const std::string &name) const;
    ExitCode grantKey(const std::string &customer) const;
    ExitCode withdrawKey(const std::string &name) const;
    ExitCode listKeys() const;
    ExitCode listEndpoints() const;
    ExitCode setDraining(const std::string &name, bool draining) const;
    ExitCode dump(const std::string &endpoint) const;
    ExitCode explain(const std::string &request) const;

private:
    /** @return the body of a successful answer, or nothing after printing why the call failed. */
    std::optional<nlohmann::json> call(const std::string &method, const std::string &path, const nlohmann::json &body = {}) const;
    /** Sends a change of the catalogue and prints the version in which it was accepted. */
    ExitCode sendChange(const std::string &method, const std::string &path, const nlohmann::json &body = {}) const;
    /** Waits for a limited time until the version is in force at every known gateway, then prints the versions in force. */
    void waitUntilInForce(std::uint64_t version) const;

    OperatorOptions options_;
    OperatorClient client_;
};

}
