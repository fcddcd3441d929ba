#include "speedobserver.h"

#include "suspendclock.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace Chestnutcove {

namespace {

double least(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::min_element(values.begin(), values.end());
}

double greatest(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}

SpeedObserver::SpeedObserver(EndpointSpeeds &speeds, const EndpointLoads &loads, ColdCheck isCold, Metrics &metrics)
    : speeds_(speeds)
    , loads_(loads)
    , isCold_(std::move(isCold))
{
    // Three figures in place of one for each endpoint, so that the number of metrics doesn't rise with the endpoints that ever were.
    metrics.gauge("endpoint_prefill_tokens_per_ms{figure=\"least\"}", [this] { return least(speeds_.prefillRates(suspendAwareNow())); });
    metrics.gauge("endpoint_prefill_tokens_per_ms{figure=\"mean\"}", [this] { return mean(speeds_.prefillRates(suspendAwareNow())); });
    metrics.gauge("endpoint_prefill_tokens_per_ms{figure=\"greatest\"}",
                  [this] { return greatest(speeds_.prefillRates(suspendAwareNow())); });
    metrics.gauge("endpoints_with_learned_prefill_rate",
                  [this] { return static_cast<double>(speeds_.prefillRates(suspendAwareNow()).size()); });
    metrics.gauge("endpoint_slowdown_mean", [this] { return loads_.meanReportedSlowdown(); });
}

void SpeedObserver::onPrefilled(const OutgoingCall &call, TimePoint now)
{
    if (isCold_(call.endpoint, now)) {
        return;
    }
    PrefillSample sample;
    sample.tokens = call.promptWork.tokens;
    sample.duration = now - call.startedAt;
    sample.wasAlone = loads_.wasAlone(call.endpoint.id, call.promptWork.startedAt);
    sample.reported = call.answer.load;
    speeds_.onPrefilled(call.endpoint, sample, now);
}

void SpeedObserver::onRunAnswered(const OutgoingCall &call, const std::string &route, std::uint64_t maxOutputTokens, TimePoint now)
{
    if (isCold_(call.endpoint, now)) {
        return;
    }
    // Answers of one order of magnitude take similar times.
    const std::string requestClass = call.endpoint.service + '/' + route + '/' + std::to_string(std::bit_width(maxOutputTokens));
    speeds_.serviceTimes().onAnswered(call.endpoint, requestClass, now - call.startedAt, call.answer.load, now);
}

}
