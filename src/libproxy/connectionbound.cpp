#include "connectionbound.h"

#include <utility>

namespace Chestnutcove {

ConnectionBound::Member::Member(ConnectionBound &bound, std::function<void()> onEvicted)
    : bound_(bound)
    , onEvicted_(std::move(onEvicted))
{
    setUse(ConnectionUse::Idle);
}

ConnectionBound::Member::~Member()
{
    leave();
}

void ConnectionBound::Member::setUse(ConnectionUse use)
{
    leave();
    auto &members = bound_.membersOf(use);
    use_ = use;
    position_ = members.insert(members.end(), this);
    bound_.used_ += weightOf(use);
    isCounted_ = true;
}

void ConnectionBound::Member::leave()
{
    if (!isCounted_) {
        return;
    }
    bound_.membersOf(use_).erase(position_);
    bound_.used_ -= weightOf(use_);
    isCounted_ = false;
}

ConnectionBound::ConnectionBound(std::size_t limit)
    : limit_(limit)
{
}

bool ConnectionBound::makeRoom(std::size_t more)
{
    while (used_ > limit_ || more > limit_ - used_) {
        if (!evictOne()) {
            return false;
        }
    }
    return true;
}

std::size_t ConnectionBound::weightOf(ConnectionUse use)
{
    return use == ConnectionUse::Responding ? 2 : 1;
}

std::list<ConnectionBound::Member *> &ConnectionBound::membersOf(ConnectionUse use)
{
    return members_.at(static_cast<std::size_t>(use));
}

bool ConnectionBound::evictOne()
{
    for (const ConnectionUse use : {ConnectionUse::Idle, ConnectionUse::Reading, ConnectionUse::Closing}) {
        if (membersOf(use).empty()) {
            continue;
        }
        Member &member = *membersOf(use).front();
        member.leave();
        // Copied, since it may destroy the member.
        const auto onEvicted = member.onEvicted_;
        onEvicted();
        return true;
    }
    return false;
}

}
