/**
 * Small stand-ins for the scripts of this review: servers, the platform's store, the process under test and a record of what happened.
 * Each server is one thread with an event loop. Everything runs on loopback addresses.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

/** Ends the script when a precondition isn't met. */
struct CannotRun
{
    std::string reason;
};

/** The record of the run, record.txt in the folder of the case. Times are in seconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , start_(Clock::now())
    {
    }

    double now() const
    {
        return std::chrono::duration<double>(Clock::now() - start_).count();
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        char time[32];
        snprintf(time, sizeof time, "%8.3f  ", now());
        file_ << time << text << '\n' << std::flush;
    }

    /** A line that is printed too. */
    void result(const std::string &text)
    {
        line("%s", text.c_str());
        printf("%s\n", text.c_str());
    }

private:
    std::ofstream file_;
    Clock::time_point start_;
    std::mutex mutex_;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** A socket that listens on a free port. */
inline std::pair<int, int> listenOn(const std::string &ip, int port = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(descriptor, 1024) != 0) {
        throw CannotRun{"can't listen on " + ip};
    }
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return {descriptor, ntohs(address.sin_port)};
}

inline int freePort(const std::string &ip)
{
    const auto [descriptor, port] = listenOn(ip);
    close(descriptor);
    return port;
}

struct Request
{
    std::string method;
    std::string target;
    /** Names in lower case. */
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }

    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }

    /** A parameter of the query, decoded. */
    std::string parameter(const std::string &name) const
    {
        const auto mark = target.find('?');
        std::stringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(query, part, '&')) {
            if (part.rfind(name + '=', 0) != 0) {
                continue;
            }
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
        return "";
    }
};

/** Takes one whole message from the front of the bytes. */
inline bool takeMessage(std::string &bytes, std::string &firstLine, std::map<std::string, std::string> &fields, std::string &body)
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    fields.clear();
    std::stringstream head(bytes.substr(0, end));
    std::getline(head, firstLine);
    std::string line;
    while (std::getline(head, line)) {
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &letter : name) {
            letter = static_cast<char>(tolower(letter));
        }
        const auto first = line.find_first_not_of(" \t", colon + 1);
        const auto last = line.find_last_not_of(" \t\r");
        fields[name] = first == std::string::npos || last < first ? "" : line.substr(first, last - first + 1);
    }
    const auto length = fields.find("content-length");
    const std::size_t size = length == fields.end() ? 0 : std::stoul(length->second);
    if (bytes.size() < end + 4 + size) {
        return false;
    }
    body = bytes.substr(end + 4, size);
    bytes.erase(0, end + 4 + size);
    return true;
}

/** A server with keep-alive connections that each carry one request at a time. */
class Server
{
public:
    struct Answer
    {
        /** Written when the delay is over. */
        std::string bytes;
        Clock::duration delay{};
        /** Asked again after this time instead, if set. */
        std::function<std::optional<std::string>()> poll;
    };
    /** @param connection number of the connection. */
    using Handler = std::function<Answer(const Request &request, int connection)>;

    Server(const std::string &ip, Handler handler, int port = 0)
        : handler_(std::move(handler))
    {
        std::tie(listener_, port_) = listenOn(ip, port);
        address_ = ip + ':' + std::to_string(port_);
        thread_ = std::thread([this] { run(); });
    }

    ~Server()
    {
        stop_ = true;
        thread_.join();
        close(listener_);
        for (auto &connection : connections_) {
            close(connection.descriptor);
        }
    }

    const std::string &address() const
    {
        return address_;
    }

private:
    struct Connection
    {
        int descriptor = -1;
        int number = 0;
        std::string input;
        std::string output;
        std::optional<Answer> pending;
        Clock::time_point due;
        bool isClosed = false;
    };

    void run()
    {
        while (!stop_) {
            std::vector<pollfd> polled{{listener_, POLLIN, 0}};
            for (const auto &connection : connections_) {
                polled.push_back({connection.descriptor, static_cast<short>(POLLIN | (connection.output.empty() ? 0 : POLLOUT)), 0});
            }
            ::poll(polled.data(), polled.size(), 5);
            std::size_t index = 1;
            for (auto &connection : connections_) {
                handle(connection, polled[index++].revents);
            }
            for (auto it = connections_.begin(); it != connections_.end();) {
                const auto current = it++;
                if (current->isClosed) {
                    close(current->descriptor);
                    connections_.erase(current);
                }
            }
            if ((polled[0].revents & POLLIN) != 0) {
                acceptOne();
            }
        }
    }

