/**
 * Log lines, metrics and accounting of one forwarded request and of its calls.
 */
#pragma once

#include "admittedrequest.h"
#include "callerserver.h"
#include "forwardingcontext.h"
#include "outgoingcall.h"
#include "placement.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chestnutcove {

/** What became of the second call of a request. */
enum class HedgeResult {
    None,
    /** The request was slow enough, but must not be hedged; the metrics say why. */
    Denied,
    /** The first call was answered first, or the request ended otherwise. */
    Lost,
    Failed,
    Won,
};

inline constexpr NameTable<HedgeResult, 5> HedgeResultNames{{
    {HedgeResult::None, "none"},
    {HedgeResult::Denied, "denied"},
    {HedgeResult::Lost, "lost"},
    {HedgeResult::Failed, "failed"},
    {HedgeResult::Won, "won"},
}};

class RequestLog
{
public:
    /** The arguments outlive the log. */
    RequestLog(ForwardingContext &context, const CallerExchange &exchange, const AdmittedRequest &request);

    /** Reports the work that the request gives to engines. Only the first placement counts. */
    void onPlaced(const Placement &placement, std::uint64_t promptTokens);
    void onCallStarted(const OutgoingCall &call);
    /** A call is written to its endpoint. */
    void onCallSent();
    /** The head of the call's answer has arrived: the endpoint's state that it reports is passed on. */
    void onHead(const OutgoingCall &call);
    /** Reports the time for which the call occupied an engine. */
    void onCallEnded(const OutgoingCall &call);
    /** Logs a call without the expected answer. */
    void logFailure(const OutgoingCall &call, AttemptOutcome outcome) const;
    void onPrefilled(const OutgoingCall &call);
    /** Records the answer for the log, and tells the crash reporter how the run of the prompt ended. */
    void onRunEnded(const OutgoingCall &call, AttemptOutcome outcome);
    void setHedge(HedgeResult result);
    /** @param placement the latest one. */
    void onFinished(std::string_view outcome, int status, unsigned attempts, unsigned prefills, const Placement &placement);

private:
    void reportRunEnd(const OutgoingCall &call, AttemptOutcome outcome);
    /** Milliseconds from the reading of the request to its latest call, for the log. */
    std::string sentAfterText() const;

    ForwardingContext &context_;
    const CallerExchange &exchange_;
    const AdmittedRequest &request_;
    HedgeResult hedge_ = HedgeResult::None;
    bool isWorkRecorded_ = false;
    bool hasRunBegun_ = false;
    /** When the latest call was written to an endpoint; a default TimePoint before the first one. */
    TimePoint lastSentAt_{};
    std::string lastEndpointId_;
    /** Of the last answer that an endpoint gave, for the log: how it was framed, and how many bytes were left when it ended. */
    BodyFraming answerFraming_ = BodyFraming::Length;
    std::size_t unforwardedBytes_ = 0;
};

/** The call ended before an answer was complete. */
bool isBrokenOff(AttemptOutcome outcome);

}
