/**
 * Stand-in for a model engine: continuous batching with configurable prefill and decode speeds, a prefix cache of limited size, request
 * priorities, cancellation on disconnect, cache events and role orders with or without a fencing check. An answer is a function of its
 * prompt, so that a test can check that each caller received the answer to its own prompt.
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
    /** Capacity of the prefix cache. */
    std::size_t cacheBlocks = 4096;
    /** Whether orders with an older fencing token than an earlier order's are refused. */
    bool checksFencing = true;
    /** Time after a role order during which the engine neither starts sequences nor generates tokens. */
    std::chrono::milliseconds roleChangeTime{1000};
    /** Default of `max_tokens` and `test_tokens`. */
    std::uint64_t defaultOutputTokens = 16;
};

/** The n-th token of the answer to a prompt. */
std::string answerToken(const std::string &prompt, std::uint64_t index);

class EngineStandIn
{
public:
    EngineStandIn(asio::io_context &context, EngineOptions options);

    /** Call this and onDisconnected() on the context's thread only. */
    void handleRequest(const HttpRequest &request, const HttpReply &reply);
    /** Cancels the sequences of a closed connection. */
    void onDisconnected(std::uint64_t connection);

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
        /** Index of the first token to generate; above 0 if the request continues a partial answer. */
        std::uint64_t firstIndex = 0;
        std::uint64_t generatedTokens = 0;
        std::uint64_t tokensToGenerate = 0;
        bool started = false;
        std::chrono::steady_clock::time_point nextToken;
        std::string text;
    };

    void enqueueChat(const HttpRequest &request, const HttpReply &reply, const nlohmann::json &body);
    void applyOrder(const HttpReply &reply, const nlohmann::json &body);
    void sendCacheEvents(const HttpRequest &request, const HttpReply &reply) const;
    /** Advances all sequences to the present time and schedules the next step. */
    void step();
    /** Moves waiting sequences to free slots and schedules their prefill, one after the other. */
    void startSequences(std::chrono::steady_clock::time_point now);
    /** Generates the tokens that are due. */
    void generateTokens(Sequence &sequence, std::chrono::steady_clock::time_point now);
    void finishSequence(Sequence &sequence);
    /** Adds blocks to the cache as the most recently used ones and evicts the least recently used. */
    void storeBlocks(const std::vector<std::uint64_t> &blocks);
    void recordEvent(const char *kind, std::uint64_t block);

    asio::io_context &context_;
    EngineOptions options_;
    Faults faults_;
    asio::steady_timer timer_;
    std::list<Sequence> waiting_;
    std::list<Sequence> running_;
    std::chrono::steady_clock::time_point prefillFreeAt_;
    std::chrono::steady_clock::time_point roleChangeEnd_;
    /** Cached blocks, the least recently used first. */
    std::list<std::uint64_t> cacheOrder_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::deque<nlohmann::json> events_;
    /** Number of the oldest event that is still kept. */
    std::uint64_t firstEvent_ = 0;
    std::uint64_t highestFencingToken_ = 0;
    std::uint64_t lastSequence_ = 0;
    /** Accepted orders, for tests. */
    nlohmann::json orders_ = nlohmann::json::array();
    /** Number of chat calls by request id, for tests. */
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t cancelled_ = 0;
    /** Whether any request carried an Authorization header; the gateway must not forward the caller's key. */
    bool sawKey_ = false;
};

}
