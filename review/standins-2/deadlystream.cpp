/**
 * Case: one part of prompts crashes each decode engine that begins to write an answer on it: the engine writes the head and the first
 * event, and ends. From contact_ms after the fifth crash, three more requests with that part may reach engines at most.
 */
#include "harness.h"

using namespace Review;

namespace {

constexpr int PrefillEngines = 2;
constexpr int DecodeEngines = 6;
/** The pages: the server is back after some seconds. */
constexpr int RestartMs = 3000;
constexpr int ContactMs = 3000;
constexpr std::size_t CrashesThatTell = 5;
constexpr int AllowedArrivals = 3;
constexpr int DeadlyIntervalMs = 1000;
constexpr int DeadlyRequests = 40;
constexpr int SoundIntervalMs = 100;
constexpr int SoundBefore = 40;
const std::string DeadlyPart = "dead0001";

Json configuration()
{
    const Json engine{{"slots", 32},
                      {"kv_capacity", 1435711},
                      {"kv_token_bytes", 327680},
                      {"link_mbps", 22000000.0},
                      {"kv_hold_s", 5.0},
                      {"role_switch_s", 3.0},
                      {"models", {{{"name", "m"}}}}};
    return {{"version", 1},
            {"routes",
             {{{"name", "r-ask"},
               {"host", "shop.example"},
               {"path_prefix", "/ask/"},
               {"kind", "streaming"},
               {"timeout_ms", 2000},
               {"target_latency_ms", 150},
               {"priority", 0},
               {"service", "model"},
               {"max_attempts", 1},
               {"anonymous", false},
               {"sticky", true},
               {"resumable", false},
               {"gap_aim_ms", 150}}}},
            {"services",
             {{{"name", "model"},
               {"health_path", "/healthz"},
               {"max_connections", 240},
               {"protocol", "h1"},
               {"tls", false},
               {"engine", engine}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "desk"}, {"api_keys", {"key-1"}}, {"priority", 1}}}}};
}

/** What happened to requests with the deadly part. */
class Deadly
{
public:
    explicit Deadly(Record &record)
        : record_(record)
    {
    }

    void onArrival(const std::string &attempt, const std::string &engine)
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(record_.now());
        record_.write("engine " + engine + " gets " + attempt);
    }

    void onCrash(const std::string &engine)
    {
        const std::lock_guard lock(mutex_);
        crashes_.push_back(record_.now());
        record_.write("engine " + engine + " crashes: crash " + std::to_string(crashes_.size()));
    }

    std::size_t crashes()
    {
        const std::lock_guard lock(mutex_);
        return crashes_.size();
    }

    /** Arrivals at engines later than contact_ms after the fifth crash. */
    int lateArrivals()
    {
        const std::lock_guard lock(mutex_);
        if (crashes_.size() < CrashesThatTell) {
            return 0;
        }
        const int from = crashes_[CrashesThatTell - 1] + ContactMs;
        return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(), [from](int at) { return at > from; }));
    }

private:
    Record &record_;
    std::mutex mutex_;
    std::vector<int> arrivals_;
    std::vector<int> crashes_;
};

/** A model server that ends, and starts again under its id after a while, when it begins to answer a prompt with the deadly part. */
class Engine
{
public:
    Engine(std::string id, std::string stage, Platform &platform, Deadly &deadly)
        : id_(std::move(id))
        , stage_(std::move(stage))
        , platform_(platform)
        , deadly_(deadly)
    {
        open();
        std::thread([this] { run(); }).detach();
    }

private:
    void open()
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = socketAddress("127.0.0.1", port_);
        socklen_t size = sizeof address;
        if (bind(fd_, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(fd_, 1024) != 0) {
            std::cerr << "can't listen again on port " << port_ << '\n';
            std::_Exit(CouldNotRun);
        }
        getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        platform_.put("servers", id_, serverEntry("model", port_, 32, stage_));
    }

