#include "operatorclient.h"

#include "httpclient.h"

#include <asio/io_context.hpp>

namespace Chestnutcove {

namespace {

constexpr std::chrono::seconds CallTimeout{30};
constexpr std::chrono::seconds MaxConnectionAge{60};

}

OperatorClient::OperatorClient(std::string url, std::string token)
    : url_(std::move(url))
    , token_(std::move(token))
{
}

absl::StatusOr<OperatorAnswer> OperatorClient::call(const std::string &method, const std::string &path, const nlohmann::json &body) const
{
    asio::io_context context;
    auto workGuard = asio::make_work_guard(context);
    HttpClient client(context.get_executor(), MaxConnectionAge);
    HttpCall call;
    call.method = method;
    call.url = url_ + path;
    call.headers = {{"Authorization", "Bearer " + token_}, {"Content-Type", "application/json"}};
    call.timeout = CallTimeout;
    if (!body.is_null()) {
        call.body = body.dump();
    }
    HttpResult result;
    client.send(std::move(call), [&](HttpResult answer) {
        result = std::move(answer);
        workGuard.reset();
    });
    context.run();
    if (!result.status.ok()) {
        return absl::UnavailableError("no answer from " + url_ + ": " + std::string(result.status.message()));
    }
    return OperatorAnswer{result.code, nlohmann::json::parse(result.body, nullptr, false)};
}

}
