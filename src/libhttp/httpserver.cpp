#include "httpserver.h"

#include <asio.hpp>

#include <restinio/all.hpp>

#include <mutex>
#include <optional>
#include <variant>

namespace Chestnutcove {

namespace {

constexpr std::size_t MaxHeaderValueBytes = 64U << 10U;
constexpr std::size_t MaxUrlBytes = 8U << 10U;
constexpr std::size_t MaxHeaderFields = 128;

/** Reports closed connections; RESTinio calls state_changed(). */
class DisconnectListener
{
public:
    explicit DisconnectListener(HttpServer::DisconnectHandler handler)
        : handler_(std::move(handler))
    {
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            handler_(notice.connection_id());
        }
    }

private:
    HttpServer::DisconnectHandler handler_;
};

struct ServerTraits : public restinio::default_traits_t
{
    using connection_state_listener_t = DisconnectListener;
    static constexpr bool use_connection_count_limiter = false; // NOLINT(readability-identifier-naming)
};

using ChunkedResponseBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t statusLine(int status)
{
    const auto code = restinio::http_status_code_t{static_cast<std::uint16_t>(status)};
    std::string reason = "Status";
    switch (status) {
    case 200:
        reason = "OK";
        break;
    case 400:
        reason = "Bad Request";
        break;
    case 401:
        reason = "Unauthorized";
        break;
    case 403:
        reason = "Forbidden";
        break;
    case 404:
        reason = "Not Found";
        break;
    case 409:
        reason = "Conflict";
        break;
    case 413:
        reason = "Payload Too Large";
        break;
    case 429:
        reason = "Too Many Requests";
        break;
    case 502:
        reason = "Bad Gateway";
        break;
    case 503:
        reason = "Service Unavailable";
        break;
    case 504:
        reason = "Gateway Timeout";
        break;
    default:
        break;
    }
    return {code, reason};
}

HttpRequest toRequest(const restinio::request_t &request)
{
    HttpRequest result;
    result.method = request.header().method().c_str();
    result.path = std::string(request.header().path());
    result.query = std::string(request.header().query());
    result.body = request.body();
    result.connection = request.connection_id();
    request.header().for_each_field(
        [&result](const restinio::http_header_field_t &field) { result.headers.emplace_back(field.name(), field.value()); });
    return result;
}

}

class HttpReply::Impl
{
public:
    explicit Impl(restinio::request_handle_t request)
        : request_(std::move(request))
    {
    }

    void respond(int status, const HttpHeaders &headers, std::string body)
    {
        const std::lock_guard lock(mutex_);
        if (!request_) {
            return;
        }
        auto response = request_->create_response(statusLine(status));
        for (const auto &[name, value] : headers) {
            response.append_header(name, value);
        }
        response.set_body(std::move(body));
        response.done();
        request_.reset();
    }

    void beginStream(int status, const HttpHeaders &headers)
    {
        const std::lock_guard lock(mutex_);
        if (!request_) {
            return;
        }
        stream_.emplace(request_->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const auto &[name, value] : headers) {
            stream_->append_header(name, value);
        }
        stream_->flush();
        request_.reset();
    }

    void append(std::string chunk)
    {
        const std::lock_guard lock(mutex_);
        if (stream_) {
            stream_->append_chunk(std::move(chunk));
            stream_->flush();
        }
    }

    void finish()
    {
        const std::lock_guard lock(mutex_);
        if (stream_) {
            stream_->done();
            stream_.reset();
        }
    }

private:
    std::mutex mutex_;
    /** Null after respond() or beginStream(). */
    restinio::request_handle_t request_;
    std::optional<ChunkedResponseBuilder> stream_;
};

HttpReply::HttpReply(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

void HttpReply::respond(int status, const HttpHeaders &headers, std::string body) const
{
    impl_->respond(status, headers, std::move(body));
}

void HttpReply::beginStream(int status, const HttpHeaders &headers) const
{
    impl_->beginStream(status, headers);
}

void HttpReply::append(std::string chunk) const
{
    impl_->append(std::move(chunk));
}

void HttpReply::finish() const
{
    impl_->finish();
}

class HttpServer::Impl
{
public:
    Impl(HttpServerOptions options, Handler handler, DisconnectHandler onDisconnect)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , onDisconnect_(std::move(onDisconnect))
    {
    }

    absl::Status start()
    {
        auto settings = restinio::server_settings_t<ServerTraits>{};
        settings.address(options_.address)
            .port(options_.port)
            .read_next_http_message_timelimit(options_.readTimeout)
            .handle_request_timeout(std::chrono::hours(1))
            .write_http_response_timelimit(std::chrono::seconds(30))
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_body_size(options_.maxBodyBytes)
                                          .max_field_value_size(MaxHeaderValueBytes)
                                          .max_url_size(MaxUrlBytes)
                                          .max_field_count(MaxHeaderFields))
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) { port_ = acceptor.local_endpoint().port(); })
            .socket_options_setter([](auto &socketOptions) { socketOptions.set_option(asio::ip::tcp::no_delay(true)); })
            .max_pipelined_requests(1)
            .connection_state_listener(std::make_shared<DisconnectListener>(onDisconnect_))
            .request_handler([handler = handler_](const restinio::request_handle_t &request) {
                handler(toRequest(*request), HttpReply(std::make_shared<HttpReply::Impl>(request)));
                return restinio::request_accepted();
            });
        try {
            server_ = restinio::run_async<ServerTraits>(restinio::own_io_context(), std::move(settings), options_.threads);
        } catch (const std::exception &error) {
            return absl::UnavailableError(std::string("cannot listen: ") + error.what());
        }
        return absl::OkStatus();
    }

    void stop()
    {
        if (!server_) {
            return;
        }
        server_->stop();
        server_->wait();
        server_.reset();
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    HttpServerOptions options_;
    Handler handler_;
    DisconnectHandler onDisconnect_;
    std::uint16_t port_ = 0;
    restinio::running_server_handle_t<ServerTraits> server_;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler, DisconnectHandler onDisconnect)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler), std::move(onDisconnect)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start()
{
    return impl_->start();
}

void HttpServer::stop()
{
    impl_->stop();
}

std::uint16_t HttpServer::port() const
{
    return impl_->port();
}

}
