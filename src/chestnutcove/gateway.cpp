#include "gateway.h"

#include "jsonfield.h"
#include "operatorapi.h"
#include "suspendclock.h"

#include <absl/strings/str_format.h>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *MembershipKey = "membership";
constexpr std::chrono::seconds MaxConnectionAge{60};
constexpr Milliseconds RequestTickInterval{20};
constexpr Milliseconds MaintenanceTickInterval{100};
constexpr std::chrono::seconds VmListInterval{2};
/** Lengthens waits for another VM's timeout, because the clocks of two VMs may drift apart. */
constexpr double ClockDriftFactor = 1.1;
constexpr std::size_t BodyLimitFactor = 4;
constexpr std::chrono::minutes MaxDrainTime{10};

LimiterOptions toLimiterOptions(const GatewayTiming &timing)
{
    LimiterOptions options;
    options.grantLifetime = timing.grantLifetime;
    return options;
}

LeaseOptions toLeaseOptions(const GatewayTiming &timing, Duration settle)
{
    LeaseOptions options;
    options.duration = timing.leaseDuration;
    options.driftMargin = timing.leaseDuration / 10;
    options.renewInterval = timing.leaseDuration / 3;
    options.activationDelay = settle;
    return options;
}

RouterOptions toRouterOptions(const GatewaySettings &settings)
{
    RouterOptions options;
    options.dataCentre = settings.dataCentre;
    options.reportTimeout = settings.timing.endpointTimeout;
    return options;
}

Duration withDriftMargin(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration * ClockDriftFactor);
}

UsageOptions toUsageOptions(const GatewaySettings &settings)
{
    UsageOptions options;
    options.vmName = settings.name;
    options.window = settings.timing.usageWindow;
    options.flushInterval = settings.timing.usageFlush;
    options.sealSchedule = {settings.timing.usageGrace, settings.timing.usageGrace};
    options.writeTimeout = settings.timing.leaseDuration;
    options.reportTimeout = settings.platformTimeout;
    return options;
}

}

