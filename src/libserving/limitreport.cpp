#include "limitreport.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>

namespace Chestnutcove {

std::string LimitReport::toText() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[run, limit] : limits) {
        nlohmann::json row{{"run", run}, {"seenAt", limit.seenAt.count()}};
        if (limit.perSecond) {
            row["perSecond"] = *limit.perSecond;
        }
        rows.push_back(std::move(row));
    }
    return nlohmann::json{{"limits", std::move(rows)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<LimitReport> LimitReport::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        LimitReport report;
        for (const auto &row : json.at("limits")) {
            ReportedLimit limit;
            limit.seenAt = Milliseconds(row.at("seenAt").get<std::int64_t>());
            if (row.contains("perSecond")) {
                limit.perSecond = row["perSecond"].get<double>();
            }
            if (limit.perSecond && !(*limit.perSecond >= 0)) {
                return absl::DataLossError("unreadable report of limits: a limit is negative");
            }
            report.limits[row.at("run").get<std::string>()] = limit;
        }
        return report;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable report of limits: ") + error.what());
    }
}

}
