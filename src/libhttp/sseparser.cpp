#include "sseparser.h"

namespace Chestnutcove {

std::vector<std::string> SseParser::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty() && !isEventTooLong_) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            partialLine_ += bytes;
            isEventTooLong_ = data_.size() + partialLine_.size() > MaxEventBytes;
            break;
        }
        partialLine_ += bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (!partialLine_.empty() && partialLine_.back() == '\r') {
            partialLine_.pop_back();
        }
        parseLine(partialLine_, events);
        partialLine_.clear();
        isEventTooLong_ = data_.size() > MaxEventBytes;
    }
    return events;
}

void SseParser::parseLine(std::string_view text, std::vector<std::string> &events)
{
    constexpr std::string_view DataField = "data:";
    if (text.empty()) {
        if (hasData_) {
            events.push_back(std::move(data_));
        }
        data_.clear();
        hasData_ = false;
        return;
    }
    if (!text.starts_with(DataField)) {
        return;
    }
    text.remove_prefix(DataField.size());
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    data_ += hasData_ ? "\n" : "";
    data_ += text;
    hasData_ = true;
}

}
