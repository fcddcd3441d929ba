/**
 * Stand-in for the platform: table service, object store, VM list, endpoint orders and usage reports, with the faults of faults.h.
 */
#pragma once

#include "faults.h"
#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Chestnutcove {

class PlatformStandIn
{
public:
    /** May be called on several threads. */
    void handleRequest(const HttpRequest &request, const HttpReply &reply);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    nlohmann::json rowsByKey(const nlohmann::json &body) const;
    nlohmann::json rowsByPrefix(const nlohmann::json &body) const;
    /** Writes all rows if every condition holds. @return whether the rows were written. */
    bool commit(const nlohmann::json &body);
    void serveLocked(const HttpRequest &request, const HttpReply &reply);

    std::mutex mutex_;
    Faults faults_;
    std::map<std::string, Row> rows_;
    std::uint64_t lastVersion_ = 0;
    std::map<std::string, std::string> objects_;
    nlohmann::json vms_ = nlohmann::json::array();
    nlohmann::json reports_ = nlohmann::json::array();
    nlohmann::json orders_ = nlohmann::json::array();
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

}
