/**
 * Keeps this gateway's requests within the limits that endpoints name in their answers. Each request for such an endpoint takes a unit of
 * its limit, which all gateways share, before it is sent; what the gateways know of limits goes with the messages by which they ask for
 * units.
 */
#pragma once

#include "endpointlimits.h"
#include "endpointrecord.h"
#include "limitadmission.h"
#include "log.h"
#include "metrics.h"
#include "outgoingcall.h"
#include "remoteclock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

class EndpointAdmission
{
public:
    using ClockReader = std::function<const RemoteClock &()>;
    /** Gets the charge for the unit, which is empty if the endpoint names no limit any more, or nothing if there is no unit. */
    using UnitHandler = std::function<void(std::optional<LimitCharge> unit)>;

    /** @param vm name of this gateway. @param incarnation of this process. @param storeClock by which gateways compare times. */
    EndpointAdmission(asio::io_context &context,
                      std::string vm,
                      std::uint64_t incarnation,
                      QuotaLinks &links,
                      ClockReader storeClock,
                      Metrics &metrics,
                      const Log &log);

    LimitAdmission &limits();

    /** The head of the call's answer has arrived. */
    void onAnswer(const OutgoingCall &call);
    void removeEndpoint(const EndpointRecord &endpoint);
    /** Another gateway has reported what it saw of the run. @param source where the report was, for the log. */
    void onReported(const std::string &run, const EndpointLimits::Observation &observation, const std::string &source);
    /** See EndpointLimits::recentLimits(). */
    std::map<std::string, EndpointLimits::Observation> recentLimits(TimePoint now) const;

    /** Those of the endpoints whose limit, if they name one, may have units. */
    std::vector<EndpointRecord> withUnits(std::vector<EndpointRecord> endpoints, TimePoint now) const;
    /** Time until there is an endpoint for each stage that may have units; zero if there are no endpoints. */
    Duration waitForUnits(const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    bool isLimited(const EndpointRecord &endpoint) const;
    /**
     * Takes a unit of the endpoint's limit. @p onDecided is called once, possibly within this call, unless the request is cancelled.
     * @return the id for cancel().
     */
    std::uint64_t takeUnit(const EndpointRecord &endpoint, UnitHandler onDecided);
    void cancel(std::uint64_t id);
    /** Gives the unit of a request back that was not sent. */
    void returnUnit(const LimitCharge &unit);

private:
    void onVerdict(const std::string &run, const QuotaVerdict &verdict, const UnitHandler &onDecided);
    /** Adds what this gateway knows of the run's limit. */
    template<typename Message>
    void describe(Message &message) const;
    template<typename Message>
    void learn(const Message &message, const std::string &sender);

    ClockReader storeClock_;
    const Log &log_;
    EndpointLimits known_;
    /** Answers of runs of endpoints that name a limit, since that changed last. */
    std::map<std::string, std::uint64_t> answers_;
    LimitAdmission limits_;
};

}
