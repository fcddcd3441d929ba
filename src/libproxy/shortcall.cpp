#include "shortcall.h"

#include <utility>

namespace Chestnutcove {

void ShortCall::send(EndpointPool &pool,
                     const EndpointRecord &endpoint,
                     const std::shared_ptr<EndpointConnection> &connection,
                     RequestHead head,
                     std::string body,
                     DoneHandler onDone)
{
    const std::shared_ptr<ShortCall> call(new ShortCall(pool, endpoint, connection, std::move(onDone)));
    call->start(std::move(head), std::move(body));
}

ShortCall::ShortCall(EndpointPool &pool, EndpointRecord endpoint, std::shared_ptr<EndpointConnection> connection, DoneHandler onDone)
    : pool_(pool)
    , endpoint_(std::move(endpoint))
    , connection_(std::move(connection))
    , onDone_(std::move(onDone))
    , timer_(connection_->executor())
{
}

void ShortCall::start(RequestHead head, std::string body)
{
    const auto self = shared_from_this();
    ConnectionCall call;
    call.head = std::move(head);
    call.body = std::move(body);
    call.onHead = [self](const ResponseHead &response, std::optional<std::uint64_t>) { self->status_ = response.status; };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](CallOutcome outcome) { self->finish(outcome == CallOutcome::Complete ? self->status_ : 0); };
    timer_.expires_after(ResponseTimeout);
    timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
        const auto pending = weak.lock();
        if (!error && pending && pending->onDone_) {
            pending->breakOff();
        }
    });
    connection_->send(std::move(call));
}

void ShortCall::onBody(std::string_view bytes)
{
    body_.append(bytes);
    if (body_.size() > MaxResponseBytes) {
        breakOff();
    }
}

void ShortCall::breakOff()
{
    connection_->cancel();
    finish(0);
}

void ShortCall::finish(int status)
{
    timer_.cancel();
    pool_.release(endpoint_, connection_);
    const DoneHandler onDone = std::exchange(onDone_, nullptr);
    onDone(status, body_);
}

}
