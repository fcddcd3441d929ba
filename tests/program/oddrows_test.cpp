/**
 * Tests the decoders of all rows that a gateway reads from the store, with rows that another writer left: fields of other types, numbers
 * beyond their range, deep nesting, bytes that aren't text. They guard against processes that end, again and again, because of one such
 * row.
 */
#include "crashreport.h"
#include "gatewaystatus.h"
#include "leasekeeper.h"
#include "limitreport.h"
#include "quotadivision.h"
#include "rowdecoder.h"
#include "stageorders.h"
#include "usageledger.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using Json = nlohmann::json;

/** A decoder and a row that it accepts. */
struct RowKind
{
    const char *name;
    std::function<bool(const std::string &)> decode;
    Json valid;
};

std::vector<RowKind> rowKinds()
{
    const Json figures{{"requests", 1}, {"promptTokens", 2}, {"outputTokens", 3}};
    const Json route{{"name", "r"}, {"host", "h"}, {"path_prefix", "/a/"}, {"kind", "idempotent"}, {"timeout_ms", 900}, {"service", "s"}};
    return {
        {"lease",
         [](const auto &text) { return LeaseRow::fromText(text).ok(); },
         {{"holder", "vm"}, {"incarnation", 1}, {"epoch", 2}, {"beat", 3}, {"attempt", "a"}}},
        {"usage", [](const auto &text) { return usageFromText(text).ok(); }, {{"customers", {{"desk", figures}}}, {"attempt", "a"}}},
        {"status", [](const auto &text) { return GatewayStatus::fromText(text).ok(); }, Json::parse(GatewayStatus{}.toText())},
        {"division", [](const auto &text) { return QuotaDivision::fromText(text).ok(); }, Json::parse(QuotaDivision{}.toText())},
        {"limits",
         [](const auto &text) { return LimitReport::fromText(text).ok(); },
         {{"limits", {{{"run", "a"}, {"seenAt", 1}, {"perSecond", 2.5}}}}}},
        {"crashes",
         [](const auto &text) { return CrashReport::fromText(text).ok(); },
         {{"crashes", {{"part", {{"run", 1}}}}}, {"cleared", {"other"}}, {"writtenAt", 1}}},
        {"stages", [](const auto &text) { return StageOrders::parseAnnouncement(text).ok(); }, {{"stages", {{"engine", "decode"}}}}},
        {"configuration",
         [](const auto &text) { return Platform::decodeConfiguration(text).ok(); },
         {{"version", 1},
          {"routes", {route}},
          {"services", {{{"name", "s"}, {"max_connections", 5}, {"engine", {{"slots", 8}, {"kv_capacity", 100}}}}}},
          {"limits", {{"max_body_bytes", 100}, {"idle_timeout_ms", 100}}},
          {"tenants", {{{"name", "t"}, {"api_keys", {"k"}}, {"rate_per_s", 5}}}}}},
        {"endpoint",
         [](const auto &text) { return Platform::decodeEndpoint("id", text).ok(); },
         {{"service", "s"},
          {"address", "10.1.0.9:80"},
          {"zone", "z"},
          {"slots", 8},
          {"state", "ready"},
          {"seq", 1},
          {"cold_remaining_ms", 5}}},
    };
}

std::vector<Json> oddValues()
{
    Json nested = 1;
    for (int i = 0; i < 50; ++i) {
        nested = Json::array({std::move(nested)});
    }
    return {nullptr,
            true,
            -1,
            0,
            1e300,
            -1e300,
            18446744073709551615U,
            "",
            "text",
            "10.0.0.1:65536",
            Json::array(),
            Json::array({1}),
            Json::object(),
            Json{{"a", 1}},
            nested};
}

/** Calls @p action with each copy of the row in which one value, at any depth, is replaced by an odd one. */
void forEachOddRow(const Json &row, const std::function<void(const Json &)> &action)
{
    const Json flat = row.flatten();
    for (const auto &[path, value] : flat.items()) {
        for (Json::json_pointer place(path); !place.empty(); place.pop_back()) {
            for (const Json &odd : oddValues()) {
                Json changed = row;
                changed[place] = odd;
                action(changed);
            }
        }
    }
}

TEST(OddRowsTest, ValidRow_EachDecoder_AcceptsIt)
{
    for (const RowKind &kind : rowKinds()) {
        EXPECT_TRUE(kind.decode(kind.valid.dump())) << kind.name;
    }
}

// Guards against a field of another type, such as a number as the holder of the lease, that ends the process.
TEST(OddRowsTest, OneValueIsOdd_EachDecoder_ReturnsAnErrorOrLeavesItOut)
{
    for (const RowKind &kind : rowKinds()) {
        forEachOddRow(kind.valid, [&kind](const Json &row) { EXPECT_NO_THROW(kind.decode(row.dump())) << kind.name << ": " << row; });
    }
}

TEST(OddRowsTest, RowOfTheLargestSizeIsDeeplyNested_EachDecoder_ReturnsAnError)
{
    constexpr std::size_t RowBytes = 65536;
    const std::string open(RowBytes / 2, '[');
    const std::string closed = open + std::string(RowBytes / 2, ']');
    std::string objects;
    while (objects.size() < RowBytes / 2) {
        objects += R"({"a":)";
    }
    const std::string closedObjects = objects + "1" + std::string(objects.size() / 5, '}');
    for (const RowKind &kind : rowKinds()) {
        for (const std::string &text : {open, closed, objects, closedObjects}) {
            EXPECT_FALSE(kind.decode(text)) << kind.name;
        }
        Json row = kind.valid;
        const std::string member = row.dump();
        const std::string text = member.substr(0, member.size() - 1) + R"(,"more":)" + closedObjects + '}';
        EXPECT_NO_THROW(kind.decode(text)) << kind.name;
    }
}

TEST(OddRowsTest, KeyTwiceAndBytesThatAreNoText_EachDecoder_DoesNotThrow)
{
    for (const RowKind &kind : rowKinds()) {
        const std::string valid = kind.valid.dump();
        EXPECT_NO_THROW(kind.decode(valid.substr(0, valid.size() - 1) + ',' + valid.substr(1))) << kind.name;
        EXPECT_NO_THROW(kind.decode(valid.substr(0, valid.size() - 1) + ",\"\xff\":\"\xc3\x28\"}")) << kind.name;
        EXPECT_NO_THROW(kind.decode(std::string("\0\xfe", 2))) << kind.name;
    }
}

RC_GTEST_PROP(OddRows, AnyBytesOfAValidRowChange_EachDecoder_DoesNotThrow, (std::uint64_t place, unsigned char byte))
{
    for (const RowKind &kind : rowKinds()) {
        std::string text = kind.valid.dump();
        text[place % text.size()] = static_cast<char>(byte);
        kind.decode(text);
    }
}

}

}