Gateway::Gateway(GatewaySettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation)
    : settings_(std::move(settings))
    , ioContext_(context)
    , log_(log)
    , metrics_(metrics)
    , incarnation_(incarnation)
    , self_{settings_.name, incarnation}
    , catalogue_(Catalogue())
    , httpClient_(context.get_executor(), MaxConnectionAge)
    , table_(httpClient_, {settings_.platformUrl, settings_.platformTimeout})
    , vmList_(httpClient_, {settings_.platformUrl, settings_.platformTimeout})
    , linkContext_(context, {settings_.link.publicKey, settings_.link.secretKey}, {settings_.link.gatewayKey})
    , router_(toRouterOptions(settings_))
    , storeFreshness_(settings_.name, settings_.timing.freshness, settings_.timing.poll)
    , shareGuard_(self_, withDriftMargin(settings_.timing.freshness), withDriftMargin(settings_.timing.grantLifetime))
    , membershipKeeper_({self_, "", settings_.dataCentre},
                        {settings_.timing.peerTimeout, settings_.timing.peerTimeout, 10 * settings_.timing.peerTimeout},
                        suspendAwareNow())
    , catalogueSync_(table_, catalogue_, log, [this](const Catalogue &catalogue) { applyCatalogue(catalogue); })
    , editor_(context.get_executor(), table_, catalogue_, catalogueSync_, incarnation + 2, settings_.timing.leaseDuration)
    , idempotency_(context.get_executor(), table_, incarnation + 3, 2 * settings_.platformTimeout)
    , endpointLinks_(
          linkContext_,
          router_,
          log,
          {settings_.name, incarnation, settings_.link.sidecarKey, settings_.timing.endpointTimeout},
          [this](const LinkKey &key, const wire::Envelope &message) {
              if (message.body_case() == wire::Envelope::kDumpReply) {
                  const auto it = pendingDumps_.find(message.dump_reply().number());
                  if (it != pendingDumps_.end()) {
                      it->second(message.dump_reply().json());
                      pendingDumps_.erase(it);
                  }
                  return;
              }
              if (message.body_case() == wire::Envelope::kOrderReply) {
                  fleetDuty_.onOrderReply(message.order_reply());
                  return;
              }
              requestRunner_.onLinkMessage(key, message);
          },
          [this](const LinkKey &key) { requestRunner_.onLinkLost(key); })
    , requestRunner_(settings_,
                     incarnation,
                     router_,
                     endpointLinks_,
                     idempotency_,
                     metrics,
                     log,
                     [this](const std::string &customer, const UsageFigures &figures) { usageReporter_.add(customer, figures); })
    , peerLinks_(linkContext_,
                 log,
                 {self_, "", settings_.dataCentre},
                 settings_.link.gatewayKey,
                 settings_.peers,
                 {[this] { return ownState(); },
                  [this](const wire::PeerState &state) { onPeerState(state); },
                  [this](const PeerReport &report) { storeFreshness_.onPeerReport(report); },
                  [this](const wire::Envelope &message, const auto &reply) { onPeerMessage(message, reply); }})
    , admission_(
          context,
          self_,
          settings_.dataCentre,
          toLimiterOptions(settings_.timing),
          shareGuard_,
          storeFreshness_,
          peerLinks_,
          metrics,
          [this](const AdmissionResult &result) { requestRunner_.onAdmissionResult(result); },
          [this](const AnswerAllowance &allowance) { requestRunner_.onAllowance(allowance); })
    , plannerLease_(context.get_executor(),
                    table_,
                    log,
                    "planner",
                    settings_.name,
                    incarnation,
                    toLeaseOptions(settings_.timing, withDriftMargin(settings_.timing.orderFreshness)))
    , reporterLease_(context.get_executor(),
                     table_,
                     log,
                     "reporter",
                     settings_.name,
                     incarnation,
                     toLeaseOptions(settings_.timing, withDriftMargin(settings_.platformTimeout)))
    , usageSink_(httpClient_, settings_.platformUrl)
    , usageReporter_(context.get_executor(), table_, usageSink_, reporterLease_, toUsageOptions(settings_), incarnation, metrics, log)
    , endpointOrders_(context.get_executor(), table_, httpClient_, settings_, plannerLease_, incarnation, log)
    , fleetDuty_(context.get_executor(),
                 table_,
                 plannerLease_,
                 endpointLinks_,
                 router_,
                 endpointOrders_,
                 metrics,
                 log,
                 incarnation,
                 settings_.timing.planInterval,
                 settings_.planner,
                 [this](const std::string &endpoint) { drainEndpoint(endpoint); })
    , membershipWriter_(context.get_executor(), table_, settings_.timing.leaseDuration)
    , callerApi_(settings_,
                 catalogue_,
                 keyFreshness_,
                 metrics,
                 incarnation,
                 [this](CallerRequest request) {
                     asio::post(ioContext_,
                                [this, request = std::move(request)]() mutable { requestRunner_.startRequest(std::move(request)); });
                 })
    , callerServer_(
          {settings_.callers.address,
           settings_.callers.port,
           settings_.callerThreads,
           settings_.maxBodyBytes * BodyLimitFactor,
           settings_.readTimeout},
          [this](HttpRequest request, const HttpReply &reply) { callerApi_.handleRequest(std::move(request), reply); },
          [this](std::uint64_t connection) {
              asio::post(ioContext_, [this, connection] { requestRunner_.onCallerDisconnected(connection); });
          })
{
    requestRunner_.setAdmissionController(admission_);
    metrics_.gauge("catalogue_version", [this] { return static_cast<double>(catalogueSync_.version()); });
    metrics_.gauge("store_reads_total", [this] { return static_cast<double>(table_.readCount()); });
    metrics_.gauge("store_writes_total", [this] { return static_cast<double>(table_.writeCount()); });
    metrics_.gauge("store_failures_total", [this] { return static_cast<double>(table_.failureCount()); });
    metrics_.gauge("requests_active", [this] { return static_cast<double>(requestRunner_.activeCount()); });
}

Gateway::~Gateway() = default;

