/**
 * One customer's admission at one gateway: spends the local share and tokens moved from other holders, makes requests wait within their
 * patience, draws the tokens of running answers while they run, and says which tokens to ask for.
 *
 * A prompt is charged at admission, an answer while it is written. Running answers come before new requests.
 */
#pragma once

#include "entry.h"
#include "shareholder.h"
#include "wallet.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct LimiterOptions
{
    Duration grantLifetime = std::chrono::milliseconds(500);
    /** Time after which an unanswered request for tokens counts as lost. */
    Duration askTimeout = std::chrono::milliseconds(200);
    /** Output tokens drawn at a time for a running answer. */
    double drawSize = 32;
    /** Demand is fetched ahead for this long. */
    Duration prefetch = std::chrono::milliseconds(100);
    /** Tokens per second that a running answer is expected to draw. */
    double drawRate = 40;
};

struct AdmissionRequest
{
    std::uint64_t id = 0;
    double promptTokens = 0;
    double expectedOutputTokens = 0;
    ServiceClass serviceClass = ServiceClass::Standard;
    TimePoint deadline;
};

enum class AdmissionVerdict {
    Admitted,
    /** Tokens would come only after the request's patience. */
    RateLimited,
    /** The prompt alone is more than the burst. */
    ExceedsBurst,
    /** No share may be spent here and no holder answered. */
    Unavailable,
};

struct AdmissionResult
{
    std::uint64_t id = 0;
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Duration retryAfter{};
};

/** More output tokens that a running answer may send. */
struct AnswerDraw
{
    std::uint64_t id = 0;
    double total = 0;
};

struct TokenAsk
{
    std::string holder;
    std::uint64_t number = 0;
    double amount = 0;
};

struct LimiterActions
{
    std::vector<AdmissionResult> admissions;
    std::vector<AnswerDraw> draws;
    std::vector<TokenAsk> asks;
    /** Lots to be returned to their holders; they are no longer ours to spend. */
    std::vector<TokenLot> returns;
};

/** Who holds shares of the customer's bucket, seen from this gateway. */
struct ShareAssignment
{
    /** The part of rate and burst that this gateway may spend itself; 0 for none. */
    double ownFraction = 0;
    /** Other holders, in the order in which to ask them. */
    std::vector<std::string> others;
};

class CustomerLimiter
{
public:
    CustomerLimiter(LimiterOptions options, double rate, double burst);

    void setLimits(double rate, double burst, TimePoint now);
    void setShares(ShareAssignment shares, TimePoint now);
    /** Without a fresh proof of membership the share is not spent. */
    void setSuspended(bool suspended, TimePoint now);

    /** The decision comes with poll(), in this call's turn of the event loop or later. */
    void request(const AdmissionRequest &request, TimePoint now);
    /** The caller left before the decision. */
    void withdraw(std::uint64_t id);
    /** An answer delivered that many more tokens. */
    void delivered(std::uint64_t id, double tokens, TimePoint now);
    void finished(std::uint64_t id, TimePoint now);

    void onGrant(std::uint64_t number, double amount, double holderLevel, TimePoint now);
    double grantTo(const GrantId &id, double amount, TimePoint now);
    void takeBack(const GrantId &id, double amount, TimePoint now);

    /** Decides what can be decided. Call it after events and at short intervals while isBusy(). */
    LimiterActions poll(TimePoint now);

    bool isBusy() const;
    double available(TimePoint now);
    double shareLevel(TimePoint now);
    std::size_t waiting() const;
    std::size_t running() const;
    double rate() const;
    double burst() const;
    const ShareAssignment &shares() const;

private:
    struct Waiting
    {
        AdmissionRequest request;
        TimePoint since;
    };
    struct Answer
    {
        /** Still expected to be drawn. */
        double expected = 0;
        /** Drawn since the start; delivered is never more. */
        double drawn = 0;
        double delivered = 0;
        /** The part of drawn minus delivered that is held in our share. */
        double held = 0;
        /** Lots of the last draw, for what is left at the end. */
        std::vector<TokenLot> lots;
    };
    struct Ask
    {
        std::uint64_t number = 0;
        std::size_t holder = 0;
        TimePoint sentAt;
    };

    void applyLimits(TimePoint now);
    void serveAnswers(TimePoint now, LimiterActions &actions);
    void serveWaiting(TimePoint now, LimiterActions &actions);
    void refuseHopeless(TimePoint now, LimiterActions &actions);
    void askForTokens(TimePoint now, LimiterActions &actions);
    void admit(const AdmissionRequest &request, TimePoint now);
    double spend(double amount, TimePoint now);
    double draw(Answer &answer, double amount, TimePoint now);
    /** Tokens to keep for answers: what they are expected to draw beyond what accrues meanwhile. */
    double reserve(double expectedTokens, std::size_t answers) const;
    /** Every other holder answered or proved silent since then. */
    bool knowsOthers(TimePoint since) const;
    double levelsElsewhere() const;
    std::optional<std::size_t> chooseHolder(TimePoint now) const;
    void noteDemand(double tokens, TimePoint now);
    double prefetchTarget(TimePoint now) const;

    LimiterOptions options_;
    double rate_;
    double burst_;
    ShareAssignment shares_;
    ShareHolder share_;
    Wallet wallet_;
    /** In the order in which they are served: by class, then by arrival. */
    std::list<Waiting> waiting_;
    std::map<std::uint64_t, Answer> answers_;
    /** Running answers that want a draw. */
    std::vector<std::uint64_t> thirsty_;
    /** Sum of Answer::expected. */
    double expected_ = 0;
    /** Tokens that were delivered beyond what was drawn; paid before anything else. */
    double owed_ = 0;
    std::optional<Ask> ask_;
    std::uint64_t lastAsk_ = 0;
    /** For each of the other holders, its level when it answered last. */
    struct HolderNews
    {
        double level = 0;
        TimePoint heardAt;
    };
    std::vector<HolderNews> news_;
    /** Smoothed tokens per second that were asked for here. */
    double demand_ = 0;
    TimePoint demandAt_;
    bool suspended_ = false;
};

inline std::size_t CustomerLimiter::waiting() const
{
    return waiting_.size();
}

inline std::size_t CustomerLimiter::running() const
{
    return answers_.size();
}

inline double CustomerLimiter::rate() const
{
    return rate_;
}

inline double CustomerLimiter::burst() const
{
    return burst_;
}

inline const ShareAssignment &CustomerLimiter::shares() const
{
    return shares_;
}

}
