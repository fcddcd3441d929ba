/**
 * Tests the adapter to the users' platform: messages and rows are decoded into the project's types, malformed input yields an error or an
 * absent field and never crashes the process, and one malformed entry doesn't affect the others.
 */
#include "platformsettings.h"
#include "requestcodec.h"
#include "rowdecoder.h"
#include "storeformat.h"
#include "storeversion.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <limits>

namespace Chestnutcove::Platform {

namespace {

constexpr const char *Settings = "node=front-1\nzone=dc-a\nip=10.1.0.16\nlisten.front=10.1.0.16:8360\nlisten.ready=10.1.0.16:8365\n"
                                 "platform.address=10.2.0.7:8361\ncloud.address=10.2.0.9:8361\ncloud.duties=usage_report,autoscale\n"
                                 "bounds.revoke_ms=4000\nbounds.grace_s=6\nsomething.new=1\n";

constexpr const char *Configuration = R"({"version":7,
  "routes":[{"name":"r1","host":"A.example","path_prefix":"/a/","kind":"streaming","timeout_ms":15000,"target_latency_ms":120,"priority":1,
             "service":"lm","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_aim_ms":150},
            {"name":"r2","host":"a.example","path_prefix":"/a/b/","kind":"idempotent","timeout_ms":1000,
             "traffic_split":[{"service":"lm","weight":90},{"service":"app","weight":10}]},
            {"name":"bad","host":"a.example","path_prefix":"/c/","kind":"unknown","service":"lm"}, 5],
  "services":[{"name":"lm","health_path":"/h","max_connections":240,
               "engine":{"slots":32,"kv_capacity":1000,"kv_token_bytes":10,"link_mbps":2.5,"role_switch_s":3.0,"kv_hold_s":5.0}},{"name":"app"}],
  "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400},
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"unit":"tokens","plain_tokens":200,"rate_per_s":50,"burst":60}]})";

constexpr const char *Entry = R"({"service":"lm","address":"10.1.0.9:8080","zone":"dc-a","version":"v1","slots":32,"state":"ready",
  "cold_remaining_ms":5,"stage":"decode","models":[],"seq":4,"born":1700000000000})";

// Guards against calls to the gateway's own VM, which an address that is none was taken for, and against times and counts beyond their
// types.
TEST(EndpointEntryTest, AddressOrNumberIsOdd_Entry_NamesNoEndpoint)
{
    for (const char *address :
         {"store:80", "10.1.0:80", "0.0.0.0:80", "10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9", ":80", "[::1]:80"}) {
        auto entry = nlohmann::json::parse(Entry);
        entry["address"] = address;
        EXPECT_FALSE(decodeEndpoint("id", entry.dump()).ok()) << address;
    }
    for (const double slots : {-1.0, 0.0, 1e9, 1e300}) {
        auto entry = nlohmann::json::parse(Entry);
        entry["slots"] = slots;
        EXPECT_FALSE(decodeEndpoint("id", entry.dump()).ok()) << slots;
    }
    auto entry = nlohmann::json::parse(Entry);
    entry["cold_remaining_ms"] = 1e300;
    EXPECT_LE(decodeEndpoint("id", entry.dump())->coldStartRemaining, std::chrono::hours(24));
    entry["cold_remaining_ms"] = -1e300;
    EXPECT_GE(decodeEndpoint("id", entry.dump())->coldStartRemaining, Milliseconds::zero());
}

TEST(ConfigurationRowTest, NumbersAreBeyondTheirTypes_TimesAndCounts_StayInRange)
{
    auto configuration = nlohmann::json::parse(Configuration);
    configuration["routes"][0]["timeout_ms"] = 1e300;
    configuration["routes"][0]["max_attempts"] = 1e300;
    configuration["routes"][0]["priority"] = -1e300;
    const auto decoded = decodeConfiguration(configuration.dump());
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->routes[0].timeout, std::chrono::hours(24));
    EXPECT_EQ(decoded->routes[0].maxAttempts, std::numeric_limits<unsigned>::max());
    EXPECT_EQ(decoded->routes[0].priority, std::numeric_limits<int>::min());
}

