#include "endpointadmission.h"

#include "suspendclock.h"

#include <absl/strings/str_format.h>

namespace Chestnutcove {

namespace {

std::string limitText(const std::optional<double> &perSecond)
{
    return perSecond ? absl::StrFormat("%.3f", *perSecond) : "none";
}

}

EndpointAdmission::EndpointAdmission(Metrics &metrics, const Log &log)
    : log_(log)
{
    metrics.gauge("limited_endpoints", [this] { return static_cast<double>(answers_.size()); });
}

void EndpointAdmission::onAnswer(const OutgoingCall &call)
{
    const auto &limit = call.answer.requestsPerSecond;
    // Only an answer to work that was done proves that a limit has ended; refusals may leave it out.
    if (call.answer.wrongEndpoint || (!limit && !call.isSuccess())) {
        return;
    }
    const std::string run = EndpointLimits::runOf(call.endpoint);
    const auto before = limits_.limitOf(run);
    if (limits_.observe(run, limit, suspendAwareNow())) {
        log_.info("limit of an endpoint has changed",
                  {{"endpoint", call.endpoint.id},
                   {"before", limitText(before)},
                   {"now", limitText(limit)},
                   {"work", std::string(nameOf(CallWorkNames, call.work))},
                   {"status", std::to_string(call.head->status)},
                   {"answersSince", std::to_string(answers_[run])}});
        answers_.erase(run);
    }
    if (limit) {
        ++answers_[run];
    }
}

void EndpointAdmission::removeEndpoint(const EndpointRecord &endpoint)
{
    const std::string run = EndpointLimits::runOf(endpoint);
    limits_.remove(run);
    answers_.erase(run);
}

}
