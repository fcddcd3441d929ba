/**
 * Collects the units that a request takes from its customer's limit. It asks the holders of the limit's shares one after the other, until
 * one of them grants the units; a request that is larger than a share can be gets its units in several lots. Units are asked for only when
 * a request needs them, so a grant is never spent on a request that arrived after it.
 *
 * A holder that does not answer in time is left out until it answers, also late or to a probe. How long it has for an answer follows its
 * recent answers, so that a holder that is slow for a while is still used. Probes become rarer while they aren't answered. If all holders
 * of a limit are silent, each request asks one of them all the same, since it may be this process's own connection that was slow.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Units that a share holder granted. */
struct QuotaLot
{
    std::string holder;
    /** Number of the ask that the holder granted. */
    std::uint64_t number = 0;
    double units = 0;
};

/** Asks a holder for all of the units or none. */
struct QuotaAsk
{
    std::string holder;
    /** Identifies the ask among all asks of this process. */
    std::uint64_t number = 0;
    std::string customer;
    /** 0 for a probe. */
    double units = 0;
};

struct QuotaAnswer
{
    /** Whether the holder may spend a share of this limit; if not, it can't tell whether the limit is used up. */
    bool isHolder = false;
    bool granted = false;
    /** For a refusal: time until the holder's share contains the units. */
    Duration wait{};
};

/** How the asks of a process were answered, since its start. */
struct AskCounts
{
    /** Asks for units, without probes. */
    std::uint64_t sent = 0;
    std::uint64_t probes = 0;
    /** Asks and probes that were not answered in time. */
    std::uint64_t timeouts = 0;
    /** Answers to these that came after all. */
    std::uint64_t lateAnswers = 0;
};

struct QuotaVerdict
{
    enum class Result {
        Admitted,
        /** The limit is used up. */
        RateLimited,
        /** No holder of the limit could be asked. */
        NoHolder,
    };

    std::uint64_t request = 0;
    Result result = Result::Admitted;
    /** For RateLimited: time after which to retry. */
    Duration wait{};
    /** For Admitted: what the request took. */
    std::vector<QuotaLot> lots;
    /** Holders that refused the request, and that did not answer it in time. */
    std::size_t refusals = 0;
    std::size_t timeouts = 0;
};

/** A lot that is not spent and goes back to its holder. */
struct QuotaReturn
{
    std::string customer;
    QuotaLot lot;
};

/** What the caller of QuotaCollector::poll() has to do. */
struct CollectorActions
{
    std::vector<QuotaAsk> asks;
    std::vector<QuotaReturn> returns;
    std::vector<QuotaVerdict> verdicts;
    /** Holders that left an ask or a probe unanswered; the connection to them may be dead. */
    std::vector<std::string> silentHolders;
};

struct QuotaCollectorOptions
{
    /** Time for an answer, at least and at most. In between it is that of the holder's recent answers and their variation. */
    Duration answerTimeout = std::chrono::milliseconds(120);
    Duration longestAnswerTimeout = std::chrono::milliseconds(400);
    /** Time until the first probe of a holder that did not answer. It doubles with each unanswered probe up to the longest. */
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration longestProbeInterval = std::chrono::seconds(4);
    /** Grants that arrive later than this after they were asked for are not returned, since their holder no longer accepts them. */
    Duration grantLifetime = std::chrono::seconds(2);
    /** A request that one holder could serve is refused once this many have refused it; the others are as used up as these. */
    std::size_t maxRefusals = 2;
};

struct CollectionRequest
{
    std::uint64_t id = 0;
    std::string customer;
    double units = 0;
    /** The most units to ask one holder for. */
    double maxLot = 0;
    /** The order in which to ask them is rotated from request to request. */
    std::vector<std::string> holders;
    /** The first holder is this process, which is always asked first. */
    bool isFirstHolderOwn = false;
};

class QuotaCollector
{
public:
    explicit QuotaCollector(QuotaCollectorOptions options);

    /** Holders are asked evenly, so that those that refuse a request are as used up as the others, wherever the requests arrive. */
    void start(CollectionRequest request);
    /** The request is no longer wanted; what was granted for it goes back. */
    void cancel(std::uint64_t id);
    /** The answer to the ask of that number, which may come late or more than once. */
    void onAnswer(std::uint64_t number, const QuotaAnswer &answer, TimePoint now);
    /**
     * To be called at short intervals while isBusy(), and then poll().
     * @param lateness of this call. Answers may have arrived and not been handled for that long, so it doesn't count as time without one.
     */
    void expireAsks(TimePoint now, Duration lateness);
    /** To be called after each of the functions above. */
    CollectorActions poll(TimePoint now);

    /** Whether an answer or a probe is outstanding. */
    bool isBusy() const;
    bool isSuspect(const std::string &holder) const;
    std::size_t suspectCount() const;
    const AskCounts &counts() const;
    /** Forgets what is known of holders other than these. */
    void retainHolders(const std::vector<std::string> &holders);

private:
    struct Collection
    {
        CollectionRequest request;
        /** Index of the holder to ask next. */
        std::size_t nextHolder = 0;
        double missing = 0;
        std::vector<QuotaLot> lots;
        /** The shortest time that a holder named. */
        std::optional<Duration> wait;
        std::size_t refusals = 0;
        std::size_t timeouts = 0;
        bool isWaiting = false;
        /** A holder that counts as silent was asked, since there was no other. */
        bool hasAskedSuspect = false;
    };
    /** An ask that was sent. It is kept for some time after its timeout, for a grant that comes late. */
    struct SentAsk
    {
        QuotaAsk ask;
        std::uint64_t request = 0;
        TimePoint sentAt;
        /** The value of heldUp_ when it was sent. */
        Duration heldUpBefore{};
        bool isAbandoned = false;
        bool hasTimedOut = false;
    };
    struct Suspect
    {
        TimePoint nextProbeAt;
        /** Time from that probe to the next. */
        Duration probeInterval;
    };
    /** Smoothed answer time of a holder and its mean deviation, in seconds (RFC 6298). */
    struct AnswerTime
    {
        double mean = 0;
        double deviation = 0;
    };

    void recordAnswer(const SentAsk &sent, TimePoint now);
    Duration answerTimeout(const std::string &holder) const;
    void onTimeout(SentAsk &sent, TimePoint now);
    void probeSuspects(TimePoint now, CollectorActions &actions);
    void askNextHolder(Collection &collection, TimePoint now, CollectorActions &actions);
    void finish(Collection &collection, QuotaVerdict::Result result, CollectorActions &actions);
    void returnLots(Collection &collection);

    QuotaCollectorOptions options_;
    std::map<std::uint64_t, Collection> collections_;
    /** By number. */
    std::map<std::uint64_t, SentAsk> asks_;
    std::map<std::string, Suspect> suspects_;
    std::map<std::string, AnswerTime> answerTimes_;
    /** Holders that were found silent since the last poll. */
    std::vector<std::string> silentHolders_;
    /** Sum of the lateness of all calls of expireAsks(). */
    Duration heldUp_{};
    std::deque<QuotaReturn> pendingReturns_;
    std::uint64_t lastNumber_ = 0;
    /** Number of requests so far. */
    std::uint64_t started_ = 0;
    AskCounts counts_;
};

inline const AskCounts &QuotaCollector::counts() const
{
    return counts_;
}

inline std::size_t QuotaCollector::suspectCount() const
{
    return suspects_.size();
}

}
