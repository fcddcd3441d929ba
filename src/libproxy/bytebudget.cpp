#include "bytebudget.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

ByteBudget::Share::Share(ByteBudget &budget, std::function<void()> onExceeded)
    : budget_(budget)
    , onExceeded_(std::move(onExceeded))
{
}

ByteBudget::Share::~Share()
{
    resize(0);
}

void ByteBudget::Share::resize(std::size_t bytes)
{
    budget_.used_ += bytes;
    budget_.used_ -= std::exchange(bytes_, bytes);
    if (bytes == 0) {
        budget_.shares_.erase(this);
        return;
    }
    if (!isFixed_) {
        budget_.shares_.insert(this);
    }
    while (budget_.used_ > budget_.limit_ && !budget_.shares_.empty()) {
        budget_.freeLargest();
    }
}

void ByteBudget::Share::fix()
{
    isFixed_ = true;
    budget_.shares_.erase(this);
}

ByteBudget::ByteBudget(std::size_t limit)
    : limit_(limit)
{
}

void ByteBudget::freeLargest()
{
    const auto largest = std::max_element(
        shares_.begin(), shares_.end(), [](const Share *left, const Share *right) { return left->bytes_ < right->bytes_; });
    Share &share = **largest;
    share.resize(0);
    share.onExceeded_();
}

}