    void acceptOne()
    {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            Connection connection;
            connection.descriptor = descriptor;
            connection.number = ++lastNumber_;
            connections_.push_back(std::move(connection));
        }
    }

    void handle(Connection &connection, short events)
    {
        if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
            char buffer[65536];
            const ssize_t size = recv(connection.descriptor, buffer, sizeof buffer, 0);
            if (size == 0 || (size < 0 && errno != EAGAIN)) {
                connection.isClosed = true;
                return;
            }
            if (size > 0) {
                connection.input.append(buffer, static_cast<std::size_t>(size));
            }
        }
        if (!connection.pending) {
            startNext(connection);
        }
        if (connection.pending && Clock::now() >= connection.due) {
            finishPending(connection);
        }
        if (!connection.output.empty()) {
            const ssize_t size = send(connection.descriptor, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
            if (size > 0) {
                connection.output.erase(0, static_cast<std::size_t>(size));
            }
        }
    }

    void startNext(Connection &connection)
    {
        Request request;
        std::string line;
        if (!takeMessage(connection.input, line, request.fields, request.body)) {
            return;
        }
        std::stringstream words(line);
        words >> request.method >> request.target;
        connection.pending = handler_(request, connection.number);
        connection.due = Clock::now() + connection.pending->delay;
    }

    static void finishPending(Connection &connection)
    {
        if (connection.pending->poll) {
            const auto bytes = connection.pending->poll();
            if (!bytes) {
                return;
            }
            connection.output += *bytes;
        } else {
            connection.output += connection.pending->bytes;
        }
        connection.pending.reset();
    }

    Handler handler_;
    int listener_ = -1;
    int port_ = 0;
    std::string address_;
    std::list<Connection> connections_;
    int lastNumber_ = 0;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

