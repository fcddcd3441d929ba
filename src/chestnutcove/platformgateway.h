/**
 * The gateway as it runs on the users' platform. It checks each caller's request against the catalogue in force (route, key, quota) and
 * hands it to a ForwardedRequest, which sends it straight to an endpoint. State that outlives the process is kept in the platform's store.
 */
#pragma once

#include "bytebudget.h"
#include "callerserver.h"
#include "endpointadmission.h"
#include "endpointdirectory.h"
#include "endpointloads.h"
#include "endpointpool.h"
#include "endpointspeeds.h"
#include "eventloopmonitor.h"
#include "fleetcoordinator.h"
#include "forwardedrequest.h"
#include "httpclient.h"
#include "httptable.h"
#include "loadshedder.h"
#include "log.h"
#include "metrics.h"
#include "operatorrows.h"
#include "placement.h"
#include "platformsettings.h"
#include "quotaadmission.h"
#include "quotalinks.h"
#include "stopschedule.h"
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
    /** @param incarnation a random number that identifies this run of the process. */
    PlatformGateway(
        Platform::PlatformSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);
    ~PlatformGateway();
    PlatformGateway(const PlatformGateway &) = delete;
    PlatformGateway &operator=(const PlatformGateway &) = delete;

    absl::Status start();
    /**
     * Stops gracefully: reports that the gateway is not ready, lets open requests finish and announces the close on each connection. Then
     * calls @p onStopped.
     */
    void stop(std::function<void()> onStopped);
    std::uint16_t callerPort() const;
    std::uint16_t readinessPort() const;
    /** Checks settings that were read again while the process runs. The old ones stay in force; the log says whether to restart. */
    void checkReloadedSettings(const absl::StatusOr<Platform::PlatformSettings> &settings);

private:
    PlatformOptions storeOptions();
    void runEvery(Milliseconds interval, std::function<void(TimePoint)> action);
    void onEndpointRows(const TableRows &rows, TimePoint now);
    void onEndpointChanges(const std::vector<TableChanges::Change> &changes, TimePoint now);
    std::optional<EndpointRecord> decodeEndpoint(const std::string &id, const std::string &value);
    void dropEndedEndpoints(TimePoint now);
    /** Calls that were in flight when their endpoint was dropped may have left something of it. */
    void forgetGoneEndpoints();

    void onRequest(const std::shared_ptr<CallerExchange> &exchange);
    void admitRequest(const std::shared_ptr<CallerExchange> &exchange, Platform::RequestMetadata facts);
    void refuseRequest(const std::shared_ptr<CallerExchange> &exchange,
                       const Platform::RequestMetadata &facts,
                       int status,
                       std::string_view reason,
                       std::optional<Milliseconds> retryAfter = std::nullopt);
    /** Takes the request's units from the customer's quota, possibly from other gateways, and then forwards or refuses the request. */
    void spendQuota(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest request, const CustomerQuota &customer);
    void onQuotaVerdict(const std::shared_ptr<CallerExchange> &exchange,
                        AdmittedRequest request,
                        const CustomerQuota &customer,
                        double units,
                        const QuotaVerdict &verdict);
    /** Refuses the request if it, or a part of its prompt, is known to crash endpoints. @return whether it did. */
    bool refuseCrashingRequest(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest &request);
    void forwardRequest(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest request);
    /** Chooses one of the route's services by weight. The choice is determined by the request id and the route's name. */
    const RoutedService *chooseService(const RouteCatalogue &catalogue, const Route &route, const std::string &requestId) const;
    void onStatusRequest(const std::shared_ptr<CallerExchange> &exchange);
    bool isReady(TimePoint now) const;
    void tryFinishStop(TimePoint now);

    Platform::PlatformSettings settings_;
    asio::io_context &ioContext_;
    const Log &log_;
    Metrics &metrics_;
    std::uint64_t incarnation_;

    HttpClient httpClient_;
    std::shared_ptr<SeenEra> seenEra_ = std::make_shared<SeenEra>();
    PlatformTable table_;
    EndpointDirectory directory_;
    OperatorRows operatorRows_;
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    PlacementPolicy placement_;
    SpeedObserver speedObserver_;
    EndpointPool pool_;
    QuotaLinks quotaLinks_;
    QuotaAdmission quotas_;
    EndpointAdmission endpointAdmission_;
    FleetCoordinator fleet_;
    StopSchedule stopSchedule_;
    ByteBudget keptAnswers_;
    ForwardingContext forwarding_;
    TableMirror<PlatformTable> endpointMirror_;
    EventLoopMonitor eventLoopMonitor_;
    LoadShedder loadShedder_{LoadShedderOptions{}};
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<CallerServer> readinessServer_;
    std::unique_ptr<CallerServer> metricsServer_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
    /** Ids of endpoint entries that can't be decoded, so that each is logged only once. */
    std::set<std::string> unreadableEndpoints_;

    std::function<void()> onStopped_;
};

}