RequestHead requestHeadWith(HeaderFields fields)
{
    return {"POST", "/a/x?y=1", std::move(fields)};
}

std::string fieldValue(const HeaderFields &fields, std::string_view name)
{
    const HeaderField *field = findField(fields, name);
    return field == nullptr ? "(absent)" : field->value;
}

}

TEST(PlatformSettings, ValidLines_Parsed_YieldTypedFields)
{
    const auto settings = parseSettings(Settings);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->vmName, "front-1");
    EXPECT_EQ(settings->dataCentre, "dc-a");
    EXPECT_EQ(settings->callerListen->text(), "10.1.0.16:8360");
    EXPECT_EQ(settings->keyRevocation, Milliseconds(4000));
    EXPECT_EQ(settings->stopGrace, Milliseconds(6000));
    EXPECT_TRUE(settings->reportsUsage);
    EXPECT_TRUE(settings->ordersEndpoints);
}

TEST(PlatformSettings, SeveralInvalidLines_Parsed_ErrorNamesEachLine)
{
    const auto settings = parseSettings("node=x\nplatform.address=nowhere\nbounds.revoke_ms=soon\n");
    ASSERT_FALSE(settings.ok());
    for (const char *name : {"zone", "ip", "platform.address", "bounds.revoke_ms"}) {
        EXPECT_NE(settings.status().message().find(name), std::string_view::npos) << name;
    }
}

TEST(Configuration, ValidRow_Decoded_YieldsRoutesServicesAndCustomers)
{
    auto data = decodeConfiguration(Configuration);
    ASSERT_TRUE(data.ok());
    const RouteCatalogue catalogue(*data);
    EXPECT_EQ(catalogue.version(), 7U);
    ASSERT_EQ(catalogue.routes().size(), 2U) << "unreadable routes are left out";
    EXPECT_EQ(catalogue.findRoute("a.example:80", "/a/b/c")->name, "r2");
    EXPECT_EQ(catalogue.findRoute("a.EXAMPLE", "/a/c")->name, "r1");
    EXPECT_EQ(catalogue.findRoute("a.example", "/b/"), nullptr);
    EXPECT_EQ(catalogue.findRoute("b.example", "/a/"), nullptr);
    EXPECT_TRUE(catalogue.findRoute("a.example", "/a/")->resumable);
    EXPECT_EQ(catalogue.findRoute("a.example", "/a/b/")->services.size(), 2U);
    EXPECT_EQ(catalogue.findService("lm")->engine->slots, 32U);
    EXPECT_FALSE(catalogue.findService("app")->engine.has_value());
    EXPECT_EQ(catalogue.findCustomer("k2")->name, "t1");
    EXPECT_EQ(catalogue.findCustomer("k3"), nullptr);
    EXPECT_EQ(catalogue.limits().idleTimeout, Milliseconds(400));
}

// Guards against an evacuation that isn't in time, and against regions that are lost on the way from the settings.
TEST(PlatformSettings, RegionsAndEvacuationBound_Parsed_YieldRegionByDataCentre)
{
    const auto settings = parseSettings(std::string(Settings) + "zones.dc-a=north\nzones.dc-b=south\nzones.dc-c=\nzones.=west\nzone=dc-a\n"
                                        + "bounds.evacuate_ms=4000\n");
    ASSERT_TRUE(settings.ok()) << settings.status();
    const RegionsByDataCentre expected{{"dc-a", "north"}, {"dc-b", "south"}};
    EXPECT_EQ(settings->regions, expected);
    EXPECT_EQ(settings->evacuationDelay, Milliseconds(4000));
    EXPECT_EQ(parseSettings(Settings)->evacuationDelay, Milliseconds(5000));
    EXPECT_TRUE(parseSettings(Settings)->regions.empty());
}

