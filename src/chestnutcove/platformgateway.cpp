#include "platformgateway.h"

#include "rendezvous.h"
#include "requestdigest.h"
#include "rowdecoder.h"
#include "storeversion.h"
#include "suspendclock.h"

#include <asio/ip/address_v4.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int Ok = 200;
constexpr int Unauthorised = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

constexpr std::uint16_t MetricsPort = 9464;
constexpr std::chrono::seconds MaxStoreConnectionAge{60};
constexpr Milliseconds StoreTimeout{700};
/** A connection to the store that went silent is noticed while the platform doesn't count this VM as in touch anyway. */
constexpr Milliseconds LongPollMargin{1200};
constexpr Milliseconds MinLongPoll{1000};
/** Time that remains to confirm the configuration anew if a poll for changes is not answered. */
constexpr Milliseconds ConfirmationMargin{1300};
/** Time after the store's return from an older copy within which the operator has written the newest configuration again. */
constexpr Milliseconds ConfigurationRewriteTime{2200};
/** Endpoints register one after the other; their changes are collected for this long. */
constexpr Milliseconds EndpointCoalescingPause{250};
/** Bytes of a rejected write's answer that are logged. */
constexpr std::size_t MaxLoggedAnswer = 200;
constexpr Milliseconds SweepInterval{200};
/** Time between two searches for what is left of endpoints that are gone. */
constexpr Milliseconds ForgetInterval{10000};
/** Keys are accepted only while the last confirmed read is younger than the bound of key revocation minus this margin. */
constexpr Milliseconds RevocationMargin{700};
constexpr Milliseconds NotReadyRetryAfter{300};
/** Callers that a late gateway refuses come back after this many times its lateness. */
constexpr int CatchUpFactor = 2;
constexpr Milliseconds StoppingRetryAfter{50};
constexpr Milliseconds BodiesRetryAfter{500};
/** Fraction that is used of the units that customers may spend beyond their quotas. */
constexpr double QuotaAllowanceFraction = 0.85;
/** The part of the memory limit that answers may use which are kept, divided by this; growing buffers use up to twice their bytes. */
constexpr std::size_t KeptAnswersDivisor = 4;
constexpr std::size_t MinKeptAnswerBytes = std::size_t{8} << 20U;
/** Fraction of the memory limit that all requests' bodies may take. A body is in memory twice while an endpoint reads it. */
constexpr std::size_t KeptBodiesDivisor = 6;
constexpr std::size_t MinKeptBodyBytes = std::size_t{8} << 20U;
/** Fraction of the fleet's retry budget that the present gateways share; the rest is for gateways that join. */
constexpr double RetryBudgetFraction = 0.6;

asio::ip::tcp::endpoint listenAddress(const NetworkAddress &address)
{
    return {asio::ip::make_address_v4(address.ip), address.port};
}

QuotaShareOptions quotaOptions(const Platform::PlatformSettings &settings)
{
    QuotaShareOptions options;
    options.allowance = settings.quotaAllowance * QuotaAllowanceFraction;
    options.overage = settings.quotaOverage * QuotaAllowanceFraction;
    options.window = settings.quotaWindow;
    return options;
}

TableMirrorOptions endpointMirrorOptions(const Platform::PlatformSettings &settings)
{
    TableMirrorOptions options;
    options.longPollTimeout = std::max(MinLongPoll, settings.contactTime - LongPollMargin);
    options.coalescingPause = EndpointCoalescingPause;
    return options;
}

TableMirrorOptions configurationMirrorOptions(const Platform::PlatformSettings &settings)
{
    const Milliseconds freshness = settings.keyRevocation - RevocationMargin;
    TableMirrorOptions options;
    options.longPollTimeout = std::max(MinLongPoll, std::min(settings.contactTime - LongPollMargin, freshness - ConfirmationMargin));
    return options;
}

}

