#include "endpointpool.h"

#include "suspendclock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

/** Outlives the pool while connections refer to it. */
struct EndpointPool::Shared
{
    std::map<std::string, Line> lines;

    void closed(const std::string &key, const EndpointConnection *connection)
    {
        const auto it = lines.find(key);
        if (it == lines.end()) {
            return;
        }
        std::erase_if(it->second.idle, [connection](const auto &idle) { return idle.get() == connection; });
        if (--it->second.open == 0) {
            lines.erase(it);
        }
    }
};

EndpointPool::EndpointPool(asio::io_context &context, EndpointPoolOptions options)
    : context_(context)
    , options_(options)
    , shared_(std::make_shared<Shared>())
{
}

EndpointPool::~EndpointPool()
{
    const auto lines = std::exchange(shared_->lines, {});
    for (const auto &[key, line] : lines) {
        for (const auto &connection : line.idle) {
            connection->close();
        }
    }
}

std::string EndpointPool::keyOf(const EndpointRecord &endpoint)
{
    return endpoint.id + '/' + std::to_string(endpoint.startedAt) + '/' + endpoint.address.text();
}

bool EndpointPool::isUsable(const EndpointConnection &connection, TimePoint now) const
{
    const auto timeout = connection.keepAliveTimeout();
    const Duration allowed = timeout ? Duration(*timeout) - options_.idleMargin : Duration(options_.idleTimeout);
    return connection.isReusable() && now - connection.idleSince() < allowed;
}

void EndpointPool::acquire(const EndpointRecord &endpoint, unsigned limit, ConnectionHandler onConnection)
{
    const std::string key = keyOf(endpoint);
    Line &line = shared_->lines[key];
    const TimePoint now = suspendAwareNow();
    while (!line.idle.empty()) {
        const auto connection = line.idle.back();
        line.idle.pop_back();
        if (isUsable(*connection, now)) {
            onConnection(connection);
            return;
        }
        connection->close();
        --line.open;
    }
    if (limit > 0 && line.open >= limit) {
        onConnection(absl::ResourceExhaustedError("all connections to the endpoint are in use"));
        return;
    }
    ++line.open;
    connect(endpoint, std::move(onConnection));
}

void EndpointPool::connect(const EndpointRecord &endpoint, ConnectionHandler onConnection)
{
    struct Attempt
    {
        Attempt(asio::io_context &context)
            : socket(context)
            , timer(context)
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
    };
    ++connectionsOpened_;
    auto attempt = std::make_shared<Attempt>(context_);
    std::error_code addressError;
    const auto ip = asio::ip::make_address_v4(endpoint.address.ip, addressError);
    attempt->timer.expires_after(options_.connectTimeout);
    attempt->timer.async_wait([attempt](const std::error_code &error) {
        if (!error) {
            std::error_code ignored;
            attempt->socket.close(ignored);
        }
    });
    attempt->socket.async_connect(
        asio::ip::tcp::endpoint(ip, endpoint.address.port),
        [attempt, key = keyOf(endpoint), shared = shared_, ackTimeout = options_.ackTimeout, onConnection = std::move(onConnection)](
            const std::error_code &error) {
            attempt->timer.cancel();
            if (error || !attempt->socket.is_open()) {
                shared->closed(key, nullptr);
                onConnection(absl::UnavailableError("no connection to the endpoint: " + error.message()));
                return;
            }
            auto socket = std::make_shared<BufferedSocket>(std::move(attempt->socket), ackTimeout);
            auto self = std::make_shared<std::weak_ptr<EndpointConnection>>();
            auto connection
                = std::make_shared<EndpointConnection>(std::move(socket), [shared, key, self] { shared->closed(key, self->lock().get()); });
            *self = connection;
            connection->start();
            onConnection(connection);
        });
}

void EndpointPool::release(const EndpointRecord &endpoint, const std::shared_ptr<EndpointConnection> &connection)
{
    const std::string key = keyOf(endpoint);
    const auto it = shared_->lines.find(key);
    if (it == shared_->lines.end()) {
        connection->close();
        return;
    }
    if (connection->isReusable()) {
        it->second.idle.push_back(connection);
        return;
    }
    connection->close();
    shared_->closed(key, connection.get());
}

void EndpointPool::drop(const EndpointRecord &endpoint)
{
    const auto it = shared_->lines.find(keyOf(endpoint));
    if (it == shared_->lines.end()) {
        return;
    }
    const auto idle = std::exchange(it->second.idle, {});
    it->second.open -= static_cast<unsigned>(idle.size());
    for (const auto &connection : idle) {
        connection->close();
    }
    if (it->second.open == 0) {
        shared_->lines.erase(it);
    }
}

void EndpointPool::sweep(TimePoint now)
{
    for (auto it = shared_->lines.begin(); it != shared_->lines.end();) {
        Line &line = it->second;
        std::erase_if(line.idle, [this, now, &line](const auto &connection) {
            if (isUsable(*connection, now)) {
                return false;
            }
            connection->close();
            --line.open;
            return true;
        });
        it = line.open == 0 ? shared_->lines.erase(it) : std::next(it);
    }
}

}