// Guards against other rows of the operators' table that evacuate a data centre, and against evacuations that are overlooked.
TEST(EvacuationRow, Key_Decoded_NamesDataCentreOrNothing)
{
    EXPECT_EQ(evacuatedDataCentre("evacuate/dc-1"), "dc-1");
    EXPECT_EQ(evacuatedDataCentre("evacuate/north/dc 1"), "north/dc 1");
    for (const char *key : {"", "config", "evacuate", "evacuate/", "Evacuate/dc-1", "x/evacuate/dc-1"}) {
        EXPECT_EQ(evacuatedDataCentre(key), std::nullopt) << key;
    }
}

// Guards against prompts that leave their regions because a list is missing in the decoded configuration or can't be read.
TEST(Configuration, AllowedRegions_Decoded_RestrictRouteAndCustomerAlsoIfUnreadable)
{
    auto configuration = nlohmann::json::parse(Configuration);
    configuration["routes"][0]["allowed_regions"] = {"north", "south"};
    configuration["routes"][1]["allowed_regions"] = nlohmann::json::array();
    configuration["tenants"][0]["allowed_regions"] = {"north"};
    auto decoded = decodeConfiguration(configuration.dump());
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->routes[0].allowedRegions, (std::vector<std::string>{"north", "south"}));
    EXPECT_TRUE(decoded->routes[1].allowedRegions.empty());
    EXPECT_EQ(decoded->customers[0].allowedRegions, std::vector<std::string>{"north"});
    EXPECT_TRUE(decodeConfiguration(Configuration)->routes[0].allowedRegions.empty());
    for (const nlohmann::json &odd : {nlohmann::json("north"), nlohmann::json(5), nlohmann::json::array({7}), nlohmann::json::object()}) {
        configuration["tenants"][0]["allowed_regions"] = odd;
        decoded = decodeConfiguration(configuration.dump());
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->customers[0].allowedRegions, std::vector<std::string>{""}) << odd;
    }
}

// Guards against bounds that are left at their defaults although the settings state them.
TEST(PlatformSettings, BoundsOfColdEndpoints_Parsed_AreThoseStatedOrTheDefaults)
{
    EXPECT_EQ(parseSettings(Settings)->coldOverage, 1.5);
    EXPECT_EQ(parseSettings(Settings)->coldAllowance, 5);
    const auto settings = parseSettings(std::string(Settings) + "bounds.cold_over=2\nbounds.cold_slack=7\n");
    ASSERT_TRUE(settings.ok());
    EXPECT_EQ(settings->coldOverage, 2);
    EXPECT_EQ(settings->coldAllowance, 7);
    EXPECT_FALSE(parseSettings(std::string(Settings) + "bounds.cold_over=-1\n").ok());
}

// Guards against a cold endpoint that gets requests without a limit, since the service's figures were not read or were taken for a limit
// of an older deployment.
TEST(Configuration, ServiceStatesColdRate_Decoded_YieldsRateAndTimeAndNoneByDefault)
{
    auto configuration = nlohmann::json::parse(Configuration);
    configuration["services"][0]["cold_per_s"] = 34;
    configuration["services"][0]["cold_s"] = 3;
    configuration["services"][1]["cold_per_s"] = "many";
    configuration["services"][1]["cold_s"] = -1;
    const auto decoded = decodeConfiguration(configuration.dump());
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->services[0].coldStartRate, 34);
    EXPECT_EQ(decoded->services[0].coldStartTime, Duration(std::chrono::seconds(3)));
    EXPECT_EQ(decoded->services[1].coldStartRate, 0);
    EXPECT_EQ(decoded->services[1].coldStartTime, Duration::zero());
    EXPECT_EQ(decodeConfiguration(Configuration)->services[0].coldStartRate, 0);
}

TEST(Configuration, NoObjectOrNoVersion_Decoded_YieldsError)
{
    EXPECT_FALSE(decodeConfiguration("").ok());
    EXPECT_FALSE(decodeConfiguration("[]").ok());
    EXPECT_FALSE(decodeConfiguration(R"({"routes":[]})").ok());
    EXPECT_FALSE(decodeConfiguration(R"({"version":"7"})").ok());
}

