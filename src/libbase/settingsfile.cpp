#include "settingsfile.h"

#include <fstream>
#include <sstream>

namespace Chestnutcove {

absl::StatusOr<nlohmann::json> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(path + ": (whole): cannot be read: allowed is a readable file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    try {
        return nlohmann::json::parse(text.str(), nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return absl::InvalidArgumentError(path + ": (whole): " + error.what() + ": allowed is JSON with comments");
    }
}

}
