/**
 * Case: callers read their answers slowly while the gateway is stopped as planned. The gateway closes each connection two seconds after it
 * has the whole answer, whether the caller has got it or not.
 */
#include "deployment.h"

namespace {

using namespace Review;

constexpr std::size_t AnswerBytes = 250'000;
/** 50 kB a second, so an answer takes five seconds. */
constexpr std::size_t BytesPerStep = 1'000;
constexpr milliseconds Step{20};
constexpr milliseconds ReadLimit{14000};
constexpr milliseconds StopAfter{1000};
constexpr milliseconds Grace{8000};
/** The receive buffer and segment size of a caller on a slow link; loopback segments would let megabytes lie in the gateway's kernel. */
constexpr int ReceiveBufferBytes = 4096;
constexpr int SegmentBytes = 1448;

int connectSlowly(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

struct SlowAnswer
{
    std::string id;
    std::int64_t sentMs = 0;
    std::int64_t endMs = 0;
    int status = 0;
    std::size_t bodyBytes = 0;
    bool isComplete = false;
    bool hasConnected = false;
};

/** The body of what was read so far, with the chunks' framing removed. @return whether the answer is complete. */
bool parseAnswer(const std::string &bytes, SlowAnswer &answer)
{
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    answer.status = std::atoi(bytes.c_str() + 9);
    const std::string head = bytes.substr(0, headEnd);
    const std::string body = bytes.substr(headEnd + 4);
    const auto length = head.find("Content-Length: ");
    if (length != std::string::npos) {
        answer.bodyBytes = body.size();
        return body.size() >= std::stoull(head.substr(length + 16));
    }
    answer.bodyBytes = 0;
    std::size_t at = 0;
    while (true) {
        const auto lineEnd = body.find("\r\n", at);
        if (lineEnd == std::string::npos) {
            return false;
        }
        const std::size_t size = std::stoull(body.substr(at, lineEnd - at), nullptr, 16);
        if (size == 0) {
            return true;
        }
        answer.bodyBytes += std::min(size, body.size() - lineEnd - 2);
        at = lineEnd + 2 + size + 2;
        if (at >= body.size()) {
            return false;
        }
    }
}

SlowAnswer readSlowly(Deployment &deployment, const GatewayProcess &gateway)
{
    SlowAnswer answer;
    answer.id = newId();
    const int descriptor = connectSlowly(gateway.settings().ip, gateway.callerPort());
    if (descriptor < 0) {
        return answer;
    }
    answer.hasConnected = true;
    answer.sentMs = deployment.record().nowMs();
    deployment.record().line("client sends", answer.id);
    const std::string text = requestText("GET", "/catalogue/1", requestFields(answer.id, "key-desk", 15000), "");
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    std::string bytes;
    const auto begin = Clock::now();
    for (auto at = begin; !answer.isComplete && at < begin + ReadLimit; at += Step) {
        std::this_thread::sleep_until(at);
        char buffer[BytesPerStep];
        const ssize_t size = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            break;
        }
        bytes.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        answer.isComplete = parseAnswer(bytes, answer);
    }
    ::close(descriptor);
    answer.endMs = deployment.record().nowMs();
    deployment.record().line(
        "client: answer to", answer.id, answer.isComplete ? "complete" : "broken off", "status", answer.status, "bytes", answer.bodyBytes);
    return answer;
}

}

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Record &record = deployment.record();
    ServerEntry entry;
    std::mutex mutex;
    std::map<std::string, bool> wasSent;
    Server server([&](Connection &connection, const Message &request) {
        if (answersAsServer(connection, request, entry)) {
            return true;
        }
        const std::string id = fieldOf(request.fields, "Attempt-Id");
        record.line("server runs", id);
        const Fields fields{{"Attempt-Id", id}, {"Response-Stamp", "o." + id}};
        const bool isSent = connection.write(serialise("HTTP/1.1 200 OK", fields, std::string(AnswerBytes, 'c')));
        record.line("server has sent the whole answer to", id);
        const std::lock_guard lock(mutex);
        wasSent[id] = isSent;
        return isSent;
    });
    entry = {"i-catalogue-1", "catalogue-app", server.port(), 12, "", unixMs()};
    deployment.addServer(entry);
    deployment.configure(Json::array({Deployment::route("catalogue", "/catalogue/", "idempotent", "catalogue-app", 15000, 150, 2)}),
                         Json::array({Deployment::plainService("catalogue-app")}),
                         Json::array({Deployment::tenant("desk", "key-desk")}));
    GatewayProcess gateway(deployment.gatewaySettings(1));
    if (!gateway.start() || !gateway.waitUntilReady(milliseconds(20000))) {
        record.result("the gateway does not start");
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    std::this_thread::sleep_for(milliseconds(3500));
    const auto begin = Clock::now();
    const auto stopAt = begin + StopAfter;
    std::vector<SlowAnswer> answers;
    std::vector<std::jthread> clients;
    // Two callers before the stop, and six in the first 1.2 s after it, when the balancer can't have seen two misses.
    for (const int atMs : {600, 800, 1100, 1300, 1500, 1700, 1900, 2100}) {
        clients.emplace_back([&, at = begin + milliseconds(atMs)] {
            std::this_thread::sleep_until(at);
            SlowAnswer answer = readSlowly(deployment, gateway);
            const std::lock_guard lock(mutex);
            answers.push_back(std::move(answer));
        });
    }
    std::this_thread::sleep_until(stopAt);
    if (deployment.hasTrouble()) {
        record.line("platform: SIGTERM");
        gateway.signal(SIGTERM);
    }
    bool hasEnded = false;
    while (Clock::now() < stopAt + Grace) {
        std::this_thread::sleep_for(milliseconds(10));
        if (!hasEnded && gateway.hasEnded()) {
            hasEnded = true;
            record.line("the gateway has ended");
        }
    }
    clients.clear();
    gateway.kill(SIGKILL);
    unsigned lost = 0;
    for (const SlowAnswer &answer : answers) {
        const bool isLost = answer.hasConnected && wasSent.contains(answer.id) && !answer.isComplete;
        lost += isLost ? 1 : 0;
        record.result("request",
                      answer.id,
                      "sent at ms",
                      answer.sentMs,
                      "ended at ms",
                      answer.endMs,
                      answer.isComplete ? "complete," : "broken off,",
                      answer.bodyBytes,
                      "bytes");
    }
    record.result("answers:", answers.size(), "of which the server had sent all:", wasSent.size(), "broken off by the gateway:", lost);
    if (wasSent.empty()) {
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    gateway.kill(SIGKILL);
    deployment.finish(lost > 0 ? BrokenExitCode : HeldExitCode);
}