TEST(EndpointEntry, ValidRow_Decoded_YieldsRecord)
{
    const auto record = decodeEndpoint("i-1", Entry);
    ASSERT_TRUE(record.ok());
    EXPECT_EQ(record->address.text(), "10.1.0.9:8080");
    EXPECT_EQ(record->stage, EngineStage::Decode);
    EXPECT_EQ(record->startedAt, 1700000000000U);
    EXPECT_FALSE(record->draining);
}

TEST(EndpointEntry, FieldMissingInvalidOrUnknown_Decoded_YieldsError)
{
    for (const char *value : {"",
                              "\xff\xfe",
                              "{}",
                              R"({"service":1,"address":"10.1.0.9:80","zone":"z","slots":1,"state":"ready"})",
                              R"({"service":"s","address":"10.1.0.9","zone":"z","slots":1,"state":"ready"})",
                              R"({"service":"s","address":"10.1.0.9:0","zone":"z","slots":1,"state":"ready"})",
                              R"({"service":"s","address":"10.1.0.9:99999","zone":"z","slots":1,"state":"ready"})",
                              R"({"service":"s","address":"10.1.0.9:80","zone":"z","slots":"1","state":"ready"})",
                              R"({"service":"s","address":"10.1.0.9:80","zone":"z","slots":1,"state":"resting"})",
                              R"({"service":"s","address":"10.1.0.9:80","zone":"z","slots":1,"state":"ready","stage":"other"})"}) {
        EXPECT_FALSE(decodeEndpoint("i-1", value).ok()) << value;
    }
}

TEST(Request, AllFieldsPresent_Decoded_YieldTypedMetadata)
{
    const auto metadata = decodeRequest(requestHeadWith({{"attempt-id", "a1"},
                                                         {"Deadline-Ms", "1500"},
                                                         {"X-Api-Key", " k1 "},
                                                         {"Token-Counts", "1460,80"},
                                                         {"Prompt-Prefix", "5c:800,91:410,e4:250"}}));
    EXPECT_EQ(metadata.requestId, "a1");
    EXPECT_EQ(metadata.maxWait, Milliseconds(1500));
    EXPECT_EQ(metadata.key, "k1");
    EXPECT_EQ(metadata.promptTokens, 1460U);
    EXPECT_EQ(metadata.maxOutputTokens, 80U);
    ASSERT_EQ(metadata.promptParts.size(), 3U);
    EXPECT_EQ(metadata.promptParts[1].tokens, 410U);
}

TEST(Request, MalformedFields_Decoded_AreTreatedAsAbsent)
{
    const auto metadata = decodeRequest(requestHeadWith({{"Deadline-Ms", "soon"}, {"Token-Counts", "1"}, {"Prompt-Prefix", "5c:x"}}));
    EXPECT_FALSE(metadata.maxWait.has_value());
    EXPECT_FALSE(metadata.promptTokens.has_value());
    EXPECT_TRUE(metadata.promptParts.empty());
}

TEST(Request, GatewayFieldsAndKeyFromCaller_Encoded_AreReplacedOrRemoved)
{
    ForwardingMetadata metadata;
    metadata.customer = "t1";
    metadata.timeLeft = Milliseconds(900);
    metadata.endpointId = "i-1";
    const auto head = encodeRequest(requestHeadWith({{"Host", "a.example"},
                                                     {"Attempt-Id", "a1"},
                                                     {"X-Api-Key", "secret"},
                                                     {"Tenant", "someone-else"},
                                                     {"Kv-Source", "10.1.1.1:1/abc"},
                                                     {"Kv-Hold", "1"},
                                                     {"Kv-Backup", "1"},
                                                     {"Pin-Ms", "1"},
                                                     {"Stage", "prefill"},
                                                     {"Request-Urgency", "0"},
                                                     {"Deadline-Ms", "99999"},
                                                     {"Connection", "keep-alive, X-Hop"},
                                                     {"X-Hop", "1"},
                                                     {"Keep-Alive", "5"},
                                                     {"Transfer-Encoding", "chunked"},
                                                     {"X-Other", "kept"}}),
                                    metadata);
    EXPECT_EQ(head.target, "/a/x?y=1");
    EXPECT_EQ(fieldValue(head.fields, "Tenant"), "t1");
    EXPECT_EQ(fieldValue(head.fields, "Deadline-Ms"), "900");
    EXPECT_EQ(fieldValue(head.fields, "Expect-Instance"), "i-1");
    EXPECT_EQ(fieldValue(head.fields, "Attempt-Id"), "a1");
    EXPECT_EQ(fieldValue(head.fields, "X-Other"), "kept");
    for (const char *name : {"X-Api-Key",
                             "Kv-Source",
                             "Kv-Hold",
                             "Kv-Backup",
                             "Pin-Ms",
                             "Stage",
                             "Request-Urgency",
                             "X-Hop",
                             "Keep-Alive",
                             "Transfer-Encoding"}) {
        EXPECT_EQ(fieldValue(head.fields, name), "(absent)") << name;
    }
}

