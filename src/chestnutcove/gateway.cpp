#include "gateway.h"

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
constexpr Milliseconds FastTick{20};
constexpr Milliseconds SlowTick{100};
constexpr std::chrono::seconds VmListInterval{2};
/** Clocks of two VMs may drift apart by this part. */
constexpr double DriftMargin = 1.1;
constexpr std::size_t BodyLimitFactor = 4;
constexpr std::chrono::minutes StopPatience{10};

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
    options.margin = timing.leaseDuration / 10;
    options.renewEvery = timing.leaseDuration / 3;
    options.settle = settle;
    return options;
}

RouterOptions toRouterOptions(const GatewaySettings &settings)
{
    RouterOptions options;
    options.dataCentre = settings.dataCentre;
    options.reportTimeout = settings.timing.endpointTimeout;
    return options;
}

Duration withMargin(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration * DriftMargin);
}

UsageOptions usageOptions(const GatewaySettings &settings)
{
    UsageOptions options;
    options.vmName = settings.name;
    options.window = settings.timing.usageWindow;
    options.flushInterval = settings.timing.usageFlush;
    options.seal = {settings.timing.usageGrace, settings.timing.usageGrace};
    options.writeTimeout = settings.timing.leaseDuration;
    options.reportTimeout = settings.platformTimeout;
    return options;
}

}

