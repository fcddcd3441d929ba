#include "endpointunit.h"

#include <memory>
#include <utility>

namespace Chestnutcove {

EndpointUnit::EndpointUnit(EndpointAdmission &admission)
    : admission_(admission)
{
}

void EndpointUnit::take(const EndpointRecord &endpoint, std::function<void(bool isTaken)> onDecided)
{
    const auto isDecided = std::make_shared<bool>(false);
    const auto id = admission_.takeUnit(endpoint, [this, isDecided, onDecided = std::move(onDecided)](std::optional<LimitCharge> unit) {
        *isDecided = true;
        pending_.reset();
        unit_ = std::move(unit);
        onDecided(unit_.has_value());
    });
    if (!*isDecided) {
        pending_ = id;
    }
}

void EndpointUnit::use()
{
    unit_.reset();
}

void EndpointUnit::returnUnused()
{
    if (unit_) {
        admission_.returnUnit(*std::exchange(unit_, std::nullopt));
    }
}

void EndpointUnit::cancel()
{
    if (pending_) {
        admission_.cancel(*std::exchange(pending_, std::nullopt));
    }
    returnUnused();
}

}
