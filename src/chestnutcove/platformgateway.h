/**
 * The gateway as it runs on the users' platform: callers' requests go straight to endpoints, and what lasts lies in the platform's store.
 * It checks each request against the catalogue in force and hands it to a ForwardedRequest.
 */
#pragma once

#include "callerserver.h"
#include "endpointdirectory.h"
#include "endpointloads.h"
#include "endpointpool.h"
#include "fleetcoordinator.h"
#include "forwardedrequest.h"
#include "httpclient.h"
#include "httptable.h"
#include "log.h"
#include "metrics.h"
#include "placement.h"
#include "platformsettings.h"
#include "readfreshness.h"
#include "storeformat.h"
#include "tablemirror.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Chestnutcove {

class PlatformGateway
{
public:
    /** @param incarnation random for each start. */
    PlatformGateway(
        Platform::PlatformSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);
    ~PlatformGateway();
    PlatformGateway(const PlatformGateway &) = delete;
    PlatformGateway &operator=(const PlatformGateway &) = delete;

    absl::Status start();
    /** Stops gracefully: not ready, open requests are answered, connections are closed politely; then @p onStopped. */
    void stop(std::function<void()> onStopped);
    std::uint16_t callerPort() const;
    std::uint16_t readinessPort() const;
    /** Takes over settings that changed while the process runs. */
    void reload(const absl::StatusOr<Platform::PlatformSettings> &settings);

private:
    void runEvery(Milliseconds interval, std::function<void(TimePoint)> action);
    void onConfiguration(const std::string &value);
    void onEndpointRows(const TableRows &rows, TimePoint now);
    void onEndpointChange(const TableChanges::Change &change);
    std::optional<EndpointRecord> decodeEndpoint(const std::string &id, const std::string &value);
    void dropEndedEndpoints(TimePoint now);

    void onRequest(const std::shared_ptr<CallerExchange> &exchange);
    void admitRequest(const std::shared_ptr<CallerExchange> &exchange, Platform::RequestMetadata facts);
    void refuseRequest(const std::shared_ptr<CallerExchange> &exchange,
                       const Platform::RequestMetadata &facts,
                       int status,
                       std::string_view reason,
                       std::optional<Milliseconds> retryAfter = std::nullopt);
    /** A request that is taken now ends before this process does. */
    bool mayAcceptWhileStopping(const Route &route, const Platform::RequestMetadata &facts) const;
    /** Answers with a refusal unless the customer may spend the request's units. */
    bool spendQuota(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest &request, const CustomerQuota &customer);
    const RoutedService *chooseService(const RouteCatalogue &catalogue, const Route &route, const std::string &requestId) const;
    void onStatusRequest(const std::shared_ptr<CallerExchange> &exchange);
    bool isReady(TimePoint now) const;
    bool hasQuotas() const;
    void tryFinishStop(TimePoint now);

    Platform::PlatformSettings settings_;
    asio::io_context &ioContext_;
    const Log &log_;
    Metrics &metrics_;
    std::uint64_t incarnation_;

    HttpClient client_;
    PlatformTable table_;
    /** Null until a first configuration was read. */
    std::shared_ptr<const RouteCatalogue> catalogue_;
    ReadFreshness configurationFreshness_;
    EndpointDirectory directory_;
    EndpointLoads loads_;
    PlacementPolicy placement_;
    EndpointPool pool_;
    QuotaShares quotas_;
    FleetCoordinator fleet_;
    ForwardingContext forwarding_;
    TableMirror<PlatformTable> configurationMirror_;
    TableMirror<PlatformTable> endpointMirror_;
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<CallerServer> readinessServer_;
    std::unique_ptr<CallerServer> metricsServer_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
    /** Entries that could not be read, so that each is logged once. */
    std::set<std::string> unreadableEndpoints_;

    bool isStopping_ = false;
    TimePoint stopBeganAt_{};
    std::function<void()> onStopped_;
};

}
