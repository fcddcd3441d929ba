/**
 * The gateway process: wires callers, operators, sidecars, other gateways and the platform to the decision classes. Everything but the HTTP
 * threads runs on one core thread.
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
#include "sharegate.h"
#include "storeproof.h"
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
    /** @param incarnation random for each start. */
    Gateway(GatewaySettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation);
    ~Gateway();

    absl::Status start();
    /** Stops gracefully: not ready, leaves the membership, releases leases, lets answers finish, stores usage; then @p onStopped. */
    void stop(std::function<void()> onStopped);

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    std::uint16_t linkPort() const;

    // For the operators' interface; all on the core thread.
    bool isReady() const;
    nlohmann::json dump();
    void dumpSidecar(const std::string &endpoint, std::function<void(absl::StatusOr<std::string>)> onDump);
    /** For each known gateway, the catalogue version in force there. */
    std::map<std::string, std::uint64_t> versionsInForce() const;
    nlohmann::json endpoints() const;
    const Catalogue &catalogue();
    CatalogueEditor &editor();
    const RequestTrace *trace(const std::string &publicId) const;
    const std::deque<std::string> &plannerDecisions() const;
    const GatewaySettings &settings() const;
    Metrics &metrics();

private:
    void every(Milliseconds interval, std::function<void(TimePoint)> action);
    void pollStore();
    void onHeads(TimePoint startedAt, const absl::StatusOr<TableRows> &rows);
    void onMembershipRow(const TableRows &rows);
    void applyMembership(const MembershipRow &row);
    void considerMembership(TimePoint now);
    void proposeMembership(const MembershipRow &row);
    void readVmList();
    void drainEndpoint(const std::string &name);
    void applyCatalogue(const Catalogue &catalogue);
    void updateFreshness(TimePoint now);
    wire::PeerState ownState() const;
    void onPeerState(const wire::PeerState &state);
    void onPeerMessage(const wire::Envelope &message, const std::function<void(const wire::Envelope &)> &reply);
    void checkStopped(TimePoint now);

    GatewaySettings settings_;
    asio::io_context &context_;
    const Log &log_;
    Metrics &metrics_;
    std::uint64_t incarnation_;
    GatewayIdentity self_;

    Snapshot<Catalogue> catalogue_;
    /** Keeps what catalogue() refers to alive until its next call. */
    std::shared_ptr<const Catalogue> shownCatalogue_;
    KeyFreshness freshness_;
    HttpClient client_;
    HttpTable table_;
    VmList vmList_;
    LinkContext links_;
    Router router_;
    StoreProof proof_;
    ShareGate gate_;
    MembershipKeeper keeper_;
    CatalogueSync sync_;
    CatalogueEditor editor_;
    IdempotencyStore idempotency_;
    EndpointLinks endpointLinks_;
    RequestRunner runner_;
    PeerLinks peers_;
    AdmissionController admission_;
    DutyLease plannerLease_;
    DutyLease reporterLease_;
    JsonUsageSink usageSink_;
    UsageReporter usage_;
    EndpointOrders endpointOrders_;
    FleetDuty fleet_;
    TableWriter<HttpTable> membershipWriter_;
    CallerApi callers_;
    HttpServer callerServer_;
    std::unique_ptr<HttpServer> operatorServer_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;

    /** The membership row's version in the table; 0 where there is none. */
    std::uint64_t membershipRowVersion_ = 0;
    bool membershipWriting_ = false;
    bool polling_ = false;
    std::map<std::uint64_t, std::function<void(absl::StatusOr<std::string>)>> dumpRequests_;
    std::uint64_t lastDump_ = 0;
    std::function<void()> onStopped_;
    TimePoint stopAt_;
    bool stopping_ = false;
};

}
