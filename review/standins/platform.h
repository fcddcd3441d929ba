/**
 * Stand-in for the platform: the table form of its store (rows-tx, rows-get, rows-feed) and the usage report of its operations API, as
 * PROTOCOL.md has them. It answers at once and loses nothing.
 */
#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <set>

namespace Review {

using Json = nlohmann::json;

inline std::string base64(const std::string &bytes)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= bytes.size() ? Digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return result;
}

struct UsageReport
{
    std::int64_t atMs = 0;
    std::uint64_t window = 0;
    Json counts;
    std::string holder;
    std::string fence;
};

class Platform
{
public:
    explicit Platform(Record &record)
        : record_(record)
        , server_([this](Connection &connection, const Message &request) { return serve(connection, request); })
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    /** Writes a row, as the operator or a server does. */
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = Row{base64(value), ++version_, false};
        changed_.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = Row{"", ++version_, true};
        changed_.notify_all();
    }

    std::vector<UsageReport> reports() const
    {
        const std::lock_guard lock(mutex_);
        return reports_;
    }

    std::size_t rowCount(const std::string &table, const std::string &prefix) const
    {
        const std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (const auto &[key, row] : rows_) {
            count += key.first == table && key.second.starts_with(prefix) && !row.isDeleted ? 1 : 0;
        }
        return count;
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    static constexpr std::size_t MaxPageRows = 500;
    static constexpr std::size_t MaxPageBytes = 1'000'000;

    static std::string parameter(const Message &request, const std::string &name)
    {
        const auto query = request.target.find('?');
        std::size_t at = query;
        while (at != std::string::npos) {
            const auto end = request.target.find('&', at + 1);
            const std::string part = request.target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.starts_with(name + '=')) {
                return percentDecoded(part.substr(name.size() + 1));
            }
            at = end;
        }
        return "";
    }

    static std::string percentDecoded(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    static Json rowJson(const std::string &table, const std::string &key, const Row &row)
    {
        Json json{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.isDeleted) {
            json["deleted"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }

    static bool answer(Connection &connection, int status, const Json &body)
    {
        const std::string line = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other");
        return connection.write(serialise(line, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body.dump()));
    }

    Json stamped(Json rows, bool hasMore)
    {
        return {{"rows", std::move(rows)}, {"more_pages", hasMore}, {"ver", version_}, {"now_ms", record_.nowMs()}};
    }

    bool serve(Connection &connection, const Message &request)
    {
        const std::string path = request.path();
        if (path == "/usage") {
            return acceptUsage(connection, request);
        }
        if (path == "/chestnutcove/rows-tx") {
            return commit(connection, Json::parse(request.body));
        }
        if (path == "/chestnutcove/rows-get") {
            return readRows(connection, request);
        }
        if (path == "/chestnutcove/rows-feed") {
            return feed(connection, request);
        }
        return answer(connection, 404, Json::object());
    }

    bool acceptUsage(Connection &connection, const Message &request)
    {
        const Json body = Json::parse(request.body);
        const UsageReport report{record_.nowMs(),
                                 body["window"].get<std::uint64_t>(),
                                 body["counts"],
                                 fieldOf(request.fields, "Duty-Holder"),
                                 fieldOf(request.fields, "Fencing-Token")};
        record_.line("usage report: window", report.window, report.counts.dump(), "from", report.holder, "fence", report.fence);
        {
            const std::lock_guard lock(mutex_);
            reports_.push_back(report);
        }
        return answer(connection, 200, Json::object());
    }

    bool commit(Connection &connection, const Json &body)
    {
        const std::lock_guard lock(mutex_);
        const auto keyOf = [](const Json &row) { return std::pair(row["table"].get<std::string>(), row["key"].get<std::string>()); };
        bool holds = true;
        Json current = Json::array();
        for (const Json &row : body["expected"]) {
            const auto it = rows_.find(keyOf(row));
            const bool exists = it != rows_.end() && !it->second.isDeleted;
            holds = holds && (exists ? it->second.version : 0) == row["ver"].get<std::uint64_t>();
            if (exists) {
                current.push_back(rowJson(it->first.first, it->first.second, it->second));
            }
        }
        if (!holds) {
            return answer(connection, 412, stamped(std::move(current), false));
        }
        ++version_;
        for (const Json &row : body["puts"]) {
            rows_[keyOf(row)] = Row{row["value"].get<std::string>(), version_, false};
        }
        for (const Json &row : body["remove"]) {
            rows_[keyOf(row)] = Row{"", version_, true};
        }
        changed_.notify_all();
        return answer(connection, 200, {{"ver", version_}, {"now_ms", record_.nowMs()}});
    }

    bool readRows(Connection &connection, const Message &request)
    {
        const std::string table = parameter(request, "table");
        const std::string from = parameter(request, "from");
        const std::string target = parameter(request, "target");
        const std::string limitText = parameter(request, "limit");
        const std::size_t limit = limitText.empty() ? MaxPageRows : std::min<std::size_t>(std::stoul(limitText), MaxPageRows);
        const std::lock_guard lock(mutex_);
        Json rows = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto it = rows_.lower_bound({table, from}); it != rows_.end() && it->first.first == table; ++it) {
            if (!target.empty() && it->first.second >= target) {
                break;
            }
            if (it->second.isDeleted) {
                continue;
            }
            if (rows.size() == limit || bytes + it->second.value.size() > MaxPageBytes) {
                hasMore = true;
                break;
            }
            bytes += it->second.value.size();
            rows.push_back(rowJson(table, it->first.second, it->second));
        }
        return answer(connection, 200, stamped(std::move(rows), hasMore));
    }

    bool feed(Connection &connection, const Message &request)
    {
        const std::string table = parameter(request, "table");
        const std::uint64_t after = std::stoull(parameter(request, "after"));
        const auto deadline = Clock::now() + milliseconds(std::stoul(parameter(request, "wait_ms")));
        std::unique_lock lock(mutex_);
        while (true) {
            std::map<std::uint64_t, std::vector<Json>> byVersion;
            for (auto it = rows_.lower_bound({table, ""}); it != rows_.end() && it->first.first == table; ++it) {
                if (it->second.version > after) {
                    byVersion[it->second.version].push_back(rowJson(table, it->first.second, it->second));
                }
            }
            if (!byVersion.empty() || Clock::now() >= deadline) {
                Json rows = Json::array();
                for (auto &[version, group] : byVersion) {
                    for (Json &row : group) {
                        rows.push_back(std::move(row));
                    }
                }
                return answer(connection, 200, stamped(std::move(rows), false));
            }
            changed_.wait_until(lock, deadline);
        }
    }

    Record &record_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::uint64_t version_ = 1;
    std::vector<UsageReport> reports_;
    Server server_;
};

}