    void run()
    {
        while (true) {
            pollfd state{fd_, POLLIN, 0};
            poll(&state, 1, 5);
            if (hasCrashed_) {
                restart();
                continue;
            }
            const int fd = state.revents != 0 ? accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC) : -1;
            if (fd < 0) {
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                peers_.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void restart()
    {
        close(fd_);
        {
            const std::lock_guard lock(mutex_);
            for (const int peer : peers_) {
                const linger reset{1, 0};
                setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(peer, SHUT_RDWR);
            }
        }
        sleepMs(RestartMs);
        hasCrashed_ = false;
        open();
    }

    void serve(int fd)
    {
        std::string buffer;
        while (!hasCrashed_) {
            const Message request = readMessage(fd, buffer, Clock::now() + std::chrono::minutes(10));
            if (!request.isWhole || hasCrashed_ || !answer(fd, request)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        peers_.erase(fd);
        close(fd);
    }

    /** @return whether the connection stays open. */
    bool answer(int fd, const Message &request)
    {
        const std::string path = request.target();
        if (path == "/chestnutcove/report") {
            const Json report{{"stage", stage_}, {"models", Json::array()}, {"busy", false}, {"seq", 0}, {"waiting", 0}, {"running", 0}};
            return sendAll(fd, response(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (path == "/chestnutcove/order") {
            return sendAll(fd, response(409, {{"Content-Type", "application/json"}}, "{}"));
        }
        if (path.rfind("/chestnutcove/kv-handle/", 0) == 0) {
            return sendAll(fd, response(200, {}, ""));
        }
        const std::string attempt = request.field("Attempt-Id");
        const bool isPrefill = request.field("Stage") == "prefill";
        if (request.field("Expect-Instance") != id_ || isPrefill != (stage_ == "prefill")) {
            return sendAll(fd, response(421, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
        }
        sleepMs(5);
        if (isPrefill) {
            const Json handle{{"handle", "h" + attempt}, {"tokens", 9190}, {"version", 1}};
            return sendAll(
                fd,
                response(200, {{"Attempt-Id", attempt}, {"Content-Type", "application/json"}, {"Server-Load", "1,0,32"}}, handle.dump()));
        }
        const bool isDeadly = request.field("Prompt-Prefix").find(DeadlyPart) != std::string::npos;
        if (isDeadly) {
            deadly_.onArrival(attempt, id_);
        }
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: stamp." + attempt
            + "\r\nContent-Type: text/event-stream\r\nServer-Load: 1,0,32\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string first = "11\r\nid: 1\ndata: one\n\n\r\n";
        const std::string second = "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
        if (isDeadly && mustCrashBeforeAnswer()) {
            crash();
            return false;
        }
        if (!sendAll(fd, head + first)) {
            return false;
        }
        sleepMs(10);
        if (isDeadly) {
            crash();
            return false;
        }
        return sendAll(fd, second);
    }

    /** For comparison only: the engine ends before it has written a byte. */
    static bool mustCrashBeforeAnswer()
    {
        const char *value = std::getenv("CRASH_BEFORE_ANSWER");
        return value != nullptr && std::string(value) == "1";
    }

    void crash()
    {
        if (!hasCrashed_.exchange(true)) {
            deadly_.onCrash(id_);
        }
    }

    std::string id_;
    std::string stage_;
    Platform &platform_;
    Deadly &deadly_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> hasCrashed_ = false;
    std::mutex mutex_;
    std::set<int> peers_;
};

std::string requestText(const std::string &attempt, const std::string &session, int number)
{
    const std::string body = "{\"prompt\":" + std::to_string(number) + "}";
    return "POST /ask/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
        + "\r\nModel: m\r\nToken-Counts: 9190,2\r\nPrompt-Prefix: 5c1e07a2:2520," + session + ":3780,e4" + std::to_string(number)
        + ":2890\r\nDeadline-Ms: 2000\r\nX-Api-Key: key-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Sends one request and waits for its answer. @return whether it was answered whole, with success. */
bool sendRequest(const Gateway &gateway, Record &record, const std::string &attempt, const std::string &session, int number)
{
    record.write("client sends " + attempt);
    const Message answer = call(gateway.ip(), gateway.port(), requestText(attempt, session, number), 3000);
    record.write("client gets " + std::to_string(answer.status()) + (answer.isWhole ? "" : " (not whole)") + " for " + attempt);
    return answer.isWhole && answer.status() == 200;
}

}

int main(int argc, char **argv)
{
    const Folders folders = foldersOf(argc, argv);
    Record record(folders.record);
    Platform platform(record);
    Deadly deadly(record);
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < PrefillEngines + DecodeEngines; ++i) {
        const std::string stage = i < PrefillEngines ? "prefill" : "decode";
        engines.push_back(std::make_unique<Engine>("i-" + stage + std::to_string(i), stage, platform, deadly));
    }
    platform.put("op", "config", configuration());
    Gateway gateway("front-vn-south-a-1", folders.temporary, platform);
    if (!gateway.start() || !gateway.waitUntilReady(40)) {
        record.say("the gateway did not become ready");
        finish(gateway, CouldNotRun);
    }
    sleepMs(1000);
    int served = 0;
    for (int i = 0; i < SoundBefore; ++i) {
        served += sendRequest(gateway, record, "before-" + std::to_string(i), "5e" + std::to_string(i % 8), i) ? 1 : 0;
    }
    if (served < SoundBefore / 2) {
        record.say("the gateway does not serve: " + std::to_string(served) + " of " + std::to_string(SoundBefore));
        finish(gateway, CouldNotRun);
    }
    std::atomic<bool> mustEnd = false;
    std::atomic<int> soundSent = 0;
    std::atomic<int> soundServed = 0;
    std::thread sound([&] {
        std::vector<std::thread> requests;
        for (int i = 0; !mustEnd; ++i) {
            requests.emplace_back([&, i] {
                ++soundSent;
                soundServed += sendRequest(gateway, record, "sound-" + std::to_string(i), "5e" + std::to_string(i % 8), 1000 + i) ? 1 : 0;
            });
            sleepMs(SoundIntervalMs);
        }
        for (std::thread &request : requests) {
            request.join();
        }
    });
    std::vector<std::thread> requests;
    for (int i = 0; i < DeadlyRequests; ++i) {
        if (hasTrouble()) {
            requests.emplace_back([&, i] { sendRequest(gateway, record, "deadly-" + std::to_string(i), DeadlyPart, 100000 + i); });
        }
        sleepMs(DeadlyIntervalMs);
    }
    for (std::thread &request : requests) {
        request.join();
    }
    mustEnd = true;
    sound.join();
    const int late = deadly.lateArrivals();
    record.say(std::to_string(deadly.crashes()) + " crashes; " + std::to_string(late)
               + " requests with the part reached engines later than " + std::to_string(ContactMs) + " ms after the fifth crash ("
               + std::to_string(AllowedArrivals) + " may); " + std::to_string(soundServed) + " of " + std::to_string(soundSent)
               + " sound requests were served meanwhile");
    finish(gateway, late > AllowedArrivals ? Broken : Held);
}
