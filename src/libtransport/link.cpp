#include "link.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <set>

namespace Chestnutcove {

namespace {

constexpr int ReconnectDelayMs = 100;
constexpr int MaxReconnectDelayMs = 1000;
constexpr std::int64_t MaxMessageBytes = 64 << 20;
constexpr std::size_t EncodedKeyLength = 40;
constexpr std::size_t RawKeyLength = 32;
constexpr int MaxMessagesPerTurn = 256;
constexpr const char *ZapDomain = "chestnutcove";

/** Sets the socket options that servers and clients share. */
void setCommonOptions(zmq::socket_t &socket, const LinkOptions &options)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, options.maxQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, options.maxQueuedMessages);
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(options.heartbeatInterval.count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(options.heartbeatTimeout.count()));
    socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
}

/**
 * Calls a handler on the thread of the io_context whenever a socket has input. The ZMQ_FD descriptor is edge-triggered and a send can
 * consume its signal, so the owner also calls scheduleRead() after each send.
 */
class SocketWatcher : public std::enable_shared_from_this<SocketWatcher>
{
public:
    SocketWatcher(asio::io_context &context, zmq::socket_t &socket, std::function<void()> onReadable)
        : context_(context)
        , socket_(socket)
        , descriptor_(context, socket.get(zmq::sockopt::fd))
        , onReadable_(std::move(onReadable))
    {
    }

    void start()
    {
        waitForInput();
        scheduleRead();
    }

    void stop()
    {
        stopped_ = true;
        descriptor_.release();
    }

    /** Posts a check for input to the event loop. */
    void scheduleRead()
    {
        if (readScheduled_ || stopped_) {
            return;
        }
        readScheduled_ = true;
        asio::post(context_, [self = shared_from_this()] {
            self->readScheduled_ = false;
            self->readAvailable();
        });
    }

private:
    void waitForInput()
    {
        descriptor_.async_wait(asio::posix::descriptor_base::wait_read, [self = shared_from_this()](const std::error_code &error) {
            if (error || self->stopped_) {
                return;
            }
            self->readAvailable();
            if (!self->stopped_) {
                self->waitForInput();
            }
        });
    }

    void readAvailable()
    {
        for (int i = 0; i < MaxMessagesPerTurn; ++i) {
            if (stopped_ || (socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
                return;
            }
            onReadable_();
        }
        scheduleRead();
    }

    asio::io_context &context_;
    /** Must stay valid until stop() is called. */
    zmq::socket_t &socket_;
    asio::posix::stream_descriptor descriptor_;
    std::function<void()> onReadable_;
    bool readScheduled_ = false;
    bool stopped_ = false;
};

/** @return false when the frame was not queued, because the queue is full or the peer can't be reached. */
bool sendFrame(zmq::socket_t &socket, const void *data, std::size_t size, zmq::send_flags flags)
{
    try {
        return socket.send(zmq::buffer(data, size), flags | zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t &) {
        return false;
    }
}

}

absl::StatusOr<LinkKeys> generateLinkKeys()
{
    std::array<char, EncodedKeyLength + 1> publicKey{};
    std::array<char, EncodedKeyLength + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        return absl::UnimplementedError("ZeroMQ was built without CURVE");
    }
    return LinkKeys{publicKey.data(), secretKey.data()};
}

absl::Status checkLinkKey(const std::string &key)
{
    std::array<std::uint8_t, RawKeyLength> rawKey{};
    if (key.size() != EncodedKeyLength || zmq_z85_decode(rawKey.data(), key.c_str()) == nullptr) {
        return absl::InvalidArgumentError("must be a Z85 key of 40 characters");
    }
    return absl::OkStatus();
}

class LinkContext::Impl
{
public:
    Impl(asio::io_context &context, LinkKeys keys, std::vector<std::string> allowedClients)
        : context_(context)
        , keys_(std::move(keys))
        , zapSocket_(zmq_, zmq::socket_type::rep)
    {
        for (const std::string &key : allowedClients) {
            std::array<std::uint8_t, RawKeyLength> rawKey{};
            zmq_z85_decode(rawKey.data(), key.c_str());
            allowedKeys_.emplace(reinterpret_cast<const char *>(rawKey.data()), rawKey.size());
        }
        zapSocket_.set(zmq::sockopt::linger, 0);
        zapSocket_.bind("inproc://zeromq.zap.01");
        watcher_ = std::make_shared<SocketWatcher>(context_, zapSocket_, [this] { authenticateClient(); });
        watcher_->start();
    }

