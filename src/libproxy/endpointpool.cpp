#include "endpointpool.h"

#include "suspendclock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

absl::Status connectError(const std::error_code &error)
{
    if (error == asio::error::connection_refused) {
        return absl::UnavailableError("the endpoint refuses connections");
    }
    return absl::DeadlineExceededError("no connection to the endpoint: " + error.message());
}

}

/** State that the connections' handlers share with the pool, so that it outlives the pool while such a handler exists. */
struct EndpointPool::SharedState
{
    std::map<std::string, RunConnections> connectionsByRun;

    void onConnectionClosed(const std::string &key, const EndpointConnection *connection)
    {
        const auto it = connectionsByRun.find(key);
        if (it == connectionsByRun.end()) {
            return;
        }
        std::erase_if(it->second.idle, [connection](const auto &idle) { return idle.get() == connection; });
        if (--it->second.open == 0) {
            connectionsByRun.erase(it);
        }
    }
};

EndpointPool::EndpointPool(asio::io_context &context, EndpointPoolOptions options)
    : context_(context)
    , options_(options)
    , shared_(std::make_shared<SharedState>())
{
}

EndpointPool::~EndpointPool()
{
    const auto connectionsByRun = std::exchange(shared_->connectionsByRun, {});
    for (const auto &[key, run] : connectionsByRun) {
        for (const auto &connection : run.idle) {
            connection->close();
        }
    }
}

std::string EndpointPool::runKey(const EndpointRecord &endpoint)
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
    const std::string key = runKey(endpoint);
    RunConnections &run = shared_->connectionsByRun[key];
    const TimePoint now = suspendAwareNow();
    while (!run.idle.empty()) {
        const auto connection = run.idle.back();
        run.idle.pop_back();
        if (isUsable(*connection, now)) {
            onConnection(connection);
            return;
        }
        connection->close();
        --run.open;
    }
    if (limit > 0 && run.open >= limit) {
        onConnection(absl::ResourceExhaustedError("all connections to the endpoint are in use"));
        return;
    }
    ++run.open;
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
        [attempt, key = runKey(endpoint), shared = shared_, ackTimeout = options_.ackTimeout, onConnection = std::move(onConnection)](
            const std::error_code &error) {
            attempt->timer.cancel();
            if (error || !attempt->socket.is_open()) {
                shared->onConnectionClosed(key, nullptr);
                onConnection(connectError(error));
                return;
            }
            auto socket = std::make_shared<BufferedSocket>(std::move(attempt->socket), ackTimeout);
            auto self = std::make_shared<std::weak_ptr<EndpointConnection>>();
            auto connection = std::make_shared<EndpointConnection>(
                std::move(socket), [shared, key, self] { shared->onConnectionClosed(key, self->lock().get()); });
            *self = connection;
            connection->start();
            onConnection(connection);
        });
}

void EndpointPool::release(const EndpointRecord &endpoint, const std::shared_ptr<EndpointConnection> &connection)
{
    const std::string key = runKey(endpoint);
    const auto it = shared_->connectionsByRun.find(key);
    if (it == shared_->connectionsByRun.end()) {
        connection->close();
        return;
    }
    if (connection->isReusable()) {
        it->second.idle.push_back(connection);
        return;
    }
    connection->close();
    shared_->onConnectionClosed(key, connection.get());
}

void EndpointPool::closeIdleConnections(const EndpointRecord &endpoint)
{
    const auto it = shared_->connectionsByRun.find(runKey(endpoint));
    if (it == shared_->connectionsByRun.end()) {
        return;
    }
    const auto idle = std::exchange(it->second.idle, {});
    it->second.open -= static_cast<unsigned>(idle.size());
    for (const auto &connection : idle) {
        connection->close();
    }
    if (it->second.open == 0) {
        shared_->connectionsByRun.erase(it);
    }
}

void EndpointPool::closeExpiredConnections(TimePoint now)
{
    for (auto it = shared_->connectionsByRun.begin(); it != shared_->connectionsByRun.end();) {
        RunConnections &run = it->second;
        std::erase_if(run.idle, [this, now, &run](const auto &connection) {
            if (isUsable(*connection, now)) {
                return false;
            }
            connection->close();
            --run.open;
            return true;
        });
        it = run.open == 0 ? shared_->connectionsByRun.erase(it) : std::next(it);
    }
}

}
