/**
 * Runs the real gateway before a store that answers every call with bytes that have no end, after the endpoint of the usual tests was
 * known.
 */
#include "endlessendpoint.h"
#include "endpointthread.h"
#include "usersplatformfixture.h"

#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** What the store's answers begin with, and what is repeated after that. */
struct EndlessStoreAnswer
{
    const char *name;
    const char *beginning;
};

class EndlessStoreTest : public UsersPlatformTest, public testing::WithParamInterface<EndlessStoreAnswer>
{
protected:
    /** Half of the memory that the settings state by default. */
    static constexpr std::size_t MemoryBytes = std::size_t{128} << 20U;

    ~EndlessStoreTest() override
    {
        thread_.stop();
    }

    EndpointThread thread_;
    EndlessEndpoint store_{thread_.context()};
};

// Guards against a gateway that keeps a faulty store's answers until it exceeds its memory.
TEST_P(EndlessStoreTest, AnswersOfTheStoreHaveNoEnd_Gateway_StaysWithinItsMemory)
{
    store_.setAnswer(GetParam().beginning, std::string(std::size_t{64} << 10U, 'x'));
    const std::string ip = loopbackAddress("127.80.");
    const std::string address = store_.address().text();
    const auto gateway = startGateway("entry-2", ip, 2000, "platform.address=" + address + "\ncloud.address=" + address + "\n");
    ASSERT_TRUE(waitUntil([&] { return store_.requests() > 0; }));
    std::this_thread::sleep_for(4s);
    EXPECT_TRUE(gateway->isRunning());
    EXPECT_LT(gateway->peakResidentBytes(), MemoryBytes);
    EXPECT_EQ(sendOrderTo(*gateway, ip, "/orders/1", "key-1").code, 503);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         EndlessStoreTest,
                         testing::Values(EndlessStoreAnswer{"NoAnswer", ""},
                                         EndlessStoreAnswer{"Field", "HTTP/1.1 200 OK\r\nX-Long: "},
                                         EndlessStoreAnswer{"Body", "HTTP/1.1 200 OK\r\n\r\n"},
                                         EndlessStoreAnswer{"Failure", "HTTP/1.1 500 Error\r\n\r\n"},
                                         EndlessStoreAnswer{"BodyOfStatedLength",
                                                            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"}),
                         [](const auto &answer) { return std::string(answer.param.name); });

}

}
