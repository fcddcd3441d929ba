#include "usersplatform.h"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr std::chrono::milliseconds FeedCheckInterval{20};

nlohmann::json rowToJson(const std::string &table, const std::string &key, const std::string &value, std::uint64_t version)
{
    return {{"table", table}, {"part", ""}, {"key", key}, {"value", value}, {"ver", version}};
}

/** Decodes the percent-encoding of the store client's parameters. */
std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            constexpr int Hexadecimal = 16;
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, Hexadecimal));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string parameterOf(const HttpRequest &request, std::string_view name)
{
    return percentDecoded(request.queryParameter(name).value_or(""));
}

}

UsersPlatformStandIn::UsersPlatformStandIn()
    : feedTimer_([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(FeedCheckInterval);
            const std::lock_guard lock(mutex_);
            answerFeeds(std::chrono::steady_clock::now());
        }
    })
{
}

UsersPlatformStandIn::~UsersPlatformStandIn() = default;

void UsersPlatformStandIn::handleRequest(const HttpRequest &request, const HttpReply &reply)
{
    const std::lock_guard lock(mutex_);
    if (request.path.starts_with("/admin/")) {
        serveAdmin(request, reply);
    } else if (request.path.starts_with("/chestnutcove/rows-")) {
        serveStore(request, reply);
    } else if (request.path == "/usage") {
        reports_.push_back(nlohmann::json::parse(request.body));
        reply.respond(200, {}, "{}");
    } else {
        serveEndpoint(request, reply);
    }
}

void UsersPlatformStandIn::serveStore(const HttpRequest &request, const HttpReply &reply)
{
    if (silentStore_) {
        return;
    }
    if (down_) {
        respond(reply, 503, "{}");
        return;
    }
    if (request.path.ends_with("rows-tx")) {
        const bool isCommitted = commit(nlohmann::json::parse(request.body));
        respond(
            reply, isCommitted ? 200 : 412, nlohmann::json{{"ver", lastVersion_}, {"now_ms", 1}, {"rows", nlohmann::json::array()}}.dump());
        return;
    }
    if (request.path.ends_with("rows-feed")) {
        if (std::stoull(parameterOf(request, "after")) > lastVersion_) {
            respond(reply, 410, "{}");
            return;
        }
        const std::chrono::milliseconds wait(std::stoul(parameterOf(request, "wait_ms")));
        const auto now = std::chrono::steady_clock::now();
        feeds_.push_back({parameterOf(request, "table"), std::stoull(parameterOf(request, "after")), now + wait, reply});
        answerFeeds(now);
        return;
    }
    respondWithRows(reply, rowsOf(parameterOf(request, "table"), parameterOf(request, "from"), parameterOf(request, "target"), 0));
}

void UsersPlatformStandIn::respond(const HttpReply &reply, int status, const std::string &body) const
{
    reply.respond(status, {{"Store-Era", std::to_string(era_)}}, body);
}

void UsersPlatformStandIn::respondWithRows(const HttpReply &reply, const nlohmann::json &rows) const
{
    respond(reply, 200, nlohmann::json{{"rows", rows}, {"more_pages", false}, {"ver", lastVersion_}, {"now_ms", uptimeMs()}}.dump());
}

std::int64_t UsersPlatformStandIn::uptimeMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_).count();
}

void UsersPlatformStandIn::answerFeeds(std::chrono::steady_clock::time_point now)
{
    if (silentStore_) {
        return;
    }
    std::erase_if(feeds_, [&](const PendingFeed &feed) {
        if (down_) {
            respond(feed.reply, 503, "{}");
            return true;
        }
        const auto rows = rowsOf(feed.table, "", "", feed.after);
        if (rows.empty() && now < feed.answerBy) {
            return false;
        }
        respondWithRows(feed.reply, rows);
        return true;
    });
}

nlohmann::json
UsersPlatformStandIn::rowsOf(const std::string &table, const std::string &from, const std::string &to, std::uint64_t after) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (auto it = rows_.lower_bound({table, from}); it != rows_.end() && it->first.first == table; ++it) {
        const bool inRange = to.empty() || it->first.second < to;
        const bool isWanted = after > 0 || !it->second.isDeleted;
        if (inRange && isWanted && it->second.version > after) {
            rows.push_back(rowToJson(table, it->first.second, it->second.value, it->second.version));
            if (it->second.isDeleted) {
                rows.back()["deleted"] = true;
            }
        }
    }
    return rows;
}