TEST(Request, PrefilledPrompt_Encoded_NamesEngineAndHandle)
{
    ForwardingMetadata metadata;
    metadata.prefilled = PrefilledPrompt{{"10.1.64.9", 8080}, "3fa0"};
    EXPECT_EQ(fieldValue(encodeRequest(requestHeadWith({}), metadata).fields, "Kv-Source"), "10.1.64.9:8080/3fa0");
    metadata.prefilled.reset();
    metadata.prefillOnly = true;
    EXPECT_EQ(fieldValue(encodeRequest(requestHeadWith({}), metadata).fields, "Stage"), "prefill");
}

TEST(Response, RefusedSignedOrMisdirected_Decoded_StatesWhetherRequestRan)
{
    EXPECT_TRUE(decodeResponse({503, "", {{"Not-Executed", "1"}}}).notRun);
    EXPECT_FALSE(decodeResponse({503, "", {}}).notRun);
    EXPECT_TRUE(decodeResponse({421, "", {}}).notRun);
    EXPECT_FALSE(decodeResponse({500, "", {{"Response-Stamp", "x"}}}).notRun);
    EXPECT_TRUE(decodeResponse({200, "", {{"Response-Stamp", "x"}}}).isSigned);
    const auto load = decodeResponse({200, "", {{"Server-Load", "3,1,8"}}}).load;
    ASSERT_TRUE(load.has_value());
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_FALSE(decodeResponse({200, "", {{"Server-Load", "3,x,8"}}}).load.has_value());
}

// Guards against load reports that are dropped as a whole because they have a fourth figure.
TEST(Response, LoadWithFourFigures_Decoded_StatesLoadAndSlowdown)
{
    const auto load = decodeResponse({200, "", {{"Server-Load", "3,1,8,250"}}}).load;
    ASSERT_TRUE(load.has_value());
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    ASSERT_TRUE(load->slowdown.has_value());
    EXPECT_DOUBLE_EQ(*load->slowdown, 2.5);
    EXPECT_DOUBLE_EQ(decodeResponse({200, "", {{"Server-Load", "3,1,8, 100"}}}).load->slowdown.value_or(0), 1);
    EXPECT_FALSE(decodeResponse({200, "", {{"Server-Load", "3,1,8"}}}).load->slowdown.has_value());
    EXPECT_FALSE(decodeResponse({200, "", {{"Server-Load", "3,1,8,100,5"}}}).load.has_value());
}

// Guards against expected times of zero, below zero or beyond any bound that follow from a wrong figure, and against the loss of the rest.
TEST(Response, SlowdownIsWrong_Decoded_OnlyTheSlowdownIsIgnored)
{
    for (const char *figure : {"0", "-100", "nan", "inf", "1e300", "4", "2001", "x", "", "100x"}) {
        const auto load = decodeResponse({200, "", {{"Server-Load", std::string("3,1,8,") + figure}}}).load;
        ASSERT_TRUE(load.has_value()) << figure;
        EXPECT_EQ(load->running, 3U) << figure;
        EXPECT_FALSE(load->slowdown.has_value()) << figure;
    }
    for (const char *figure : {"5", "2000"}) {
        EXPECT_TRUE(decodeResponse({200, "", {{"Server-Load", std::string("3,1,8,") + figure}}}).load->slowdown.has_value()) << figure;
    }
}

