/**
 * Stand-in for the users' platform: its store with rows, a change feed and conditional writes, its usage reports, and an endpoint that
 * records the requests it receives and acts as a plain service, a prefill engine or a decode engine, as each request asks.
 */
#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Chestnutcove {

class UsersPlatformStandIn
{
public:
    UsersPlatformStandIn();
    ~UsersPlatformStandIn();
    UsersPlatformStandIn(const UsersPlatformStandIn &) = delete;
    UsersPlatformStandIn &operator=(const UsersPlatformStandIn &) = delete;

    /** May be called on several threads. */
    void handleRequest(const HttpRequest &request, const HttpReply &reply);

private:
    struct Row
    {
        /** Base64-encoded. */
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using RowKey = std::pair<std::string, std::string>;
    /** The store's state at some time, to which it can go back. */
    struct Copy
    {
        std::map<RowKey, Row> rows;
        std::uint64_t lastVersion = 0;
    };
    /** A call for changes that waits until there are some. */
    struct PendingFeed
    {
        std::string table;
        std::uint64_t after = 0;
        std::chrono::steady_clock::time_point answerBy;
        HttpReply reply;
    };

    /** Rows of a table with keys in [from, to) and versions above @p after; an empty @p to is no limit. */
    nlohmann::json rowsOf(const std::string &table, const std::string &from, const std::string &to, std::uint64_t after) const;
    std::int64_t uptimeMs() const;
    /** Answers a call of the store's, with what all its answers state. */
    void respond(const HttpReply &reply, int status, const std::string &body) const;
    void respondWithRows(const HttpReply &reply, const nlohmann::json &rows) const;
    /** Answers the calls for changes that have waited long enough or have changes to return. */
    void answerFeeds(std::chrono::steady_clock::time_point now);
    /** Applies all writes if every expected row version matches. @return whether the writes were applied. */
    bool commit(const nlohmann::json &body);
    void serveStore(const HttpRequest &request, const HttpReply &reply);
    void serveAdmin(const HttpRequest &request, const HttpReply &reply);
    void serveEndpoint(const HttpRequest &request, const HttpReply &reply);

    std::mutex mutex_;
    /** Rows by table and key. */
    std::map<RowKey, Row> rows_;
    std::uint64_t lastVersion_ = 0;
    Copy copy_;
    /** Rises each time the store goes back to its copy. */
    unsigned era_ = 1;
    std::vector<PendingFeed> feeds_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
    /** The store responds with 503. */
    bool down_ = false;
    /** The store takes calls and never answers. */
    bool silentStore_ = false;
    /** The endpoint accepts requests and never responds. */
    bool silentEndpoint_ = false;
    /** Number of decode requests with a prompt prefilled elsewhere (Kv-Source) that are still to be refused as not executed. */
    int runsToRefuse_ = 0;
    /** By the endpoint that a request names: the limit, in requests a second, that its answer names. */
    std::map<std::string, std::string> limits_;
    nlohmann::json requests_ = nlohmann::json::array();
    nlohmann::json reports_ = nlohmann::json::array();
    /** Answers calls for changes whose time is over. */
    std::jthread feedTimer_;
};

}
