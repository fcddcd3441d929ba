/**
 * Message links between the processes of the system: protobuf envelopes over ZeroMQ sockets, authenticated and encrypted with CURVE. All
 * sockets are used only by the thread that runs the io_context of their LinkContext.
 */
#pragma once

#include "wire.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

/** A CURVE key pair in Z85 encoding, 40 characters each, as "chestnutcove keypair" prints it. */
struct LinkKeys
{
    std::string publicKey;
    std::string secretKey;
};

/** @return Unimplemented when ZeroMQ was built without CURVE. */
absl::StatusOr<LinkKeys> generateLinkKeys();
/** @return InvalidArgument unless @p key is the Z85 encoding of a CURVE key. */
absl::Status checkLinkKey(const std::string &key);

/** How links notice that a peer is gone, and what they do with messages while there is no connection. */
struct LinkOptions
{
    /** Time between two heartbeats of a connection; zero for none. */
    std::chrono::milliseconds heartbeatInterval{500};
    std::chrono::milliseconds heartbeatTimeout{2000};
    int maxQueuedMessages = 20000;
    /** A client's messages wait for the connection; otherwise they are rejected while there is none. */
    bool queuesUntilConnected = false;
};

/** The ZeroMQ context of the process with its ZAP authentication handler. There is exactly one per io_context, and it must outlive all
 * links created with it. */
class LinkContext
{
public:
    /** @param allowedClients public keys of the processes that may connect to the servers of this context. */
    LinkContext(asio::io_context &context, LinkKeys keys, std::vector<std::string> allowedClients);
    ~LinkContext();
    LinkContext(const LinkContext &) = delete;
    LinkContext &operator=(const LinkContext &) = delete;

    class Impl;
    Impl &impl() const;

private:
    std::unique_ptr<Impl> impl_;
};

/** The accepting side of a link. A peer is identified by the routing id that ZeroMQ assigned to its connection. */
class LinkServer
{
public:
    using PeerId = std::string;
    using Handler = std::function<void(const PeerId &, wire::Envelope)>;

    LinkServer(LinkContext &context, Handler handler, LinkOptions options = {});
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /** Binds "tcp://address:port"; port 0 selects a free port, which port() returns. */
    absl::Status bind(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    /** @return false when the peer has disconnected or its send queue is full; the message is then dropped. */
    bool send(const PeerId &peer, const wire::Envelope &message);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/** The connecting side of a link. A connection that became unresponsive is not used again: reconnect() replaces it by a new one. */
class LinkClient
{
public:
    using Handler = std::function<void(wire::Envelope)>;

    /** @param address "host:port". @param serverKey the public key whose secret key the server must hold. */
    LinkClient(LinkContext &context, std::string address, std::string serverKey, Handler handler, LinkOptions options = {});
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /** @return false when there is no connection or its send queue is full; the message is then not sent. */
    bool send(const wire::Envelope &message);
    /** Closes the connection and opens a new one. Messages in flight are lost. A link that could get no socket tries again. */
    void reconnect();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
