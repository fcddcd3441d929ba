/**
 * Reads and checks callers' requests on the HTTP threads: body, key, catalogue entry. What passes goes to the request runner.
 */
#pragma once

#include "callerrequest.h"
#include "catalogue.h"
#include "metrics.h"
#include "settings.h"
#include "snapshot.h"

#include <atomic>
#include <functional>
#include <variant>

namespace Chestnutcove {

/** Whether keyed requests may be served, as the core thread last decided; read by the HTTP threads. */
class KeyFreshness
{
public:
    void setValidUntil(TimePoint time);
    bool isFresh(TimePoint now) const;

private:
    std::atomic<TimePoint::rep> validUntil_ = 0;
};

class CallerApi
{
public:
    using RequestHandler = std::function<void(CallerRequest)>;

    CallerApi(const GatewaySettings &settings,
              const Snapshot<Catalogue> &catalogue,
              const KeyFreshness &freshness,
              Metrics &metrics,
              std::uint64_t incarnation,
              RequestHandler onRequest);

    /** Handles one request; called by the HTTP threads. */
    void handle(HttpRequest request, const HttpReply &reply);
    /** Refuses everything from now on, as not run. */
    void setShuttingDown();

private:
    using Outcome = std::variant<CallerRequest, CallerFailure>;

    /** As read(); data of a wrong shape that it did not expect is an invalid request too. */
    Outcome readGuarded(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    Outcome read(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    Outcome readChat(HttpRequest &request, CallerRequest result, const Catalogue &catalogue) const;
    Outcome readService(HttpRequest &request, CallerRequest result, const ServiceEntry &service) const;
    /** Sets the customer; nothing on success. */
    std::optional<CallerFailure> identify(const HttpRequest &request, const Catalogue &catalogue, CallerRequest &result) const;
    void listModels(const HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    std::string newPublicId(const HttpRequest &request);

    const GatewaySettings &settings_;
    const Snapshot<Catalogue> &catalogue_;
    const KeyFreshness &freshness_;
    Metrics &metrics_;
    std::uint64_t incarnation_;
    RequestHandler onRequest_;
    std::atomic<std::uint64_t> lastRequest_ = 0;
    std::atomic<bool> shuttingDown_ = false;
};

}
