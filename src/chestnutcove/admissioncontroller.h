/**
 * Admission control of one gateway: applies the rate limits of all customers. Connects the customers' limiters to the membership, the
 * freshness of store reads, and the links over which gateways transfer tokens.
 */
#pragma once

#include "catalogue.h"
#include "customerlimiter.h"
#include "metrics.h"
#include "peerlinks.h"
#include "shareguard.h"
#include "storefreshness.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Chestnutcove {

class AdmissionController
{
public:
    using AdmissionHandler = std::function<void(const AdmissionResult &)>;
    using AllowanceHandler = std::function<void(const AnswerAllowance &)>;

    AdmissionController(asio::io_context &context,
                        GatewayIdentity self,
                        std::string dataCentre,
                        LimiterOptions options,
                        ShareGuard &shareGuard,
                        const StoreFreshness &storeFreshness,
                        PeerLinks &peers,
                        Metrics &metrics,
                        AdmissionHandler onAdmission,
                        AllowanceHandler onAllowance);

    void setCatalogue(const Catalogue &catalogue, TimePoint now);
    /** Recomputes all shares for the current membership. Call it before any other process learns of the new epoch. */
    void updateShares(TimePoint now);
    /** Suspends the limiters while store reads are too old, and reassigns shares that may grow. Call it every few tens of milliseconds. */
    void tick(TimePoint now);

    /** Reports the decision through the admission handler, possibly within this call. */
    void requestAdmission(const std::string &customer, const AdmissionRequest &request, TimePoint now);
    /** Removes a request whose caller disconnected before the decision. */
    void withdrawRequest(const std::string &customer, std::uint64_t id);
    void onTokensDelivered(const std::string &customer, std::uint64_t id, double tokens, TimePoint now);
    void onRequestFinished(const std::string &customer, std::uint64_t id, TimePoint now);

    void onTokenRequest(const wire::TokenRequest &request, const std::function<void(const wire::Envelope &)> &reply, TimePoint now);
    void onTokenGrant(const wire::TokenGrant &grant, TimePoint now);
    void onTokenReturn(const wire::TokenReturn &message, TimePoint now);

    nlohmann::json dump(TimePoint now);

private:
    CustomerLimiter &limiterOf(const std::string &customer, TimePoint now);
    void assignShares(const std::string &customer, CustomerLimiter &limiter, TimePoint now);
    void pollLimiter(const std::string &customer, CustomerLimiter &limiter, TimePoint now);
    void scheduleBusyPoll();
    void pollBusyLimiters();

    GatewayIdentity self_;
    std::string dataCentre_;
    LimiterOptions options_;
    ShareGuard &shareGuard_;
    const StoreFreshness &storeFreshness_;
    PeerLinks &peers_;
    Metrics &metrics_;
    AdmissionHandler onAdmission_;
    AllowanceHandler onAllowance_;
    std::map<std::string, std::unique_ptr<CustomerLimiter>, std::less<>> limiters_;
    std::set<std::string> busyCustomers_;
    asio::steady_timer pollTimer_;
    bool isPollScheduled_ = false;
    bool areSharesSettled_ = false;
};

}
