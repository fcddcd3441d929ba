/**
 * The rate limits of all customers at this gateway: connects the limiters to membership, store proofs and the links over which tokens move.
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

class LimitBoard
{
public:
    using AdmissionHandler = std::function<void(const AdmissionResult &)>;
    using DrawHandler = std::function<void(const AnswerAllowance &)>;

    LimitBoard(asio::io_context &context,
               GatewayIdentity self,
               std::string dataCentre,
               LimiterOptions options,
               ShareGuard &gate,
               const StoreFreshness &proof,
               PeerLinks &peers,
               Metrics &metrics,
               AdmissionHandler onAdmission,
               DrawHandler onDraw);

    void setCatalogue(const Catalogue &catalogue, TimePoint now);
    /** Takes over the current membership; call it before the new epoch is told to anyone. */
    void setMembership(TimePoint now);
    /** To be called every few tens of milliseconds. */
    void tick(TimePoint now);

    /** The decision comes through the admission handler, possibly within this call. */
    void request(const std::string &customer, const AdmissionRequest &request, TimePoint now);
    void withdraw(const std::string &customer, std::uint64_t id);
    void delivered(const std::string &customer, std::uint64_t id, double tokens, TimePoint now);
    void finished(const std::string &customer, std::uint64_t id, TimePoint now);

    void onTokenRequest(const wire::TokenRequest &request, const std::function<void(const wire::Envelope &)> &reply, TimePoint now);
    void onTokenGrant(const wire::TokenGrant &grant, TimePoint now);
    void onTokenReturn(const wire::TokenReturn &message, TimePoint now);

    nlohmann::json dump(TimePoint now);

private:
    CustomerLimiter &limiter(const std::string &customer, TimePoint now);
    void assignShares(const std::string &customer, CustomerLimiter &limiter, TimePoint now);
    void poll(const std::string &customer, CustomerLimiter &limiter, TimePoint now);
    void scheduleBusyPoll();
    void pollBusy();

    GatewayIdentity self_;
    std::string dataCentre_;
    LimiterOptions options_;
    ShareGuard &gate_;
    const StoreFreshness &proof_;
    PeerLinks &peers_;
    Metrics &metrics_;
    AdmissionHandler onAdmission_;
    DrawHandler onDraw_;
    std::map<std::string, std::unique_ptr<CustomerLimiter>, std::less<>> limiters_;
    std::set<std::string> busy_;
    asio::steady_timer timer_;
    bool timerRunning_ = false;
    bool settled_ = false;
};

}
