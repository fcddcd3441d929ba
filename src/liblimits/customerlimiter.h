/**
 * Admission control for one customer at one gateway. It spends the gateway's share of the customer's token bucket and the tokens that other
 * share holders granted, queues requests until their deadline, draws output tokens for running answers, and decides which tokens to request
 * from other holders.
 *
 * A prompt is charged at admission, an answer while it is generated. Running answers are served before new requests.
 */
#pragma once

#include "entry.h"
#include "receivedgrants.h"
#include "sharebucket.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct LimiterOptions
{
    /** How long granted tokens may be spent, counted from the request for them. */
    Duration grantLifetime = std::chrono::milliseconds(500);
    /** Time after which an unanswered token request counts as lost. */
    Duration tokenRequestTimeout = std::chrono::milliseconds(200);
    /** Output tokens drawn at a time for a running answer. */
    double drawSize = 32;
    /** Tokens for the demand of this length of time are requested in advance. */
    Duration prefetchTime = std::chrono::milliseconds(100);
    /** Expected draw of a running answer, in tokens per second. */
    double drawRate = 40;
};

struct AdmissionRequest
{
    std::uint64_t id = 0;
    double promptTokens = 0;
    double expectedOutputTokens = 0;
    ServiceClass serviceClass = ServiceClass::Standard;
    /** End of the time for which the request may wait for its admission. */
    TimePoint deadline;
};

enum class AdmissionVerdict {
    Admitted,
    /** The tokens would become available only after the request's deadline. */
    RateLimited,
    /** The prompt alone is larger than the burst. */
    ExceedsBurst,
    /** No share may be spent at this gateway, and no other holder reported any tokens. */
    Unavailable,
};

struct AdmissionResult
{
    std::uint64_t id = 0;
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Duration retryAfter{};
};

/** Raised limit on the output of a running answer. */
struct AnswerAllowance
{
    std::uint64_t id = 0;
    /** Output tokens that the answer may send, counted from its start. */
    double total = 0;
};

/** A request for tokens, to be sent to another share holder. */
struct TokenRequest
{
    std::string holder;
    std::uint64_t number = 0;
    double amount = 0;
};

/** What the caller of CustomerLimiter::poll() has to do. */
struct LimiterActions
{
    std::vector<AdmissionResult> admissions;
    std::vector<AnswerAllowance> allowances;
    std::vector<TokenRequest> tokenRequests;
    /** Lots to be returned to the holders that granted them. The limiter no longer spends them. */
    std::vector<TokenLot> returns;
};

/** Distribution of the shares of the customer's token bucket, seen from this gateway. */
struct ShareAssignment
{
    /** The part of rate and burst that this gateway holds; 0 for none. */
    double ownFraction = 0;
    /** Names of the other holders, in the order in which to request tokens from them. */
    std::vector<std::string> others;
};

class CustomerLimiter
{
public:
    CustomerLimiter(LimiterOptions options, double rate, double burst);

    void setLimits(double rate, double burst, TimePoint now);
    void setShares(ShareAssignment shares, TimePoint now);
    /** Suspends the spending of the share while the membership is not confirmed to be current. */
    void setSuspended(bool suspended, TimePoint now);

    /** Queues the request. The decision is returned by poll(), which may be called right after this or later. */
    void requestAdmission(const AdmissionRequest &request, TimePoint now);
    /** Removes a request whose caller disconnected before the decision. */
    void withdrawRequest(std::uint64_t id);
    /** An answer sent @p tokens more output tokens to its caller. */
    void onTokensDelivered(std::uint64_t id, double tokens, TimePoint now);
    void onRequestFinished(std::uint64_t id, TimePoint now);

    /**
     * The reply to the token request of that number arrived, or the request could not be sent.
     * @param holderLevel tokens that the holder has remaining.
     */
    void onGrant(std::uint64_t number, double amount, double holderLevel, TimePoint now);
    /** Grants up to @p amount of this gateway's share to another gateway. @return what was granted. */
    double grantTokens(const GrantId &id, double amount, TimePoint now);
    /** Another gateway returned tokens of a grant. */
    void onGrantReturned(const GrantId &id, double amount, TimePoint now);

