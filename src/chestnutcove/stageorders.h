/**
 * Orders engines to change to the stages that StagePlanner assigns, while this gateway holds the lease of the duty. An engine is asked for
 * its state first and accepts the order only if it has accepted no other one since. If the answer to an order is lost, the engine gets no
 * further order until the lost one can no longer be carried out late.
 */
#pragma once

#include "dutylease.h"
#include "endpointdirectory.h"
#include "endpointpool.h"
#include "endpointspeeds.h"
#include "metrics.h"
#include "platformtable.h"
#include "requestcodec.h"
#include "stageplanner.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

class StageOrders
{
public:
    /** @param directory says which engines get no orders, since their data centre is evacuated. */
    StageOrders(EndpointPool &pool,
                const EndpointDirectory &directory,
                PlatformTable &table,
                const BasicDutyLease<PlatformTable> &lease,
                std::string holder,
                const EndpointSpeeds &speeds,
                Metrics &metrics,
                const Log &log);

    /** The row in which changes of stages are announced to all gateways before they are ordered. */
    static constexpr const char *AnnouncementKey = "plan/stages";
    /** Decodes the announcement row. @return the announced stages by endpoint id. */
    static absl::StatusOr<std::map<std::string, EngineStage>> parseAnnouncement(const std::string &text);

    /** Plans, announces and orders the changes of one service. @param work over all gateways; empty without traffic. */
    void
    tick(const RoutedService &service, const std::vector<EndpointRecord> &engines, const std::optional<EngineWork> &work, TimePoint now);
    /** Sends the orders that were announced long enough ago. To be called several times a second. */
    void sendDueOrders(TimePoint now);

private:
    struct PendingChange
    {
        EngineStage stage = EngineStage::Decode;
        /**
         * Before this time the engine gets no other order, because the change is in progress, the engine has just refused an order, or an
         * order whose answer was lost may still be carried out.
         */
        TimePoint expiresAt;
        /** Time by which every gateway has read the announcement, so that the order may be sent. Empty once it was sent. */
        std::optional<TimePoint> orderDueAt;
        StageChange change;
        Duration changeDuration{};
    };

    /** The learned prefill rates of the engines whose rate is known. */
    EngineRates learnedRates(const std::vector<EndpointRecord> &engines, TimePoint now) const;
    void writeAnnouncement();
    /** Asks the engine for its state and then sends the order if it is still needed. */
    void requestReport(const StageChange &change, Duration changeDuration);
    void sendOrder(const StageChange &change, const Platform::EngineReport &report, Duration changeDuration);
    /** @param onDone gets status 0 if no complete answer arrived or the call was not sent. */
    void callEngine(const EndpointRecord &engine,
                    Platform::EncodedCall encoded,
                    std::function<void(int status, const std::string &body)> onDone);

    EndpointPool &pool_;
    const EndpointDirectory &directory_;
    PlatformTable &table_;
    const BasicDutyLease<PlatformTable> &lease_;
    std::string holder_;
    const EndpointSpeeds &speeds_;
    Metrics &metrics_;
    const Log &log_;
    std::map<std::string, StagePlanner> planners_;
    /** By engine id. */
    std::map<std::string, PendingChange> pendingChanges_;
};

}
