/**
 * Runs the real gateway, with lowered limits of memory and descriptors, while crowds of callers don't keep the limits: at a route, at a
 * route whose endpoint doesn't read, at a path without a route, at the readiness address and at the metrics port. They guard against a
 * gateway that such callers end, by its memory or its descriptors, or keep from serving others.
 */
#include "endlessendpoint.h"
#include "endpointthread.h"
#include "hostilecrowd.h"
#include "usersplatformfixture.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <ostream>
#include <tuple>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr int MemoryMegabytes = 64;
constexpr std::size_t MemoryBytes = std::size_t{MemoryMegabytes} << 20U;
/** Below the system's limit for processes, so that the gateway's own bound is seen. */
constexpr std::size_t MaxDescriptors = 1000;
constexpr std::uint16_t MetricsPort = 9464;
constexpr auto CrowdTime = 2500ms;
/** Longer than callers may be idle, so that the request is served at the latest when the crowd's connections have timed out. */
constexpr int ServedWithinMs = 25000;
constexpr std::size_t StatedBodyBytes = 4'000'000;

enum class Listener {
    Callers,
    Readiness,
    Metrics,
};

struct Place
{
    const char *name;
    Listener listener;
    /** Target of the crowd's requests, and of those whose answers are to be large. */
    const char *target;
    const char *largeTarget;
};

struct Crowd
{
    const char *name;
    /** @param target of the requests of the place. */
    CrowdScript (*script)(const std::string &target);
    bool asksForLargeAnswers = false;
};

std::ostream &operator<<(std::ostream &stream, const Place &place)
{
    return stream << place.name;
}

std::ostream &operator<<(std::ostream &stream, const Crowd &crowd)
{
    return stream << crowd.name;
}

std::string startOf(const char *method, const std::string &target)
{
    return std::string(method) + ' ' + target + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: h1\r\n";
}

