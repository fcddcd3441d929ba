/**
 * Finds the prompt part that crashes endpoints ("query of death") and blocks requests that have it. A whole request that its caller repeats
 * is treated as a part that only its repeats share.
 *
 * The last part of a prompt belongs to its request alone; the others are shared. When an endpoint crashes, the shared parts of requests
 * that it had not answered, or not for long, are suspected. Sound parts are cleared by answers, so the part that stays suspected over
 * several crashes is the one that causes them. Crashes at the same time are one round. After one round a part is blocked but for single
 * requests at one gateway, since many endpoints may have failed at once for another reason. A further round, the crash of a request that
 * was sent when the first was known, proves the part guilty. A request with several suspected parts proves nothing.
 *
 * What the gateways know is merged by exchanging CrashReports. A part that some gateway has seen answered is blocked nowhere.
 */
#pragma once

#include "crashreport.h"
#include "promptpart.h"
#include "timepoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace Chestnutcove {

struct CrashEvidenceOptions
{
    /** Crashed runs of endpoints after which a part is blocked. */
    std::size_t crashesToBlock = 3;
    /** Time from then on within which other gateways report that they have seen the part answered. */
    Duration blockDelay = std::chrono::seconds(1);
    /** Time between two requests that are tried while the part is not proved guilty. */
    Duration suspectTrialInterval = std::chrono::seconds(1);
    /** Rounds after which it is. */
    unsigned roundsToProve = 2;
    /** Time after the last crash for which no request with a guilty part is tried, and then between two that are. */
    Duration blockTime = std::chrono::minutes(10);
    Duration guiltyTrialInterval = std::chrono::seconds(30);
    /** A part is forgotten this long after its last crash. */
    Duration lifetime = std::chrono::minutes(30);
    /** Answers are remembered for between one and two of these. */
    Duration answerGeneration = std::chrono::minutes(10);
    std::size_t maxAnsweredParts = 16384;
    std::size_t maxSuspectedParts = 512;
    /** A part is kept for as long as requests with it are refused. */
    bool keepsWhileRefused = false;
    /** Bounds the size of a report. */
    std::size_t maxReportedParts = 48;

    /**
     * Two known crashes block it, since one more may have been seen by a gateway that has ended. Its repeats come one after the other, so
     * that a sound request may share two crashes with another one; a third round proves it. No
     * new version of what is requested is a way back, so a guilty request isn't tried again as long as it comes.
     */
    static CrashEvidenceOptions forWholeRequests();
};

/** Parts that were answered lately, in two generations, so that memory is bounded. */
class AnsweredParts
{
public:
    AnsweredParts(std::size_t maxParts, Duration generation);

    void insert(const std::string &key, TimePoint now);
    bool contains(const std::string &key) const;

private:
    std::size_t maxParts_;
    Duration generation_;
    TimePoint currentSince_{};
    std::unordered_set<std::uint64_t> current_;
    std::unordered_set<std::uint64_t> previous_;
};

class CrashEvidence
{
public:
    /** @param isTrialGateway whether this is the gateway that may try a blocked part, given its key. */
    CrashEvidence(CrashEvidenceOptions options, std::function<bool(const std::string &key)> isTrialGateway);

    /** Whether a shared part of the prompt was in a request under which an endpoint crashed, and in none that was answered. */
    bool isSuspected(const std::string &service, const std::vector<PromptPart> &parts) const;
    /** An answer to the prompt was completed, or has come far enough (AnswerProgress). */
    void onAnswered(const std::string &service, const std::vector<PromptPart> &parts, TimePoint now);
    /** A run of an endpoint crashed before it had answered the prompt, which was sent at @p sentAt. */
    void
    onCrashed(const std::string &run, const std::string &service, const std::vector<PromptPart> &parts, TimePoint sentAt, TimePoint now);
    /**
     * Merges the report of another gateway. @param age since when the others have known it at least; those who have seen its parts answered
     * say so within the blockDelay.
     */
    void onReport(const CrashReport &report, TimePoint now, Duration age = Duration::zero());
    /** Takes over what this gateway reported before it was restarted. */
    void onOwnReport(const CrashReport &report, TimePoint now, Duration age = Duration::zero());

    /** For how long requests with the prompt are refused; nothing if this one may be sent. */
    std::optional<Duration> blockedFor(const std::string &service, const std::vector<PromptPart> &parts, TimePoint now);
    /** Keys of the parts that are blocked. */
    std::vector<std::string> blockedParts(TimePoint now) const;
    /** Forgets what is too old. */
    void expire(TimePoint now);
    /** What this gateway has to tell the others. */
    CrashReport report() const;

private:
    struct Suspicion
    {
        /** Those of the latest rounds. */
        CrashRounds crashes;
        /** Highest round, and when this gateway learned of it. */
        unsigned round = 0;
        TimePoint roundLearnedAt{};
        TimePoint lastCrashAt{};
        TimePoint lastRefusedAt{};
        /** Since when the crashes suffice to block the part. */
        std::optional<TimePoint> sufficientSince;
        TimePoint lastTrialAt{};
        /** Runs that this gateway saw crash, which it reports; all of them are in crashes. */
        std::set<std::string> ownRuns;
        /** Some gateway has seen a request with the part answered. */
        bool isAnswered = false;
        bool isClearedByOthers = false;
        /** This gateway reports the answer. It goes on to, since others rely on it. */
        bool isClearedHere = false;
    };

    static std::string keyOf(const std::string &service, const PromptPart &part);
    /**
     * Drops the crash of the lowest round, or of the first name in it, if there are too many. What was dropped once is dropped each time it
     * is reported again. @return false if that is the one to be added.
     */
    static bool makeRoom(Suspicion &suspicion, const std::string &run, unsigned round);
    /** @param age of the report that tells of the crash. */
    void addCrash(Suspicion &suspicion, const std::string &run, unsigned round, TimePoint now, Duration age) const;
    /** The suspicion of a part, which begins if there is none. */
    Suspicion &suspicionOf(const std::string &key);
    bool isBlocked(const Suspicion &suspicion, TimePoint now) const;
    /** Whether a request with the blocked part may be tried. @param isOnlySuspect of the request's parts. */
    bool mayTry(const std::string &key, const Suspicion &suspicion, bool isOnlySuspect, TimePoint now) const;
    /** When the next request with a blocked part may be tried. */
    TimePoint nextTrialAt(const Suspicion &suspicion) const;
    /** Number of shared parts that are suspected and have not been answered. */
    std::size_t suspectCount(const std::string &service, const std::vector<PromptPart> &parts) const;
    CrashRounds reportedCrashes(const Suspicion &suspicion) const;
    /** Decides which answers this gateway reports. */
    void updateClears();
    void limitSuspicions();

    CrashEvidenceOptions options_;
    std::function<bool(const std::string &key)> isTrialGateway_;
    AnsweredParts answered_;
    /** By key of the part. */
    std::map<std::string, Suspicion> suspicions_;
};

}
