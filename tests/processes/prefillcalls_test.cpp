/**
 * Runs the real gateway before endpoints of which some are no prefill engines: a plain service that gets requests with long prompts, an
 * engine whose stage isn't known, and servers that run what they were to prefill.
 */
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

namespace Chestnutcove {

namespace {

class PrefillCallsTest : public UsersPlatformTest
{
protected:
    ~PrefillCallsTest() override
    {
        thread_.stop();
    }

    static std::string stream()
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\nContent-Length: "
               "16\r\n\r\n"
               "id: 1\ndata: a\n\n\n";
    }

    /** The beginning of a signed stream. */
    static std::string cutStream()
    {
        return stream().substr(0, stream().size() - 6);
    }

    void putRoute(bool hasEngines)
    {
        putOpenRoutes({{.kind = "streaming", .hasEngines = hasEngines}});
        ASSERT_TRUE(waitUntil([&] { return send("40,2") == 200; }));
        warmUpRequests_ = requests();
    }

    /** @param tokens of the prompt and of the answer. @return the status that the caller gets. */
    int send(const std::string &tokens)
    {
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip_ + ':' + std::to_string(gateway_->port("callers")) + "/odd/1";
        call.body = "blue";
        call.headers = {{"Host", "shop.example"},
                        {"Attempt-Id", "a1"},
                        {"Deadline-Ms", "1200"},
                        {"Model", "m"},
                        {"Token-Counts", tokens},
                        {"Prompt-Prefix", "aa:3000,bb:3000,cc:3000"}};
        call.timeoutMs = 3000;
        return sendRequest(call).code;
    }

    int sendLongPrompt()
    {
        return send("9000,2");
    }

    int requests() const
    {
        return first_.requests + second_.requests + third_.requests;
    }

    /** Number of calls that endpoints got for the requests after the first. */
    int calls() const
    {
        return requests() - warmUpRequests_;
    }

    void answerAll(const Script &script)
    {
        for (ScriptedEndpoint *endpoint : {&first_, &second_, &third_}) {
            endpoint->lastScript = script;
        }
    }

    EndpointThread thread_;
    ScriptedEndpoint first_{thread_.context()};
    ScriptedEndpoint second_{thread_.context()};
    ScriptedEndpoint third_{thread_.context()};
    int warmUpRequests_ = 0;
};

// Guards against a plain service's endpoints that are taken for prefill engines: they run the request, each once, and it is refused.
TEST_F(PrefillCallsTest, PlainServiceGetsALongPrompt_OneEndpoint_RunsItOnceAndItsAnswerIsForwarded)
{
    answerAll({stream(), Script::AfterResponse::KeepOpen});
    putEndpoint("odd-1", "odd", first_.record().address);
    putEndpoint("odd-2", "odd", second_.record().address);
    putRoute(false);
    EXPECT_EQ(sendLongPrompt(), 200);
    EXPECT_EQ(calls(), 1);
}

// Guards against the same where an engine's entry lacks its stage.
TEST_F(PrefillCallsTest, StageOfEnginesIsUnknown_LongPrompt_RunsOnceAndIsNotPrefilled)
{
    answerAll({stream(), Script::AfterResponse::KeepOpen});
    putEndpoint("odd-1", "odd", first_.record().address);
    putEndpoint("odd-2", "odd", second_.record().address);
    putRoute(true);
    EXPECT_EQ(sendLongPrompt(), 200);
    EXPECT_EQ(calls(), 1);
}

/** Two prefill engines and a decode engine, as the store says. */
class ReplacedEnginesTest : public PrefillCallsTest
{
protected:
    ReplacedEnginesTest()
    {
        third_.lastScript = {stream(), Script::AfterResponse::KeepOpen};
        putEndpoint("odd-1", "odd", first_.record().address, "prefill");
        putEndpoint("odd-2", "odd", second_.record().address, "prefill");
        putEndpoint("odd-3", "odd", third_.record().address, "decode");
    }

    void answerPrefillCalls(const Script &script)
    {
        first_.lastScript = script;
        second_.lastScript = script;
    }
};

// Guards against a second run, and against "not run", after a prefill call was answered with the whole answer of a run.
TEST_F(ReplacedEnginesTest, PrefillCallIsAnsweredLikeARun_NonIdempotentRequest_IsNotSentAgainAndItsOutcomeIsUnknown)
{
    answerPrefillCalls({stream(), Script::AfterResponse::KeepOpen});
    putRoute(true);
    EXPECT_EQ(sendLongPrompt(), 502);
    EXPECT_EQ(calls(), 1);
}

// Guards against the same where the answer of the run breaks off.
TEST_F(ReplacedEnginesTest, PrefillCallGetsACutAnswerOfARun_NonIdempotentRequest_IsNotSentAgainAndItsOutcomeIsUnknown)
{
    answerPrefillCalls({cutStream(), Script::AfterResponse::Close});
    putRoute(true);
    EXPECT_EQ(sendLongPrompt(), 502);
    EXPECT_EQ(calls(), 1);
}

// Guards against an unknown outcome where each server states that it has not run the request.
TEST_F(ReplacedEnginesTest, PrefillCallsAreTurnedAway_NonIdempotentRequest_IsRefusedAsNotRun)
{
    answerPrefillCalls({"HTTP/1.1 421 Misdirected\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", Script::AfterResponse::KeepOpen});
    putRoute(true);
    EXPECT_EQ(sendLongPrompt(), 503);
    EXPECT_EQ(third_.requests, warmUpRequests_);
}

}

}