bool UsersPlatformStandIn::commit(const nlohmann::json &body)
{
    const auto keyOf = [](const nlohmann::json &row) { return RowKey(row["table"].get<std::string>(), row["key"].get<std::string>()); };
    for (const auto &row : body["expected"]) {
        const auto it = rows_.find(keyOf(row));
        if ((it == rows_.end() || it->second.isDeleted ? 0 : it->second.version) != row["ver"].get<std::uint64_t>()) {
            return false;
        }
    }
    ++lastVersion_;
    for (const auto &row : body["puts"]) {
        rows_[keyOf(row)] = Row{row["value"].get<std::string>(), lastVersion_};
    }
    for (const auto &row : body["remove"]) {
        rows_[keyOf(row)] = Row{"", lastVersion_, true};
    }
    answerFeeds(std::chrono::steady_clock::now());
    return true;
}

void UsersPlatformStandIn::serveAdmin(const HttpRequest &request, const HttpReply &reply)
{
    const auto body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body);
    if (request.path == "/admin/row") {
        rows_[{body["table"].get<std::string>(), body["key"].get<std::string>()}]
            = Row{absl::Base64Escape(body["value"].is_string() ? body["value"].get<std::string>() : body["value"].dump()), ++lastVersion_};
        answerFeeds(std::chrono::steady_clock::now());
    } else if (request.path == "/admin/remove") {
        rows_[{body["table"].get<std::string>(), body["key"].get<std::string>()}] = Row{"", ++lastVersion_, true};
        answerFeeds(std::chrono::steady_clock::now());
    } else if (request.path == "/admin/copy") {
        copy_ = {rows_, lastVersion_};
    } else if (request.path == "/admin/restore") {
        rows_ = copy_.rows;
        lastVersion_ = copy_.lastVersion;
        ++era_;
        // Calls that waited for changes are lost with the former store.
        for (const PendingFeed &feed : std::exchange(feeds_, {})) {
            respond(feed.reply, 503, "{}");
        }
    } else if (request.path == "/admin/faults") {
        down_ = body.value("down", down_);
        silentStore_ = body.value("silentStore", silentStore_);
        silentEndpoint_ = body.value("silentEndpoint", silentEndpoint_);
        runsToRefuse_ = body.value("refusedRuns", runsToRefuse_);
        limits_ = body.value("limits", limits_);
        answerFeeds(std::chrono::steady_clock::now());
    }
    reply.respond(200, {}, nlohmann::json{{"requests", requests_}, {"reports", reports_}}.dump());
}

void UsersPlatformStandIn::serveEndpoint(const HttpRequest &request, const HttpReply &reply)
{
    nlohmann::json headers = nlohmann::json::object();
    for (const auto &[name, value] : request.headers) {
        headers[name] = value;
    }
    requests_.push_back(
        {{"method", request.method}, {"path", request.path}, {"body", request.body}, {"headers", headers}, {"atMs", uptimeMs()}});
    if (silentEndpoint_) {
        return;
    }
    const std::string id(request.headerValue("Attempt-Id").value_or(""));
    if (request.headerValue("Stage") == "prefill") {
        reply.respond(200, {{"Attempt-Id", id}}, R"({"handle":"h1","tokens":5000,"version":1})");
        return;
    }
    if (request.headerValue("Kv-Source") && runsToRefuse_ > 0) {
        --runsToRefuse_;
        reply.respond(503, {{"Attempt-Id", id}, {"Not-Executed", "full"}}, "");
        return;
    }
    HttpHeaders fields{{"Attempt-Id", id}, {"Response-Stamp", "signed"}, {"Server-Load", "1,0,8"}};
    const auto limit = limits_.find(std::string(request.headerValue("Expect-Instance").value_or("")));
    if (limit != limits_.end()) {
        fields.emplace_back("Server-Limit", limit->second);
    }
    reply.respond(200, fields, "served " + request.body);
}

}
