#include "jsontableformat.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int CodeOk = 200;
constexpr int CodeConflict = 409;

HttpCall postCall(const std::string &path, std::string body)
{
    HttpCall call;
    call.method = "POST";
    call.url = path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = std::move(body);
    return call;
}

}

HttpCall JsonTableFormat::encodeGet(const std::vector<std::string> &keys) const
{
    return postCall("/v1/table/get", nlohmann::json{{"keys", keys}}.dump());
}

HttpCall JsonTableFormat::encodeList(const std::string &prefix) const
{
    return postCall("/v1/table/list", nlohmann::json{{"prefix", prefix}}.dump());
}

HttpCall JsonTableFormat::encodeCommit(const TableTransaction &transaction) const
{
    nlohmann::json conditions = nlohmann::json::array();
    for (const auto &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    nlohmann::json puts = nlohmann::json::array();
    for (const auto &put : transaction.puts) {
        puts.push_back({{"key", put.key}, {"value", put.value ? nlohmann::json(*put.value) : nlohmann::json()}});
    }
    return postCall("/v1/table/commit", nlohmann::json{{"conditions", std::move(conditions)}, {"puts", std::move(puts)}}.dump());
}

absl::StatusOr<TableRows> JsonTableFormat::decodeRows(const HttpResult &result) const
{
    if (result.code != CodeOk) {
        return absl::UnavailableError("the table service responded with status " + std::to_string(result.code));
    }
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array()) {
        return absl::DataLossError("the table service's response is no JSON object with the list \"rows\"");
    }
    TableRows rows;
    for (const auto &row : json["rows"]) {
        if (!row.is_object() || !row.contains("key") || !row.contains("value") || !row.contains("version")) {
            return absl::DataLossError("a row in the table service's response lacks \"key\", \"value\" or \"version\"");
        }
        rows[row["key"].get<std::string>()] = TableRow{row["value"].get<std::string>(), row["version"].get<std::uint64_t>()};
    }
    return rows;
}

CommitOutcome JsonTableFormat::decodeOutcome(const HttpResult &result) const
{
    switch (result.code) {
    case CodeOk:
        return CommitOutcome::Committed;
    case CodeConflict:
        return CommitOutcome::Conflict;
    default:
        return CommitOutcome::Unknown;
    }
}

}
