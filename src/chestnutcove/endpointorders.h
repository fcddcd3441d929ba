/**
 * Orders endpoints from the platform through intent rows, so that no order is sent twice after a lost answer or a change of the lease
 * holder.
 *
 * An order is first written as an intent with a client token. It is sent only by a holder whose lease is valid until after the send
 * deadline. A holder looks up each open intent at the platform by its token before it sends the order.
 */
#pragma once

#include "dutylease.h"
#include "httpclient.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <string>

namespace Chestnutcove {

struct EndpointOrder
{
    std::string serves;
    std::string dataCentre;
    /** Number of endpoints to order (positive) or to release (negative). */
    int delta = 0;
    /** The endpoint to release, for a negative delta. */
    std::string endpoint;
};

class EndpointOrders
{
public:
    EndpointOrders(asio::any_io_executor executor,
                   HttpTable &table,
                   HttpClient &client,
                   const GatewaySettings &settings,
                   const DutyLease &lease,
                   std::uint64_t incarnation,
                   const Log &log);

    void queueOrder(EndpointOrder order);
    /** Resolves open intents, then writes the next waiting order as an intent. */
    void tick(TimePoint now);
    nlohmann::json dump() const;

private:
    void writeIntent(const EndpointOrder &order);
    void resolveNextIntent();
    void lookUpOrder(const std::string &key, const TableRow &row);
    void sendOrder(const std::string &key, const TableRow &row, const nlohmann::json &intent);
    void deleteIntent(const std::string &key, const TableRow &row);

    HttpTable &table_;
    HttpClient &httpClient_;
    const GatewaySettings &settings_;
    const DutyLease &lease_;
    const Log &log_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
    std::deque<EndpointOrder> waitingOrders_;
    bool isCallPending_ = false;
    /** Whether the table may hold open intents. */
    bool mayHaveOpenIntents_ = true;
    std::uint64_t leaseEpoch_ = 0;
    std::uint64_t sentCount_ = 0;
};

}
