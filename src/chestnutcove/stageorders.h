/**
 * Gives engines the stages that the plan wants, while this gateway holds the duty's lease. An engine is asked for its state first, and
 * takes the order only if no other came between; one whose answer was lost gets no further order until a late one can no longer be carried
 * out.
 */
#pragma once

#include "dutylease.h"
#include "endpointpool.h"
#include "httptable.h"
#include "metrics.h"
#include "requestcodec.h"
#include "stageplanner.h"
#include "storeformat.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

using PlatformTable = BasicHttpTable<Platform::StoreFormat>;

class StageOrders
{
public:
    StageOrders(EndpointPool &pool,
                PlatformTable &table,
                const BasicDutyLease<PlatformTable> &lease,
                std::string holder,
                Metrics &metrics,
                const Log &log);

    /** The row by which changes are announced to all gateways before they are ordered. */
    static constexpr const char *AnnouncementKey = "plan/stages";
    /** Announced stages by endpoint. */
    static absl::StatusOr<std::map<std::string, EngineStage>> announcedStages(const std::string &text);

    /** Plans and orders for one service. @param work over all gateways; nothing while none was seen. */
    void
    tick(const RoutedService &service, const std::vector<EndpointRecord> &engines, const std::optional<EngineWork> &work, TimePoint now);
    /** Gives the orders that were announced long enough ago. To be called several times a second. */
    void orderDue(TimePoint now);

private:
    struct Ordered
    {
        EngineStage stage = EngineStage::Decode;
        /** The change, or an order that may be carried out late, is over by then. */
        TimePoint until;
        /** Set until the order is given: when every gateway has seen the announcement. */
        std::optional<TimePoint> orderAt;
        StageChange change;
        Duration stageChange{};
    };

    void announce();
    void ask(const StageChange &change, Duration stageChange);
    void order(const StageChange &change, const Platform::EngineReport &report, Duration stageChange);
    void call(const EndpointRecord &engine, Platform::EncodedCall encoded, std::function<void(int status, const std::string &body)> onDone);

    EndpointPool &pool_;
    PlatformTable &table_;
    const BasicDutyLease<PlatformTable> &lease_;
    std::string holder_;
    Metrics &metrics_;
    const Log &log_;
    std::map<std::string, StagePlanner> plans_;
    /** By engine's id. */
    std::map<std::string, Ordered> ordered_;
};

}