inline std::string base64(const std::string &text)
{
    static const char *Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= text.size() ? Letters[bits >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return result;
}

/** The platform: its store of rows (PROTOCOL.md) and the call that takes usage reports. */
class Platform
{
public:
    Platform()
        : server_("127.0.0.1", [this](const Request &request, int) { return answer(request); })
    {
    }

    const std::string &address() const
    {
        return server_.address();
    }

    /** What the operator or a server writes. */
    void putRow(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {base64(value.dump()), ++version_, false};
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    static std::string response(int status, const Json &body)
    {
        const std::string text = body.dump();
        return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    Server::Answer answer(const Request &request)
    {
        constexpr std::chrono::milliseconds StoreTime{4};
        Server::Answer result;
        result.delay = StoreTime;
        if (request.path() == "/chestnutcove/rows-get") {
            const std::lock_guard lock(mutex_);
            result.bytes = response(200, rowsFrom(request.parameter("table"), request.parameter("from"), request.parameter("target"), 0));
        } else if (request.path() == "/chestnutcove/rows-feed") {
            const auto end = Clock::now() + std::chrono::milliseconds(std::stol("0" + request.parameter("wait_ms")));
            result.poll = [this, end, table = request.parameter("table"), after = std::stoull("0" + request.parameter("after"))] {
                return feed(table, after, end);
            };
        } else if (request.path() == "/chestnutcove/rows-tx") {
            result.bytes = commit(Json::parse(request.body));
        } else {
            result.bytes = response(200, Json::object());
        }
        return result;
    }

    Json rowsFrom(const std::string &table, const std::string &from, const std::string &to, std::uint64_t after) const
    {
        Json rows = Json::array();
        for (auto it = rows_.lower_bound({table, from}); it != rows_.end() && it->first.first == table; ++it) {
            const auto &[key, row] = *it;
            if ((!to.empty() && key.second >= to) || row.version <= after || (after == 0 && row.isDeleted)) {
                continue;
            }
            Json entry{{"table", table}, {"part", ""}, {"key", key.second}, {"value", row.value}, {"ver", row.version}};
            if (row.isDeleted) {
                entry["deleted"] = true;
            }
            rows.push_back(std::move(entry));
        }
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
        return {{"rows", std::move(rows)}, {"more_pages", false}, {"ver", version_}, {"now_ms", now}};
    }

    std::optional<std::string> feed(const std::string &table, std::uint64_t after, Clock::time_point end)
    {
        const std::lock_guard lock(mutex_);
        const Json body = rowsFrom(table, "", "", after);
        if (body["rows"].empty() && Clock::now() < end) {
            return std::nullopt;
        }
        return response(200, body);
    }

    std::string commit(const Json &body)
    {
        const std::lock_guard lock(mutex_);
        const auto keyOf = [](const Json &row) { return std::pair(row["table"].get<std::string>(), row["key"].get<std::string>()); };
        bool holds = true;
        Json current = Json::array();
        for (const auto &row : body["expected"]) {
            const auto it = rows_.find(keyOf(row));
            const bool exists = it != rows_.end() && !it->second.isDeleted;
            holds = holds && (exists ? it->second.version : 0) == row["ver"].get<std::uint64_t>();
            if (exists) {
                current.push_back(
                    {{"table", row["table"]}, {"part", ""}, {"key", row["key"]}, {"value", it->second.value}, {"ver", it->second.version}});
            }
        }
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
        if (!holds) {
            return response(412, {{"rows", current}, {"ver", version_}, {"now_ms", now}});
        }
        ++version_;
        for (const auto &row : body["puts"]) {
            rows_[keyOf(row)] = {row["value"].get<std::string>(), version_, false};
        }
        for (const auto &row : body["remove"]) {
            rows_[keyOf(row)] = {"", version_, true};
        }
        return response(200, {{"ver", version_}, {"now_ms", now}});
    }

    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::uint64_t version_ = 0;
    Server server_;
};

/** A route that needs no key unless the configuration has tenants and it isn't open. */
inline Json routeTo(const std::string &service, const std::string &kind, int timeoutMs, int maxAttempts, bool isOpen)
{
    return {{"name", service},
            {"host", "shop.example"},
            {"path_prefix", "/" + service + "/"},
            {"kind", kind},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", 150},
            {"max_attempts", maxAttempts},
            {"priority", 1},
            {"service", service},
            {"anonymous", isOpen}};
}

inline Json serviceOf(const std::string &name)
{
    return {{"name", name}, {"health_path", "/healthz"}, {"max_connections", 240}};
}

inline Json usualLimits()
{
    return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
}

inline Json serverEntry(const std::string &service, const std::string &address)
{
    return {{"service", service},
            {"address", address},
            {"zone", "vn-south-a"},
            {"version", 1},
            {"slots", 32},
            {"state", "ready"},
            {"seq", 1},
            {"born", 1790000000000},
            {"cold_remaining_ms", 0}};
}

/** One process of the deployment, started with the command of deploy/system.toml. */
class Gateway
{
public:
    static constexpr int MemoryMegabytes = 260;

    /** @param root of the repository. @param folder for the settings file. */
    Gateway(std::string root, const std::string &folder, const std::string &name, std::string ip, const Platform &platform)
        : root_(std::move(root))
        , ip_(std::move(ip))
        , settings_(folder + "/" + name + ".conf")
        , callersPort_(freePort(ip_))
        , readyPort_(freePort(ip_))
    {
        const int inner = freePort(ip_);
        std::ofstream(settings_) << "node=" << name << "\nrole=gateway\nclass=front\nserves=front\nip=" << ip_
                                 << "\nzone=vn-south-a\nregion=vn-south\nzones.vn-south-a=vn-south\nlisten.front=" << ip_ << ':'
                                 << callersPort_ << "\nlisten.ready=" << ip_ << ':' << readyPort_ << "\nport_range=" << inner << ','
                                 << inner << "\nlimits.memory_mb=" << MemoryMegabytes
                                 << "\nlimits.max_fds=4100\ndiscovery=platform\nheartbeat_ms=1200\n"
                                    "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
                                    "bounds.config_ms=2000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
                                    "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=56\n"
                                    "bounds.quota_window_s=8\nbounds.quota_overage=0.1\nbounds.quota_slack=110000\n"
                                    "bounds.fencing_required=false\nbounds.lease_ms=3000\nbounds.usage_window_s=5\n"
                                    "bounds.usage_late_s=10\nplatform.address="
                                 << platform.address() << "\ncloud.address=" << platform.address() << "\ncloud.duties=usage_report\n";
        start();
    }

    ~Gateway()
    {
        kill();
        isReadingLog_ = false;
        logReader_.join();
        close(logPipe_);
    }

    void start()
    {
        int pipeEnds[2];
        if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
            throw CannotRun{"no pipe"};
        }
        const std::string program = root_ + "/target/src/chestnutcove";
        const std::string variable = "CHESTNUTCOVE_BOOT=" + settings_;
        const std::string path = std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "/usr/bin:/bin");
        pid_ = fork();
        if (pid_ == 0) {
            dup2(pipeEnds[1], STDOUT_FILENO);
            if (chdir(root_.c_str()) != 0) {
                _exit(127);
            }
            const char *arguments[] = {program.c_str(), "gateway", "--platform", nullptr};
            const char *environment[] = {variable.c_str(), path.c_str(), nullptr};
            execve(program.c_str(), const_cast<char **>(arguments), const_cast<char **>(environment));
            _exit(127);
        }
        close(pipeEnds[1]);
        if (logReader_.joinable()) {
            logReader_.join();
            close(logPipe_);
        }
        logPipe_ = pipeEnds[0];
        logReader_ = std::thread([this, descriptor = logPipe_] { readLog(descriptor); });
    }

    void kill()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    bool isRunning()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }

    /** Memory of its own (without files and libraries). */
    std::size_t ownMemoryMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("RssAnon:", 0) == 0) {
                return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
            }
        }
        return 0;
    }

    const std::string &ip() const
    {
        return ip_;
    }

    int callersPort() const
    {
        return callersPort_;
    }

    int readyPort() const
    {
        return readyPort_;
    }

