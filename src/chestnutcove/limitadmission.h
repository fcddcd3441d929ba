/**
 * Applies rate limits of one kind at one gateway: takes the units of a request from this gateway's own share of a limit or from those of
 * the other holders, and answers the asks of other gateways.
 */
#pragma once

#include "metrics.h"
#include "quotacollector.h"
#include "quotalinks.h"
#include "quotashares.h"
#include "ratelimit.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** The units that an admitted request took of a limit. */
struct LimitCharge
{
    std::string limit;
    std::vector<QuotaLot> lots;
};

struct LimitAdmissionOptions
{
    wire::LimitKind kind = wire::CUSTOMER;
    QuotaShareOptions shares;
    QuotaCollectorOptions collector;
    /** A request may get its units from several holders, since one share may never contain them all. */
    bool splitsRequests = true;
    /** Beginning of the names of this kind's metrics. */
    std::string metricPrefix;
};

class LimitAdmission
{
public:
    using VerdictHandler = std::function<void(const QuotaVerdict &)>;

    /** What is known of the limits outside this class. */
    struct Handlers
    {
        /** The limit of that name, or null if there is none. */
        std::function<const RateLimit *(const std::string &name)> find;
        /** A message about the limit is about to be sent; adds what the other gateway may not know of it. May be empty. */
        std::function<void(wire::TokenRequest &)> describeRequest;
        std::function<void(wire::TokenGrant &)> describeGrant;
        /** Such a message has arrived, and what it says isn't taken into account yet. May be empty. */
        std::function<void(const wire::TokenRequest &)> onRequest;
        std::function<void(const wire::TokenGrant &)> onGrant;
    };

    /** @param vm name of this gateway. @param incarnation of this process. */
    LimitAdmission(asio::io_context &context,
                   std::string vm,
                   std::uint64_t incarnation,
                   LimitAdmissionOptions options,
                   QuotaLinks &links,
                   Handlers handlers,
                   Metrics &metrics,
                   const Log &log);

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
    std::uint64_t admit(const RateLimit &limit, double units, VerdictHandler onVerdict);
    void cancel(std::uint64_t id);
    /** Gives the units of a request back that was not run and will not be. */
    void refund(const LimitCharge &charge);
    /** Forgets a limit that no longer exists. */
    void remove(const std::string &limit);

private:
    wire::TokenGrant onRequest(const wire::TokenRequest &request);
    void onGrant(const wire::TokenGrant &grant);
    void onReturn(const wire::TokenReturn &message);
    /** Carries out what the collector decides, until it waits for other gateways. */
    void pollCollector();
    void performAsk(const QuotaAsk &ask);
    void returnLot(const std::string &limit, const QuotaLot &lot);
    void schedulePoll();
    /** Logs once in a while how many asks were not answered. */
    void logTimeouts(TimePoint now);
    /** The limit's share holders in the order in which this gateway asks them: itself first. */
    const std::vector<std::string> &holdersOf(const RateLimit &limit);

    /** Holders by number of holders at most. */
    using HoldersByCount = std::unordered_map<std::size_t, std::vector<std::string>>;

    std::string vm_;
    std::uint64_t incarnation_;
    LimitAdmissionOptions options_;
    QuotaLinks &links_;
    Handlers handlers_;
    Metrics &metrics_;
    const Log &log_;
    QuotaShares shares_;
    QuotaCollector collector_;
    asio::steady_timer pollTimer_;
    bool isPollScheduled_ = false;
    bool isPolling_ = false;
    std::uint64_t lastId_ = 0;
    /** The counts that were logged last, and when. */
    AskCounts loggedCounts_;
    TimePoint countsLoggedAt_{};
    std::unordered_map<std::uint64_t, VerdictHandler> verdictHandlers_;
    /** Of the division that was read last: addresses by VM, and the holders of the limits that were asked for, by name. */
    std::unordered_map<std::string, std::string> addresses_;
    std::unordered_map<std::string, HoldersByCount> holders_;
};

}