std::string bodyHead(const std::string &target, std::size_t length)
{
    return startOf("POST", target) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunkedHead(const std::string &target)
{
    return startOf("POST", target) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string shortFields(int count)
{
    std::string fields;
    for (int i = 0; i < count; ++i) {
        fields += "a:b\r\n";
    }
    return fields;
}

std::string repeat(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/** The bodies that stop short consist of this many blocks of as many kilobytes each. */
constexpr std::size_t Blocks = 93;
constexpr int BlockKilobytes = 43;
static_assert(Blocks * BlockKilobytes * 1000 == StatedBodyBytes - 1000);

std::string block()
{
    return std::string(std::size_t{BlockKilobytes} * 1000, 'x');
}

std::string chunkedBlock()
{
    return repeat("3e8\r\n" + std::string(1000, 'x') + "\r\n", BlockKilobytes);
}

CrowdScript unfinishedBodies(const std::string &target)
{
    return {.opening = bodyHead(target, StatedBodyBytes), .repeated = block(), .repeats = Blocks, .connections = 200};
}

CrowdScript unfinishedBodiesInPieces(const std::string &target)
{
    CrowdScript script = unfinishedBodies(target);
    script.pieceBytes = 500;
    return script;
}

CrowdScript unfinishedChunkedBodies(const std::string &target)
{
    return {.opening = chunkedHead(target), .repeated = chunkedBlock(), .repeats = Blocks, .connections = 200};
}

CrowdScript chunksOfOneByte(const std::string &target)
{
    return {.opening = chunkedHead(target), .repeated = repeat("1\r\nx\r\n", 1000), .repeats = 4000, .connections = 60};
}

CrowdScript excessiveBodies(const std::string &target)
{
    return {.opening = bodyHead(target, StatedBodyBytes * 100), .repeated = block(), .repeats = Blocks * 100, .connections = 60};
}

CrowdScript excessiveChunkedBodies(const std::string &target)
{
    return {.opening = chunkedHead(target), .repeated = chunkedBlock(), .repeats = Blocks * 100, .connections = 60};
}

CrowdScript manyFields(const std::string &target)
{
    return {.opening = startOf("GET", target) + shortFields(250), .connections = 600};
}

CrowdScript tooManyFields(const std::string &target)
{
    return {.repeated = startOf("GET", target) + shortFields(1800) + "\r\n", .repeats = 100, .connections = 200};
}

CrowdScript requestsAhead(const std::string &target)
{
    return {.repeated = repeat(startOf("GET", target) + "\r\n", 500), .repeats = 40, .connections = 60};
}

CrowdScript slowHeads(const std::string &target)
{
    return {.opening = startOf("GET", target) + shortFields(200), .quickBytes = 20, .connections = 300};
}

CrowdScript slowBodies(const std::string &target)
{
    CrowdScript script = unfinishedBodies(target);
    script.quickBytes = 1'000'000;
    return script;
}

CrowdScript slowReaders(const std::string &target)
{
    return {.opening = startOf("POST", target) + "Content-Length: 2\r\n\r\nhi", .readBytes = 100, .connections = 200};
}

CrowdScript absentReaders(const std::string &target)
{
    CrowdScript script = slowReaders(target);
    script.opening = startOf("POST", target) + "Content-Length: 0\r\n\r\n";
    script.readBytes = 0;
    return script;
}

CrowdScript idleConnections(const std::string &)
{
    return {.connections = 1500};
}

CrowdScript halfOpenRequests(const std::string &)
{
    return {.opening = "GET /", .connections = 1500};
}

std::vector<Crowd> crowds()
{
    return {{"UnfinishedBodies", unfinishedBodies},
            {"UnfinishedBodiesInPieces", unfinishedBodiesInPieces},
            {"UnfinishedChunkedBodies", unfinishedChunkedBodies},
            {"ChunksOfOneByte", chunksOfOneByte},
            {"ExcessiveBodies", excessiveBodies},
            {"ExcessiveChunkedBodies", excessiveChunkedBodies},
            {"ManyFields", manyFields},
            {"TooManyFields", tooManyFields},
            {"RequestsAhead", requestsAhead},
            {"SlowHeads", slowHeads},
            {"SlowBodies", slowBodies},
            {"SlowReaders", slowReaders, true},
            {"AbsentReaders", absentReaders, true},
            {"IdleConnections", idleConnections},
            {"HalfOpenRequests", halfOpenRequests}};
}

std::vector<Place> places()
{
    return {{"Route", Listener::Callers, "/orders/1", "/large/1"},
            {"DeafEndpoint", Listener::Callers, "/uploads/1", "/uploads/1"},
            {"NoRoute", Listener::Callers, "/none/1", "/none/1"},
            {"Readiness", Listener::Readiness, "/chestnutcove/readyz", "/metrics"},
            {"Metrics", Listener::Metrics, "/metrics", "/metrics"}};
}

class HostileCallersTest : public UsersPlatformTest, public testing::WithParamInterface<std::tuple<Crowd, Place>>
{
protected:
    static constexpr int TimeoutMs = 4000;

    HostileCallersTest()
        : UsersPlatformTest("limits.memory_mb=" + std::to_string(MemoryMegabytes) + "\nlimits.max_fds=" + std::to_string(MaxDescriptors)
                            + '\n')
    {
        large_.setAnswer("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: signed\r\nContent-Length: 3276800\r\n\r\n",
                         std::string(std::size_t{64} * 1024, 'x'));
        putEndpoint("large-1", "large", large_.address());
        putEndpoint("deaf-1", "uploads", {"127.0.0.1", deaf_.local_endpoint().port()});
        putOpenRoutes({{.service = "uploads", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1},
                       {.service = "large", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1},
                       {.service = "orders", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1}});
    }

    ~HostileCallersTest() override
    {
        thread_.stop();
    }

    asio::ip::tcp::endpoint addressOf(Listener listener) const
    {
        const auto address = asio::ip::make_address_v4(ip_);
        switch (listener) {
        case Listener::Callers:
            return {address, gateway_->port("callers")};
        case Listener::Readiness:
            return {address, gateway_->port("readiness")};
        case Listener::Metrics:
            break;
        }
        return {address, MetricsPort};
    }

    bool isServed()
    {
        return sendOrder("/orders/1", "").code == 200;
    }

private:
    EndpointThread thread_;
    EndlessEndpoint large_{thread_.context()};
    asio::io_context context_;
    /** Its connections are made by the kernel; nobody reads what arrives on them. */
    asio::ip::tcp::acceptor deaf_{context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

// Guards against a gateway that callers beyond the limits end by its memory or descriptors, or that serves nobody else after them.
TEST_P(HostileCallersTest, CrowdExceedsTheLimits_GatewayStaysWithinItsOwnAndServesOthers)
{
    const auto &[crowd, place] = GetParam();
    ASSERT_TRUE(waitUntil([&] { return isServed(); }));
    HostileCrowd callers(crowd.script(crowd.asksForLargeAnswers ? place.largeTarget : place.target));
    callers.play(addressOf(place.listener), CrowdTime);
    std::size_t descriptors = gateway_->openDescriptors();
    EXPECT_TRUE(waitUntil([&] { return isServed(); }, ServedWithinMs));
    descriptors = std::max(descriptors, gateway_->openDescriptors());
    EXPECT_TRUE(gateway_->isRunning());
    const std::size_t peak = gateway_->peakResidentBytes();
    std::cout << "peak resident memory " << (peak >> 20U) << " MB, " << descriptors << " descriptors\n";
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, MemoryBytes);
    EXPECT_LE(descriptors, MaxDescriptors);
}

std::string nameOf(const testing::TestParamInfo<std::tuple<Crowd, Place>> &info)
{
    return std::string(std::get<0>(info.param).name) + "_" + std::get<1>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileCallersTest, testing::Combine(testing::ValuesIn(crowds()), testing::ValuesIn(places())), nameOf);

}

}
