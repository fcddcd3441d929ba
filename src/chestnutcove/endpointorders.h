/**
 * Orders endpoints from the platform through intent rows, so that no order is given twice after a lost answer or a change of the holder.
 *
 * An order is first written as an intent with a client token. It is sent only by a holder whose lease is valid until after the send
 * deadline. Intents that a holder finds open are looked up at the platform by their token before they are sent again.
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
    /** Positive: more endpoints. */
    int delta = 0;
    /** The endpoint that is given back. */
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

    void place(EndpointOrder order);
    /** Carries on with open intents. */
    void tick(TimePoint now);
    nlohmann::json dump() const;

private:
    void writeIntent(const EndpointOrder &order);
    void resolveIntents();
    void lookUp(const std::string &key, const TableRow &row);
    void send(const std::string &key, const TableRow &row, const nlohmann::json &intent);
    void close(const std::string &key, const TableRow &row);

    HttpTable &table_;
    HttpClient &client_;
    const GatewaySettings &settings_;
    const DutyLease &lease_;
    const Log &log_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
    std::deque<EndpointOrder> waiting_;
    bool busy_ = false;
    /** There may be open intents in the table. */
    bool unresolved_ = true;
    std::uint64_t epoch_ = 0;
    std::uint64_t sent_ = 0;
};

}
