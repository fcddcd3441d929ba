#include "coldstarts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::chrono::seconds RateWindow{1};
/** A crashed endpoint that returns later than this is taken for a new one, whose entry states how long it is cold. */
constexpr std::chrono::minutes LastRunMemory{10};
/** Time after which a unit may be there where all of them are taken by requests that are about to be sent. */
constexpr std::chrono::milliseconds PendingUnitPause{50};

}

ColdStarts::ColdStarts(ColdShares shares)
    : shares_(std::move(shares))
{
}

std::string ColdStarts::runOf(const EndpointRecord &record)
{
    return record.id + '/' + std::to_string(record.startedAt);
}

void ColdStarts::setServices(std::map<std::string, ColdService> services)
{
    services_ = std::move(services);
    longestColdTime_ = {};
    for (const auto &[name, service] : services_) {
        longestColdTime_ = std::max(longestColdTime_, service.coldTime);
    }
    for (auto &[key, run] : runs_) {
        run.sharesGeneration = 0;
        noteColdUntil(coldUntil(run));
    }
    for (const auto &[dataCentre, time] : releasedAt_) {
        noteColdUntil(time + longestColdTime_);
    }
}

void ColdStarts::onAllEntries(const std::vector<EndpointRecord> &records, TimePoint now)
{
    for (const EndpointRecord &record : records) {
        onEntry(record, now);
    }
    hasReadAll_ = true;
}

void ColdStarts::onEntry(const EndpointRecord &record, TimePoint now)
{
    const auto it = runs_.find(runOf(record));
    if (it != runs_.end() && it->second.record.isSameRun(record)) {
        updateRun(it->second, record, now);
        return;
    }
    const auto last = lastRuns_.find(record.id);
    if (last != lastRuns_.end() && record.startedAt < last->second.startedAt) {
        // From an older copy of the store.
        return;
    }
    addRun(record, now);
}

void ColdStarts::addRun(const EndpointRecord &record, TimePoint now)
{
    const std::string key = runOf(record);
    const std::string address = record.address.text();
    const auto before = runs_.find(key);
    const bool hasMoved = before != runs_.end();
    const bool isReturn = hasMoved || isOtherRunKnown(record.id, key) || isOtherRunKnown(address, key);
    Run run;
    run.record = record;
    run.statedUntil = now + record.coldStartRemaining;
    if (hasReadAll_ && isReturn) {
        run.assumedSince = now;
    }
    if (hasMoved) {
        // Units that were taken are still returned or sent under this name.
        run.taken = before->second.taken;
        run.wasCold = before->second.wasCold;
    }
    noteColdUntil(std::max(run.statedUntil, coldUntil(run)));
    runs_.insert_or_assign(key, std::move(run));
    lastRuns_.insert_or_assign(record.id, LastRun{key, record.startedAt, std::nullopt});
    lastRuns_.insert_or_assign(address, LastRun{key, record.startedAt, std::nullopt});
}

void ColdStarts::updateRun(Run &run, const EndpointRecord &record, TimePoint now)
{
    const bool isOlder = record.startedAt > 0 && record.sequence < run.record.sequence;
    const bool isSame = record.sequence == run.record.sequence && record.coldStartRemaining == run.record.coldStartRemaining;
    if (isOlder || isSame) {
        return;
    }
    run.record = record;
    run.assumedSince.reset();
    // An entry may have been written before the run said in an answer that it is cold, so it never shortens that time.
    run.statedUntil = std::max<TimePoint>(run.statedUntil, now + record.coldStartRemaining);
    noteColdUntil(run.statedUntil);
}

bool ColdStarts::isOtherRunKnown(const std::string &name, const std::string &run) const
{
    const auto it = lastRuns_.find(name);
    return it != lastRuns_.end() && it->second.run != run;
}

void ColdStarts::onAnswer(const EndpointRecord &record, Duration remaining, TimePoint now)
{
    const auto it = runs_.find(runOf(record));
    if (it == runs_.end()) {
        return;
    }
    it->second.assumedSince.reset();
    it->second.statedUntil = now + remaining;
    noteColdUntil(it->second.statedUntil);
}

void ColdStarts::onDataCentreReleased(const std::string &dataCentre, TimePoint now)
{
    releasedAt_[dataCentre] = now;
    noteColdUntil(now + longestColdTime_);
}

void ColdStarts::remove(const EndpointRecord &record, TimePoint now)
{
    const std::string key = runOf(record);
    const auto it = runs_.find(key);
    if (it == runs_.end() || !it->second.record.isSameRun(record)) {
        return;
    }
    for (const std::string &name : {record.id, record.address.text()}) {
        const auto last = lastRuns_.find(name);
        if (last != lastRuns_.end() && last->second.run == key) {
            last->second.goneAt = now;
        }
    }
    runs_.erase(it);
}

