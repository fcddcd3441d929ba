/**
 * Blocking calls to a gateway's operator listener, for the operator commands.
 */
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>

namespace Chestnutcove {

struct OperatorAnswer
{
    int code = 0;
    nlohmann::json body;
};

class OperatorClient
{
public:
    /** @param url URL of the operator listener. */
    OperatorClient(std::string url, std::string token);

    /** @return the answer, whatever its status code, or Unavailable if there is none. */
    absl::StatusOr<OperatorAnswer> call(const std::string &method, const std::string &path, const nlohmann::json &body = {}) const;

private:
    std::string url_;
    std::string token_;
};

}