Gateway::Gateway(GatewaySettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation)
    : settings_(std::move(settings))
    , context_(context)
    , log_(log)
    , metrics_(metrics)
    , incarnation_(incarnation)
    , self_{settings_.name, incarnation}
    , catalogue_(Catalogue())
    , client_(context.get_executor(), MaxConnectionAge)
    , table_(client_, {settings_.platformUrl, settings_.platformTimeout})
    , vmList_(client_, {settings_.platformUrl, settings_.platformTimeout})
    , links_(context, {settings_.link.publicKey, settings_.link.secretKey}, {settings_.link.gatewayKey})
    , router_(toRouterOptions(settings_))
    , proof_(settings_.name, settings_.timing.freshness, settings_.timing.poll)
    , gate_(self_, withMargin(settings_.timing.freshness), withMargin(settings_.timing.grantLifetime))
    , keeper_({self_, "", settings_.dataCentre},
              {settings_.timing.peerTimeout, settings_.timing.peerTimeout, 10 * settings_.timing.peerTimeout},
              suspendAwareNow())
    , sync_(table_, catalogue_, log, [this](const Catalogue &catalogue) { applyCatalogue(catalogue); })
    , editor_(context.get_executor(), table_, catalogue_, sync_, incarnation + 2, settings_.timing.leaseDuration)
    , idempotency_(context.get_executor(), table_, incarnation + 3, 2 * settings_.platformTimeout)
    , endpointLinks_(
          links_,
          router_,
          log,
          {settings_.name, incarnation, settings_.link.sidecarKey, settings_.timing.endpointTimeout},
          [this](const LinkKey &key, const wire::Envelope &message) {
              if (message.body_case() == wire::Envelope::kDumpReply) {
                  const auto it = dumpRequests_.find(message.dump_reply().number());
                  if (it != dumpRequests_.end()) {
                      it->second(message.dump_reply().json());
                      dumpRequests_.erase(it);
                  }
                  return;
              }
              if (message.body_case() == wire::Envelope::kOrderReply) {
                  fleet_.onOrderReply(message.order_reply());
                  return;
              }
              runner_.onMessage(key, message);
          },
          [this](const LinkKey &key) { runner_.linkLost(key); })
    , runner_(settings_,
              incarnation,
              router_,
              endpointLinks_,
              idempotency_,
              metrics,
              log,
              [this](const std::string &customer, const UsageFigures &figures) { usage_.add(customer, figures); })
    , peers_(links_,
             log,
             {self_, "", settings_.dataCentre},
             settings_.link.gatewayKey,
             settings_.peers,
             {[this] { return ownState(); },
              [this](const wire::PeerState &state) { onPeerState(state); },
              [this](const PeerReport &report) { proof_.peerReported(report); },
              [this](const wire::Envelope &message, const auto &reply) { onPeerMessage(message, reply); }})
    , limits_(
          context,
          self_,
          settings_.dataCentre,
          toLimiterOptions(settings_.timing),
          gate_,
          proof_,
          peers_,
          metrics,
          [this](const AdmissionResult &result) { runner_.admitted(result); },
          [this](const AnswerDraw &draw) { runner_.drawn(draw); })
    , plannerLease_(context.get_executor(),
                    table_,
                    log,
                    "planner",
                    settings_.name,
                    incarnation,
                    toLeaseOptions(settings_.timing, withMargin(settings_.timing.orderFreshness)))
    , reporterLease_(context.get_executor(),
                     table_,
                     log,
                     "reporter",
                     settings_.name,
                     incarnation,
                     toLeaseOptions(settings_.timing, withMargin(settings_.platformTimeout)))
    , usageSink_(client_, settings_.platformUrl)
    , usage_(context.get_executor(), table_, usageSink_, reporterLease_, usageOptions(settings_), incarnation, metrics, log)
    , endpointOrders_(context.get_executor(), table_, client_, settings_, plannerLease_, incarnation, log)
    , fleet_(context.get_executor(),
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
    , callers_(settings_,
               catalogue_,
               freshness_,
               metrics,
               incarnation,
               [this](CallerRequest request) {
                   asio::post(context_, [this, request = std::move(request)]() mutable { runner_.start(std::move(request)); });
               })
    , callerServer_(
          {settings_.callers.address,
           settings_.callers.port,
           settings_.callerThreads,
           settings_.maxBodyBytes * BodyLimitFactor,
           settings_.readTimeout},
          [this](HttpRequest request, const HttpReply &reply) { callers_.handle(std::move(request), reply); },
          [this](std::uint64_t connection) { asio::post(context_, [this, connection] { runner_.clientGone(connection); }); })
{
    runner_.setLimits(limits_);
    metrics_.gauge("catalogue_version", [this] { return static_cast<double>(sync_.version()); });
    metrics_.gauge("store_reads_total", [this] { return static_cast<double>(table_.readCount()); });
    metrics_.gauge("store_writes_total", [this] { return static_cast<double>(table_.writeCount()); });
    metrics_.gauge("store_failures_total", [this] { return static_cast<double>(table_.failureCount()); });
    metrics_.gauge("requests_active", [this] { return static_cast<double>(runner_.active()); });
}

Gateway::~Gateway() = default;

absl::Status Gateway::start()
{
    if (const auto status = peers_.listen(settings_.link.listen.address, settings_.link.listen.port); !status.ok()) {
        return status;
    }
    const GatewayMember self{self_, settings_.link.listen.address + ":" + std::to_string(peers_.port()), settings_.dataCentre};
    const auto now = suspendAwareNow();
    keeper_ = MembershipKeeper(self, {settings_.timing.peerTimeout, settings_.timing.peerTimeout, 10 * settings_.timing.peerTimeout}, now);
    peers_.setSelf(self);

    auto operators = std::make_shared<OperatorApi>(*this, context_);
    operatorServer_ = std::make_unique<HttpServer>(
        HttpServerOptions{settings_.operators.address, settings_.operators.port, 1, settings_.maxBodyBytes, settings_.readTimeout},
        [operators](HttpRequest request, const HttpReply &reply) { operators->handle(std::move(request), reply); },
        [](std::uint64_t) {});
    for (HttpServer *server : {&callerServer_, operatorServer_.get()}) {
        if (const auto status = server->start(); !status.ok()) {
            return status;
        }
    }
    every(settings_.timing.poll, [this](TimePoint) { pollStore(); });
    every(settings_.timing.endpointHeartbeat, [this](TimePoint time) { endpointLinks_.beat(time); });
    every(settings_.timing.peerInterval, [this](TimePoint time) { peers_.beat(time, settings_.timing.peerTimeout / 2); });
    every(FastTick, [this](TimePoint time) {
        runner_.tick(time);
        limits_.tick(time);
        updateFreshness(time);
        checkStopped(time);
    });
    every(SlowTick, [this](TimePoint time) {
        considerMembership(time);
        plannerLease_.tick(time);
        reporterLease_.tick(time);
        usage_.tick(time);
        fleet_.tick(time);
        endpointOrders_.tick(time);
    });
    every(VmListInterval, [this](TimePoint) { readVmList(); });
    log_.info("gateway started",
              {{"dataCentre", settings_.dataCentre},
               {"callers", std::to_string(callerPort())},
               {"operators", std::to_string(operatorPort())},
               {"link", std::to_string(linkPort())}});
    return absl::OkStatus();
}

void Gateway::every(Milliseconds interval, std::function<void(TimePoint)> action)
{
    timers_.push_back(std::make_unique<asio::steady_timer>(context_));
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
    return peers_.port();
}

void Gateway::pollStore()
{
    if (polling_) {
        return;
    }
    polling_ = true;
    const auto startedAt = suspendAwareNow();
    table_.get({catalogueHeadKey(), MembershipKey, plannerLease_.rowKey(), reporterLease_.rowKey()},
               [this, startedAt](const absl::StatusOr<TableRows> &rows) {
                   polling_ = false;
                   onHeads(startedAt, rows);
               });
}

void Gateway::onHeads(TimePoint startedAt, const absl::StatusOr<TableRows> &rows)
{
    const auto now = suspendAwareNow();
    if (!rows.ok()) {
        proof_.readFailed(now);
        return;
    }
    onMembershipRow(*rows);
    StoreHeads heads;
    const auto head = rows->find(catalogueHeadKey());
    if (head != rows->end()) {
        const auto json = nlohmann::json::parse(head->second.value, nullptr, false);
        heads.catalogueVersion = json.is_object() ? json.value("version", std::uint64_t{0}) : 0;
    }
    heads.membershipEpoch = keeper_.row().epoch;
    proof_.readSucceeded(startedAt, heads);
    sync_.storeHas(heads.catalogueVersion);
    plannerLease_.observed(*rows, now);
    reporterLease_.observed(*rows, now);
    updateFreshness(now);
}

void Gateway::onMembershipRow(const TableRows &rows)
{
    const auto it = rows.find(MembershipKey);
    if (it == rows.end()) {
        membershipRowVersion_ = 0;
        keeper_.setRow(MembershipRow(), suspendAwareNow());
        return;
    }
    const auto row = MembershipRow::fromText(it->second.value);
    if (!row.ok()) {
        log_.error("membership row unreadable", {{"reason", std::string(row.status().message())}});
        return;
    }
    membershipRowVersion_ = it->second.version;
    if (row->epoch > keeper_.row().epoch) {
        applyMembership(*row);
    }
}

void Gateway::applyMembership(const MembershipRow &row)
{
    const auto now = suspendAwareNow();
    keeper_.setRow(row, now);
    gate_.setMembership(row, now);
    proof_.setMembership(row);
    peers_.setMembers(row);
    limits_.setMembership(now);
    std::string names;
    for (const std::string &name : row.names()) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_.info("membership in force", {{"epoch", std::to_string(row.epoch)}, {"members", names}});
}

void Gateway::considerMembership(TimePoint now)
{
    if (membershipWriting_ || table_.isDown()) {
        return;
    }
    for (const std::string &name : keeper_.goneVms()) {
        gate_.vmGone(name);
    }
    const auto proposal = keeper_.proposal(gate_.confirmedStopped(now), now);
    if (proposal) {
        proposeMembership(*proposal);
    }
}

void Gateway::proposeMembership(const MembershipRow &row)
{
    membershipWriting_ = true;
    TableWrite write;
    write.attemptId = absl::StrFormat("%016x-%x", incarnation_, row.epoch);
    write.markerKey = MembershipKey;
    write.transaction.conditions = {{MembershipKey, membershipRowVersion_}};
    write.transaction.puts = {{MembershipKey, row.toText(write.attemptId)}};
    membershipWriter_.write(std::move(write), [this](CommitOutcome outcome) {
        membershipWriting_ = false;
        if (outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict) {
            pollStore();
        }
    });
}

void Gateway::readVmList()
{
    vmList_.read([this](const absl::StatusOr<std::map<std::string, VmState>> &vms) {
        if (vms.ok()) {
            keeper_.setVms(*vms);
        }
    });
}

void Gateway::applyCatalogue(const Catalogue &catalogue)
{
    const auto now = suspendAwareNow();
    proof_.setCatalogueVersion(catalogue.version());
    endpointLinks_.update(catalogue, now);
    limits_.setCatalogue(catalogue, now);
}

void Gateway::updateFreshness(TimePoint now)
{
    freshness_.setValidUntil(proof_.keysValidUntil(now));
}

wire::PeerState Gateway::ownState() const
{
    const auto now = suspendAwareNow();
    wire::PeerState state;
    state.set_name(self_.name);
    state.set_incarnation(self_.incarnation);
    state.set_catalogue_version(sync_.version());
    state.set_membership_epoch(gate_.membership().epoch);
    state.set_store_down(proof_.isStoreDown(now));
    state.set_leaving(stopping_);
    state.set_data_centre(settings_.dataCentre);
    state.set_has_proof(proof_.hasProof());
    if (proof_.hasProof()) {
        state.set_proof_age_ms(static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(now - proof_.proofTime()).count()));
        state.set_proof_version(proof_.proofHeads().catalogueVersion);
        state.set_proof_epoch(proof_.proofHeads().membershipEpoch);
    }
    for (const std::string &name : keeper_.suspects(now)) {
        state.add_suspects(name);
    }
    return state;
}

