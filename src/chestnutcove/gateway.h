/**
 * The gateway process: connects callers, operators, sidecars, other gateways and the platform to the classes that make the decisions.
 * Everything except the HTTP threads runs on one core thread.
 */
#pragma once

#include "admissioncontroller.h"
#include "callerapi.h"
#include "catalogueeditor.h"
#include "cataloguesync.h"
#include "dutylease.h"
#include "endpointlinks.h"
#include "endpointorders.h"
#include "fleetduty.h"
#include "idempotencystore.h"
#include "membershipkeeper.h"
#include "peerlinks.h"
#include "requestrunner.h"
#include "shareguard.h"
#include "storefreshness.h"
#include "usagereporter.h"
#include "vmlist.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Chestnutcove {

class Gateway
{
public:
    /** @param incarnation a random number that identifies this run of the process. */
    Gateway(GatewaySettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);
    ~Gateway();

    absl::Status start();
    /**
     * Stops gracefully: reports not ready, releases the leases, lets answers finish, leaves the membership and stores usage, then calls
     * @p onStopped.
     */
    void stop(std::function<void()> onStopped);

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    std::uint16_t linkPort() const;

    // For OperatorApi; to be called on the core thread.
    bool isReady() const;
    nlohmann::json dump();
    void dumpSidecar(const std::string &endpoint, std::function<void(absl::StatusOr<std::string>)> onDump);
    /** For each known gateway, the catalogue version in force there. */
    std::map<std::string, std::uint64_t> catalogueVersionsInForce() const;
    nlohmann::json endpointStates() const;
    const Catalogue &catalogue();
    CatalogueEditor &editor();
    const RequestTrace *trace(const std::string &publicId) const;
    const std::deque<std::string> &plannerDecisions() const;
    const GatewaySettings &settings() const;
    Metrics &metrics();

private:
    void runEvery(Milliseconds interval, std::function<void(TimePoint)> action);
    void pollStore();
    void onStoreVersions(TimePoint startedAt, const absl::StatusOr<TableRows> &rows);
    void onMembershipRow(const TableRows &rows);
    void applyMembership(const MembershipRow &row);
    void updateMembership(TimePoint now);
    void writeMembership(const MembershipRow &row);
    void readVmList();
    void drainEndpoint(const std::string &name);
    void applyCatalogue(const Catalogue &catalogue);
    void updateKeyFreshness(TimePoint now);
    wire::PeerState ownState() const;
    void onPeerState(const wire::PeerState &state);
    void onPeerMessage(const wire::Envelope &message, const std::function<void(const wire::Envelope &)> &reply);
    void advanceStop(TimePoint now);

    GatewaySettings settings_;
    asio::io_context &ioContext_;
    const Log &log_;
    Metrics &metrics_;
    std::uint64_t incarnation_;
    GatewayIdentity self_;

    Snapshot<Catalogue> catalogue_;
    /** Keeps the catalogue that catalogue() returned alive until its next call. */
    std::shared_ptr<const Catalogue> returnedCatalogue_;
    KeyFreshness keyFreshness_;
    HttpClient httpClient_;
    HttpTable table_;
    VmList vmList_;
    LinkContext linkContext_;
    Router router_;
    StoreFreshness storeFreshness_;
    ShareGuard shareGuard_;
    MembershipKeeper membershipKeeper_;
    CatalogueSync catalogueSync_;
    CatalogueEditor editor_;
    IdempotencyStore idempotency_;
    EndpointLinks endpointLinks_;
    RequestRunner requestRunner_;
    PeerLinks peerLinks_;
    AdmissionController admission_;
    DutyLease plannerLease_;
    DutyLease reporterLease_;
    JsonUsageSink usageSink_;
    UsageReporter usageReporter_;
    EndpointOrders endpointOrders_;
    FleetDuty fleetDuty_;
    TableWriter<HttpTable> membershipWriter_;
    CallerApi callerApi_;
    HttpServer callerServer_;
    std::unique_ptr<HttpServer> operatorServer_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;

    /** The membership row's version in the table; 0 where there is none. */
    std::uint64_t membershipRowVersion_ = 0;
    bool isWritingMembership_ = false;
    bool isPollingStore_ = false;
    std::map<std::uint64_t, std::function<void(absl::StatusOr<std::string>)>> pendingDumps_;
    std::uint64_t lastDumpNumber_ = 0;
    std::function<void()> onStopped_;
    TimePoint shutdownAt_;
    bool isStopping_ = false;
};

}