    /** Decides all requests that can be decided now. To be called after events, and at short intervals while isBusy(). */
    LimiterActions poll(TimePoint now);

    bool isBusy() const;
    /** Tokens that can be spent now: of the share and of received grants. */
    double availableTokens(TimePoint now);
    double shareLevel(TimePoint now);
    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    double rate() const;
    double burst() const;
    const ShareAssignment &shares() const;

private:
    struct WaitingRequest
    {
        AdmissionRequest request;
        TimePoint arrivedAt;
    };
    struct Answer
    {
        /** Output tokens that the answer is expected to draw yet. */
        double expected = 0;
        /** Tokens drawn since the start, which limit the output. */
        double drawn = 0;
        double delivered = 0;
        /** The part of drawn minus delivered that is reserved in this gateway's share. */
        double reserved = 0;
        /** The part of drawn minus delivered that came from received grants. It is returned to them when the answer ends. */
        std::vector<TokenLot> lots;
    };
    /** The token request that is in flight. */
    struct PendingRequest
    {
        std::uint64_t number = 0;
        /** Index in ShareAssignment::others. */
        std::size_t holder = 0;
        TimePoint sentAt;
    };

    void applyLimits(TimePoint now);
    void drawForWaitingAnswers(TimePoint now, LimiterActions &actions);
    void admitWaitingRequests(TimePoint now, LimiterActions &actions);
    void rejectLateRequests(TimePoint now, LimiterActions &actions);
    void requestTokens(TimePoint now, LimiterActions &actions);
    void admitRequest(const AdmissionRequest &request, TimePoint now);
    double spendTokens(double amount, TimePoint now);
    double drawTokens(Answer &answer, double amount, TimePoint now);
    /** Tokens to keep for answers: what they are expected to draw in excess of what accrues in the meantime. */
    double answerReserve(double expectedTokens, std::size_t answers) const;
    /** Whether every other holder replied, or failed to reply in time, since then. */
    bool haveHoldersReportedSince(TimePoint since) const;
    /** Sum of the levels that the other holders reported last. */
    double tokensAtOtherHolders() const;
    /** Index of the holder to request tokens from. */
    std::optional<std::size_t> chooseHolder(TimePoint now) const;
    void recordDemand(double tokens, TimePoint now);
    /** Tokens to have in advance for the demand that this gateway's share does not cover. */
    double prefetchTarget(TimePoint now) const;

    LimiterOptions options_;
    double rate_;
    double burst_;
    ShareAssignment shares_;
    ShareBucket share_;
    ReceivedGrants receivedGrants_;
    /** In the order of admission: by class, then by arrival. */
    std::list<WaitingRequest> waitingRequests_;
    std::map<std::uint64_t, Answer> answers_;
    /** Running answers that need a draw. */
    std::vector<std::uint64_t> answersAwaitingTokens_;
    /** Sum of Answer::expected. */
    double expectedOutput_ = 0;
    /** Tokens that were used without having been drawn. They are paid before anything else. */
    double debt_ = 0;
    std::optional<PendingRequest> pendingRequest_;
    std::uint64_t lastRequestNumber_ = 0;
    /** What is known of another holder. */
    struct HolderState
    {
        /** Tokens that the holder had remaining at its last reply; 0 if it failed to reply in time. */
        double level = 0;
        /** When the holder replied last, or failed to. */
        TimePoint reportedAt;
    };
    /** In the order of ShareAssignment::others. */
    std::vector<HolderState> holderStates_;
    /** Exponentially smoothed demand at this gateway, in tokens per second. */
    double demand_ = 0;
    /** When demand_ was updated last. */
    TimePoint demandAt_;
    bool suspended_ = false;
};

inline std::size_t CustomerLimiter::waitingCount() const
{
    return waitingRequests_.size();
}

inline std::size_t CustomerLimiter::runningCount() const
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
