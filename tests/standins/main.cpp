/**
 * Runs one stand-in: "standin platform", "standin users-platform", "standin engine" or "standin service". Prints its port as a line of
 * JSON on standard output.
 */
#include "engine.h"
#include "platform.h"
#include "usersplatform.h"

#include <CLI/CLI.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <atomic>
#include <iostream>

namespace {

using namespace Chestnutcove;

/** Starts the server, prints its port and runs until SIGTERM or SIGINT. */
int runServer(asio::io_context &context, HttpServer &server)
{
    if (const auto status = server.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return 1;
    }
    std::cout << nlohmann::json{{"port", server.port()}}.dump() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const std::error_code &, int) { context.stop(); });
    context.run();
    server.stop();
    return 0;
}

template<typename StandIn>
int runPlatform(HttpServerOptions options)
{
    asio::io_context context;
    StandIn platform;
    options.threads = 8;
    HttpServer server(
        options,
        [&platform](const HttpRequest &request, const HttpReply &reply) { platform.handleRequest(request, reply); },
        [](std::uint64_t) {});
    return runServer(context, server);
}

int runEngine(const HttpServerOptions &options, const EngineOptions &engineOptions)
{
    asio::io_context context;
    EngineStandIn engine(context, engineOptions);
    HttpServer server(
        options,
        [&](HttpRequest request, const HttpReply &reply) {
            asio::post(context, [&engine, request = std::move(request), reply] { engine.handleRequest(request, reply); });
        },
        [&](std::uint64_t connection) { asio::post(context, [&engine, connection] { engine.onDisconnected(connection); }); });
    return runServer(context, server);
}

/** A plain service that counts its calls and returns each request's method, path and body. */
int runService(const HttpServerOptions &options, std::uint64_t delayMs)
{
    asio::io_context context;
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<bool> sawKey = false;
    std::atomic<bool> silent = false;
    HttpServer server(
        options,
        [&](const HttpRequest &request, const HttpReply &reply) {
            if (request.path == "/healthz") {
                reply.respond(200, {}, "ok");
                return;
            }
            if (request.path == "/admin/state") {
                reply.respond(200, {}, nlohmann::json{{"calls", calls.load()}, {"sawKey", sawKey.load()}}.dump());
                return;
            }
            if (request.path == "/admin/faults") {
                silent = nlohmann::json::parse(request.body).value("silent", false);
                reply.respond(200, {}, "{}");
                return;
            }
            const std::uint64_t number = ++calls;
            sawKey = sawKey || request.headerValue("Authorization").has_value();
            if (silent) {
                return;
            }
            const nlohmann::json answer{{"number", number}, {"method", request.method}, {"path", request.path}, {"body", request.body}};
            auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(delayMs));
            timer->async_wait([timer, reply, answer](const std::error_code &) {
                reply.respond(200, {{"Content-Type", "application/json"}}, answer.dump());
            });
        },
        [](std::uint64_t) {});
    auto work = asio::make_work_guard(context);
    return runServer(context, server);
}

}

int main(int argc, char **argv)
{
    CLI::App app("Stand-ins for the external systems");
    app.require_subcommand(1);
    HttpServerOptions options;
    EngineOptions engine;
    std::uint64_t delayMs = 0;
    app.add_option("--port", options.port, "Port on 127.0.0.1; 0 selects a free port");
    app.add_subcommand("platform", "Platform services");
    app.add_subcommand("users-platform", "Users' platform: store, usage reports and an endpoint");
    auto *engineCommand = app.add_subcommand("engine", "A model engine");
    engineCommand->add_option("--model", engine.model);
    engineCommand->add_option("--role", engine.role);
    engineCommand->add_option("--slots", engine.slots);
    engineCommand->add_option("--prefill", engine.prefillTokensPerSecond);
    engineCommand->add_option("--decode", engine.decodeTokensPerSecond);
    engineCommand->add_option("--cache-blocks", engine.cacheBlocks);
    engineCommand->add_option("--checks-fencing", engine.checksFencing);
    engineCommand->add_option("--output-tokens", engine.defaultOutputTokens);
    auto *serviceCommand = app.add_subcommand("service", "A plain service");
    serviceCommand->add_option("--delay-ms", delayMs);
    CLI11_PARSE(app, argc, argv);
    if (app.got_subcommand("platform")) {
        return runPlatform<PlatformStandIn>(options);
    }
    if (app.got_subcommand("users-platform")) {
        return runPlatform<UsersPlatformStandIn>(options);
    }
    if (app.got_subcommand("engine")) {
        return runEngine(options, engine);
    }
    return runService(options, delayMs);
}
