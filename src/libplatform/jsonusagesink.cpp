#include "jsonusagesink.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int CodeOk = 200;

}

JsonUsageSink::JsonUsageSink(HttpClient &client, std::string url)
    : client_(client)
    , url_(std::move(url))
{
}

void JsonUsageSink::report(const UsageReport &report, std::chrono::milliseconds timeout, std::function<void(bool)> onDone)
{
    const auto figures = nlohmann::json::parse(usageToText(report.customers, ""));
    HttpCall call;
    call.method = "POST";
    call.url = url_ + "/v1/usage-reports";
    call.headers = {{"Content-Type", "application/json"}};
    call.timeout = timeout;
    call.atMostOnce = true;
    call.body = nlohmann::json{{"window", report.window},
                               {"windowMs", report.windowLength.count()},
                               {"epoch", report.fencingToken},
                               {"reporter", report.holder},
                               {"customers", figures["customers"]}}
                    .dump();
    client_.send(std::move(call),
                 [onDone = std::move(onDone)](const HttpResult &result) { onDone(result.status.ok() && result.code == CodeOk); });
}

}