private:
    /** Drops what the process writes, so that it never waits for a reader. */
    void readLog(int descriptor)
    {
        std::vector<char> buffer(65536);
        while (isReadingLog_) {
            pollfd state{descriptor, POLLIN, 0};
            if (::poll(&state, 1, 50) == 1 && read(descriptor, buffer.data(), buffer.size()) <= 0) {
                return;
            }
        }
    }

    std::string root_;
    std::string ip_;
    std::string settings_;
    int callersPort_;
    int readyPort_;
    pid_t pid_ = -1;
    int logPipe_ = -1;
    std::atomic<bool> isReadingLog_ = true;
    std::thread logReader_;
};

/** A connection of a client. */
class Client
{
public:
    struct Answer
    {
        /** 0: the connection ended without an answer; -1: no answer in time. */
        int status = 0;
        std::map<std::string, std::string> fields;
        std::string body;
    };

    Client(const std::string &ip, int port)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = addressOf(ip, port);
        isOpen_ = connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Client()
    {
        close(descriptor_);
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    bool isOpen() const
    {
        return isOpen_;
    }

    bool send(const std::string &bytes, std::chrono::milliseconds timeout = std::chrono::milliseconds(3000))
    {
        setTimeout(SO_SNDTIMEO, timeout);
        std::size_t sent = 0;
        while (isOpen_ && sent < bytes.size()) {
            const ssize_t size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            isOpen_ = size > 0;
            sent += isOpen_ ? static_cast<std::size_t>(size) : 0;
        }
        return isOpen_;
    }

    Answer receive(std::chrono::milliseconds timeout)
    {
        Answer answer;
        const auto end = Clock::now() + timeout;
        std::string line;
        while (isOpen_) {
            if (takeMessage(input_, line, answer.fields, answer.body)) {
                answer.status = std::atoi(line.c_str() + std::min<std::size_t>(line.size(), 9));
                isOpen_ = answer.fields["connection"] != "close";
                return answer;
            }
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
            if (left.count() <= 0) {
                answer.status = -1;
                return answer;
            }
            setTimeout(SO_RCVTIMEO, left);
            char buffer[65536];
            const ssize_t size = recv(descriptor_, buffer, sizeof buffer, 0);
            if (size > 0) {
                input_.append(buffer, static_cast<std::size_t>(size));
            } else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
                isOpen_ = false;
            }
        }
        return answer;
    }

private:
    void setTimeout(int option, std::chrono::milliseconds time) const
    {
        const timeval value{time.count() / 1000, time.count() % 1000 * 1000};
        setsockopt(descriptor_, SOL_SOCKET, option, &value, sizeof value);
    }

    int descriptor_;
    bool isOpen_ = false;
    std::string input_;
};

/** An address of this machine's loopback range that no other run of a script uses, since the port for metrics is fixed. */
inline std::string loopbackAddress(int machine)
{
    const int process = getpid();
    return "127." + std::to_string(60 + machine) + '.' + std::to_string(process / 250 % 250) + '.' + std::to_string(process % 250 + 1);
}

/** Waits until the gateway says that it is ready. */
inline void waitUntilReady(const Gateway &gateway)
{
    const auto end = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < end) {
        Client client(gateway.ip(), gateway.readyPort());
        client.send("GET /chestnutcove/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        if (client.receive(std::chrono::milliseconds(1000)).status == 200) {
            // The entries of the servers are read at about the same time as the configuration.
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    throw CannotRun{"the gateway did not become ready"};
}

/** What a case needs to run. */
struct Surroundings
{
    std::string root;
    std::string temporary;
    bool hasTrouble = true;
    Record &record;
};

}