PlatformGateway::PlatformGateway(
    Platform::PlatformSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation)
    : settings_(std::move(settings))
    , ioContext_(context)
    , log_(log)
    , metrics_(metrics)
    , incarnation_(incarnation)
    , httpClient_(context.get_executor(), MaxStoreConnectionAge)
    , table_(httpClient_, storeOptions())
    , configurationFreshness_(settings_.keyRevocation - RevocationMargin)
    , directory_({.drainTime = settings.drainDelay})
    , placement_(PlacementOptions{}, loads_)
    , pool_(context, EndpointPoolOptions{})
    , quotaLinks_(context, log)
    , quotas_(
          context, settings_.vmName, incarnation_, quotaOptions(settings_), quotaLinks_, [this] { return catalogue_; }, metrics, log)
    , endpointAdmission_(
          context,
          settings_.vmName,
          incarnation_,
          quotaLinks_,
          [this]() -> const RemoteClock & { return fleet_.storeClock(); },
          metrics,
          log)
    , fleet_(
          settings_,
          context,
          table_,
          httpClient_,
          storeOptions(),
          pool_,
          directory_,
          quotaLinks_,
          quotas_.limits(),
          endpointAdmission_,
          [this] { return catalogue_; },
          incarnation_,
          metrics_,
          log)
    , stopSchedule_(settings_.stopGrace)
    , keptAnswers_(std::max(MinKeptAnswerBytes, settings_.memoryBytes / KeptAnswersDivisor))
    , forwarding_{context,
                  log,
                  metrics,
                  pool_,
                  directory_,
                  loads_,
                  placement_,
                  settings_.dataCentre,
                  fleet_,
                  quotas_,
                  endpointAdmission_,
                  keptAnswers_,
                  stopSchedule_,
                  settings_.retryRatio * RetryBudgetFraction,
                  settings_.retryReserve * RetryBudgetFraction,
                  settings_.hedgeRatio,
                  [this] { return loadShedder_.refusedFraction(eventLoopMonitor_.lateness()) > 0; }}
    , configurationMirror_(context,
                           table_,
                           log,
                           Platform::OperatorTable,
                           Platform::ConfigurationKey,
                           std::string(Platform::ConfigurationKey) + '!',
                           configurationMirrorOptions(settings_),
                           {[this](const TableRows &rows) {
                                if (const auto it = rows.find(Platform::ConfigurationKey); it != rows.end()) {
                                    onConfiguration(it->second.value, it->second.version);
                                }
                            },
                            [this](const auto &changes) {
                                for (const auto &change : changes) {
                                    if (change.value) {
                                        configurationRestoredAt_.reset();
                                        onConfiguration(*change.value, change.version);
                                    }
                                }
                            },
                            [this](TimePoint time) { onConfigurationConfirmed(time); },
                            [](bool) {},
                            [this] { configurationRestoredAt_ = suspendAwareNow(); }})
    , endpointMirror_(context,
                      table_,
                      log,
                      Platform::EndpointTable,
                      "",
                      "",
                      endpointMirrorOptions(settings_),
                      {[this](const TableRows &rows) { onEndpointRows(rows, suspendAwareNow()); },
                       [this](const auto &changes) { onEndpointChanges(changes, suspendAwareNow()); },
                       [](TimePoint) {},
                       [this](bool reachable) {
                           if (reachable) {
                               directory_.onStoreRecovered(suspendAwareNow());
                           } else {
                               directory_.onStoreLost();
                           }
                       },
                       [this] { directory_.onStoreRestored(suspendAwareNow()); }})
    , eventLoopMonitor_(
          context,
          [this] {
              return EventLoopMonitor::Load{
                  callerServer_->openConnectionCount(), callerServer_->requestsOfGoneCallers(), forwarding_.requests.size()};
          },
          metrics,
          log)
{
}

PlatformGateway::~PlatformGateway() = default;

PlatformOptions PlatformGateway::storeOptions()
{
    PlatformOptions options;
    options.url = "http://" + settings_.store.text();
    options.timeout = StoreTimeout;
    options.seenEra = seenEra_;
    options.onWriteRejected = [this](int status, const std::string &body) {
        metrics_.counter("store_writes_rejected_total").add();
        log_.error("the store rejected a write", {{"status", std::to_string(status)}, {"answer", body.substr(0, MaxLoggedAnswer)}});
    };
    return options;
}

