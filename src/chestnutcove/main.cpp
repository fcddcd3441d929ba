/**
 * Entry point of the program: parses the command line and runs a role or an operator command.
 */
#include "gateway.h"
#include "operatorcommands.h"
#include "platformgateway.h"
#include "platformsettings.h"
#include "sidecar.h"

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

namespace {

using namespace Chestnutcove;

constexpr const char *Version = "0.1.0";
/** Limit for each kind of log event. */
constexpr unsigned PlatformLogLinesPerSecond = 200;

/** Each hedge also takes a retry of the retry budget, which by default is this fraction of requests. */
constexpr double MaxHedgeRatio = 0.2;

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

/** Runs the event loop. An event whose handler fails on malformed external data is dropped, and the loop continues. */
void runEvents(asio::io_context &context, const Log &log)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const nlohmann::json::exception &error) {
            log.error("malformed external data, event dropped", {{"reason", error.what()}});
        }
    }
}

/** Runs a role until a signal has stopped it gracefully; a second signal ends the process at once. */
template<typename Role>
ExitCode runRole(Role &role, asio::io_context &context, const Log &log, const std::function<nlohmann::json()> &ports)
{
    if (const absl::Status status = role.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return ExitCode::Failed;
    }
    std::cout << ports().dump() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &error, int) {
        if (error) {
            return;
        }
        signals.async_wait([](const std::error_code &second, int) {
            if (!second) {
                std::_Exit(static_cast<int>(ExitCode::Failed));
            }
        });
        role.stop([&context] { context.stop(); });
    });
    runEvents(context, log);
    return ExitCode::Done;
}

ExitCode runGateway(const std::string &file)
{
    const auto settings = readGatewaySettings(file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return ExitCode::Usage;
    }
    const Log log("gateway " + settings->name, settings->logLevel);
    Metrics metrics;
    asio::io_context context;
    Gateway gateway(*settings, context, log, metrics, randomIncarnation());
    return runRole(gateway, context, log, [&gateway] {
        return nlohmann::json{
            {"ready", true}, {"callers", gateway.callerPort()}, {"operators", gateway.operatorPort()}, {"link", gateway.linkPort()}};
    });
}

/** @param hedgeRatio hedges that each first attempt allows. */
ExitCode runPlatformGateway(double hedgeRatio)
{
    auto settings = Platform::loadSettings();
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return ExitCode::Usage;
    }
    settings->hedgeRatio = hedgeRatio;
    const Log log("gateway " + settings->vmName, LogOptions{LogLevel::Info, LogTarget::StandardOutput, PlatformLogLinesPerSecond});
    Metrics metrics;
    asio::io_context context(1);
    PlatformGateway gateway(*settings, context, log, metrics, randomIncarnation());
    asio::signal_set reloads(context, SIGHUP);
    std::function<void(const std::error_code &, int)> onReload = [&](const std::error_code &error, int) {
        if (!error) {
            gateway.checkReloadedSettings(Platform::loadSettings());
            reloads.async_wait(onReload);
        }
    };
    reloads.async_wait(onReload);
    return runRole(gateway, context, log, [&gateway] {
        return nlohmann::json{{"ready", true}, {"callers", gateway.callerPort()}, {"readiness", gateway.readinessPort()}};
    });
}

ExitCode runSidecar(const std::string &file)
{
    const auto settings = readSidecarSettings(file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return ExitCode::Usage;
    }
    const Log log("sidecar " + settings->name, settings->logLevel);
    Metrics metrics;
    asio::io_context context;
    Sidecar sidecar(*settings, context, log, metrics, randomIncarnation());
    return runRole(sidecar, context, log, [&sidecar] { return nlohmann::json{{"ready", true}, {"link", sidecar.port()}}; });
}

ExitCode checkSettings(const std::string &role, const std::string &file)
{
    const absl::Status status = role == "gateway" ? readGatewaySettings(file).status() : readSidecarSettings(file).status();
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return ExitCode::Usage;
    }
    std::cout << file << ": valid settings of a " << role << '\n';
    return ExitCode::Done;
}

