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

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <thread>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** libcurl 7.88 reports success for such a response: the last line of the head is whole, the head isn't. */
constexpr const char *CutHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

/** A server whose connections can go silent for good, as if the way between were cut: it takes what is sent and never answers. */
class SilentServer
{
public:
    explicit SilentServer(asio::io_context &context)
        : acceptor_(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /** Answers only once this many requests wait, so that each has a connection of its own. */
    void holdUntil(std::size_t requests)
    {
        held_ = requests;
    }

    void silenceOpenConnections()
    {
        for (const auto &session : sessions_) {
            session->isSilent = true;
        }
    }

    std::size_t connections() const
    {
        return sessions_.size();
    }

private:
    struct Session
    {
        explicit Session(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        std::string input;
        bool isSilent = false;
    };

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            sessions_.push_back(std::make_shared<Session>(std::move(socket)));
            read(sessions_.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Session> &session)
    {
        asio::async_read_until(
            session->socket, asio::dynamic_buffer(session->input), "\r\n\r\n", [this, session](const std::error_code &error, std::size_t) {
                if (error) {
                    return;
                }
                session->input.clear();
                if (!session->isSilent) {
                    waiting_.push_back(session);
                    answer();
                }
                read(session);
            });
    }

    void answer()
    {
        if (waiting_.size() < held_) {
            return;
        }
        held_ = 0;
        for (const auto &session : std::exchange(waiting_, {})) {
            asio::write(session->socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Session>> sessions_;
    std::vector<std::shared_ptr<Session>> waiting_;
    std::size_t held_ = 0;
};

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

// Guards against a copy of the configuration that isn't confirmed in time (CONFIG): after one connection to the store had been found
// silent, the next calls went to others that had gone silent with it, one after the other.
TEST_F(HttpClientTest, AllOpenConnectionsGoSilent_OneIsFound_NextCallsAreAnswered)
{
    SilentServer server(context_);
    const auto send = [this, &server](int calls) {
        int answered = 0;
        int ended = 0;
        for (int i = 0; i < calls; ++i) {
            HttpCall each;
            each.url = server.url();
            each.timeout = 400ms;
            client_.send(std::move(each), [&](const HttpResult &result) {
                ++ended;
                answered += result.status.ok() ? 1 : 0;
            });
        }
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (ended < calls && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(20ms);
        }
        return answered;
    };
    constexpr int Connections = 4;
    server.holdUntil(Connections);
    ASSERT_EQ(Connections, send(Connections));
    server.silenceOpenConnections();
    EXPECT_EQ(0, send(1));
    EXPECT_EQ(1, send(1));
    std::this_thread::sleep_for(2100ms);
    for (int i = 0; i < Connections; ++i) {
        EXPECT_EQ(1, send(1));
    }
    // New connections are kept for further calls again.
    EXPECT_LE(server.connections(), 2U * Connections);
}

}

}
