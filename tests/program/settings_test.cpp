/**
 * Guards against settings files whose faults are reported one at a time or without their place, and against invalid example files.
 */
#include "settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace Chestnutcove {

namespace {

class SettingsTest : public testing::Test
{
protected:
    std::string write(const std::string &text)
    {
        const auto path = std::filesystem::path(testing::TempDir()) / "chestnutcove-settings-test.json";
        std::ofstream(path) << text;
        return path.string();
    }
};

TEST_F(SettingsTest, SeveralFaults_ErrorHasOneLineEachWithKeyAndAllowedValues)
{
    const auto settings = readSidecarSettings(write(R"({
        // comments are allowed
        "name": "chat-1",
        "dataCentre": 7,
        "link": { "listen": "localhost:70000", "publicKey": "short", "secretKey": "", "gatewayKey": "x" },
        "endpoint": { "kind": "robot", "url": "ftp://x", "slots": 0, "probeInterval": "5 parsecs" },
        "surprise": true
    })"));
    ASSERT_FALSE(settings.ok());
    const std::string message(settings.status().message());
    for (const char *part : {"dataCentre",
                             "link.listen",
                             "link.publicKey",
                             "link.secretKey",
                             "link.gatewayKey",
                             "endpoint.kind",
                             "endpoint.url",
                             "endpoint.slots",
                             "endpoint.probeInterval",
                             "surprise: unknown key",
                             "allowed is"}) {
        EXPECT_NE(message.find(part), std::string::npos) << part << "\n" << message;
    }
}

TEST_F(SettingsTest, MissingSecret_ErrorNamesKey)
{
    const auto settings = readGatewaySettings(write("{}"));
    ASSERT_FALSE(settings.ok());
    const std::string message(settings.status().message());
    EXPECT_NE(message.find("keyPepper: missing"), std::string::npos) << message;
    EXPECT_NE(message.find("operators.token: missing"), std::string::npos) << message;
}

TEST_F(SettingsTest, InvalidJson_ErrorNamesLine)
{
    const auto settings = readGatewaySettings(write("{ \"name\": "));
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(settings.status().message().find("line 1"), std::string::npos) << settings.status();
}

TEST_F(SettingsTest, Examples_AreValid)
{
    std::size_t checked = 0;
    for (const auto &file : std::filesystem::recursive_directory_iterator(EXAMPLES_DIR)) {
        const std::string name = file.path().filename().string();
        if (name.starts_with("gateway")) {
            EXPECT_TRUE(readGatewaySettings(file.path().string()).ok()) << readGatewaySettings(file.path().string()).status();
            ++checked;
        } else if (name.starts_with("sidecar")) {
            EXPECT_TRUE(readSidecarSettings(file.path().string()).ok()) << readSidecarSettings(file.path().string()).status();
            ++checked;
        }
    }
    EXPECT_GE(checked, 4U);
}

}

}
