#include "storeproof.h"

#include <algorithm>
#include <vector>

namespace Chestnutcove {

namespace {

constexpr std::uint32_t DownAfterFailures = 2;

}

StoreProof::StoreProof(std::string ownName, Duration lifetime, Duration downAfter)
    : ownName_(std::move(ownName))
    , lifetime_(lifetime)
    , downAfter_(downAfter)
{
}

void StoreProof::setMembership(const MembershipRow &row)
{
    membership_ = row;
}

void StoreProof::setCatalogueVersion(std::uint64_t version)
{
    catalogueVersion_ = version;
}

void StoreProof::consider(TimePoint time, const StoreHeads &heads)
{
    if (!hasProof_ || time > proofTime_) {
        hasProof_ = true;
        proofTime_ = time;
        proofHeads_ = heads;
    }
}

void StoreProof::readSucceeded(TimePoint startedAt, const StoreHeads &heads)
{
    failuresInRow_ = 0;
    lastOwnRead_ = std::max(lastOwnRead_, startedAt);
    consider(startedAt, heads);
}

void StoreProof::readFailed(TimePoint now)
{
    (void)now;
    failuresInRow_ = std::min(failuresInRow_ + 1, DownAfterFailures);
}

void StoreProof::peerReported(const PeerReport &report)
{
    vouches_[report.name] = Vouch{report.askedAt, report.membershipEpoch, report.catalogueVersion, report.storeDown};
    if (report.hasProof) {
        consider(report.askedAt - report.proofAge, report.proof);
    }
}

bool StoreProof::isStoreDown(TimePoint now) const
{
    return failuresInRow_ >= DownAfterFailures && now - lastOwnRead_ >= downAfter_;
}

TimePoint StoreProof::keysValidUntil(TimePoint now) const
{
    TimePoint until{};
    if (hasProof_ && catalogueVersion_ >= proofHeads_.catalogueVersion) {
        until = proofTime_ + lifetime_;
    }
    if (!vouchersAreNewer()) {
        until = std::max(until, outageVouchedUntil(now));
    }
    return until;
}

TimePoint StoreProof::sharesValidUntil(TimePoint now) const
{
    if (membership_.find(ownName_) == nullptr) {
        return {};
    }
    TimePoint until{};
    if (hasProof_ && proofHeads_.membershipEpoch == membership_.epoch) {
        until = proofTime_ + lifetime_;
    }
    return std::max(until, outageVouchedUntil(now));
}

TimePoint StoreProof::outageVouchedUntil(TimePoint now) const
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
        const auto it = vouches_.find(elector);
        if (it != vouches_.end() && it->second.storeDown && it->second.epoch == membership_.epoch) {
            times.push_back(it->second.at);
        }
    }
    const std::size_t majority = electors.size() / 2 + 1;
    if (times.size() < majority) {
        return {};
    }
    std::sort(times.rbegin(), times.rend());
    return times[majority - 1] + lifetime_;
}

bool StoreProof::vouchersAreNewer() const
{
    return std::any_of(
        vouches_.begin(), vouches_.end(), [this](const auto &item) { return item.second.catalogueVersion > catalogueVersion_; });
}

}