absl::Status Gateway::start()
{
    if (const auto status = peerLinks_.listen(settings_.link.listen.address, settings_.link.listen.port); !status.ok()) {
        return status;
    }
    const GatewayMember self{self_, settings_.link.listen.address + ":" + std::to_string(peerLinks_.port()), settings_.dataCentre};
    const auto now = suspendAwareNow();
    membershipKeeper_
        = MembershipKeeper(self, {settings_.timing.peerTimeout, settings_.timing.peerTimeout, 10 * settings_.timing.peerTimeout}, now);
    peerLinks_.setSelf(self);

    auto operators = std::make_shared<OperatorApi>(*this, ioContext_);
    operatorServer_ = std::make_unique<HttpServer>(
        HttpServerOptions{settings_.operators.address, settings_.operators.port, 1, settings_.maxBodyBytes, settings_.readTimeout},
        [operators](HttpRequest request, const HttpReply &reply) { operators->handleRequest(std::move(request), reply); },
        [](std::uint64_t) {});
    for (HttpServer *server : {&callerServer_, operatorServer_.get()}) {
        if (const auto status = server->start(); !status.ok()) {
            return status;
        }
    }
    runEvery(settings_.timing.poll, [this](TimePoint) { pollStore(); });
    runEvery(settings_.timing.endpointHeartbeat, [this](TimePoint time) { endpointLinks_.sendHeartbeats(time); });
    runEvery(settings_.timing.peerInterval, [this](TimePoint time) { peerLinks_.sendHeartbeats(time, settings_.timing.peerTimeout / 2); });
    runEvery(RequestTickInterval, [this](TimePoint time) {
        requestRunner_.tick(time);
        admission_.tick(time);
        updateKeyFreshness(time);
        advanceStop(time);
    });
    runEvery(MaintenanceTickInterval, [this](TimePoint time) {
        updateMembership(time);
        plannerLease_.tick(time);
        reporterLease_.tick(time);
        usageReporter_.tick(time);
        fleetDuty_.tick(time);
        endpointOrders_.tick(time);
    });
    runEvery(VmListInterval, [this](TimePoint) { readVmList(); });
    log_.info("gateway started",
              {{"dataCentre", settings_.dataCentre},
               {"callers", std::to_string(callerPort())},
               {"operators", std::to_string(operatorPort())},
               {"link", std::to_string(linkPort())}});
    return absl::OkStatus();
}

void Gateway::runEvery(Milliseconds interval, std::function<void(TimePoint)> action)
{
    timers_.push_back(std::make_unique<asio::steady_timer>(ioContext_));
    asio::steady_timer &timer = *timers_.back();
    auto run = std::make_shared<std::function<void()>>();
    *run = [&timer, interval, action = std::move(action), weak = std::weak_ptr(run)] {
        action(suspendAwareNow());
        timer.expires_after(interval);
        timer.async_wait([self = weak.lock()](const std::error_code &error) {
            if (!error) {
                (*self)();
            }
        });
    };
    (*run)();
}

std::uint16_t Gateway::callerPort() const
{
    return callerServer_.port();
}

std::uint16_t Gateway::operatorPort() const
{
    return operatorServer_->port();
}

std::uint16_t Gateway::linkPort() const
{
    return peerLinks_.port();
}

void Gateway::pollStore()
{
    if (isPollingStore_) {
        return;
    }
    isPollingStore_ = true;
    const auto startedAt = suspendAwareNow();
    table_.get({catalogueHeadKey(), MembershipKey, plannerLease_.rowKey(), reporterLease_.rowKey()},
               [this, startedAt](const absl::StatusOr<TableRows> &rows) {
                   isPollingStore_ = false;
                   onStoreVersions(startedAt, rows);
               });
}

void Gateway::onStoreVersions(TimePoint startedAt, const absl::StatusOr<TableRows> &rows)
{
    const auto now = suspendAwareNow();
    if (!rows.ok()) {
        storeFreshness_.onReadFailed(now);
        return;
    }
    onMembershipRow(*rows);
    StoreVersions versions;
    const auto head = rows->find(catalogueHeadKey());
    if (head != rows->end()) {
        const auto json = nlohmann::json::parse(head->second.value, nullptr, false);
        versions.catalogueVersion = json.is_object() ? fieldOr(json, "version", std::uint64_t{0}) : 0;
    }
    versions.membershipEpoch = membershipKeeper_.row().epoch;
    storeFreshness_.onReadSucceeded(startedAt, versions);
    catalogueSync_.onStoreVersion(versions.catalogueVersion);
    plannerLease_.onRowsRead(*rows, now);
    reporterLease_.onRowsRead(*rows, now);
    updateKeyFreshness(now);
}

