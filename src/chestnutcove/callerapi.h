/**
 * Parses, authenticates and validates callers' requests on the HTTP threads, and hands valid ones to the request runner.
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

/** The time until which requests with keys may be served. The core thread sets it; the HTTP threads read it. */
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
    void handleRequest(HttpRequest request, const HttpReply &reply);
    /** Makes handleRequest() refuse every further request with CallerError::ShuttingDown, marked as not run. */
    void setShuttingDown();

private:
    using ParseOutcome = std::variant<CallerRequest, CallerFailure>;

    /** Calls parseRequest() and reports a JSON type error that it did not check for as an invalid request. */
    ParseOutcome readRequest(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    ParseOutcome parseRequest(HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    ParseOutcome parseChat(HttpRequest &request, CallerRequest result, const Catalogue &catalogue) const;
    ParseOutcome parseServiceRequest(HttpRequest &request, CallerRequest result, const ServiceEntry &service) const;
    /** Authenticates the caller and sets the request's customer; @return the failure, or nothing on success. */
    std::optional<CallerFailure> authenticateCaller(const HttpRequest &request, const Catalogue &catalogue, CallerRequest &result) const;
    void listModels(const HttpRequest &request, const HttpReply &reply, const Catalogue &catalogue, const std::string &publicId) const;
    std::string publicIdFor(const HttpRequest &request);

    const GatewaySettings &settings_;
    const Snapshot<Catalogue> &catalogue_;
    const KeyFreshness &freshness_;
    Metrics &metrics_;
    std::uint64_t incarnation_;
    RequestHandler onRequest_;
    std::atomic<std::uint64_t> lastRequestNumber_ = 0;
    std::atomic<bool> shuttingDown_ = false;
};

}
