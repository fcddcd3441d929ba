/**
 * Counts what this gateway served, per window and customer, until each figure is stored in the table service.
 *
 * The gateway writes absolute counters into its own row of a window, under the condition that the window is not sealed. When it is, what
 * the row does not hold moves to the next open window, or is given up where each window must hold nothing but its own. So no figure is
 * counted twice, and a sealed window never changes.
 */
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

struct UsageFigures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    UsageFigures &operator+=(const UsageFigures &other);
    auto operator<=>(const UsageFigures &) const = default;
};

using CustomerUsage = std::map<std::string, UsageFigures>;

/** Adds each customer's figures. */
void addUsage(CustomerUsage &target, const CustomerUsage &source);
std::string usageToText(const CustomerUsage &usage, const std::string &attempt);
absl::StatusOr<CustomerUsage> usageFromText(const std::string &text);

/** Numbers a window: wall clock divided by the window's length. */
using WindowNumber = std::uint64_t;

struct UsageFlush
{
    WindowNumber window = 0;
    /** All that the row is to hold. */
    CustomerUsage figures;
};

/** What becomes of figures whose window was sealed without them. */
enum class LateFigures {
    MoveToOpenWindow,
    GiveUp,
};

class UsageLedger
{
public:
    explicit UsageLedger(LateFigures lateFigures = LateFigures::MoveToOpenWindow);

    void add(WindowNumber current, const std::string &customer, const UsageFigures &figures);

    /** The oldest window with figures that are not stored. No other is given until its outcome is told. */
    std::optional<UsageFlush> nextFlush();
    void flushed();
    /**
     * The window is sealed and the row holds @p stored for ever.
     * @return the rest, which goes to @p current or a later window, or is given up.
     */
    CustomerUsage sealed(WindowNumber current, const CustomerUsage &stored);
    /** The outcome is not known: the same figures, or more, are written again. */
    void flushUnknown();

    bool isFlushed() const;
    /** The oldest window with figures that are not known to be stored. */
    std::optional<WindowNumber> oldestUnstored() const;
    /** Stored windows that can't change any more here may be forgotten. */
    void forgetBefore(WindowNumber window);
    CustomerUsage unstored() const;

private:
    struct Window
    {
        CustomerUsage figures;
        CustomerUsage stored;
    };

    LateFigures lateFigures_;
    std::map<WindowNumber, Window> windows_;
    std::optional<UsageFlush> pending_;
    /** Windows up to this one are sealed for certain. */
    std::optional<WindowNumber> sealedUpTo_;
};

}
