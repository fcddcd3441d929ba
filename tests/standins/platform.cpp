#include "platform.h"

#include <chrono>
#include <thread>

namespace Chestnutcove {

namespace {

void respondJson(const HttpReply &reply, int status, const nlohmann::json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

}

void PlatformStandIn::handleRequest(const HttpRequest &request, const HttpReply &reply)
{
    if (request.path.starts_with("/v1/")) {
        std::uint64_t latency = 0;
        {
            const std::lock_guard lock(mutex_);
            latency = faults_.latencyMs;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(latency));
    }
    const std::lock_guard lock(mutex_);
    serveLocked(request, reply);
}

void PlatformStandIn::serveLocked(const HttpRequest &request, const HttpReply &reply)
{
    const auto body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    const std::string &path = request.path;
    if (path.starts_with("/v1/")) {
        if (faults_.silent) {
            return;
        }
        if (faults_.outage) {
            respondJson(reply, 503, {{"error", "outage"}});
            return;
        }
    }
    if (path == "/admin/faults") {
        faults_.update(body);
        respondJson(reply, 200, nlohmann::json::object());
    } else if (path == "/admin/vms") {
        vms_ = body["vms"];
        respondJson(reply, 200, nlohmann::json::object());
    } else if (path == "/admin/state") {
        respondJson(
            reply, 200, {{"reports", reports_}, {"orders", orders_}, {"reads", reads_}, {"writes", writes_}, {"rows", rows_.size()}});
    } else if (path == "/v1/table/get") {
        ++reads_;
        respondJson(reply, 200, rowsByKey(body));
    } else if (path == "/v1/table/list") {
        ++reads_;
        respondJson(reply, 200, rowsByPrefix(body));
    } else if (path == "/v1/table/commit") {
        ++writes_;
        const bool isCommitted = commit(body);
        if (isCommitted && faults_.loseAnswers > 0) {
            --faults_.loseAnswers;
            return;
        }
        respondJson(reply, isCommitted ? 200 : 409, {{"committed", isCommitted}});
    } else if (path == "/v1/vms") {
        respondJson(reply, 200, {{"vms", vms_}});
    } else if (path == "/v1/usage-reports") {
        reports_.push_back(body);
        respondJson(reply, 200, nlohmann::json::object());
    } else if (path == "/v1/endpoint-orders" && request.method == "POST") {
        orders_.push_back(body);
        respondJson(reply, 200, nlohmann::json::object());
    } else if (path == "/v1/endpoint-orders") {
        respondJson(reply, 200, {{"orders", orders_}});
    } else if (path.starts_with("/v1/objects/") && request.method == "PUT") {
        objects_[path] = request.body;
        respondJson(reply, 200, nlohmann::json::object());
    } else if (path.starts_with("/v1/objects/") && objects_.contains(path)) {
        reply.respond(200, {}, objects_[path]);
    } else {
        respondJson(reply, 404, {{"error", "no such call"}});
    }
}

nlohmann::json PlatformStandIn::rowsByKey(const nlohmann::json &body) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &key : body.value("keys", nlohmann::json::array())) {
        const auto it = rows_.find(key.get<std::string>());
        if (it != rows_.end()) {
            rows.push_back({{"key", it->first}, {"value", it->second.value}, {"version", it->second.version}});
        }
    }
    return {{"rows", std::move(rows)}};
}

nlohmann::json PlatformStandIn::rowsByPrefix(const nlohmann::json &body) const
{
    const std::string prefix = body.value("prefix", "");
    nlohmann::json rows = nlohmann::json::array();
    for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it) {
        rows.push_back({{"key", it->first}, {"value", it->second.value}, {"version", it->second.version}});
    }
    return {{"rows", std::move(rows)}};
}

bool PlatformStandIn::commit(const nlohmann::json &body)
{
    for (const auto &condition : body.value("conditions", nlohmann::json::array())) {
        const auto it = rows_.find(condition["key"].get<std::string>());
        const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
        if (version != condition["version"].get<std::uint64_t>()) {
            return false;
        }
    }
    for (const auto &put : body.value("puts", nlohmann::json::array())) {
        const std::string key = put["key"].get<std::string>();
        if (put["value"].is_null()) {
            rows_.erase(key);
        } else {
            rows_[key] = Row{put["value"].get<std::string>(), ++lastVersion_};
        }
    }
    return true;
}

}
