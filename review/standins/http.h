/**
 * Blocking HTTP/1.1 over loopback sockets, as simple as the cases need it: a connection that reads heads and bodies, and a server with one
 * thread for each connection.
 */
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fieldOf(const Fields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.c_str(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return "";
}

struct Message
{
    /** Of a request: method and target. */
    std::string method;
    std::string target;
    /** Of an answer. */
    int status = 0;
    Fields fields;
    std::string body;
    /** The body ended with the message and not with the connection. */
    bool isFramed = false;

    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
};

/** How reading a message ended. */
enum class ReadResult {
    Complete,
    /** The connection ended before the first byte of a message. */
    ClosedBefore,
    /** The connection ended inside a message. */
    Truncated,
    TimedOut,
};

class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        ::close(descriptor_);
    }

    /** @return null if the connection can't be made. */
    static std::unique_ptr<Connection> open(const std::string &ip, std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Reads a request, or an answer to a request other than HEAD. */
    ReadResult read(Message &message, Clock::time_point deadline = Clock::time_point::max())
    {
        message = {};
        std::size_t end = 0;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            const ReadResult result = fill(deadline);
            if (result != ReadResult::Complete) {
                return result == ReadResult::TimedOut ? result : input_.empty() ? ReadResult::ClosedBefore : ReadResult::Truncated;
            }
        }
        parseHead(input_.substr(0, end), message);
        input_.erase(0, end + 4);
        return readBody(message, deadline);
    }

    /** Whether the peer has closed or reset the connection. */
    bool isClosed() const
    {
        pollfd state{descriptor_, POLLIN, 0};
        char byte = 0;
        return poll(&state, 1, 0) == 1 && recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    void shutdown() const
    {
        ::shutdown(descriptor_, SHUT_RDWR);
    }

private:
    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t lineEnd = std::min(head.find("\r\n"), head.size());
        const std::string first = head.substr(0, lineEnd);
        const auto space = first.find(' ');
        const auto second = first.find(' ', space + 1);
        if (first.starts_with("HTTP/")) {
            message.status = std::atoi(first.c_str() + space + 1);
        } else {
            message.method = first.substr(0, space);
            message.target = first.substr(space + 1, second - space - 1);
        }
        while (lineEnd < head.size()) {
            const std::size_t start = lineEnd + 2;
            lineEnd = std::min(head.find("\r\n", start), head.size());
            const std::string line = head.substr(start, lineEnd - start);
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            const auto value = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }

    ReadResult readBody(Message &message, Clock::time_point deadline)
    {
        const bool isAnswer = message.status != 0;
        message.isFramed = true;
        if (fieldOf(message.fields, "Transfer-Encoding") == "chunked") {
            return readChunks(message, deadline);
        }
        const std::string length = fieldOf(message.fields, "Content-Length");
        if (!length.empty()) {
            return take(std::stoull(length), message.body, deadline);
        }
        if (!isAnswer || message.status == 204 || message.status == 304) {
            return ReadResult::Complete;
        }
        message.isFramed = false;
        ReadResult result = ReadResult::Complete;
        while ((result = fill(deadline)) == ReadResult::Complete) { }
        message.body = std::exchange(input_, "");
        return result == ReadResult::ClosedBefore ? ReadResult::Complete : result;
    }

    ReadResult readChunks(Message &message, Clock::time_point deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = input_.find("\r\n")) == std::string::npos) {
                const ReadResult result = fill(deadline);
                if (result != ReadResult::Complete) {
                    return result == ReadResult::TimedOut ? result : ReadResult::Truncated;
                }
            }
            const std::size_t size = std::stoull(input_.substr(0, end), nullptr, 16);
            input_.erase(0, end + 2);
            std::string chunk;
            const ReadResult result = take(size + 2, chunk, deadline);
            message.body.append(chunk, 0, std::min(size, chunk.size()));
            if (result != ReadResult::Complete || size == 0) {
                return result;
            }
        }
    }

    ReadResult take(std::size_t size, std::string &target, Clock::time_point deadline)
    {
        while (input_.size() < size) {
            const ReadResult result = fill(deadline);
            if (result != ReadResult::Complete) {
                return result == ReadResult::TimedOut ? result : ReadResult::Truncated;
            }
        }
        target = input_.substr(0, size);
        input_.erase(0, size);
        return ReadResult::Complete;
    }

    /** Reads what has arrived. ClosedBefore: the peer closed in an orderly way; Truncated: the connection was reset. */
    ReadResult fill(Clock::time_point deadline)
    {
        while (true) {
            int wait = -1;
            if (deadline != Clock::time_point::max()) {
                wait = static_cast<int>(std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(deadline - Clock::now()).count()));
            }
            pollfd state{descriptor_, POLLIN, 0};
            const int ready = poll(&state, 1, wait);
            if (ready == 0) {
                return ReadResult::TimedOut;
            }
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            char buffer[65536];
            const ssize_t size = recv(descriptor_, buffer, sizeof buffer, 0);
            if (size <= 0) {
                return size == 0 ? ReadResult::ClosedBefore : ReadResult::Truncated;
            }
            input_.append(buffer, static_cast<std::size_t>(size));
            return ReadResult::Complete;
        }
    }

    int descriptor_;
    std::string input_;
};

inline std::string serialise(const std::string &startLine, const Fields &fields, const std::string &body, bool statesLength = true)
{
    std::string text = startLine + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (statesLength) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/** Serves each connection on a thread of its own until the process ends. */
class Server
{
public:
    /** @return false to close the connection. */
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    explicit Server(Handler handler, const std::string &ip = "127.0.0.1")
        : handler_(std::move(handler))
        , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t size = sizeof address;
        const bool isListening = bind(listener_, reinterpret_cast<sockaddr *>(&address), size) == 0 && listen(listener_, 512) == 0
            && getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isListening) {
            throw std::runtime_error("can't listen on " + ip);
        }
        port_ = ntohs(address.sin_port);
        std::thread([this] { acceptConnections(); }).detach();
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    void acceptConnections()
    {
        while (true) {
            const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            std::thread([this, connection = std::make_shared<Connection>(descriptor)] {
                Message request;
                while (connection->read(request) == ReadResult::Complete && handler_(*connection, request)) { }
            }).detach();
        }
    }

    Handler handler_;
    int listener_;
    std::uint16_t port_ = 0;
};

}
