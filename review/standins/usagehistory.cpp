/**
 * Case: the fleet has reported usage for about 45 minutes. The rows of sealed windows, which nobody deletes, then fill a whole page of the
 * store's answer, the gateway doesn't find the newest of them, and no window is reported any more.
 */
#include "deployment.h"

namespace {

using namespace Review;

constexpr const char *OwnTable = "chestnutcove";
constexpr std::uint64_t WindowMs = 5000;
constexpr std::int64_t ReportDueMs = 10000;
/** 45 minutes of windows; without the disruption, 15 minutes. */
constexpr std::uint64_t LongHistory = 540;
constexpr std::uint64_t ShortHistory = 180;
/** The gateway deletes the other rows of a window this many windows later. */
constexpr std::uint64_t RetainedWindows = 120;
constexpr milliseconds RunTime{70000};
constexpr milliseconds OrderInterval{100};

std::string numbered(const char *prefix, std::uint64_t window)
{
    char text[64];
    std::snprintf(text, sizeof text, "%s%012llu", prefix, static_cast<unsigned long long>(window));
    return text;
}

/** What a gateway has written by the time that it has reported the window @p last, as its source and a run of it show. */
void writeHistory(Platform &platform, std::uint64_t last, std::uint64_t windows)
{
    for (std::uint64_t window = last - windows + 1; window <= last; ++window) {
        const Json customers{{"desk", {{"requests", 50}, {"promptTokens", 0}, {"outputTokens", 0}}}};
        platform.put(OwnTable, numbered("usage/sealed/", window), Json{{"customers", customers}, {"attempt", newId()}}.dump());
        if (window + RetainedWindows > last) {
            const std::string row = numbered("usage/window/", window) + "/front-a-1-1234567890";
            platform.put(OwnTable, row, Json{{"customers", customers}, {"attempt", newId()}}.dump());
            platform.put(OwnTable, numbered("usage/touch/", window), newId());
            platform.put(OwnTable, numbered("usage/intent/", window), Json{{"epoch", 1}, {"attempt", newId()}}.dump());
        }
    }
    platform.put(OwnTable, "usage/progress", Json{{"reported", last}, {"era", 1}}.dump());
    platform.put(
        OwnTable, "lease/duties", Json{{"holder", ""}, {"incarnation", 0}, {"epoch", 1}, {"beat", 900}, {"attempt", newId()}}.dump());
}

}

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Record &record = deployment.record();
    ServerEntry entry;
    std::mutex mutex;
    std::map<std::uint64_t, unsigned> runsByWindow;
    Server server([&](Connection &connection, const Message &request) {
        if (answersAsServer(connection, request, entry)) {
            return true;
        }
        const std::string id = fieldOf(request.fields, "Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            ++runsByWindow[unixMs() / WindowMs];
        }
        record.line("order-app runs", id);
        return connection.write(serialise("HTTP/1.1 200 OK", {{"Attempt-Id", id}, {"Response-Stamp", "o." + id}}, "ordered " + id));
    });
    entry = {"i-order-1", "order-app", server.port(), 6, "", unixMs()};
    deployment.addServer(entry);
    deployment.configure(Json::array({Deployment::route("order-place", "/order/", "non_idempotent", "order-app", 1000, 150, 1)}),
                         Json::array({Deployment::plainService("order-app")}),
                         Json::array({Deployment::tenant("desk", "key-desk")}));
    const std::uint64_t windows = deployment.hasTrouble() ? LongHistory : ShortHistory;
    writeHistory(deployment.platform(), unixMs() / WindowMs - 1, windows);
    record.result("windows reported before:", windows);
    GatewayProcess gateway(deployment.gatewaySettings(1));
    if (!gateway.start() || !gateway.waitUntilReady(milliseconds(20000))) {
        record.result("the gateway does not start");
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    // The machine is in touch contact_ms after its start. The first window that begins after that is judged.
    std::this_thread::sleep_for(milliseconds(3500));
    const std::uint64_t firstWindow = unixMs() / WindowMs + 1;
    const auto end = Clock::now() + RunTime;
    unsigned answered = 0;
    auto connection = gateway.connect();
    for (auto at = Clock::now(); at < end; at += OrderInterval) {
        std::this_thread::sleep_until(at);
        if (!connection) {
            connection = gateway.connect();
            continue;
        }
        const std::string id = newId();
        connection->write(requestText("POST", "/order/1", requestFields(id, "key-desk", 1000), "one bale"));
        Message answer;
        if (connection->read(answer, Clock::now() + milliseconds(2500)) != ReadResult::Complete) {
            connection.reset();
            continue;
        }
        record.line("order", id, "answered", answer.status);
        answered += answer.status == 200 ? 1 : 0;
    }
    const std::uint64_t now = unixMs();
    std::map<std::uint64_t, UsageReport> reports;
    for (const UsageReport &report : deployment.platform().reports()) {
        reports.emplace(report.window, report);
    }
    unsigned due = 0;
    unsigned missing = 0;
    for (std::uint64_t window = firstWindow; (window + 1) * WindowMs + ReportDueMs < now; ++window) {
        ++due;
        const bool isReported = reports.contains(window);
        missing += isReported ? 0 : 1;
        record.result("window",
                      window,
                      "runs:",
                      runsByWindow[window],
                      "reported:",
                      isReported ? reports[window].counts.dump() : std::string("never"));
    }
    record.result("orders answered:", answered, "windows due:", due, "never reported:", missing);
    if (answered == 0 || due == 0) {
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    gateway.kill(SIGKILL);
    deployment.finish(missing > 0 ? BrokenExitCode : HeldExitCode);
}