void Gateway::onMembershipRow(const TableRows &rows)
{
    const auto it = rows.find(MembershipKey);
    if (it == rows.end()) {
        membershipRowVersion_ = 0;
        membershipKeeper_.setRow(MembershipRow(), suspendAwareNow());
        return;
    }
    const auto row = MembershipRow::fromText(it->second.value);
    if (!row.ok()) {
        log_.error("membership row unreadable", {{"reason", std::string(row.status().message())}});
        return;
    }
    membershipRowVersion_ = it->second.version;
    if (row->epoch > membershipKeeper_.row().epoch) {
        applyMembership(*row);
    }
}

void Gateway::applyMembership(const MembershipRow &row)
{
    const auto now = suspendAwareNow();
    membershipKeeper_.setRow(row, now);
    shareGuard_.setMembership(row, now);
    storeFreshness_.setMembership(row);
    peerLinks_.setMembers(row);
    admission_.updateShares(now);
    std::string names;
    for (const std::string &name : row.memberNames()) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_.info("membership in force", {{"epoch", std::to_string(row.epoch)}, {"members", names}});
}

void Gateway::updateMembership(TimePoint now)
{
    if (isWritingMembership_ || table_.isDown()) {
        return;
    }
    for (const std::string &name : membershipKeeper_.goneVms()) {
        shareGuard_.onVmGone(name);
    }
    const auto proposal = membershipKeeper_.proposal(shareGuard_.confirmedStoppedProcesses(now), now);
    if (proposal) {
        writeMembership(*proposal);
    }
}

void Gateway::writeMembership(const MembershipRow &row)
{
    isWritingMembership_ = true;
    TableWrite write;
    write.attemptId = absl::StrFormat("%016x-%x", incarnation_, row.epoch);
    write.markerKey = MembershipKey;
    write.transaction.conditions = {{MembershipKey, membershipRowVersion_}};
    write.transaction.puts = {{MembershipKey, row.toText(write.attemptId)}};
    membershipWriter_.write(std::move(write), [this](CommitOutcome outcome) {
        isWritingMembership_ = false;
        if (outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict) {
            pollStore();
        }
    });
}

void Gateway::readVmList()
{
    vmList_.read([this](const absl::StatusOr<std::map<std::string, VmState>> &vms) {
        if (vms.ok()) {
            membershipKeeper_.setVms(*vms);
        }
    });
}

void Gateway::applyCatalogue(const Catalogue &catalogue)
{
    const auto now = suspendAwareNow();
    storeFreshness_.setCatalogueVersion(catalogue.version());
    endpointLinks_.setCatalogue(catalogue, now);
    admission_.setCatalogue(catalogue, now);
}

void Gateway::updateKeyFreshness(TimePoint now)
{
    keyFreshness_.setValidUntil(storeFreshness_.keysValidUntil(now));
}

wire::PeerState Gateway::ownState() const
{
    const auto now = suspendAwareNow();
    wire::PeerState state;
    state.set_name(self_.name);
    state.set_incarnation(self_.incarnation);
    state.set_catalogue_version(catalogueSync_.version());
    state.set_membership_epoch(shareGuard_.membership().epoch);
    state.set_store_down(storeFreshness_.isStoreDown(now));
    state.set_leaving(isStopping_);
    state.set_data_centre(settings_.dataCentre);
    state.set_has_proof(storeFreshness_.hasConfirmedRead());
    if (storeFreshness_.hasConfirmedRead()) {
        state.set_proof_age_ms(
            static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(now - storeFreshness_.confirmedReadTime()).count()));
        state.set_proof_version(storeFreshness_.confirmedVersions().catalogueVersion);
        state.set_proof_epoch(storeFreshness_.confirmedVersions().membershipEpoch);
    }
    for (const std::string &name : membershipKeeper_.suspects(now)) {
        state.add_suspects(name);
    }
    return state;
}

void Gateway::onPeerState(const wire::PeerState &state)
{
    const auto now = suspendAwareNow();
    const GatewayIdentity identity{state.name(), state.incarnation()};
    membershipKeeper_.onPeerState(identity, {state.suspects().begin(), state.suspects().end()}, now);
    shareGuard_.onEpochAcknowledged(identity, state.membership_epoch(), now);
    const std::uint64_t ownVersion = catalogueSync_.version();
    if (state.catalogue_version() <= ownVersion) {
        return;
    }
    if (!table_.isDown()) {
        catalogueSync_.onStoreVersion(state.catalogue_version());
    }
    wire::Envelope request;
    request.mutable_changes_request()->set_after_version(ownVersion);
    peerLinks_.send(state.name(), request);
}