absl::Status PlatformGateway::start()
{
    if (!settings_.callerListen || !settings_.readinessListen) {
        return absl::InvalidArgumentError("platform settings: a gateway needs addresses to listen on for callers and for readiness");
    }
    const auto limits = [this] { return catalogue_ ? catalogue_->limits() : CallerLimits{}; };
    const auto defaultLimits = [] { return CallerLimits{}; };
    const auto onStatus = [this](const std::shared_ptr<CallerExchange> &exchange) { onStatusRequest(exchange); };
    try {
        callerServer_ = std::make_unique<CallerServer>(
            ioContext_,
            listenAddress(*settings_.callerListen),
            limits,
            [this](const auto &exchange) { onRequest(exchange); },
            std::max(MinKeptBodyBytes, settings_.memoryBytes / KeptBodiesDivisor));
        readinessServer_ = std::make_unique<CallerServer>(ioContext_, listenAddress(*settings_.readinessListen), defaultLimits, onStatus);
        metricsServer_ = std::make_unique<CallerServer>(ioContext_, listenAddress({settings_.ip, MetricsPort}), defaultLimits, onStatus);
    } catch (const std::system_error &error) {
        return absl::UnavailableError(std::string("can't listen: ") + error.what());
    }
    metrics_.gauge("kept_answer_bytes", [this] { return static_cast<double>(keptAnswers_.used()); });
    metrics_.gauge("kept_body_bytes", [this] { return static_cast<double>(callerServer_->keptBodyBytes()); });
    metrics_.gauge("requests_of_gone_callers", [this] { return static_cast<double>(callerServer_->requestsOfGoneCallers()); });
    // Posted, so that the ports, which the program prints after start(), are the first line of its output.
    asio::post(ioContext_, [this] {
        log_.info("started", {{"callers", settings_.callerListen->text()}, {"incarnation", std::to_string(incarnation_)}});
    });
    eventLoopMonitor_.start();
    configurationMirror_.start();
    endpointMirror_.start();
    fleet_.start();
    runEvery(SweepInterval, [this](TimePoint now) {
        callerServer_->closeExpiredConnections(now);
        readinessServer_->closeExpiredConnections(now);
        metricsServer_->closeExpiredConnections(now);
        pool_.closeExpiredConnections(now);
        dropEndedEndpoints(now);
        fleet_.tick(now);
        tryFinishStop(now);
    });
    runEvery(ForgetInterval, [this](TimePoint) { forgetGoneEndpoints(); });
    return absl::OkStatus();
}

void PlatformGateway::runEvery(Milliseconds interval, std::function<void(TimePoint)> action)
{
    auto timer = std::make_unique<asio::steady_timer>(ioContext_);
    auto *timerPointer = timer.get();
    timers_.push_back(std::move(timer));
    const auto startTimer = std::make_shared<std::function<void()>>();
    *startTimer = [timerPointer, interval, action = std::move(action), weak = std::weak_ptr(startTimer)] {
        timerPointer->expires_after(interval);
        timerPointer->async_wait([action, restartTimer = weak.lock()](const std::error_code &error) {
            if (!error) {
                action(suspendAwareNow());
                (*restartTimer)();
            }
        });
    };
    (*startTimer)();
}

void PlatformGateway::onConfiguration(const std::string &value, std::uint64_t rowVersion)
{
    auto configuration = Platform::decodeConfiguration(value);
    if (!configuration.ok()) {
        log_.error("configuration unreadable", {{"reason", std::string(configuration.status().message())}});
        return;
    }
    const bool isInForce = catalogue_ && configuration->version == catalogue_->version();
    if (isInForce && StoreVersion::numberOf(rowVersion) != StoreVersion::numberOf(configurationRowVersion_)) {
        // The operator has written it again since the store's return.
        configurationRestoredAt_.reset();
    }
    // Versions only increase. A read whose result arrives late must not restore an older version.
    if (catalogue_ && configuration->version <= catalogue_->version()) {
        return;
    }
    log_.info("configuration in force",
              {{"version", std::to_string(configuration->version)},
               {"before", catalogue_ ? std::to_string(catalogue_->version()) : "none"},
               {"routes", std::to_string(configuration->routes.size())},
               {"customers", std::to_string(configuration->customers.size())}});
    catalogue_ = std::make_shared<const RouteCatalogue>(std::move(*configuration));
    configurationRowVersion_ = rowVersion;
}

void PlatformGateway::onConfigurationConfirmed(TimePoint time)
{
    // An older copy of the store may lack the newest configuration until the operator has written it again, so it proves nothing.
    const bool mayBeOutOfDate = configurationRestoredAt_ && suspendAwareNow() - *configurationRestoredAt_ < ConfigurationRewriteTime;
    if (catalogue_ && !mayBeOutOfDate) {
        configurationFreshness_.recordRead(time);
    }
}

std::optional<EndpointRecord> PlatformGateway::decodeEndpoint(const std::string &id, const std::string &value)
{
    auto record = Platform::decodeEndpoint(id, value);
    if (record.ok()) {
        unreadableEndpoints_.erase(id);
        return std::move(*record);
    }
    if (unreadableEndpoints_.insert(id).second) {
        log_.warning("endpoint entry unreadable", {{"endpoint", id}, {"reason", std::string(record.status().message())}});
    }
    return std::nullopt;
}

