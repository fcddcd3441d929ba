/**
 * What one gateway tells the others about prompt parts and crashes of endpoints: the parts that were in requests under which endpoints
 * crashed, and the parts of that kind that it has seen answered. Each gateway stores its report in a row of its own.
 */
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Chestnutcove {

/** Crashes by run of an endpoint, each with its round: one more than the highest round known when the request was sent. */
using CrashRounds = std::map<std::string, unsigned>;

struct CrashReport
{
    /** By key of the part. */
    std::map<std::string, CrashRounds> crashes;
    /** Keys of parts that some request had whose answer was completed. */
    std::set<std::string> cleared;
    /** Set in a report that was read. */
    std::int64_t writtenAt = 0;

    bool isEmpty() const;
    bool hasSameContent(const CrashReport &other) const;
    /** @param time of day, in seconds since the Unix epoch, so that readers can tell a report that was left behind. */
    std::string toText(std::int64_t time) const;
    static absl::StatusOr<CrashReport> fromText(const std::string &text);
};

}