void Gateway::onPeerMessage(const wire::Envelope &message, const std::function<void(const wire::Envelope &)> &reply)
{
    const auto now = suspendAwareNow();
    switch (message.body_case()) {
    case wire::Envelope::kChangesRequest: {
        wire::Envelope answer;
        *answer.mutable_changes() = catalogueSync_.changesAfter(message.changes_request().after_version());
        reply(answer);
        break;
    }
    case wire::Envelope::kChanges:
        catalogueSync_.onPeerChanges(message.changes());
        break;
    case wire::Envelope::kTokenRequest:
        admission_.onTokenRequest(message.token_request(), reply, now);
        break;
    case wire::Envelope::kTokenGrant:
        admission_.onTokenGrant(message.token_grant(), now);
        break;
    case wire::Envelope::kTokenReturn:
        admission_.onTokenReturn(message.token_return(), now);
        break;
    default:
        break;
    }
}

void Gateway::stop(std::function<void()> onStopped)
{
    log_.info("gateway stopping", {{"active", std::to_string(requestRunner_.activeCount())}});
    isStopping_ = true;
    onStopped_ = std::move(onStopped);
    const auto now = suspendAwareNow();
    shutdownAt_ = now + settings_.timing.drainNotice;
    plannerLease_.release();
    reporterLease_.release();
}

void Gateway::advanceStop(TimePoint now)
{
    // Until shutdownAt_ requests are still served, since the load balancer needs time to notice that this gateway is not ready.
    if (!isStopping_ || now < shutdownAt_ || !onStopped_) {
        return;
    }
    callerApi_.setShuttingDown();
    if (requestRunner_.activeCount() > 0 && now < shutdownAt_ + MaxDrainTime) {
        return;
    }
    membershipKeeper_.leave();
    usageReporter_.flushNow();
    const bool hasLeft = !membershipKeeper_.isMember() || table_.isDown();
    const bool isUsageFlushed = usageReporter_.isFlushed() || table_.isDown();
    const bool isTimedOut = now >= shutdownAt_ + MaxDrainTime;
    if ((hasLeft && isUsageFlushed && !isWritingMembership_) || isTimedOut) {
        callerServer_.stop();
        operatorServer_->stop();
        std::exchange(onStopped_, nullptr)();
    }
}

bool Gateway::isReady() const
{
    return !isStopping_ && keyFreshness_.isFresh(suspendAwareNow());
}

std::map<std::string, std::uint64_t> Gateway::catalogueVersionsInForce() const
{
    auto versions = peerLinks_.catalogueVersions();
    versions[self_.name] = catalogueSync_.version();
    return versions;
}

nlohmann::json Gateway::endpointStates() const
{
    const auto now = suspendAwareNow();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, endpoint] : router_.endpoints()) {
        const auto link = endpointLinks_.currentLinkTo(name);
        list.push_back({{"name", name},
                        {"dataCentre", endpoint.entry.dataCentre},
                        {"serves", endpoint.entry.serves},
                        {"role", link ? endpointLinks_.reportedRole(*link) : std::string()},
                        {"wantedRole", nameOf(EndpointRoleNames, endpoint.entry.role)},
                        {"connected", link.has_value()},
                        {"healthy", endpoint.load.healthy},
                        {"draining", endpoint.entry.draining || endpoint.load.draining},
                        {"onProbation", endpoint.ejectedUntil > now},
                        {"queued", endpoint.load.queued},
                        {"running", endpoint.load.running},
                        {"slots", endpoint.load.slots},
                        {"queuedSeconds", endpoint.load.queuedSeconds},
                        {"prefillSeconds", endpoint.load.prefillSeconds},
                        {"prefillTokensPerSecond", endpoint.load.prefillTokensPerSecond},
                        {"decodeTokensPerSecond", endpoint.load.decodeTokensPerSecond},
                        {"cachedBlocks", endpoint.blocks.size()}});
    }
    return list;
}