void Gateway::onPeerState(const wire::PeerState &state)
{
    const auto now = suspendAwareNow();
    const GatewayIdentity identity{state.name(), state.incarnation()};
    keeper_.heard(identity, {state.suspects().begin(), state.suspects().end()}, now);
    gate_.acknowledged(identity, state.membership_epoch(), now);
    const std::uint64_t ours = sync_.version();
    if (state.catalogue_version() <= ours) {
        return;
    }
    if (!table_.isDown()) {
        sync_.storeHas(state.catalogue_version());
    }
    wire::Envelope request;
    request.mutable_changes_request()->set_after_version(ours);
    peers_.send(state.name(), request);
}

void Gateway::onPeerMessage(const wire::Envelope &message, const std::function<void(const wire::Envelope &)> &reply)
{
    const auto now = suspendAwareNow();
    switch (message.body_case()) {
    case wire::Envelope::kChangesRequest: {
        wire::Envelope answer;
        *answer.mutable_changes() = sync_.changesAfter(message.changes_request().after_version());
        reply(answer);
        break;
    }
    case wire::Envelope::kChanges:
        sync_.received(message.changes());
        break;
    case wire::Envelope::kTokenRequest:
        limits_.onTokenRequest(message.token_request(), reply, now);
        break;
    case wire::Envelope::kTokenGrant:
        limits_.onTokenGrant(message.token_grant(), now);
        break;
    case wire::Envelope::kTokenReturn:
        limits_.onTokenReturn(message.token_return(), now);
        break;
    default:
        break;
    }
}