    ~Impl()
    {
        watcher_->stop();
    }

    asio::io_context &context()
    {
        return context_;
    }

    zmq::context_t &zmq()
    {
        return zmq_;
    }

    const LinkKeys &keys() const
    {
        return keys_;
    }

private:
    /**
     * Answers one ZAP request (ZeroMQ RFC 27): accepts a client when its public key is in the list of allowed keys. The frames of a request
     * are version, request id, domain, address, identity, mechanism and key.
     */
    void authenticateClient()
    {
        std::vector<std::string> frames;
        zmq::message_t frame;
        do {
            if (!zapSocket_.recv(frame, zmq::recv_flags::dontwait)) {
                return;
            }
            frames.push_back(frame.to_string());
        } while (frame.more());
        constexpr std::size_t KeyFrame = 6;
        const bool isAllowed = frames.size() > KeyFrame && frames[5] == "CURVE" && allowedKeys_.contains(frames[KeyFrame]);
        const std::array<std::string, 6> reply{"1.0", frames.size() > 1 ? frames[1] : "", isAllowed ? "200" : "400", "", "", ""};
        for (std::size_t i = 0; i < reply.size(); ++i) {
            zapSocket_.send(zmq::buffer(reply[i]), i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }
        watcher_->scheduleRead();
    }

    asio::io_context &context_;
    LinkKeys keys_;
    std::set<std::string> allowedKeys_;
    zmq::context_t zmq_;
    zmq::socket_t zapSocket_;
    std::shared_ptr<SocketWatcher> watcher_;
};

LinkContext::LinkContext(asio::io_context &context, LinkKeys keys, std::vector<std::string> allowedClients)
    : impl_(std::make_unique<Impl>(context, std::move(keys), std::move(allowedClients)))
{
}

LinkContext::~LinkContext() = default;

LinkContext::Impl &LinkContext::impl() const
{
    return *impl_;
}

class LinkServer::Impl
{
public:
    Impl(LinkContext &context, Handler handler, const LinkOptions &options)
        : context_(context.impl())
        , handler_(std::move(handler))
        , socket_(context_.zmq(), zmq::socket_type::router)
    {
        setCommonOptions(socket_, options);
        socket_.set(zmq::sockopt::router_mandatory, true);
        socket_.set(zmq::sockopt::curve_server, true);
        socket_.set(zmq::sockopt::curve_secretkey, context_.keys().secretKey);
        socket_.set(zmq::sockopt::zap_domain, ZapDomain);
    }

    ~Impl()
    {
        if (watcher_) {
            watcher_->stop();
        }
    }

    absl::Status bind(const std::string &address, std::uint16_t port)
    {
        try {
            socket_.bind("tcp://" + address + ":" + (port == 0 ? "*" : std::to_string(port)));
        } catch (const zmq::error_t &error) {
            return absl::UnavailableError("cannot bind " + address + ":" + std::to_string(port) + ": " + error.what());
        }
        const std::string bound = socket_.get(zmq::sockopt::last_endpoint);
        port_ = static_cast<std::uint16_t>(std::stoi(bound.substr(bound.rfind(':') + 1)));
        watcher_ = std::make_shared<SocketWatcher>(context_.context(), socket_, [this] { receiveMessage(); });
        watcher_->start();
        return absl::OkStatus();
    }

    std::uint16_t port() const
    {
        return port_;
    }

    bool send(const PeerId &peer, const wire::Envelope &message)
    {
        const std::string data = message.SerializeAsString();
        if (!sendFrame(socket_, peer.data(), peer.size(), zmq::send_flags::sndmore)) {
            return false;
        }
        const bool sent = sendFrame(socket_, data.data(), data.size(), zmq::send_flags::none);
        watcher_->scheduleRead();
        return sent;
    }

private:
    void receiveMessage()
    {
        zmq::message_t peer;
        zmq::message_t data;
        if (!socket_.recv(peer, zmq::recv_flags::dontwait) || !peer.more()) {
            return;
        }
        if (!socket_.recv(data, zmq::recv_flags::dontwait)) {
            return;
        }
        // Only the last frame holds the envelope.
        while (data.more()) {
            if (!socket_.recv(data, zmq::recv_flags::dontwait)) {
                return;
            }
        }
        wire::Envelope message;
        if (message.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
            handler_(peer.to_string(), std::move(message));
        }
    }

