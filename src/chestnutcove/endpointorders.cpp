#include "endpointorders.h"

#include "jsonfield.h"
#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *IntentPrefix = "orders/open/";
constexpr int StatusOk = 200;

}

EndpointOrders::EndpointOrders(asio::any_io_executor executor,
                               HttpTable &table,
                               HttpClient &client,
                               const GatewaySettings &settings,
                               const DutyLease &lease,
                               std::uint64_t incarnation,
                               const Log &log)
    : table_(table)
    , httpClient_(client)
    , settings_(settings)
    , lease_(lease)
    , log_(log)
    , writer_(std::move(executor), table, settings.timing.leaseDuration)
    , random_(incarnation + 5)
{
}

void EndpointOrders::queueOrder(EndpointOrder order)
{
    waitingOrders_.push_back(std::move(order));
}

void EndpointOrders::tick(TimePoint now)
{
    if (!lease_.keeper().mayAct(now) || isCallPending_) {
        return;
    }
    if (leaseEpoch_ != lease_.keeper().epoch()) {
        // Waiting orders of an earlier epoch are dropped, because they were decided from the reports of that time.
        waitingOrders_.clear();
        leaseEpoch_ = lease_.keeper().epoch();
        mayHaveOpenIntents_ = true;
    }
    if (mayHaveOpenIntents_) {
        resolveNextIntent();
    } else if (!waitingOrders_.empty()) {
        const EndpointOrder order = std::move(waitingOrders_.front());
        waitingOrders_.pop_front();
        writeIntent(order);
    }
}

void EndpointOrders::writeIntent(const EndpointOrder &order)
{
    isCallPending_ = true;
    const std::string token = absl::StrFormat("%016x%016x", random_(), random_());
    TableWrite write;
    write.attemptId = token;
    write.markerKey = IntentPrefix + token;
    const nlohmann::json intent{{"token", token},
                                {"epoch", leaseEpoch_},
                                {"serves", order.serves},
                                {"dataCentre", order.dataCentre},
                                {"delta", order.delta},
                                {"endpoint", order.endpoint}};
    write.transaction.conditions = {{write.markerKey, 0}};
    write.transaction.puts = {{write.markerKey, intent.dump()}};
    writer_.write(std::move(write), [this](CommitOutcome) {
        isCallPending_ = false;
        mayHaveOpenIntents_ = true;
    });
}

void EndpointOrders::resolveNextIntent()
{
    isCallPending_ = true;
    table_.list(IntentPrefix, [this](const absl::StatusOr<TableRows> &rows) {
        isCallPending_ = false;
        if (!rows.ok()) {
            return;
        }
        if (rows->empty()) {
            mayHaveOpenIntents_ = false;
            return;
        }
        lookUpOrder(rows->begin()->first, rows->begin()->second);
    });
}

void EndpointOrders::lookUpOrder(const std::string &key, const TableRow &row)
{
    const auto intent = nlohmann::json::parse(row.value, nullptr, false);
    if (!intent.is_object()) {
        log_.error("order intent unreadable", {{"row", key}});
        mayHaveOpenIntents_ = false;
        return;
    }
    isCallPending_ = true;
    HttpCall call;
    call.url = settings_.platformUrl + "/v1/endpoint-orders?token=" + fieldOr(intent, "token", "");
    call.timeout = settings_.platformTimeout;
    httpClient_.send(std::move(call), [this, key, row, intent](const HttpResult &result) {
        isCallPending_ = false;
        const auto json
            = result.status.ok() && result.code == StatusOk ? nlohmann::json::parse(result.body, nullptr, false) : nlohmann::json();
        if (!json.is_object() || !json.contains("orders")) {
            return;
        }
        for (const auto &order : json["orders"]) {
            if (fieldOr(order, "token", "") == fieldOr(intent, "token", "")) {
                deleteIntent(key, row);
                return;
            }
        }
        sendOrder(key, row, intent);
    });
}

void EndpointOrders::sendOrder(const std::string &key, const TableRow &row, const nlohmann::json &intent)
{
    const auto now = suspendAwareNow();
    const bool isLeaseLongEnough = lease_.keeper().mayAct(now) && now + settings_.platformTimeout < lease_.keeper().validUntil();
    if (!isLeaseLongEnough || lease_.keeper().epoch() != leaseEpoch_) {
        return;
    }
    isCallPending_ = true;
    HttpCall call;
    call.method = "POST";
    call.url = settings_.platformUrl + "/v1/endpoint-orders";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = intent.dump();
    call.timeout = settings_.platformTimeout;
    call.atMostOnce = true;
    httpClient_.send(std::move(call), [this, key, row](const HttpResult &result) {
        isCallPending_ = false;
        // After a lost answer, the next look-up shows whether the order arrived.
        if (result.status.ok() && result.code == StatusOk) {
            ++sentCount_;
            deleteIntent(key, row);
        }
    });
}

void EndpointOrders::deleteIntent(const std::string &key, const TableRow &row)
{
    isCallPending_ = true;
    TableTransaction transaction;
    transaction.conditions = {{key, row.version}};
    transaction.puts = {{key, std::nullopt}};
    table_.commit(transaction, [this](CommitOutcome) { isCallPending_ = false; });
}

nlohmann::json EndpointOrders::dump() const
{
    return {{"waiting", waitingOrders_.size()}, {"unresolved", mayHaveOpenIntents_}, {"sent", sentCount_}};
}

}
