#include "link.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace Chestnutcove {

namespace {

constexpr int HighWaterMark = 20000;
constexpr int HeartbeatIntervalMs = 500;
constexpr int HeartbeatTimeoutMs = 2000;
constexpr int ReconnectMs = 100;
constexpr int ReconnectMaxMs = 1000;
constexpr std::int64_t MaxMessageBytes = 64 << 20;
constexpr std::size_t KeyLength = 40;
constexpr std::size_t RawKeyLength = 32;
constexpr int ReadBatch = 256;
constexpr const char *ZapDomain = "chestnutcove";

void configure(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, HighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, HighWaterMark);
    socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
    socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
}

/**
 * Calls back on the io_context's thread whenever a socket has input. ZMQ_FD is edge-triggered, so input is also looked for after each
 * send.
 */
class SocketWatch : public std::enable_shared_from_this<SocketWatch>
{
public:
    SocketWatch(asio::io_context &context, zmq::socket_t &socket, std::function<void()> onReadable)
        : context_(context)
        , socket_(socket)
        , descriptor_(context, socket.get(zmq::sockopt::fd))
        , onReadable_(std::move(onReadable))
    {
    }

    void start()
    {
        wait();
        check();
    }

    void stop()
    {
        stopped_ = true;
        descriptor_.release();
    }

    /** Looks for input in a later turn of the event loop. */
    void check()
    {
        if (checkPosted_ || stopped_) {
            return;
        }
        checkPosted_ = true;
        asio::post(context_, [self = shared_from_this()] {
            self->checkPosted_ = false;
            self->drain();
        });
    }

private:
    void wait()
    {
        descriptor_.async_wait(asio::posix::descriptor_base::wait_read, [self = shared_from_this()](const std::error_code &error) {
            if (error || self->stopped_) {
                return;
            }
            self->drain();
            if (!self->stopped_) {
                self->wait();
            }
        });
    }

    void drain()
    {
        for (int i = 0; i < ReadBatch; ++i) {
            if (stopped_ || (socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
                return;
            }
            onReadable_();
        }
        check();
    }

    asio::io_context &context_;
    /** Outlives this watch until stop(). */
    zmq::socket_t &socket_;
    asio::posix::stream_descriptor descriptor_;
    std::function<void()> onReadable_;
    bool checkPosted_ = false;
    bool stopped_ = false;
};

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
    std::array<char, KeyLength + 1> publicKey{};
    std::array<char, KeyLength + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        return absl::UnimplementedError("ZeroMQ was built without CURVE");
    }
    return LinkKeys{publicKey.data(), secretKey.data()};
}

