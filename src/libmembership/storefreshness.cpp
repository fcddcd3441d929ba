#include "storefreshness.h"

#include <algorithm>
#include <vector>

namespace Chestnutcove {

namespace {

constexpr std::uint32_t MinFailuresForOutage = 2;

}

StoreFreshness::StoreFreshness(std::string ownName, Duration lifetime, Duration downAfter)
    : ownName_(std::move(ownName))
    , lifetime_(lifetime)
    , downAfter_(downAfter)
{
}

void StoreFreshness::setMembership(const MembershipRow &row)
{
    membership_ = row;
}

void StoreFreshness::setCatalogueVersion(std::uint64_t version)
{
    catalogueVersion_ = version;
}

void StoreFreshness::updateConfirmedRead(TimePoint time, const StoreVersions &versions)
{
    if (!hasConfirmedRead_ || time > confirmedReadTime_) {
        hasConfirmedRead_ = true;
        confirmedReadTime_ = time;
        confirmedVersions_ = versions;
    }
}

void StoreFreshness::onReadSucceeded(TimePoint startedAt, const StoreVersions &versions)
{
    consecutiveFailures_ = 0;
    lastOwnReadAt_ = std::max(lastOwnReadAt_, startedAt);
    updateConfirmedRead(startedAt, versions);
}

void StoreFreshness::onReadFailed(TimePoint now)
{
    (void)now;
    consecutiveFailures_ = std::min(consecutiveFailures_ + 1, MinFailuresForOutage);
}

void StoreFreshness::onPeerReport(const PeerReport &report)
{
    peerStatuses_[report.name] = PeerStatus{report.requestedAt, report.membershipEpoch, report.catalogueVersion, report.storeDown};
    if (report.hasConfirmedRead) {
        updateConfirmedRead(report.requestedAt - report.confirmedReadAge, report.confirmedVersions);
    }
}

bool StoreFreshness::isStoreDown(TimePoint now) const
{
    return consecutiveFailures_ >= MinFailuresForOutage && now - lastOwnReadAt_ >= downAfter_;
}

TimePoint StoreFreshness::keysValidUntil(TimePoint now) const
{
    TimePoint until{};
    if (hasConfirmedRead_ && catalogueVersion_ >= confirmedVersions_.catalogueVersion) {
        until = confirmedReadTime_ + lifetime_;
    }
    if (!anyPeerHasNewerCatalogue()) {
        until = std::max(until, outageConfirmedUntil(now));
    }
    return until;
}

TimePoint StoreFreshness::sharesValidUntil(TimePoint now) const
{
    if (membership_.findMember(ownName_) == nullptr) {
        return {};
    }
    TimePoint until{};
    if (hasConfirmedRead_ && confirmedVersions_.membershipEpoch == membership_.epoch) {
        until = confirmedReadTime_ + lifetime_;
    }
    return std::max(until, outageConfirmedUntil(now));
}

TimePoint StoreFreshness::outageConfirmedUntil(TimePoint now) const
{
    const std::vector<std::string> electors = membership_.electors();
    if (electors.empty()) {
        return {};
    }
    std::vector<TimePoint> times;
    for (const std::string &elector : electors) {
        if (elector == ownName_) {
            if (isStoreDown(now)) {
                times.push_back(now);
            }
            continue;
        }
        const auto it = peerStatuses_.find(elector);
        if (it != peerStatuses_.end() && it->second.storeDown && it->second.epoch == membership_.epoch) {
            times.push_back(it->second.reportedAt);
        }
    }
    const std::size_t majority = electors.size() / 2 + 1;
    if (times.size() < majority) {
        return {};
    }
    std::sort(times.rbegin(), times.rend());
    return times[majority - 1] + lifetime_;
}

bool StoreFreshness::anyPeerHasNewerCatalogue() const
{
    return std::any_of(
        peerStatuses_.begin(), peerStatuses_.end(), [this](const auto &item) { return item.second.catalogueVersion > catalogueVersion_; });
}

}