nlohmann::json Gateway::dump()
{
    const auto now = suspendAwareNow();
    const auto age = [now](TimePoint time) { return std::chrono::duration_cast<Milliseconds>(now - time).count(); };
    nlohmann::json peers = nlohmann::json::array();
    for (const auto &peer : peerLinks_.peerStatuses()) {
        peers.push_back({{"name", peer.name}, {"address", peer.address}, {"alive", peer.isAlive}, {"silentMs", age(peer.lastHeard)}});
    }
    nlohmann::json pending = nlohmann::json::array();
    for (const GatewayIdentity &identity : shareGuard_.pendingProcesses()) {
        pending.push_back(identity.name + "-" + std::to_string(identity.incarnation));
    }
    const auto lease = [now](const LeaseKeeper &keeper) {
        return nlohmann::json{
            {"holder", keeper.row().holder}, {"epoch", keeper.epoch()}, {"valid", keeper.isValid(now)}, {"mayAct", keeper.mayAct(now)}};
    };
    return {
        {"process", "gateway"},
        {"name", settings_.name},
        {"dataCentre", settings_.dataCentre},
        {"incarnation", incarnation_},
        {"ready", isReady()},
        {"stopping", isStopping_},
        {"catalogue", {{"version", catalogueSync_.version()}, {"inForce", catalogueVersionsInForce()}}},
        {"store",
         {{"down", storeFreshness_.isStoreDown(now)},
          {"proofAgeMs", storeFreshness_.hasConfirmedRead() ? nlohmann::json(age(storeFreshness_.confirmedReadTime())) : nlohmann::json()},
          {"keysFresh", now <= storeFreshness_.keysValidUntil(now)},
          {"sharesValid", now <= storeFreshness_.sharesValidUntil(now)},
          {"reads", table_.readCount()},
          {"writes", table_.writeCount()},
          {"failures", table_.failureCount()}}},
        {"membership",
         {{"epoch", shareGuard_.membership().epoch},
          {"members", shareGuard_.membership().memberNames()},
          {"electors", shareGuard_.membership().electors()},
          {"settled", shareGuard_.isSettled(now)},
          {"pending", std::move(pending)},
          {"suspects", membershipKeeper_.suspects(now)}}},
        {"peers", std::move(peers)},
        {"leases", {{"planner", lease(plannerLease_.keeper())}, {"reporter", lease(reporterLease_.keeper())}}},
        {"limits", admission_.dump(now)},
        {"requests", requestRunner_.dump()},
        {"usage", usageReporter_.dump()},
        {"fleet", fleetDuty_.dump()},
        {"endpointOrders", endpointOrders_.dump()},
        {"endpoints", endpointStates()}};
}

void Gateway::dumpSidecar(const std::string &endpoint, std::function<void(absl::StatusOr<std::string>)> onDump)
{
    const auto link = endpointLinks_.currentLinkTo(endpoint);
    wire::Envelope message;
    message.mutable_dump_request()->set_number(++lastDumpNumber_);
    if (!link || !endpointLinks_.send(*link, message)) {
        onDump(absl::UnavailableError("the endpoint's sidecar is not connected"));
        return;
    }
    pendingDumps_[lastDumpNumber_] = std::move(onDump);
}

const Catalogue &Gateway::catalogue()
{
    returnedCatalogue_ = catalogue_.read();
    return *returnedCatalogue_;
}

CatalogueEditor &Gateway::editor()
{
    return editor_;
}

const RequestTrace *Gateway::trace(const std::string &publicId) const
{
    return requestRunner_.trace(publicId);
}

const std::deque<std::string> &Gateway::plannerDecisions() const
{
    return fleetDuty_.decisions();
}

void Gateway::drainEndpoint(const std::string &name)
{
    const auto entry = catalogue_.read()->find(EntryKind::Endpoint, name);
    if (!entry) {
        return;
    }
    EndpointEntry endpoint = std::get<EndpointEntry>(*entry);
    endpoint.draining = true;
    editor_.submitEdit({EntryKind::Endpoint, name, endpoint, std::nullopt}, [this, name](const absl::StatusOr<std::uint64_t> &version) {
        log_.info("endpoint set to draining before it is released", {{"endpoint", name}, {"result", version.status().ToString()}});
    });
}

const GatewaySettings &Gateway::settings() const
{
    return settings_;
}

Metrics &Gateway::metrics()
{
    return metrics_;
}

}
