/**
 * Keeps this gateway's requests within the limits that endpoints name in their answers. Each request for such an endpoint takes a unit of
 * its limit, which all gateways share, before it is sent; what the gateways know of limits goes with the messages by which they ask for
 * units. Cold endpoints are limited as well, by shares that need no messages; see ColdStarts. Both limits may apply.
 */
#pragma once

#include "coldstarts.h"
#include "endpointlimits.h"
#include "endpointrecord.h"
#include "limitadmission.h"
#include "log.h"
#include "metrics.h"
#include "outgoingcall.h"
#include "remoteclock.h"
#include "routecatalogue.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Bound on the requests that a cold endpoint receives in any second, over all gateways. */
struct ColdBounds
{
    /** Factor of the requests that the endpoint tolerates. */
    double overage = 1;
    /** Requests in addition. */
    double allowance = 0;
};

/** What a request has taken of the limits of the endpoint that it is sent to. */
struct EndpointUnit
{
    LimitCharge charge;
    /** The run of which a unit was taken because it is cold; empty if none was. */
    std::string coldRun;
};

class EndpointAdmission
{
public:
    using ClockReader = std::function<const RemoteClock &()>;
    /** Gets the unit, which is empty if the endpoint isn't limited any more, or nothing if there is none. */
    using UnitHandler = std::function<void(std::optional<EndpointUnit> unit)>;

    /** @param vm name of this gateway. @param incarnation of this process. @param storeClock by which gateways compare times. */
    EndpointAdmission(asio::io_context &context,
                      std::string vm,
                      std::uint64_t incarnation,
                      QuotaLinks &links,
                      ColdBounds coldBounds,
                      ClockReader storeClock,
                      Metrics &metrics,
                      const Log &log);

    LimitAdmission &limits();
    const ColdStarts &coldStarts() const;

    /** The catalogue is in force from now on. */
    void onCatalogue(const RouteCatalogue &catalogue);
    /** All entries of endpoints were read. */
    void onAllEntries(const std::vector<EndpointRecord> &records, TimePoint now);
    void onEntry(const EndpointRecord &record, TimePoint now);
    /** The endpoints of the data centre may be used again. */
    void onDataCentreReleased(const std::string &dataCentre, TimePoint now);
    /** @param readAt a time at which the division was the stored one. */
    void onDivisionRead(const QuotaDivision &division, TimePoint readAt);
    /** The division that was read last was still the stored one at @p readAt. */
    void onDivisionConfirmed(TimePoint readAt);
    /** To be called several times a second. */
    void tick(TimePoint now);

    /** The head of the call's answer has arrived. */
    void onAnswer(const OutgoingCall &call);
    void removeEndpoint(const EndpointRecord &endpoint);
    /** Another gateway has reported what it saw of the run. @param source where the report was, for the log. */
    void onReported(const std::string &run, const EndpointLimits::Observation &observation, const std::string &source);
    /** See EndpointLimits::recentLimits(). */
    std::map<std::string, EndpointLimits::Observation> recentLimits(TimePoint now) const;

    /** Those of the endpoints that may have units, if they are limited. */
    std::vector<EndpointRecord> withUnits(std::vector<EndpointRecord> endpoints, TimePoint now);
    /** Time until there is an endpoint for each stage that may have units; zero if there are no endpoints. */
    Duration waitForUnits(const std::vector<EndpointRecord> &endpoints, TimePoint now) const;
    bool isLimited(const EndpointRecord &endpoint) const;
    /**
     * Takes a unit of each of the endpoint's limits. @p onDecided is called once, possibly within this call, unless the request is
     * cancelled.
     * @return the id for cancel().
     */
    std::uint64_t takeUnit(const EndpointRecord &endpoint, UnitHandler onDecided);
    void cancel(std::uint64_t id);
    /**
     * Whether the request may be sent to the endpoint now. An endpoint may have become cold since the unit was taken or not needed; then
     * this takes one, or gives none.
     */
    bool confirmUnit(const EndpointRecord &endpoint, std::optional<EndpointUnit> &unit, TimePoint now);
    /** The request that took the unit is sent now. */
    void onSent(const EndpointUnit &unit, TimePoint now);
    /** Gives the unit of a request back that was not sent. */
    void returnUnit(const EndpointUnit &unit);

private:
    void onVerdict(const EndpointRecord &endpoint, const QuotaVerdict &verdict, const UnitHandler &onDecided);
    /** Adds a unit for a cold endpoint to those of the limit that it names. */
    void takeColdUnit(const EndpointRecord &endpoint, EndpointUnit unit, const UnitHandler &onDecided);
    ColdService coldServiceOf(const RoutedService &service) const;
    /** Time until which the endpoint has no units. */
    TimePoint usedUpUntil(const EndpointRecord &endpoint, TimePoint now) const;
    void recordHeld();
    /** Adds what this gateway knows of the run's limit. */
    template<typename Message>
    void describe(Message &message) const;
    template<typename Message>
    void learn(const Message &message, const std::string &sender);

    ColdBounds coldBounds_;
    ClockReader storeClock_;
    const Log &log_;
    Counter &heldFromCold_;
    ColdStarts coldStarts_;
    EndpointLimits known_;
    /** Answers of runs of endpoints that name a limit, since that changed last. */
    std::map<std::string, std::uint64_t> answers_;
    LimitAdmission limits_;
};

}
