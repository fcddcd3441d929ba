/**
 * Stand-in for the users' platform: its store with rows, changes and conditions, its interface for duties, and an endpoint, plain or an
 * engine of both stages, that remembers what it was sent.
 */
#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace Chestnutcove {

class UsersPlatformStandIn
{
public:
    /** May be called on several threads. */
    void handle(const HttpRequest &request, const HttpReply &reply);

private:
    struct Row
    {
        /** In base64. */
        std::string value;
        std::uint64_t version = 0;
    };
    using RowKey = std::pair<std::string, std::string>;

    nlohmann::json rowsOf(const std::string &table, const std::string &from, const std::string &to, std::uint64_t after) const;
    bool commit(const nlohmann::json &body);
    void serveStore(const HttpRequest &request, const HttpReply &reply);
    void serveAdmin(const HttpRequest &request, const HttpReply &reply);
    void serveEndpoint(const HttpRequest &request, const HttpReply &reply);

    std::mutex mutex_;
    /** By table and key. */
    std::map<RowKey, Row> rows_;
    std::uint64_t lastVersion_ = 0;
    bool down_ = false;
    bool silentEndpoint_ = false;
    /** Runs of prompts that were read elsewhere that are still to be refused as not run. */
    int refusedRuns_ = 0;
    nlohmann::json requests_ = nlohmann::json::array();
    nlohmann::json reports_ = nlohmann::json::array();
};

}