absl::Status checkLinkKey(const std::string &key)
{
    std::array<std::uint8_t, RawKeyLength> raw{};
    if (key.size() != KeyLength || zmq_z85_decode(raw.data(), key.c_str()) == nullptr) {
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
        , zap_(zmq_, zmq::socket_type::rep)
    {
        for (const std::string &key : allowedClients) {
            std::array<std::uint8_t, RawKeyLength> raw{};
            zmq_z85_decode(raw.data(), key.c_str());
            allowed_.emplace(reinterpret_cast<const char *>(raw.data()), raw.size());
        }
        zap_.set(zmq::sockopt::linger, 0);
        zap_.bind("inproc://zeromq.zap.01");
        watch_ = std::make_shared<SocketWatch>(context_, zap_, [this] { authenticate(); });
        watch_->start();
    }

    ~Impl()
    {
        watch_->stop();
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
    /** ZeroMQ RFC 27 (ZAP): the frames are version, request, domain, address, identity, mechanism, key. */
    void authenticate()
    {
        std::vector<std::string> frames;
        zmq::message_t frame;
        do {
            if (!zap_.recv(frame, zmq::recv_flags::dontwait)) {
                return;
            }
            frames.push_back(frame.to_string());
        } while (frame.more());
        constexpr std::size_t KeyFrame = 6;
        const bool known = frames.size() > KeyFrame && frames[5] == "CURVE" && allowed_.contains(frames[KeyFrame]);
        const std::array<std::string, 6> reply{"1.0", frames.size() > 1 ? frames[1] : "", known ? "200" : "400", "", "", ""};
        for (std::size_t i = 0; i < reply.size(); ++i) {
            zap_.send(zmq::buffer(reply[i]), i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }
        watch_->check();
    }

    asio::io_context &context_;
    LinkKeys keys_;
    std::set<std::string> allowed_;
    zmq::context_t zmq_;
    zmq::socket_t zap_;
    std::shared_ptr<SocketWatch> watch_;
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
    Impl(LinkContext &context, Handler handler)
        : context_(context.impl())
        , handler_(std::move(handler))
        , socket_(context_.zmq(), zmq::socket_type::router)
    {
        configure(socket_);
        socket_.set(zmq::sockopt::router_mandatory, true);
        socket_.set(zmq::sockopt::curve_server, true);
        socket_.set(zmq::sockopt::curve_secretkey, context_.keys().secretKey);
        socket_.set(zmq::sockopt::zap_domain, ZapDomain);
    }

    ~Impl()
    {
        if (watch_) {
            watch_->stop();
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
        watch_ = std::make_shared<SocketWatch>(context_.context(), socket_, [this] { receive(); });
        watch_->start();
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
        watch_->check();
        return sent;
    }

private:
    void receive()
    {
        zmq::message_t peer;
        zmq::message_t data;
        if (!socket_.recv(peer, zmq::recv_flags::dontwait) || !peer.more()) {
            return;
        }
        if (!socket_.recv(data, zmq::recv_flags::dontwait)) {
            return;
        }
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
    std::shared_ptr<SocketWatch> watch_;
    std::uint16_t port_ = 0;
};

LinkServer::LinkServer(LinkContext &context, Handler handler)
    : impl_(std::make_unique<Impl>(context, std::move(handler)))
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
    Impl(LinkContext &context, std::string address, std::string serverKey, Handler handler)
        : context_(context.impl())
        , address_(std::move(address))
        , serverKey_(std::move(serverKey))
        , handler_(std::move(handler))
    {
        open();
    }

    ~Impl()
    {
        watch_->stop();
    }

    bool send(const wire::Envelope &message)
    {
        const std::string data = message.SerializeAsString();
        const bool sent = sendFrame(*socket_, data.data(), data.size(), zmq::send_flags::none);
        watch_->check();
        return sent;
    }

    void reconnect()
    {
        watch_->stop();
        // The old socket may be the one whose input is being handled now.
        asio::post(context_.context(), [old = std::shared_ptr<zmq::socket_t>(std::move(socket_)), watch = watch_] {});
        open();
    }

private:
    void open()
    {
        socket_ = std::make_unique<zmq::socket_t>(context_.zmq(), zmq::socket_type::dealer);
        configure(*socket_);
        socket_->set(zmq::sockopt::immediate, true);
        socket_->set(zmq::sockopt::reconnect_ivl, ReconnectMs);
        socket_->set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
        socket_->set(zmq::sockopt::curve_serverkey, serverKey_);
        socket_->set(zmq::sockopt::curve_publickey, context_.keys().publicKey);
        socket_->set(zmq::sockopt::curve_secretkey, context_.keys().secretKey);
        socket_->connect("tcp://" + address_);
        watch_ = std::make_shared<SocketWatch>(context_.context(), *socket_, [this] { receive(); });
        watch_->start();
    }

    void receive()
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
    std::string address_;
    std::string serverKey_;
    Handler handler_;
    std::unique_ptr<zmq::socket_t> socket_;
    std::shared_ptr<SocketWatch> watch_;
};

LinkClient::LinkClient(LinkContext &context, std::string address, std::string serverKey, Handler handler)
    : impl_(std::make_unique<Impl>(context, std::move(address), std::move(serverKey), std::move(handler)))
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