    LinkContext::Impl &context_;
    Handler handler_;
    zmq::socket_t socket_;
    std::shared_ptr<SocketWatcher> watcher_;
    std::uint16_t port_ = 0;
};

LinkServer::LinkServer(LinkContext &context, Handler handler, LinkOptions options)
    : impl_(std::make_unique<Impl>(context, std::move(handler), options))
{
}

LinkServer::~LinkServer() = default;

absl::Status LinkServer::bind(const std::string &address, std::uint16_t port)
{
    return impl_->bind(address, port);
}

std::uint16_t LinkServer::port() const
{
    return impl_->port();
}

bool LinkServer::send(const PeerId &peer, const wire::Envelope &message)
{
    return impl_->send(peer, message);
}

class LinkClient::Impl
{
public:
    Impl(LinkContext &context, std::string address, std::string serverKey, Handler handler, LinkOptions options)
        : context_(context.impl())
        , endpoint_("tcp://" + address)
        , serverKey_(std::move(serverKey))
        , handler_(std::move(handler))
        , options_(options)
    {
        openSocket();
    }

    ~Impl()
    {
        if (watcher_) {
            watcher_->stop();
        }
    }

    bool send(const wire::Envelope &message)
    {
        if (!socket_) {
            return false;
        }
        const std::string data = message.SerializeAsString();
        const bool sent = sendFrame(*socket_, data.data(), data.size(), zmq::send_flags::none);
        watcher_->scheduleRead();
        return sent;
    }

    void reconnect()
    {
        if (!socket_) {
            openSocket();
            return;
        }
        // The socket is kept: a new one would need another of the context's few places until the old one is closed in the background.
        try {
            socket_->disconnect(endpoint_);
        } catch (const zmq::error_t &) {
            // There was no connection.
        }
        connectSocket();
    }

private:
    /** Leaves the link without a socket, so that it rejects messages, when the context or the process can't have another one. */
    void openSocket()
    {
        try {
            socket_.emplace(context_.zmq(), zmq::socket_type::dealer);
            setCommonOptions(*socket_, options_);
            socket_->set(zmq::sockopt::immediate, !options_.queuesUntilConnected);
            socket_->set(zmq::sockopt::reconnect_ivl, ReconnectDelayMs);
            socket_->set(zmq::sockopt::reconnect_ivl_max, MaxReconnectDelayMs);
            socket_->set(zmq::sockopt::curve_serverkey, serverKey_);
            socket_->set(zmq::sockopt::curve_publickey, context_.keys().publicKey);
            socket_->set(zmq::sockopt::curve_secretkey, context_.keys().secretKey);
            watcher_ = std::make_shared<SocketWatcher>(context_.context(), *socket_, [this] { receiveMessage(); });
        } catch (const std::exception &) {
            socket_.reset();
            return;
        }
        connectSocket();
        watcher_->start();
    }

    void connectSocket()
    {
        try {
            socket_->connect(endpoint_);
        } catch (const zmq::error_t &) {
            // An address that is none is like one where nobody listens: messages are rejected.
        }
    }

    void receiveMessage()
    {
        zmq::message_t data;
        if (!socket_->recv(data, zmq::recv_flags::dontwait)) {
            return;
        }
        wire::Envelope message;
        if (message.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
            handler_(std::move(message));
        }
    }

    LinkContext::Impl &context_;
    std::string endpoint_;
    std::string serverKey_;
    Handler handler_;
    LinkOptions options_;
    /** Empty when it could not be opened. */
    std::optional<zmq::socket_t> socket_;
    std::shared_ptr<SocketWatcher> watcher_;
};

LinkClient::LinkClient(LinkContext &context, std::string address, std::string serverKey, Handler handler, LinkOptions options)
    : impl_(std::make_unique<Impl>(context, std::move(address), std::move(serverKey), std::move(handler), options))
{
}

LinkClient::~LinkClient() = default;

bool LinkClient::send(const wire::Envelope &message)
{
    return impl_->send(message);
}

void LinkClient::reconnect()
{
    impl_->reconnect();
}

}