ExitCode printKeyPair()
{
    const auto keys = generateLinkKeys();
    if (!keys.ok()) {
        std::cerr << keys.status().message() << '\n';
        return ExitCode::Failed;
    }
    std::cout << nlohmann::json{{"publicKey", keys->publicKey}, {"secretKey", keys->secretKey}}.dump() << '\n';
    return ExitCode::Done;
}

/** Builds the command line. Each command sets @p action. */
class CommandLine
{
public:
    CommandLine()
        : app_("Serves language models and plain services on a limited fleet.", "chestnutcove")
    {
        app_.require_subcommand(1);
        addRoles();
        addCatalogue();
        addKeys();
        addEndpoints();
        addInspection();
    }

    ExitCode run(int argc, char **argv)
    {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            return app_.exit(error) == 0 ? ExitCode::Done : ExitCode::Usage;
        }
        return action_();
    }

private:
    using Command = std::function<ExitCode(const OperatorCommands &)>;

    void addRoles()
    {
        auto *gateway = app_.add_subcommand("gateway", "Run a gateway: callers' and operators' HTTP, rate limits, routing");
        auto *gatewaySettings = gateway->add_option("--settings", file_, "Settings file");
        CLI::Option *onPlatform
            = gateway->add_flag("--platform", onPlatform_, "Run on the users' platform, with the settings that it gives to each process");
        onPlatform->excludes(gatewaySettings);
        gateway
            ->add_option("--hedge-ratio",
                         hedgeRatio_,
                         "Second calls of slow requests that may run more than once, as a fraction of all requests; 0 for none")
            ->check(CLI::Range(0.0, MaxHedgeRatio))
            ->capture_default_str()
            ->needs(onPlatform);
        gateway->callback([this, gatewaySettings] {
            if (gatewaySettings->count() == 0 && !onPlatform_) {
                throw CLI::RequiredError("--settings or --platform");
            }
            action_ = [this] { return onPlatform_ ? runPlatformGateway(hedgeRatio_) : runGateway(file_); };
        });
        auto *sidecar = app_.add_subcommand("sidecar", "Run the sidecar of one endpoint");
        sidecar->add_option("--settings", file_, "Settings file")->required();
        sidecar->callback([this] { action_ = [this] { return runSidecar(file_); }; });
        auto *config = app_.add_subcommand("config", "Work with settings files");
        config->require_subcommand(1);
        auto *check = config->add_subcommand("check", "Check a settings file and print every fault");
        check->add_option("--role", role_, "gateway or sidecar")->required()->check(CLI::IsMember({"gateway", "sidecar"}));
        check->add_option("file", file_, "Settings file")->required();
        check->callback([this] { action_ = [this] { return checkSettings(role_, file_); }; });
        app_.add_subcommand("keypair", "Print a new key pair for the links between processes")->callback([this] {
            action_ = printKeyPair;
        });
        app_.add_subcommand("version", "Print the version")->callback([this] {
            action_ = [] {
                std::cout << "chestnutcove " << Version << '\n';
                return ExitCode::Done;
            };
        });
    }

    void addCatalogue()
    {
        auto *catalogue = app_.add_subcommand("catalogue", "List and edit the catalogue");
        catalogue->require_subcommand(1);
        auto *list = addCommand(catalogue, "list", "List entries", [this](const auto &commands) { return commands.listCatalogue(kind_); });
        list->add_option("--kind", kind_, "customer, model, service, endpoint or key");
        auto *show
            = addCommand(catalogue, "show", "Show one entry", [this](const auto &commands) { return commands.showEntry(kind_, name_); });
        addEntryName(show);
        auto *put = addCommand(catalogue, "put", "Create or replace an entry", [this](const auto &commands) {
            return commands.putEntry(kind_, name_, file_, hasExpectedVersion_ ? std::optional(expectedVersion_) : std::nullopt);
        });
        addEntryName(put);
        put->add_option("file", file_, "JSON document with comments, - for standard input")->required();
        put->add_option("--if-version", expectedVersion_, "Refuse unless the entry was last changed in this version; 0: must be new")
            ->each([this](const std::string &) { hasExpectedVersion_ = true; });
        auto *remove = addCommand(
            catalogue, "remove", "Remove an entry", [this](const auto &commands) { return commands.removeEntry(kind_, name_); });
        addEntryName(remove);
    }

    void addKeys()
    {
        auto *key = app_.add_subcommand("key", "Grant, withdraw and list callers' keys");
        key->require_subcommand(1);
        auto *grant
            = addCommand(key, "grant", "Grant a key; it is shown once", [this](const auto &commands) { return commands.grantKey(name_); });
        grant->add_option("customer", name_, "Customer")->required();
        auto *withdraw
            = addCommand(key, "withdraw", "Withdraw a key", [this](const auto &commands) { return commands.withdrawKey(name_); });
        withdraw->add_option("name", name_, "The part of the key between the dashes")->required();
        addCommand(key, "list", "List keys", [](const auto &commands) { return commands.listKeys(); });
    }

    void addEndpoints()
    {
        auto *endpoint = app_.add_subcommand("endpoint", "List, drain and undrain endpoints");
        endpoint->require_subcommand(1);
        addCommand(endpoint, "list", "List endpoints with role, load and drain state", [](const auto &commands) {
            return commands.listEndpoints();
        });
        for (const bool draining : {true, false}) {
            auto *command
                = addCommand(endpoint,
                             draining ? "drain" : "undrain",
                             draining ? "Send no new work to an endpoint; running work finishes" : "Send work to an endpoint again",
                             [this, draining](const auto &commands) { return commands.setDraining(name_, draining); });
            command->add_option("name", name_, "Endpoint")->required();
        }
    }

    void addInspection()
    {
        auto *state = app_.add_subcommand("state", "Look into a running process");
        state->require_subcommand(1);
        auto *dump = addCommand(
            state, "dump", "Print the internal state of a process", [this](const auto &commands) { return commands.dump(name_); });
        dump->add_option("--endpoint", name_, "Dump the sidecar of this endpoint and not the gateway");
        auto *explain = addCommand(&app_,
                                   "explain",
                                   "Print the steps of a request and their reasons, or the planner's last decisions",
                                   [this](const auto &commands) { return commands.explain(name_); });
        explain->add_option("request", name_, "Request id, as in X-Request-Id");
    }

    CLI::App *addCommand(CLI::App *parent, const std::string &name, const std::string &help, Command command)
    {
        auto *app = parent->add_subcommand(name, help);
        app->add_option("--operator-url", options_.url, "Operator listener of a gateway")
            ->envname("CHESTNUTCOVE_OPERATOR_URL")
            ->capture_default_str();
        app->add_option("--operator-token", options_.token, "Operator token")->envname("CHESTNUTCOVE_OPERATOR_TOKEN")->required();
        app->add_flag("--json", options_.json, "Print JSON");
        app->callback([this, command = std::move(command)] { action_ = [this, command] { return command(OperatorCommands(options_)); }; });
        return app;
    }

    void addEntryName(CLI::App *app)
    {
        app->add_option("kind", kind_, "customer, model, service, endpoint or key")->required();
        app->add_option("name", name_, "Name of the entry")->required();
    }

    CLI::App app_;
    OperatorOptions options_;
    std::function<ExitCode()> action_;
    std::string file_;
    bool onPlatform_ = false;
    double hedgeRatio_ = 0;
    std::string role_;
    std::string kind_;
    std::string name_;
    std::uint64_t expectedVersion_ = 0;
    bool hasExpectedVersion_ = false;
};

}

int main(int argc, char **argv)
{
    return static_cast<int>(CommandLine().run(argc, argv));
}
