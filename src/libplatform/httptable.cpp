#include "httptable.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::uint32_t OpenAfterFailures = 3;
constexpr std::chrono::milliseconds ProbeInterval{500};
constexpr int CodeOk = 200;
constexpr int CodeConflict = 409;

absl::StatusOr<TableRows> parseRows(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array()) {
        return absl::DataLossError("the table service answered with something else than rows");
    }
    TableRows rows;
    for (const auto &row : json["rows"]) {
        if (!row.is_object() || !row.contains("key") || !row.contains("value") || !row.contains("version")) {
            return absl::DataLossError("the table service answered with an incomplete row");
        }
        rows[row["key"].get<std::string>()] = TableRow{row["value"].get<std::string>(), row["version"].get<std::uint64_t>()};
    }
    return rows;
}

std::string toBody(const TableTransaction &transaction)
{
    nlohmann::json conditions = nlohmann::json::array();
    for (const auto &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    nlohmann::json puts = nlohmann::json::array();
    for (const auto &put : transaction.puts) {
        puts.push_back({{"key", put.key}, {"value", put.value ? nlohmann::json(*put.value) : nlohmann::json()}});
    }
    return nlohmann::json{{"conditions", std::move(conditions)}, {"puts", std::move(puts)}}.dump();
}

HttpCall postCall(const std::string &url, std::string body, std::chrono::milliseconds timeout, bool fresh)
{
    HttpCall call;
    call.method = "POST";
    call.url = url;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = std::move(body);
    call.timeout = timeout;
    call.freshConnection = fresh;
    return call;
}

}

HttpTable::HttpTable(HttpClient &client, PlatformOptions options)
    : client_(client)
    , options_(std::move(options))
    , breaker_(OpenAfterFailures, ProbeInterval)
{
}

void HttpTable::get(std::vector<std::string> keys, GetHandler onRows)
{
    read("/v1/table/get", nlohmann::json{{"keys", std::move(keys)}}.dump(), std::move(onRows), false);
}

void HttpTable::list(const std::string &prefix, GetHandler onRows)
{
    read("/v1/table/list", nlohmann::json{{"prefix", prefix}}.dump(), std::move(onRows), false);
}

void HttpTable::read(const std::string &path, const std::string &body, GetHandler onRows, bool repeated)
{
    if (!breaker_.allow(std::chrono::steady_clock::now())) {
        onRows(absl::UnavailableError("the table service is down"));
        return;
    }
    ++reads_;
    client_.send(postCall(options_.url + path, body, options_.timeout, suspectConnection_),
                 [this, path, body, onRows = std::move(onRows), repeated](const HttpResult &result) mutable {
                     note(result.status.ok() && result.code == CodeOk);
                     if (!result.status.ok() && !repeated) {
                         read(path, body, std::move(onRows), true);
                         return;
                     }
                     if (!result.status.ok()) {
                         onRows(absl::UnavailableError(std::string(result.status.message())));
                         return;
                     }
                     if (result.code != CodeOk) {
                         onRows(absl::UnavailableError("the table service answered " + std::to_string(result.code)));
                         return;
                     }
                     onRows(parseRows(result.body));
                 });
}

void HttpTable::commit(const TableTransaction &transaction, CommitHandler onOutcome)
{
    if (!breaker_.allow(std::chrono::steady_clock::now())) {
        onOutcome(CommitOutcome::NotSent);
        return;
    }
    ++writes_;
    HttpCall call = postCall(options_.url + "/v1/table/commit", toBody(transaction), options_.timeout, suspectConnection_);
    call.atMostOnce = true;
    client_.send(std::move(call), [this, onOutcome = std::move(onOutcome)](const HttpResult &result) {
        const bool definite = result.status.ok() && (result.code == CodeOk || result.code == CodeConflict);
        note(definite);
        if (definite) {
            onOutcome(result.code == CodeOk ? CommitOutcome::Committed : CommitOutcome::Conflict);
        } else {
            onOutcome(absl::IsUnavailable(result.status) ? CommitOutcome::NotSent : CommitOutcome::Unknown);
        }
    });
}

bool HttpTable::isDown() const
{
    return breaker_.isOpen();
}

void HttpTable::note(bool answered)
{
    suspectConnection_ = !answered;
    if (answered) {
        breaker_.succeeded();
    } else {
        ++failures_;
        breaker_.failed(std::chrono::steady_clock::now());
    }
}

}
