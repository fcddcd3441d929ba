/**
 * Reads a settings file: JSON with comments, as an object.
 */
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>

namespace Chestnutcove {

/** @return InvalidArgument naming the file and the place of the first syntax error, NotFound where there is no such file. */
absl::StatusOr<nlohmann::json> readSettingsFile(const std::string &path);

}