TEST(Response, LeavingOrTurnedAway_Decoded_StatesItAndTimeIsBounded)
{
    EXPECT_TRUE(decodeResponse({200, "", {{"Server-Leaving", "1"}}}).isLeaving);
    EXPECT_FALSE(decodeResponse({200, "", {}}).isLeaving);
    EXPECT_EQ(decodeResponse({503, "", {{"Retry-After", "1.5"}}}).turnedAwayFor, Milliseconds(1500));
    EXPECT_FALSE(decodeResponse({429, "", {{"Retry-After", "1.5"}}}).turnedAwayFor);
    for (const char *text : {"", "soon", "-1", "0", "nan"}) {
        EXPECT_FALSE(decodeResponse({503, "", {{"Retry-After", text}}}).turnedAwayFor) << text;
    }
    EXPECT_LE(decodeResponse({503, "", {{"Retry-After", "1e300"}}}).turnedAwayFor, Milliseconds(300000));
    EXPECT_EQ(findField(encodeResponse({200, "", {{"Server-Leaving", "1"}}}).fields, "Server-Leaving"), nullptr);
}

TEST(Response, NamesLimit_Decoded_IsNonNegativeNumberOfRequests)
{
    EXPECT_EQ(decodeResponse({200, "", {{"Server-Limit", "14.2"}}}).requestsPerSecond, 14.2);
    EXPECT_EQ(decodeResponse({503, "", {{"server-limit", " 0 "}}}).requestsPerSecond, 0);
    EXPECT_FALSE(decodeResponse({200, "", {}}).requestsPerSecond);
    for (const char *text : {"", "few", "-1", "inf", "nan", "1e999"}) {
        EXPECT_FALSE(decodeResponse({200, "", {{"Server-Limit", text}}}).requestsPerSecond) << text;
    }
}

// Guards against an endpoint that became cold and isn't known to be, or one that is taken to be cold for ever.
TEST(Response, StatesColdTime_Decoded_IsNonNegativeAndBounded)
{
    EXPECT_EQ(decodeResponse({200, "", {{"Cold-Ms", "2400"}}}).coldStartRemaining, Milliseconds(2400));
    EXPECT_EQ(decodeResponse({503, "", {{"cold-ms", " 0 "}}}).coldStartRemaining, Milliseconds(0));
    EXPECT_EQ(decodeResponse({200, "", {{"Cold-Ms", "0.4"}}}).coldStartRemaining, Milliseconds(1));
    EXPECT_FALSE(decodeResponse({200, "", {}}).coldStartRemaining);
    for (const char *text : {"", "long", "-1", "inf", "nan", "1e999"}) {
        EXPECT_FALSE(decodeResponse({200, "", {{"Cold-Ms", text}}}).coldStartRemaining) << text;
    }
    EXPECT_LE(decodeResponse({200, "", {{"Cold-Ms", "1e300"}}}).coldStartRemaining, std::chrono::hours(1));
}

TEST(Response, GatewayRefusal_Encoded_HasRequestIdAndRetryAfter)
{
    const auto head = encodeGatewayResponse(503, "a1", Milliseconds(250));
    EXPECT_EQ(fieldValue(head.fields, "Attempt-Id"), "a1");
    EXPECT_EQ(fieldValue(head.fields, "Retry-After"), "0.250");
}

TEST(EngineReport, ValidAndInvalid_Decoded_OnlyValidIsAccepted)
{
    const auto report = decodeReport(R"({"stage":"prefill","models":[],"busy":true,"seq":2})");
    ASSERT_TRUE(report.ok());
    EXPECT_EQ(report->stage, EngineStage::Prefill);
    EXPECT_TRUE(report->busy);
    EXPECT_EQ(report->ordersAccepted, 2U);
    EXPECT_FALSE(decodeReport(R"({"stage":"prefill"})").ok());
    EXPECT_FALSE(decodeReport("").ok());
    EXPECT_FALSE(decodePrefillHandle("{}").ok());
    EXPECT_EQ(*decodePrefillHandle(R"({"handle":"3f","tokens":1})"), "3f");
}