void Gateway::stop(std::function<void()> onStopped)
{
    log_.info("gateway stopping", {{"active", std::to_string(runner_.active())}});
    stopping_ = true;
    onStopped_ = std::move(onStopped);
    const auto now = suspendAwareNow();
    stopAt_ = now + settings_.timing.drainNotice;
    plannerLease_.release();
    reporterLease_.release();
}

void Gateway::checkStopped(TimePoint now)
{
    // First the balancer sees that this gateway is not ready; requests that still arrive meanwhile are served.
    if (!stopping_ || now < stopAt_ || !onStopped_) {
        return;
    }
    callers_.setShuttingDown();
    if (runner_.active() > 0 && now < stopAt_ + StopPatience) {
        return;
    }
    keeper_.leave();
    usage_.flushNow();
    const bool left = !keeper_.isMember() || table_.isDown();
    const bool flushed = usage_.isFlushed() || table_.isDown();
    const bool gaveUp = now >= stopAt_ + StopPatience;
    if ((left && flushed && !membershipWriting_) || gaveUp) {
        callerServer_.stop();
        operatorServer_->stop();
        std::exchange(onStopped_, nullptr)();
    }
}

bool Gateway::isReady() const
{
    return !stopping_ && freshness_.isFresh(suspendAwareNow());
}

std::map<std::string, std::uint64_t> Gateway::versionsInForce() const
{
    auto versions = peers_.catalogueVersions();
    versions[self_.name] = sync_.version();
    return versions;
}