void PlatformGateway::onEndpointRows(const TableRows &rows, TimePoint now)
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, row] : rows) {
        if (auto record = decodeEndpoint(id, row.value)) {
            records.push_back(std::move(*record));
        }
    }
    directory_.replaceAll(records, now);
    dropEndedEndpoints(now);
}

void PlatformGateway::onEndpointChanges(const std::vector<TableChanges::Change> &changes, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &change : changes) {
        const auto record = change.value ? decodeEndpoint(change.key, *change.value) : std::nullopt;
        if (record) {
            directory_.onRegistered(*record);
            std::erase(missing, change.key);
        } else {
            missing.push_back(change.key);
        }
    }
    directory_.onEntriesMissing(missing, now);
    dropEndedEndpoints(now);
}

void PlatformGateway::dropEndedEndpoints(TimePoint now)
{
    for (const auto &record : directory_.takeEndedRuns(now)) {
        log_.info("endpoint gone", {{"endpoint", record.id}, {"service", record.service}});
        pool_.closeIdleConnections(record);
        loads_.removeEndpoint(record.id);
        placement_.removeEndpoint(record.id);
        endpointAdmission_.removeEndpoint(record);
    }
}

void PlatformGateway::forgetGoneEndpoints()
{
    std::set<std::string> present;
    for (const auto &record : directory_.allEndpoints()) {
        present.insert(record.id);
    }
    loads_.keepOnly(present);
    placement_.keepOnly(present);
}

void PlatformGateway::onRequest(const std::shared_ptr<CallerExchange> &exchange)
{
    Platform::RequestMetadata facts = Platform::decodeRequest(exchange->head());
    const Duration lateness = eventLoopMonitor_.lateness();
    if (loadShedder_.mustRefuse(lateness, facts.requestId)) {
        const auto retryAfter = std::chrono::duration_cast<Milliseconds>(lateness * CatchUpFactor);
        refuseRequest(exchange, facts, Unavailable, "gateway is late", retryAfter);
        return;
    }
    if (exchange->isBodyGivenUp()) {
        refuseRequest(exchange, facts, Unavailable, "too many bytes of requests", BodiesRetryAfter);
        return;
    }
    if (!catalogue_) {
        refuseRequest(exchange, facts, Unavailable, "no configuration yet", NotReadyRetryAfter);
        return;
    }
    admitRequest(exchange, std::move(facts));
}

void PlatformGateway::admitRequest(const std::shared_ptr<CallerExchange> &exchange, Platform::RequestMetadata facts)
{
    const bool mayDeny = isConfigurationNewEnoughToDeny();
    const HeaderField *host = findField(exchange->head().fields, "Host");
    const Route *route = catalogue_->findRoute(host == nullptr ? "" : host->value, exchange->head().path());
    if (route == nullptr) {
        // With an old configuration the route may exist by now, so the caller is told to retry.
        refuseRequest(
            exchange, facts, mayDeny ? NotFound : Unavailable, "no route", mayDeny ? std::nullopt : std::optional(NotReadyRetryAfter));
        return;
    }
    const Duration timeLimit = std::min<Duration>(route->timeout, facts.maxWait.value_or(route->timeout));
    if (fleet_.isLeaving() || !stopSchedule_.mayBegin(suspendAwareNow(), exchange->arrivedAt() + timeLimit)) {
        refuseRequest(exchange, facts, Unavailable, "stopping", StoppingRetryAfter);
        return;
    }
    AdmittedRequest request;
    request.catalogue = catalogue_;
    request.route = route;
    request.service = chooseService(*catalogue_, *route, facts.requestId);
    request.facts = std::move(facts);
    if (request.service == nullptr) {
        refuseRequest(exchange, request.facts, Unavailable, "route without a service", NotReadyRetryAfter);
        return;
    }
    if (catalogue_->needsKeys() && !route->anonymous) {
        if (!configurationFreshness_.isFresh(suspendAwareNow())) {
            refuseRequest(exchange, request.facts, Unavailable, "keys not fresh", NotReadyRetryAfter);
            return;
        }
        const CustomerQuota *customer = catalogue_->findCustomer(request.facts.key);
        if (customer == nullptr) {
            refuseRequest(exchange,
                          request.facts,
                          mayDeny ? Unauthorised : Unavailable,
                          "unknown key",
                          mayDeny ? std::nullopt : std::optional(NotReadyRetryAfter));
            return;
        }
        request.customer = customer->name;
        if (refuseCrashingRequest(exchange, request)) {
            return;
        }
        if (customer->rate > 0) {
            spendQuota(exchange, std::move(request), *customer);
            return;
        }
    } else if (refuseCrashingRequest(exchange, request)) {
        return;
    }
    forwardRequest(exchange, std::move(request));
}

