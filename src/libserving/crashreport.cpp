#include "crashreport.h"

#include <nlohmann/json.hpp>

namespace Chestnutcove {

bool CrashReport::isEmpty() const
{
    return crashes.empty() && cleared.empty();
}

bool CrashReport::hasSameContent(const CrashReport &other) const
{
    return crashes == other.crashes && cleared == other.cleared;
}

std::string CrashReport::toText(std::int64_t time) const
{
    const nlohmann::json json{{"crashes", crashes}, {"cleared", cleared}, {"writtenAt", time}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<CrashReport> CrashReport::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        CrashReport report;
        json.at("crashes").get_to(report.crashes);
        json.at("cleared").get_to(report.cleared);
        json.at("writtenAt").get_to(report.writtenAt);
        return report;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable crash report: ") + error.what());
    }
}

}