nlohmann::json Gateway::endpoints() const
{
    const auto now = suspendAwareNow();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, endpoint] : router_.endpoints()) {
        const auto link = endpointLinks_.linkOf(name);
        list.push_back({{"name", name},
                        {"dataCentre", endpoint.entry.dataCentre},
                        {"serves", endpoint.entry.serves},
                        {"role", link ? endpointLinks_.roleOf(*link) : std::string()},
                        {"wantedRole", nameOf(EndpointRoleNames, endpoint.entry.role)},
                        {"connected", link.has_value()},
                        {"healthy", endpoint.load.healthy},
                        {"draining", endpoint.entry.draining || endpoint.load.draining},
                        {"onProbation", endpoint.probationUntil > now},
                        {"queued", endpoint.load.queued},
                        {"running", endpoint.load.running},
                        {"slots", endpoint.load.slots},
                        {"queuedSeconds", endpoint.load.queuedSeconds},
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
    for (const auto &view : peers_.views()) {
        peers.push_back({{"name", view.name}, {"address", view.address}, {"alive", view.alive}, {"silentMs", age(view.lastHeard)}});
    }
    nlohmann::json pending = nlohmann::json::array();
    for (const GatewayIdentity &identity : gate_.pending()) {
        pending.push_back(identity.name + "-" + std::to_string(identity.incarnation));
    }
    const auto lease = [now](const LeaseKeeper &keeper) {
        return nlohmann::json{
            {"holder", keeper.row().holder}, {"epoch", keeper.epoch()}, {"valid", keeper.isValid(now)}, {"mayAct", keeper.mayAct(now)}};
    };
    return {{"process", "gateway"},
            {"name", settings_.name},
            {"dataCentre", settings_.dataCentre},
            {"incarnation", incarnation_},
            {"ready", isReady()},
            {"stopping", stopping_},
            {"catalogue", {{"version", sync_.version()}, {"inForce", versionsInForce()}}},
            {"store",
             {{"down", proof_.isStoreDown(now)},
              {"proofAgeMs", proof_.hasProof() ? nlohmann::json(age(proof_.proofTime())) : nlohmann::json()},
              {"keysFresh", now <= proof_.keysValidUntil(now)},
              {"sharesValid", now <= proof_.sharesValidUntil(now)},
              {"reads", table_.readCount()},
              {"writes", table_.writeCount()},
              {"failures", table_.failureCount()}}},
            {"membership",
             {{"epoch", gate_.membership().epoch},
              {"members", gate_.membership().names()},
              {"electors", gate_.membership().electors()},
              {"settled", gate_.isSettled(now)},
              {"pending", std::move(pending)},
              {"suspects", keeper_.suspects(now)}}},
            {"peers", std::move(peers)},
            {"leases", {{"planner", lease(plannerLease_.keeper())}, {"reporter", lease(reporterLease_.keeper())}}},
            {"limits", limits_.dump(now)},
            {"requests", runner_.dump()},
            {"usage", usage_.dump()},
            {"fleet", fleet_.dump()},
            {"endpointOrders", endpointOrders_.dump()},
            {"endpoints", endpoints()}};
}

void Gateway::dumpSidecar(const std::string &endpoint, std::function<void(absl::StatusOr<std::string>)> onDump)
{
    const auto link = endpointLinks_.linkOf(endpoint);
    wire::Envelope message;
    message.mutable_dump_request()->set_number(++lastDump_);
    if (!link || !endpointLinks_.send(*link, message)) {
        onDump(absl::UnavailableError("the endpoint's sidecar is not connected"));
        return;
    }
    dumpRequests_[lastDump_] = std::move(onDump);
}

const Catalogue &Gateway::catalogue()
{
    shownCatalogue_ = catalogue_.read();
    return *shownCatalogue_;
}

CatalogueEditor &Gateway::editor()
{
    return editor_;
}

const RequestTrail *Gateway::trail(const std::string &publicId) const
{
    return runner_.trail(publicId);
}

const std::deque<std::string> &Gateway::plannerDecisions() const
{
    return fleet_.decisions();
}

void Gateway::drainEndpoint(const std::string &name)
{
    const auto entry = catalogue_.read()->find(EntryKind::Endpoint, name);
    if (!entry) {
        return;
    }
    EndpointEntry endpoint = std::get<EndpointEntry>(*entry);
    endpoint.draining = true;
    editor_.edit({EntryKind::Endpoint, name, endpoint, std::nullopt}, [this, name](const absl::StatusOr<std::uint64_t> &version) {
        log_.info("endpoint drained to be given back", {{"endpoint", name}, {"result", version.status().ToString()}});
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