bool PlatformGateway::isConfigurationNewEnoughToDeny() const
{
    const auto age = configurationFreshness_.age(suspendAwareNow());
    return age && *age <= std::min<Duration>(settings_.configurationDelay, settings_.keyRevocation - RevocationMargin);
}

bool PlatformGateway::refuseCrashingRequest(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest &request)
{
    request.content
        = {request.service->name, request.facts.promptParts, requestDigest(exchange->head().target, request.customer, exchange->body())};
    const auto wait = fleet_.crashReporter().blockedFor(request.content);
    if (wait) {
        refuseRequest(exchange, request.facts, Unavailable, "crashes endpoints", std::chrono::duration_cast<Milliseconds>(*wait));
    }
    return wait.has_value();
}

void PlatformGateway::forwardRequest(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest request)
{
    std::make_shared<ForwardedRequest>(forwarding_, exchange, std::move(request))->start();
}

void PlatformGateway::spendQuota(const std::shared_ptr<CallerExchange> &exchange, AdmittedRequest request, const CustomerQuota &customer)
{
    if (!quotas_.limits().isReady()) {
        refuseRequest(exchange, request.facts, Unavailable, "holders of the quota not known yet", NotReadyRetryAfter);
        return;
    }
    const auto &facts = request.facts;
    const double tokens
        = facts.promptTokens ? static_cast<double>(*facts.promptTokens + facts.maxOutputTokens) : customer.defaultRequestTokens;
    const double units = customer.countsTokens ? tokens : 1;
    const auto isDecided = std::make_shared<bool>(false);
    // The request keeps its catalogue, and so the customer, alive.
    const auto pending = std::make_shared<AdmittedRequest>(std::move(request));
    const auto id
        = quotas_.limits().admit(customer, units, [this, exchange, pending, &customer, units, isDecided](const QuotaVerdict &verdict) {
              *isDecided = true;
              exchange->onCallerGone(nullptr);
              onQuotaVerdict(exchange, std::move(*pending), customer, units, verdict);
          });
    if (!*isDecided) {
        exchange->onCallerGone([this, id, pending] {
            quotas_.limits().cancel(id);
            log_.info("request done", {{"request", pending->facts.requestId}, {"outcome", "caller left before its quota was decided"}});
        });
    }
}

void PlatformGateway::onQuotaVerdict(const std::shared_ptr<CallerExchange> &exchange,
                                     AdmittedRequest request,
                                     const CustomerQuota &customer,
                                     double units,
                                     const QuotaVerdict &verdict)
{
    if (verdict.result == QuotaVerdict::Result::Admitted) {
        request.quota = {customer.name, verdict.lots};
        forwardRequest(exchange, std::move(request));
        return;
    }
    const bool isUsedUp = verdict.result == QuotaVerdict::Result::RateLimited;
    const auto wait = isUsedUp ? std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(verdict.wait)) : NotReadyRetryAfter;
    const Duration asked = suspendAwareNow() - exchange->arrivedAt();
    log_.info("quota checked",
              {{"request", request.facts.requestId},
               {"customer", customer.name},
               {"units", std::to_string(static_cast<std::int64_t>(units))},
               {"rate", std::to_string(static_cast<std::int64_t>(customer.rate))},
               {"burst", std::to_string(static_cast<std::int64_t>(customer.burst))},
               {"outcome", isUsedUp ? "used up" : "no holder answers"},
               {"refusals", std::to_string(verdict.refusals)},
               {"timeouts", std::to_string(verdict.timeouts)},
               {"division", std::to_string(quotas_.limits().divisionNumber())},
               {"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(asked).count())},
               {"retryMs", std::to_string(wait.count())}});
    if (isUsedUp) {
        refuseRequest(exchange, request.facts, TooManyRequests, "quota used up", wait);
    } else {
        refuseRequest(exchange, request.facts, Unavailable, "no holder of the quota answers", wait);
    }
}