const ColdService *ColdStarts::findService(const std::string &name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

const ColdStarts::Run *ColdStarts::findRun(const EndpointRecord &record) const
{
    const auto it = runs_.find(runOf(record));
    return it == runs_.end() ? nullptr : &it->second;
}

TimePoint ColdStarts::coldUntil(const Run &run) const
{
    const ColdService *service = findService(run.record.service);
    if (service == nullptr) {
        return {};
    }
    TimePoint until = run.statedUntil;
    if (run.assumedSince) {
        until = std::max<TimePoint>(until, *run.assumedSince + service->coldTime);
    }
    if (const auto it = releasedAt_.find(run.record.dataCentre); it != releasedAt_.end()) {
        until = std::max<TimePoint>(until, it->second + service->coldTime);
    }
    return until;
}

bool ColdStarts::mayAnyBeCold(TimePoint now) const
{
    return now < latestColdUntil_ && !services_.empty();
}

const ColdStarts::Run *ColdStarts::findCold(const EndpointRecord &record, TimePoint now) const
{
    const Run *run = mayAnyBeCold(now) ? findRun(record) : nullptr;
    return run != nullptr && now < coldUntil(*run) ? run : nullptr;
}

bool ColdStarts::isCold(const EndpointRecord &record, TimePoint now) const
{
    return findCold(record, now) != nullptr;
}

std::size_t ColdStarts::shareOf(const Run &run, TimePoint now) const
{
    if (run.sharesGeneration != shares_.generation()) {
        run.shares = shares_.sharesOf(runOf(run.record), findService(run.record.service)->limit);
        run.sharesGeneration = shares_.generation();
    }
    return shares_.allowedOf(run.shares, now);
}

std::size_t ColdStarts::sentInWindow(const Run &run, TimePoint now)
{
    const auto isRecent = [now](TimePoint sentAt) { return now - sentAt < RateWindow; };
    return static_cast<std::size_t>(std::count_if(run.sentAt.begin(), run.sentAt.end(), isRecent));
}

bool ColdStarts::mayTake(const EndpointRecord &record, TimePoint now) const
{
    const Run *run = findCold(record, now);
    return run == nullptr || run->taken + sentInWindow(*run, now) < shareOf(*run, now);
}

bool ColdStarts::take(const EndpointRecord &record, TimePoint now)
{
    if (!mayTake(record, now)) {
        return false;
    }
    if (const auto it = runs_.find(runOf(record)); it != runs_.end()) {
        ++it->second.taken;
    }
    return true;
}

bool ColdStarts::maySendTaken(const EndpointRecord &record, TimePoint now) const
{
    const Run *run = findCold(record, now);
    return run == nullptr || run->taken + sentInWindow(*run, now) <= shareOf(*run, now);
}

void ColdStarts::onSent(const std::string &run, TimePoint now)
{
    const auto it = runs_.find(run);
    if (it == runs_.end()) {
        return;
    }
    giveBack(run);
    auto &sentAt = it->second.sentAt;
    while (!sentAt.empty() && now - sentAt.front() >= RateWindow) {
        sentAt.pop_front();
    }
    sentAt.push_back(now);
}

void ColdStarts::giveBack(const std::string &run)
{
    const auto it = runs_.find(run);
    if (it != runs_.end() && it->second.taken > 0) {
        --it->second.taken;
    }
}

TimePoint ColdStarts::nextUnitAt(const EndpointRecord &record, TimePoint now) const
{
    const Run *run = findCold(record, now);
    if (run == nullptr) {
        return {};
    }
    const TimePoint until = coldUntil(*run);
    const std::size_t share = shareOf(*run, now);
    const std::size_t used = run->taken + sentInWindow(*run, now);
    if (used < share) {
        return {};
    }
    if (share == 0) {
        return until;
    }
    // The oldest requests leave the window first; as many have to leave as are over the share.
    const std::size_t toLeave = used - share + 1;
    const std::size_t sent = used - run->taken;
    if (toLeave > sent) {
        return std::min<TimePoint>(until, now + PendingUnitPause);
    }
    const TimePoint leaving = run->sentAt[run->sentAt.size() - sent + toLeave - 1];
    return std::min<TimePoint>(until, leaving + RateWindow);
}

std::size_t ColdStarts::coldRuns(TimePoint now) const
{
    if (!mayAnyBeCold(now)) {
        return 0;
    }
    const auto isColdRun = [&](const auto &item) { return now < coldUntil(item.second); };
    return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), isColdRun));
}

std::vector<ColdStarts::Change> ColdStarts::takeChanges(TimePoint now)
{
    forget(now);
    if (!mayAnyBeCold(now) && !hadCold_) {
        return {};
    }
    hadCold_ = false;
    std::vector<Change> changes;
    for (auto &[key, run] : runs_) {
        const TimePoint until = coldUntil(run);
        const bool isCold = now < until;
        hadCold_ |= isCold;
        if (std::exchange(run.wasCold, isCold) != isCold) {
            changes.push_back({key, run.record.service, isCold, isCold ? until - now : Duration::zero()});
        }
    }
    return changes;
}

void ColdStarts::noteColdUntil(TimePoint until)
{
    latestColdUntil_ = std::max(latestColdUntil_, until);
}

void ColdStarts::forget(TimePoint now)
{
    std::erase_if(lastRuns_, [now](const auto &item) { return item.second.goneAt && now - *item.second.goneAt >= LastRunMemory; });
    std::erase_if(releasedAt_, [&](const auto &item) { return now - item.second >= LastRunMemory; });
}

}
