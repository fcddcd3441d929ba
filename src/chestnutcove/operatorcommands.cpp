#include "operatorcommands.h"

#include "settingsfile.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace Chestnutcove {

namespace {

constexpr int StatusOk = 200;
constexpr std::chrono::seconds InForceTimeout{6};
constexpr std::chrono::milliseconds InForcePollInterval{100};

std::string entryPath(const std::string &kind, const std::string &name)
{
    return "/operator/catalogue/" + kind + "/" + name;
}

void printTable(const nlohmann::json &rows, std::initializer_list<const char *> columns)
{
    for (const char *column : columns) {
        std::cout << column << '\t';
    }
    std::cout << '\n';
    for (const auto &row : rows) {
        for (const char *column : columns) {
            const auto value = row.value(column, nlohmann::json());
            std::cout << (value.is_string() ? value.get<std::string>() : value.dump()) << '\t';
        }
        std::cout << '\n';
    }
}

absl::StatusOr<nlohmann::json> readDocument(const std::string &file)
{
    if (file != "-") {
        return readSettingsFile(file);
    }
    const std::string text{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
    auto json = nlohmann::json::parse(text, nullptr, false, true);
    if (json.is_discarded()) {
        return absl::InvalidArgumentError("standard input: not JSON");
    }
    return json;
}

}

OperatorCommands::OperatorCommands(OperatorOptions options)
    : options_(std::move(options))
    , client_(options_.url, options_.token)
{
}

std::optional<nlohmann::json> OperatorCommands::call(const std::string &method, const std::string &path, const nlohmann::json &body) const
{
    const auto answer = client_.call(method, path, body);
    if (!answer.ok()) {
        std::cerr << answer.status().message() << '\n';
        return std::nullopt;
    }
    if (answer->code != StatusOk) {
        const std::string reason = answer->body.is_object() ? answer->body.value("error", "") : "";
        std::cerr << "refused (" << answer->code << "): " << reason << '\n';
        return std::nullopt;
    }
    return answer->body;
}

void OperatorCommands::waitUntilInForce(std::uint64_t version) const
{
    const auto deadline = std::chrono::steady_clock::now() + InForceTimeout;
    while (true) {
        const auto answer = call("GET", "/operator/in-force");
        if (!answer) {
            return;
        }
        const auto gateways = answer->value("gateways", nlohmann::json::object());
        bool isEverywhere = true;
        for (const auto &[name, gatewayVersion] : gateways.items()) {
            isEverywhere = isEverywhere && gatewayVersion.get<std::uint64_t>() >= version;
        }
        if (isEverywhere || std::chrono::steady_clock::now() >= deadline) {
            std::cerr << (isEverywhere ? "in force at every known gateway" : "not yet in force everywhere") << ": " << gateways.dump()
                      << '\n';
            return;
        }
        std::this_thread::sleep_for(InForcePollInterval);
    }
}

ExitCode OperatorCommands::sendChange(const std::string &method, const std::string &path, const nlohmann::json &body) const
{
    const auto answer = call(method, path, body);
    if (!answer) {
        return ExitCode::Failed;
    }
    const auto version = answer->value("version", std::uint64_t{0});
    if (options_.json) {
        std::cout << answer->dump() << '\n';
    } else {
        std::cout << "accepted as version " << version << '\n';
        if (answer->contains("key")) {
            std::cout << "key " << (*answer)["key"].get<std::string>() << " (shown only now)\n";
        }
    }
    waitUntilInForce(version);
    return ExitCode::Done;
}

ExitCode OperatorCommands::listCatalogue(const std::string &kind) const
{
    const auto answer = call("GET", "/operator/catalogue" + (kind.empty() ? "" : "?kind=" + kind));
    if (!answer) {
        return ExitCode::Failed;
    }
    if (options_.json) {
        std::cout << answer->dump() << '\n';
    } else {
        std::cout << "catalogue version " << answer->value("version", std::uint64_t{0}) << '\n';
        printTable((*answer)["entries"], {"kind", "name", "version", "document"});
    }
    return ExitCode::Done;
}

ExitCode OperatorCommands::showEntry(const std::string &kind, const std::string &name) const
{
    constexpr int Indent = 2;
    const auto answer = call("GET", entryPath(kind, name));
    if (!answer) {
        return ExitCode::Failed;
    }
    std::cout << (options_.json ? answer->dump() : answer->dump(Indent)) << '\n';
    return ExitCode::Done;
}

ExitCode OperatorCommands::putEntry(const std::string &kind,
                                    const std::string &name,
                                    const std::string &file,
                                    std::optional<std::uint64_t> expectedVersion) const
{
    const auto document = readDocument(file);
    if (!document.ok()) {
        std::cerr << document.status().message() << '\n';
        return ExitCode::Usage;
    }
    nlohmann::json body{{"document", *document}};
    if (expectedVersion) {
        body["expectedVersion"] = *expectedVersion;
    }
    return sendChange("PUT", entryPath(kind, name), body);
}

ExitCode OperatorCommands::removeEntry(const std::string &kind, const std::string &name) const
{
    return sendChange("DELETE", entryPath(kind, name));
}

ExitCode OperatorCommands::grantKey(const std::string &customer) const
{
    return sendChange("POST", "/operator/keys", {{"customer", customer}});
}

ExitCode OperatorCommands::withdrawKey(const std::string &name) const
{
    return sendChange("DELETE", "/operator/keys/" + name);
}

ExitCode OperatorCommands::listKeys() const
{
    const auto answer = call("GET", "/operator/keys");
    if (!answer) {
        return ExitCode::Failed;
    }
    if (options_.json) {
        std::cout << answer->dump() << '\n';
    } else {
        printTable((*answer)["keys"], {"name", "customer", "version"});
    }
    return ExitCode::Done;
}

ExitCode OperatorCommands::listEndpoints() const
{
    const auto answer = call("GET", "/operator/endpoints");
    if (!answer) {
        return ExitCode::Failed;
    }
    if (options_.json) {
        std::cout << answer->dump() << '\n';
    } else {
        printTable((*answer)["endpoints"],
                   {"name", "dataCentre", "serves", "role", "wantedRole", "healthy", "draining", "queued", "running", "slots"});
    }
    return ExitCode::Done;
}

ExitCode OperatorCommands::setDraining(const std::string &name, bool draining) const
{
    return sendChange("POST", "/operator/endpoints/" + name + (draining ? "/drain" : "/undrain"), nlohmann::json::object());
}

ExitCode OperatorCommands::dump(const std::string &endpoint) const
{
    constexpr int Indent = 2;
    const auto answer = call("GET", "/operator/dump" + (endpoint.empty() ? "" : "?endpoint=" + endpoint));
    if (!answer) {
        return ExitCode::Failed;
    }
    std::cout << (options_.json ? answer->dump() : answer->dump(Indent)) << '\n';
    return ExitCode::Done;
}

ExitCode OperatorCommands::explain(const std::string &request) const
{
    const auto answer = call("GET", "/operator/explain" + (request.empty() ? "" : "?request=" + request));
    if (!answer) {
        return ExitCode::Failed;
    }
    if (options_.json) {
        std::cout << answer->dump() << '\n';
        return ExitCode::Done;
    }
    for (const auto &step : answer->value("steps", nlohmann::json::array())) {
        std::cout << step.get<std::string>() << '\n';
    }
    return ExitCode::Done;
}

}