const RoutedService *PlatformGateway::chooseService(const RouteCatalogue &catalogue, const Route &route, const std::string &requestId) const
{
    double total = 0;
    for (const auto &weighted : route.services) {
        total += weighted.weight;
    }
    constexpr double HashRange = 1 << 24;
    double point = static_cast<double>(rendezvousHash(requestId + route.name) % static_cast<std::uint64_t>(HashRange)) / HashRange * total;
    for (const auto &weighted : route.services) {
        point -= weighted.weight;
        if (point < 0) {
            return catalogue.findService(weighted.service);
        }
    }
    return catalogue.findService(route.services.front().service);
}

void PlatformGateway::refuseRequest(const std::shared_ptr<CallerExchange> &exchange,
                                    const Platform::RequestMetadata &facts,
                                    int status,
                                    std::string_view reason,
                                    std::optional<Milliseconds> retryAfter)
{
    const auto age = configurationFreshness_.age(suspendAwareNow());
    exchange->sendResponse(Platform::encodeGatewayResponse(status, facts.requestId, retryAfter), "");
    metrics_.counter("refused_total{reason=\"" + std::string(reason) + "\"}").add();
    log_.info("request refused",
              {{"request", facts.requestId},
               {"status", std::to_string(status)},
               {"reason", std::string(reason)},
               {"catalogueVersion", catalogue_ ? std::to_string(catalogue_->version()) : "none"},
               {"proofAgeMs", age ? std::to_string(std::chrono::duration_cast<Milliseconds>(*age).count()) : "none"}});
}

bool PlatformGateway::isReady(TimePoint now) const
{
    return !stopSchedule_.isStopping() && catalogue_ && configurationFreshness_.isFresh(now)
        && (!hasQuotas() || quotas_.limits().isReady());
}

bool PlatformGateway::hasQuotas() const
{
    const auto &customers = catalogue_->customers();
    return std::any_of(customers.begin(), customers.end(), [](const auto &customer) { return customer.rate > 0; });
}

void PlatformGateway::onStatusRequest(const std::shared_ptr<CallerExchange> &exchange)
{
    if (Platform::isReadinessRequest(exchange->head())) {
        const int status = isReady(suspendAwareNow()) ? Ok : Unavailable;
        exchange->sendResponse(Platform::encodeGatewayResponse(status, "", std::nullopt), "");
        return;
    }
    if (exchange->head().path() == "/metrics") {
        exchange->sendResponse({Ok, std::string(reasonPhrase(Ok)), {{"Content-Type", "text/plain; version=0.0.4"}}},
                               metrics_.toPrometheusText());
        return;
    }
    exchange->sendResponse(Platform::encodeGatewayResponse(NotFound, "", std::nullopt), "");
}

void PlatformGateway::stop(std::function<void()> onStopped)
{
    log_.info("stopping", {{"connections", std::to_string(callerServer_->openConnectionCount())}});
    stopSchedule_.begin(suspendAwareNow());
    onStopped_ = std::move(onStopped);
    callerServer_->announceClose();
    fleet_.releaseLease();
}

std::uint16_t PlatformGateway::callerPort() const
{
    return callerServer_->port();
}

std::uint16_t PlatformGateway::readinessPort() const
{
    return readinessServer_->port();
}

void PlatformGateway::checkReloadedSettings(const absl::StatusOr<Platform::PlatformSettings> &settings)
{
    if (!settings.ok()) {
        log_.error("settings unreadable; the old ones stay in force", {{"reason", std::string(settings.status().message())}});
        return;
    }
    const bool needsRestart = settings->callerListen != settings_.callerListen || settings->store != settings_.store;
    log_.info("settings reloaded", {{"needsRestart", needsRestart ? "yes" : "no"}});
}

void PlatformGateway::tryFinishStop(TimePoint now)
{
    if (!onStopped_ || !stopSchedule_.mayCloseIdleConnections(now)) {
        return;
    }
    callerServer_->closeIdleConnections();
    const bool isDrained = callerServer_->openConnectionCount() == 0;
    if (isDrained || stopSchedule_.mustLeave(now)) {
        fleet_.flushAndLeave();
    }
    if (stopSchedule_.mustEndRequests(now)) {
        forwarding_.endRequests();
    }
    if ((isDrained && fleet_.hasLeft()) || stopSchedule_.mustEndProcess(now)) {
        log_.info("stopped", {{"connectionsLeft", std::to_string(callerServer_->openConnectionCount())}});
        std::exchange(onStopped_, nullptr)();
    }
}

}
