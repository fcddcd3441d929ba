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
    /** @param url of the operator listener. */
    OperatorClient(std::string url, std::string token);

    /** @return Unavailable where there is no answer; an answer of any code otherwise. */
    absl::StatusOr<OperatorAnswer> call(const std::string &method, const std::string &path, const nlohmann::json &body = {}) const;

private:
    std::string url_;
    std::string token_;
};

}
