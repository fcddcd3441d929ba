/**
 * The second call of a slow request that may run more than once. Its answer is kept whole; whoever started it decides what to do with it.
 */
#pragma once

#include "admittedrequest.h"
#include "bytebudget.h"
#include "callerserver.h"
#include "forwardingcontext.h"
#include "outgoingcall.h"
#include "requestdeadline.h"
#include "requestlog.h"

#include <functional>
#include <memory>

namespace Chestnutcove {

/** What the first and the second call of a request share. */
struct HedgeOrigin
{
    ForwardingContext &context;
    CallerExchange &exchange;
    const AdmittedRequest &request;
    const RequestDeadline &deadline;
    RequestLog &log;
};

class HedgeCall : public std::enable_shared_from_this<HedgeCall>
{
public:
    /** Keeps what @p origin refers to alive. */
    using EndHandler = std::function<void(OutgoingCall call, AttemptOutcome outcome)>;

    /** @param promptWork as the first call's, but with its own start. */
    HedgeCall(HedgeOrigin origin, const EndpointRecord &endpoint, PromptWork promptWork, EndHandler onEnd);

    /** @p onEnd is called once, possibly within this call, unless the call is cancelled. @param facts as sent with the first call. */
    void start(Platform::ForwardingMetadata facts);
    /** Closes the call's connection, so that the endpoint drops the work. */
    void cancel();

private:
    void onConnection(const absl::StatusOr<std::shared_ptr<EndpointConnection>> &connection, Platform::ForwardingMetadata facts);
    bool mustNotSend() const;
    void send(const std::shared_ptr<EndpointConnection> &connection, Platform::ForwardingMetadata facts);
    void onHead(const ResponseHead &head);
    void onBody(std::string_view bytes);
    void onKeptBytesExceeded();
    void breakOff();
    void finish(AttemptOutcome outcome);
    /** Ends the accounting of the call and returns its connection. */
    void settle(AttemptOutcome outcome);

    HedgeOrigin origin_;
    OutgoingCall call_;
    EndHandler onEnd_;
    ByteBudget::Share keptBytes_;
    bool isDone_ = false;
};

}
