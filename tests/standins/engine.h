/**
 * Stand-in for a model engine: continuous batching with settable speeds, a prefix cache in limited memory, priorities, cancel, late cache
 * events and role orders with or without a fencing check. Its answers follow from the prompt, so that a test can tell whose answer it got.
 */
#pragma once

#include "faults.h"
#include "httpserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

struct EngineOptions
{
    std::string model = "stand-in";
    std::string role = "mixed";
    std::size_t slots = 16;
    double prefillTokensPerSecond = 20000;
    double decodeTokensPerSecond = 100;
    /** Memory of the prefix cache. */
    std::size_t cacheBlocks = 4096;
    bool checksFencing = true;
    std::chrono::milliseconds roleChangeTime{1000};
    std::uint64_t defaultOutputTokens = 16;
};

/** The n-th token of the answer to a prompt. */
std::string answerToken(const std::string &prompt, std::uint64_t index);

class EngineStandIn
{
public:
    EngineStandIn(asio::io_context &context, EngineOptions options);

    /** Both are called on the context's thread. */
    void handle(const HttpRequest &request, const HttpReply &reply);
    void disconnected(std::uint64_t connection);

private:
    struct Sequence
    {
        std::uint64_t number = 0;
        std::uint64_t connection = 0;
        HttpReply reply;
        int priority = 0;
        bool stream = false;
        std::string prompt;
        std::vector<std::uint64_t> blocks;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t first = 0;
        std::uint64_t produced = 0;
        std::uint64_t wanted = 0;
        bool started = false;
        std::chrono::steady_clock::time_point nextToken;
        std::string text;
    };

    void chat(const HttpRequest &request, const HttpReply &reply, const nlohmann::json &body);
    void order(const HttpReply &reply, const nlohmann::json &body);
    void cacheEvents(const HttpRequest &request, const HttpReply &reply) const;
    void step();
    void startSequences(std::chrono::steady_clock::time_point now);
    void produce(Sequence &sequence, std::chrono::steady_clock::time_point now);
    void finish(Sequence &sequence);
    void store(const std::vector<std::uint64_t> &blocks);
    void event(const char *kind, std::uint64_t block);

    asio::io_context &context_;
    EngineOptions options_;
    Faults faults_;
    asio::steady_timer timer_;
    std::list<Sequence> waiting_;
    std::list<Sequence> running_;
    std::chrono::steady_clock::time_point prefillFreeAt_;
    std::chrono::steady_clock::time_point roleBusyUntil_;
    std::list<std::uint64_t> cacheOrder_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::deque<nlohmann::json> events_;
    std::uint64_t firstEvent_ = 0;
    std::uint64_t highestFencing_ = 0;
    std::uint64_t lastSequence_ = 0;
    /** What was ordered and run, for tests. */
    nlohmann::json orders_ = nlohmann::json::array();
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t cancelled_ = 0;
    bool sawKey_ = false;
};

}
