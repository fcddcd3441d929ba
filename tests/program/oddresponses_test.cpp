/**
 * Tests what the HTTP client, and the sidecar that relies on it, make of responses that are reset during an upload and of statuses that
 * don't exist. They guard against a part of a response that is taken for all of it, and against no response that is taken for one (MIXED).
 */
#include "earlyendpoint.h"
#include "endpointadapter.h"
#include "httpclient.h"
#include "scriptedendpoint.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t UploadBytes = std::size_t{16} << 20U;

class OddResponsesTest : public testing::Test
{
protected:
    HttpResult post(const NetworkAddress &address, std::string body)
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + address.text() + "/";
        call.body = std::move(body);
        call.timeout = 4s;
        std::optional<HttpResult> result;
        client_.send(std::move(call), [&result](HttpResult got) { result = std::move(got); });
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(50ms);
        }
        return result.value_or(HttpResult{});
    }

    asio::io_context context_;
    HttpClient client_{context_.get_executor(), 60s};
    EarlyEndpoint early_{context_};
    ScriptedEndpoint scripted_{context_};
};

TEST_F(OddResponsesTest, ResponseWithoutALengthIsResetDuringTheUpload_Call_IsNotOk)
{
    early_.setAnswer({"HTTP/1.1 200 OK\r\n\r\na part of", EarlyAnswer::End::Reset});
    for (int i = 0; i < 10; ++i) {
        const HttpResult result = post(early_.address(), std::string(UploadBytes, 'u'));
        EXPECT_FALSE(result.status.ok()) << result.code << ' ' << result.body;
    }
}

TEST_F(OddResponsesTest, ResponseWithoutALengthIsResetAfterTheUpload_Call_IsNotOk)
{
    scripted_.lastScript = {"HTTP/1.1 200 OK\r\n\r\na part of", Script::AfterResponse::Reset};
    for (int i = 0; i < 10; ++i) {
        const HttpResult result = post(scripted_.record().address, "blue");
        EXPECT_FALSE(result.status.ok()) << result.code << ' ' << result.body;
    }
}

TEST_F(OddResponsesTest, StatusDoesNotExist_Call_IsNotOk)
{
    for (const char *status : {"000", "000 OK", "099 Low", "20", "2000 Long", "-10 Odd"}) {
        for (const char *framing : {"\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n"}) {
            scripted_.lastScript = {std::string("HTTP/1.1 ") + status + framing + "done", Script::AfterResponse::Close};
            const HttpResult result = post(scripted_.record().address, "blue");
            EXPECT_FALSE(result.status.ok()) << status << framing << result.code;
        }
    }
}

}

}
