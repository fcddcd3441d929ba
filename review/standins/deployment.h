/**
 * A small deployment for a case: the platform's stand-in with a configuration and the entries of servers, a folder for the gateways' files,
 * and what clients send.
 */
#pragma once

#include "gatewayprocess.h"
#include "platform.h"
#include "record.h"

#include <csignal>
#include <optional>
#include <random>

namespace Review {

inline constexpr int HeldExitCode = 0;
inline constexpr int BrokenExitCode = 1;
inline constexpr int FailedExitCode = 2;
inline constexpr milliseconds HeartbeatInterval{1200};

/** The entry of a server in the store. */
struct ServerEntry
{
    std::string id;
    std::string service;
    std::uint16_t port = 0;
    unsigned slots = 8;
    /** Of a model server. */
    std::string stage;
    std::uint64_t born = 0;
    std::string ip = "127.0.0.1";
};

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

inline std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/** A temporary folder. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
        path_ = mkdtemp(pattern.data());
    }

    /** Deletes the folder, or names it if KEEP_LOGS is set. */
    void remove() const
    {
        const char *kept = std::getenv("KEEP_LOGS");
        if (kept == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(path_, ignored);
        } else {
            std::cerr << "logs in " << path_ << '\n';
        }
    }

    const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

class Deployment
{
public:
    /** @param arguments of main(): the root of the repository and the folder of the case. */
    Deployment(int argc, char **argv)
        : root_(argc > 1 ? argv[1] : ".")
        , record_((argc > 2 ? std::string(argv[2]) : std::string(".")) + "/record.txt")
        , platform_(record_)
    {
        signal(SIGPIPE, SIG_IGN);
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble_ = trouble == nullptr || std::string(trouble) != "0";
        record_.result(hasTrouble_ ? "with the disruption" : "without the disruption");
        heartbeat_ = std::jthread([this](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                std::this_thread::sleep_for(HeartbeatInterval);
                const std::lock_guard lock(mutex_);
                ++sequence_;
                for (const auto &[id, entry] : entries_) {
                    writeEntry(entry);
                }
            }
        });
    }

    /** Ends the program without destroying what the threads of the stand-ins still use. The gateways have to be ended before. */
    [[noreturn]] void finish(int exitCode)
    {
        folder_.remove();
        std::cout.flush();
        std::cerr.flush();
        _exit(exitCode);
    }

    bool hasTrouble() const
    {
        return hasTrouble_;
    }

    Record &record()
    {
        return record_;
    }

    Platform &platform()
    {
        return platform_;
    }

    GatewaySettings gatewaySettings(unsigned number) const
    {
        GatewaySettings settings;
        settings.vm = "front-a-" + std::to_string(number);
        settings.ip = loopbackAddress(number);
        settings.store = platform_.address();
        settings.folder = folder_.path();
        settings.root = root_;
        return settings;
    }

    void addServer(const ServerEntry &entry)
    {
        const std::lock_guard lock(mutex_);
        entries_[entry.id] = entry;
        writeEntry(entry);
    }

    /** The server leaves, and its entry is removed without having said "draining". */
    void removeServer(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        entries_.erase(id);
        platform_.remove("servers", id);
    }

    void configure(const Json &routes, const Json &services, const Json &tenants)
    {
        platform_.put(
            "op",
            "config",
            Json{{"version", 7},
                 {"routes", routes},
                 {"services", services},
                 {"limits",
                  {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                 {"tenants", tenants}}
                .dump());
    }

    static Json route(const std::string &name,
                      const std::string &prefix,
                      const std::string &kind,
                      const std::string &service,
                      unsigned timeoutMs,
                      unsigned targetMs,
                      unsigned maxAttempts)
    {
        return {{"name", name},
                {"host", "shop.example"},
                {"path_prefix", prefix},
                {"kind", kind},
                {"timeout_ms", timeoutMs},
                {"target_latency_ms", targetMs},
                {"priority", 1},
                {"service", service},
                {"max_attempts", maxAttempts},
                {"anonymous", false},
                {"sticky", kind == "streaming"},
                {"resumable", false},
                {"gap_aim_ms", 150}};
    }

    static Json plainService(const std::string &name)
    {
        return {{"name", name}, {"health_path", "/healthz"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}};
    }

    static Json modelService(const std::string &name)
    {
        return {{"name", name},
                {"health_path", "/healthz"},
                {"max_connections", 240},
                {"protocol", "h1"},
                {"tls", false},
                {"engine",
                 {{"slots", 32},
                  {"kv_capacity", 1435711},
                  {"kv_token_bytes", 327680},
                  {"link_mbps", 22000000.0},
                  {"kv_hold_s", 5.0},
                  {"role_switch_s", 3.0},
                  {"models", {{{"name", "m"}}}}}}};
    }

    static Json tenant(const std::string &name, const std::string &key)
    {
        return {{"name", name},
                {"api_keys", Json::array({key})},
                {"priority", 1},
                {"unit", "tokens"},
                {"plain_tokens", 200},
                {"rate_per_s", 1725552},
                {"burst", 1725552}};
    }

private:
    void writeEntry(const ServerEntry &entry)
    {
        Json json{{"service", entry.service},
                  {"address", entry.ip + ':' + std::to_string(entry.port)},
                  {"zone", "zone-a"},
                  {"version", "v1"},
                  {"slots", entry.slots},
                  {"state", "ready"},
                  {"cold_remaining_ms", 0},
                  {"born", entry.born},
                  {"seq", sequence_}};
        if (!entry.stage.empty()) {
            json["stage"] = entry.stage;
            json["models"] = {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}};
        }
        platform_.put("servers", entry.id, json.dump());
    }

    std::string root_;
    TemporaryFolder folder_;
    Record record_;
    Platform platform_;
    bool hasTrouble_ = true;
    std::mutex mutex_;
    std::map<std::string, ServerEntry> entries_;
    std::uint64_t sequence_ = 1;
    std::jthread heartbeat_;
};

/** The head fields of a client's request. */
inline Fields requestFields(const std::string &id, const std::string &key, unsigned deadlineMs)
{
    return {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", std::to_string(deadlineMs)}, {"X-Api-Key", key}};
}

inline std::string requestText(const std::string &method, const std::string &target, const Fields &fields, const std::string &body)
{
    return serialise(method + ' ' + target + " HTTP/1.1", fields, body);
}

/** Answers the health check and the report of a server. @return whether the request was one of these. */
inline bool answersAsServer(Connection &connection, const Message &request, const ServerEntry &entry)
{
    if (request.path() == "/healthz") {
        connection.write(serialise("HTTP/1.1 200 OK", {{"Instance-Id", entry.id}}, ""));
        return true;
    }
    if (request.path() == "/chestnutcove/report") {
        const Json report{{"stage", entry.stage.empty() ? "decode" : entry.stage},
                          {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}},
                          {"busy", false},
                          {"seq", 0},
                          {"waiting", 0},
                          {"running", 0},
                          {"kv_used", 0},
                          {"kv_total", 1435711},
                          {"kv_handles", 0}};
        connection.write(serialise("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, report.dump()));
        return true;
    }
    if (request.path() == "/chestnutcove/order") {
        connection.write(serialise("HTTP/1.1 202 Accepted", {}, ""));
        return true;
    }
    return false;
}

}