TEST(Store, PageWithInvalidValue_Decoded_KeepsOtherRows)
{
    HttpResult result;
    result.code = 200;
    result.body
        = R"({"rows":[{"table":"t","part":"","key":"a","value":"eA==","ver":3},{"table":"t","part":"","key":"b","value":"*","ver":4}],)"
          R"("more_pages":false,"ver":9,"now_ms":1})";
    const auto page = StoreFormat().decodePage(result);
    ASSERT_TRUE(page.ok());
    EXPECT_EQ(page->version, 9U);
    EXPECT_EQ(page->rows.at("a").value, "x");
    EXPECT_EQ(page->rows.at("b").value, "");
}

TEST(Store, TransactionStatusCodes_Decoded_OnlyUndefinedOnesAreUnknown)
{
    const auto outcome = [](int code) {
        HttpResult result;
        result.code = code;
        return StoreFormat().decodeOutcome(result);
    };
    EXPECT_EQ(outcome(200), CommitOutcome::Committed);
    EXPECT_EQ(outcome(412), CommitOutcome::Conflict);
    EXPECT_EQ(outcome(429), CommitOutcome::NotSent);
    EXPECT_EQ(outcome(503), CommitOutcome::NotSent);
    EXPECT_EQ(outcome(500), CommitOutcome::Unknown);
}

TEST(Store, HistoryLost_Decoded_YieldsOutOfRange)
{
    HttpResult result;
    result.code = 410;
    EXPECT_TRUE(absl::IsOutOfRange(StoreFormat().decodeChanges(result).status()));
}

TEST(Store, AnswersStateEra_VersionsDecodedAndEncoded_RiseWithTheEraAndAreSentWithoutIt)
{
    HttpResult result;
    result.code = 200;
    result.body = R"({"rows":[{"table":"t","part":"","key":"a","value":"eA==","ver":3}],"more_pages":false,"ver":9,"now_ms":1})";
    result.headers = {{"store-era", "2"}};
    const auto page = StoreFormat().decodePage(result);
    ASSERT_TRUE(page.ok());
    EXPECT_EQ(page->version, StoreVersion::of(2, 9));
    EXPECT_GT(page->rows.at("a").version, StoreVersion::of(1, 9));
    EXPECT_NE(StoreFormat().encodeChanges("t", page->version, std::chrono::milliseconds(10)).url.find("after=9&"), std::string::npos);
    const TableTransaction transaction{{{"a", page->rows.at("a").version}, {"b", 0}}, {}};
    const auto body = nlohmann::json::parse(StoreFormat().encodeCommit(transaction).body);
    EXPECT_EQ(body["expected"][0]["ver"], 3);
    EXPECT_EQ(body["expected"][1]["ver"], 0);
    result.headers.clear();
    EXPECT_EQ(StoreFormat().decodePage(result)->version, 9U);
}

/** Decoding arbitrary bytes yields a value or an error. */
RC_GTEST_PROP(Decoders, ArbitraryBytes_Decoded_NeverCrash, (const std::string &bytes))
{
    (void)decodeConfiguration(bytes);
    (void)decodeEndpoint("id", bytes);
    (void)decodeReport(bytes);
    (void)decodePrefillHandle(bytes);
    (void)parseSettings(bytes);
    (void)decodeRequest(requestHeadWith({{"Token-Counts", bytes}, {"Prompt-Prefix", bytes}, {"Deadline-Ms", bytes}}));
    (void)decodeResponse({200, "", {{"Server-Load", bytes}}});
    HttpResult result;
    result.code = 200;
    result.body = bytes;
    (void)StoreFormat().decodePage(result);
    (void)StoreFormat().decodeChanges(result);
}

/** Decoding a valid message of which one byte was changed yields a value or an error. */
RC_GTEST_PROP(Decoders, OneByteChanged_Decoded_NeverCrash, ())
{
    const auto withOneByteChanged = [](std::string text) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        return text;
    };
    (void)decodeConfiguration(withOneByteChanged(Configuration));
    (void)decodeEndpoint("id", withOneByteChanged(Entry));
    (void)parseSettings(withOneByteChanged(Settings));
}

}
