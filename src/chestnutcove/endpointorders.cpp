#include "endpointorders.h"

#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *IntentPrefix = "orders/open/";
constexpr int CodeOk = 200;

}

EndpointOrders::EndpointOrders(asio::any_io_executor executor,
                               HttpTable &table,
                               HttpClient &client,
                               const GatewaySettings &settings,
                               const DutyLease &lease,
                               std::uint64_t incarnation,
                               const Log &log)
    : table_(table)
    , client_(client)
    , settings_(settings)
    , lease_(lease)
    , log_(log)
    , writer_(std::move(executor), table, settings.timing.leaseDuration)
    , random_(incarnation + 5)
{
}

void EndpointOrders::place(EndpointOrder order)
{
    waiting_.push_back(std::move(order));
}

void EndpointOrders::tick(TimePoint now)
{
    if (!lease_.keeper().mayAct(now) || busy_) {
        return;
    }
    if (epoch_ != lease_.keeper().epoch()) {
        // Decisions of an earlier term were made on what was known then.
        waiting_.clear();
        epoch_ = lease_.keeper().epoch();
        unresolved_ = true;
    }
    if (unresolved_) {
        resolveIntents();
    } else if (!waiting_.empty()) {
        const EndpointOrder order = std::move(waiting_.front());
        waiting_.pop_front();
        writeIntent(order);
    }
}

void EndpointOrders::writeIntent(const EndpointOrder &order)
{
    busy_ = true;
    const std::string token = absl::StrFormat("%016x%016x", random_(), random_());
    TableWrite write;
    write.attemptId = token;
    write.markerKey = IntentPrefix + token;
    const nlohmann::json intent{{"token", token},
                                {"epoch", epoch_},
                                {"serves", order.serves},
                                {"dataCentre", order.dataCentre},
                                {"delta", order.delta},
                                {"endpoint", order.endpoint}};
    write.transaction.conditions = {{write.markerKey, 0}};
    write.transaction.puts = {{write.markerKey, intent.dump()}};
    writer_.write(std::move(write), [this](CommitOutcome) {
        busy_ = false;
        unresolved_ = true;
    });
}

void EndpointOrders::resolveIntents()
{
    busy_ = true;
    table_.list(IntentPrefix, [this](const absl::StatusOr<TableRows> &rows) {
        busy_ = false;
        if (!rows.ok()) {
            return;
        }
        if (rows->empty()) {
            unresolved_ = false;
            return;
        }
        lookUp(rows->begin()->first, rows->begin()->second);
    });
}

void EndpointOrders::lookUp(const std::string &key, const TableRow &row)
{
    const auto intent = nlohmann::json::parse(row.value, nullptr, false);
    if (!intent.is_object()) {
        log_.error("order intent unreadable", {{"row", key}});
        unresolved_ = false;
        return;
    }
    busy_ = true;
    HttpCall call;
    call.url = settings_.platformUrl + "/v1/endpoint-orders?token=" + intent.value("token", "");
    call.timeout = settings_.platformTimeout;
    client_.send(std::move(call), [this, key, row, intent](const HttpResult &result) {
        busy_ = false;
        const auto json
            = result.status.ok() && result.code == CodeOk ? nlohmann::json::parse(result.body, nullptr, false) : nlohmann::json();
        if (!json.is_object() || !json.contains("orders")) {
            return;
        }
        for (const auto &order : json["orders"]) {
            if (order.value("token", "") == intent.value("token", "")) {
                close(key, row);
                return;
            }
        }
        send(key, row, intent);
    });
}

void EndpointOrders::send(const std::string &key, const TableRow &row, const nlohmann::json &intent)
{
    const auto now = suspendAwareNow();
    const bool inTime = lease_.keeper().mayAct(now) && now + settings_.platformTimeout < lease_.keeper().validUntil();
    if (!inTime || lease_.keeper().epoch() != epoch_) {
        return;
    }
    busy_ = true;
    HttpCall call;
    call.method = "POST";
    call.url = settings_.platformUrl + "/v1/endpoint-orders";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = intent.dump();
    call.timeout = settings_.platformTimeout;
    call.atMostOnce = true;
    client_.send(std::move(call), [this, key, row](const HttpResult &result) {
        busy_ = false;
        // Without an answer, the next look-up tells whether it arrived.
        if (result.status.ok() && result.code == CodeOk) {
            ++sent_;
            close(key, row);
        }
    });
}

void EndpointOrders::close(const std::string &key, const TableRow &row)
{
    busy_ = true;
    TableTransaction transaction;
    transaction.conditions = {{key, row.version}};
    transaction.puts = {{key, std::nullopt}};
    table_.commit(transaction, [this](CommitOutcome) { busy_ = false; });
}

nlohmann::json EndpointOrders::dump() const
{
    return {{"waiting", waiting_.size()}, {"unresolved", unresolved_}, {"sent", sent_}};
}

}
