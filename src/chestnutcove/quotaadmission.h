/**
 * Applies the customers' rate limits at one gateway: takes the units of a request from this gateway's own share or from those of the other
 * holders, and answers the asks of other gateways.
 */
#pragma once

#include "log.h"
#include "metrics.h"
#include "quotacollector.h"
#include "quotalinks.h"
#include "quotashares.h"
#include "routecatalogue.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** The units that an admitted request took. */
struct QuotaCharge
{
    std::string customer;
    std::vector<QuotaLot> lots;
};

class QuotaAdmission
{
public:
    using VerdictHandler = std::function<void(const QuotaVerdict &)>;
    using CatalogueReader = std::function<std::shared_ptr<const RouteCatalogue>()>;

    /** @param vm name of this gateway. @param incarnation of this process. */
    QuotaAdmission(asio::io_context &context,
                   std::string vm,
                   std::uint64_t incarnation,
                   QuotaShareOptions options,
                   CatalogueReader catalogue,
                   Metrics &metrics,
                   const Log &log);

    /** Begins to answer other gateways. @param keys the fleet's key pair; @param port 0 selects a free port. */
    absl::Status listen(const LinkKeys &keys, const std::string &ip, std::uint16_t port);
    bool isListening() const;
    /** Where other gateways reach this one; empty until it listens. */
    const std::string &address() const;

    void onDivisionRead(const QuotaDivision &division, TimePoint readAt);
    void onDivisionConfirmed(TimePoint readAt);
    void onNoDivisionStored();
    /** Whether the holders of the limits are known, so that requests can be admitted. */
    bool isReady() const;
    /** Number of the division that this gateway applies; 0 for none. */
    std::uint64_t divisionNumber() const;

    /**
     * Takes the units of a request. @p onVerdict is called once, possibly within this call, unless the request is cancelled.
     * @return the id for cancel().
     */
    std::uint64_t admit(const CustomerQuota &customer, double units, VerdictHandler onVerdict);
    void cancel(std::uint64_t id);
    /** Gives the units of a request back that was not run and will not be. */
    void refund(const QuotaCharge &charge);

private:
    wire::TokenGrant onRequest(const wire::TokenRequest &request);
    void onGrant(const wire::TokenGrant &grant);
    void onReturn(const wire::TokenReturn &message);
    /** Carries out what the collector decides, until it waits for other gateways. */
    void pollCollector();
    void performAsk(const QuotaAsk &ask);
    void returnLot(const std::string &customer, const QuotaLot &lot);
    void schedulePoll();
    /** The customer's share holders in the order in which this gateway asks them: itself first. */
    const std::vector<std::string> &holdersOf(const std::string &customer);
    /** Its quota in the catalogue in force, or null. */
    const CustomerQuota *quotaOf(const std::string &customer) const;

    std::string vm_;
    std::uint64_t incarnation_;
    CatalogueReader catalogue_;
    Metrics &metrics_;
    const Log &log_;
    QuotaShares shares_;
    QuotaCollector collector_;
    QuotaLinks links_;
    asio::steady_timer pollTimer_;
    bool isPollScheduled_ = false;
    bool isPolling_ = false;
    std::uint64_t lastId_ = 0;
    std::unordered_map<std::uint64_t, VerdictHandler> handlers_;
    /** Of the division that was read last: addresses by VM, and the holders of the customers that were asked for. */
    std::unordered_map<std::string, std::string> addresses_;
    std::unordered_map<std::string, std::vector<std::string>> holders_;
    /** The catalogue for which quotas_ was made. */
    mutable std::shared_ptr<const RouteCatalogue> quotaCatalogue_;
    mutable std::unordered_map<std::string, const CustomerQuota *> quotas_;
};

}
