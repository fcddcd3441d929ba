/**
 * Links between the system's processes: protobuf envelopes over ZeroMQ, authenticated and encrypted by CURVE. All sockets live on the
 * thread that runs the given io_context.
 */
#pragma once

#include "wire.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Z85 texts of 40 characters, as printed by "chestnutcove keypair". */
struct LinkKeys
{
    std::string publicKey;
    std::string secretKey;
};

absl::StatusOr<LinkKeys> generateLinkKeys();
/** Fails where the text is not the Z85 form of a key. */
absl::Status checkLinkKey(const std::string &key);

/** The process's ZeroMQ context with its authentication handler. Exactly one per io_context; it must outlive all links. */
class LinkContext
{
public:
    /** @param allowedClients public keys of the processes that may connect to our servers. */
    LinkContext(asio::io_context &context, LinkKeys keys, std::vector<std::string> allowedClients);
    ~LinkContext();
    LinkContext(const LinkContext &) = delete;
    LinkContext &operator=(const LinkContext &) = delete;

    class Impl;
    Impl &impl() const;

private:
    std::unique_ptr<Impl> impl_;
};

/** The accepting end. A peer is named by the identity that ZeroMQ gave its connection. */
class LinkServer
{
public:
    using PeerId = std::string;
    using Handler = std::function<void(const PeerId &, wire::Envelope)>;

    LinkServer(LinkContext &context, Handler handler);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /** Binds "tcp://address:port"; port 0 takes a free one. */
    absl::Status bind(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    /** False when the peer is gone or its queue is full; the message is then dropped. */
    bool send(const PeerId &peer, const wire::Envelope &message);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/** The connecting end. Its connection is replaced by reconnect(), never reused after it went silent. */
class LinkClient
{
public:
    using Handler = std::function<void(wire::Envelope)>;

    /** @param address "host:port". @param serverKey the public key that the server must prove. */
    LinkClient(LinkContext &context, std::string address, std::string serverKey, Handler handler);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /** False when there is no connection or its queue is full; the message was then not sent. */
    bool send(const wire::Envelope &message);
    /** Drops the connection and opens a new one. Messages under way are lost. */
    void reconnect();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
