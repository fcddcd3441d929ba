/**
 * Tests the HTTP client, and those who rely on it, before servers that break off or never end their responses. They guard against a cut
 * response that is taken for a whole one, and against a process that keeps a response without end.
 */
#include "endpointadapter.h"
#include "httpclient.h"
#include "httptable.h"
#include "jsontableformat.h"
#include "jsonusagesink.h"
#include "scriptedendpoint.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** libcurl 7.88 reports success for such a response: the last line of the head is whole, the head isn't. */
constexpr const char *CutHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

class HttpClientTest : public testing::Test
{
protected:
    std::string url() const
    {
        return "http://" + server_.record().address.text();
    }

    /** Runs the event loop until the result is there. */
    template<typename Result>
    void awaitResult(const std::optional<Result> &result)
    {
        const auto end = std::chrono::steady_clock::now() + 3s;
        context_.restart();
        while (!result && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(20ms);
        }
    }

    HttpResult call(const Script &script, HttpCall call = {})
    {
        server_.scripts = {script};
        call.url = url();
        call.timeout = 1000ms;
        std::optional<HttpResult> result;
        client_.send(std::move(call), [&result](HttpResult answer) { result = std::move(answer); });
        awaitResult(result);
        return result.value_or(HttpResult{absl::InternalError("no result")});
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    ScriptedEndpoint server_{context_};
    HttpClient client_{context_.get_executor(), std::chrono::seconds(60)};
};

// Guards against a 200 with an empty or short body where the server stopped in the middle of its response (MIXED).
TEST_F(HttpClientTest, ResponseIsCutAtAnyByte_Call_IsNotOk)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello";
    const std::string interim = "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n";
    for (const std::string &response : {whole, interim + whole}) {
        for (const auto end : {Script::AfterResponse::Close, Script::AfterResponse::Reset}) {
            for (std::size_t size = 1; size < response.size(); ++size) {
                const HttpResult result = call({response.substr(0, size), end});
                EXPECT_FALSE(result.status.ok()) << size;
                EXPECT_FALSE(absl::IsUnavailable(result.status)) << size;
            }
        }
        EXPECT_TRUE(call({response, Script::AfterResponse::Close}).status.ok());
    }
}

TEST_F(HttpClientTest, ResponseWithoutLengthOrChunks_ConnectionCloses_IsOk)
{
    const HttpResult result = call({"HTTP/1.1 200 OK\r\n\r\nhello", Script::AfterResponse::Close});
    EXPECT_TRUE(result.status.ok()) << result.status;
    EXPECT_EQ(result.body, "hello");
}

TEST_F(HttpClientTest, InterimResponse_Result_HasOnlyTheFieldsOfTheFinalOne)
{
    const HttpResult result
        = call({"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Script::AfterResponse::Close});
    EXPECT_TRUE(result.status.ok());
    EXPECT_FALSE(result.headerValue("X-A"));
}

// Guards against a response without end that is kept, such as one of the store, the platform or an endpoint behind a sidecar.
TEST_F(HttpClientTest, BodyIsLongerThanItsBound_Call_EndsWithoutIt)
{
    HttpCall bounded;
    bounded.maxResponseBytes = 1000;
    const HttpResult result = call({"HTTP/1.1 200 OK\r\n\r\n" + std::string(2'000'000, 'x')}, bounded);
    EXPECT_TRUE(absl::IsUnknown(result.status)) << result.status;
    EXPECT_LE(result.body.size(), bounded.maxResponseBytes);
    EXPECT_TRUE(call({"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x')}, bounded).status.ok());
}

TEST_F(HttpClientTest, HeadHasNoEnd_Call_EndsWithoutIt)
{
    std::string fields;
    for (int i = 0; i < 20'000; ++i) {
        fields += "a:b\r\n";
    }
    EXPECT_TRUE(absl::IsUnknown(call({"HTTP/1.1 200 OK\r\n" + fields}).status));
    EXPECT_TRUE(absl::IsUnknown(call({"HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x')}).status));
}

// Guards against a stream whose event has no end, which the sidecar would collect.
TEST_F(HttpClientTest, EventOfAStreamHasNoEnd_CallOfTheSidecar_IsNotOk)
{
    server_.scripts = {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + std::string(4'000'000, 'x')}};
    SidecarSettings settings;
    settings.endpointUrl = url();
    EndpointAdapter adapter(client_, settings);
    EndpointCall call;
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.stream = true;
    std::optional<EndpointResult> result;
    adapter.send(
        call, [](const std::vector<EndpointEvent> &) {}, [&result](EndpointResult answer) { result = std::move(answer); });
    awaitResult(result);
    ASSERT_TRUE(result);
    EXPECT_TRUE(absl::IsDataLoss(result->status)) << result->status;
}

// Guards against a write to the store that is taken for done.
TEST_F(HttpClientTest, StoreBreaksOffItsHead_Write_HasAnUnknownOutcome)
{
    server_.scripts = {{CutHead, Script::AfterResponse::Close}};
    PlatformOptions options;
    options.url = url();
    BasicHttpTable<JsonTableFormat> table(client_, options);
    std::optional<CommitOutcome> outcome;
    TableTransaction transaction;
    transaction.puts = {{"key", "value"}};
    table.commit(transaction, [&outcome](CommitOutcome result) { outcome = result; });
    awaitResult(outcome);
    EXPECT_EQ(outcome, CommitOutcome::Unknown);
}

// Guards against a usage report that is taken for accepted.
TEST_F(HttpClientTest, PlatformBreaksOffItsHead_UsageReport_IsNotAccepted)
{
    server_.scripts = {{CutHead, Script::AfterResponse::Close}};
    JsonUsageSink sink(client_, url());
    std::optional<bool> accepted;
    sink.report({}, 1000ms, [&accepted](bool result) { accepted = result; });
    awaitResult(accepted);
    EXPECT_EQ(accepted, false);
}

// Guards against an empty answer for a caller whose endpoint behind a sidecar broke off.
TEST_F(HttpClientTest, EndpointBreaksOffItsHead_CallOfTheSidecar_IsNotOk)
{
    server_.scripts = {{CutHead, Script::AfterResponse::Close}};
    SidecarSettings settings;
    settings.kind = EndpointKind::Plain;
    settings.endpointUrl = url();
    EndpointAdapter adapter(client_, settings);
    EndpointCall call;
    call.method = "POST";
    call.path = "/orders";
    std::optional<EndpointResult> result;
    adapter.send(
        call, [](const std::vector<EndpointEvent> &) {}, [&result](EndpointResult answer) { result = std::move(answer); });
    awaitResult(result);
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->status.ok());
}

}

}
