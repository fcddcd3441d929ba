#include "documentreader.h"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Chestnutcove {

namespace {

constexpr std::size_t MaxShownLength = 60;

std::string shorten(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > MaxShownLength) {
        text.resize(MaxShownLength);
        text += "...";
    }
    return text;
}

const nlohmann::json &emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    constexpr std::array<std::pair<std::string_view, double>, 4> Units{{{"ms", 1.0}, {"s", 1e3}, {"min", 6e4}, {"h", 3.6e6}}};
    double amount = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (parsed.ec != std::errc() || amount < 0) {
        return std::nullopt;
    }
    std::string_view unit(parsed.ptr, static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
    unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
    for (const auto &[name, factor] : Units) {
        if (unit == name) {
            return std::chrono::milliseconds(static_cast<std::int64_t>(amount * factor));
        }
    }
    return std::nullopt;
}

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::error_code error;
    (void)asio::ip::make_address(text.substr(0, colon), error);
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return !error && parsed.ec == std::errc() && parsed.ptr == end && port <= std::numeric_limits<std::uint16_t>::max();
}

std::string range(const std::string &low, const std::string &high)
{
    return "from " + low + " to " + high;
}

std::string durationText(std::chrono::milliseconds duration)
{
    return std::to_string(duration.count()) + " ms";
}

}

DocumentFaults::DocumentFaults(std::string source)
    : source_(std::move(source))
{
}

void DocumentFaults::add(const std::string &key, const std::string &found, const std::string &allowed)
{
    lines_.push_back(source_ + ": " + key + ": " + found + ": allowed is " + allowed);
}

bool DocumentFaults::isEmpty() const
{
    return lines_.empty();
}

absl::Status DocumentFaults::status() const
{
    if (lines_.empty()) {
        return absl::OkStatus();
    }
    std::string all;
    for (const std::string &line : lines_) {
        all += (all.empty() ? "" : "\n") + line;
    }
    return absl::InvalidArgumentError(all);
}

DocumentReader::DocumentReader(const nlohmann::json &object, DocumentFaults &faults, std::string prefix)
    : object_(&object)
    , faults_(&faults)
    , prefix_(std::move(prefix))
{
    if (!object.is_object()) {
        faults.add(prefix_.empty() ? "(whole)" : prefix_, shorten(object), "an object");
        object_ = &emptyObject();
    }
}

std::string DocumentReader::path(const std::string &key) const
{
    return prefix_.empty() ? key : prefix_ + "." + key;
}

const nlohmann::json *DocumentReader::find(const std::string &key, bool required, const char *allowed)
{
    known_.insert(key);
    const auto it = object_->find(key);
    if (it != object_->end()) {
        return &*it;
    }
    if (required) {
        faults_->add(path(key), "missing", allowed);
    }
    return nullptr;
}

std::string DocumentReader::text(const std::string &key)
{
    const auto *value = find(key, true, "a text");
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        fault(key, "a text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

std::string DocumentReader::text(const std::string &key, std::string fallback)
{
    return has(key) ? text(key) : (known_.insert(key), std::move(fallback));
}

bool DocumentReader::flag(const std::string &key, bool fallback)
{
    const auto *value = find(key, false, "");
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::uint64_t DocumentReader::integer(const std::string &key, std::uint64_t low, std::uint64_t high)
{
    const std::string allowed = "a whole number " + range(std::to_string(low), std::to_string(high));
    const auto *value = find(key, true, allowed.c_str());
    if (value == nullptr) {
        return low;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < low || value->get<std::uint64_t>() > high) {
        fault(key, allowed);
        return low;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t DocumentReader::integer(const std::string &key, std::uint64_t fallback, std::uint64_t low, std::uint64_t high)
{
    return has(key) ? integer(key, low, high) : (known_.insert(key), fallback);
}

double DocumentReader::number(const std::string &key, double low, double high)
{
    const std::string allowed = "a number " + range(std::to_string(low), std::to_string(high));
    const auto *value = find(key, true, allowed.c_str());
    if (value == nullptr) {
        return low;
    }
    if (!value->is_number() || !(value->get<double>() >= low && value->get<double>() <= high)) {
        fault(key, allowed);
        return low;
    }
    return value->get<double>();
}

double DocumentReader::number(const std::string &key, double fallback, double low, double high)
{
    return has(key) ? number(key, low, high) : (known_.insert(key), fallback);
}

std::chrono::milliseconds DocumentReader::duration(const std::string &key,
                                                   std::chrono::milliseconds fallback,
                                                   std::chrono::milliseconds low,
                                                   std::chrono::milliseconds high)
{
    const auto *value = find(key, false, "");
    if (value == nullptr) {
        return fallback;
    }
    const auto parsed = value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
    if (!parsed || *parsed < low || *parsed > high) {
        fault(key, "a duration with its unit (ms, s, min, h) " + range(durationText(low), durationText(high)));
        return fallback;
    }
    return *parsed;
}

std::vector<std::string> DocumentReader::texts(const std::string &key)
{
    std::vector<std::string> result;
    const auto *value = find(key, false, "");
    if (value == nullptr) {
        return result;
    }
    const bool valid = value->is_array() && std::all_of(value->begin(), value->end(), [](const auto &item) { return item.is_string(); });
    if (!valid) {
        fault(key, "a list of texts");
        return result;
    }
    for (const auto &item : *value) {
        result.push_back(item.get<std::string>());
    }
    return result;
}

std::string DocumentReader::address(const std::string &key)
{
    std::string result = text(key);
    if (!result.empty() && !isAddress(result)) {
        fault(key, "an IP number and a port, such as 10.0.0.7:8080");
    }
    return result;
}

DocumentReader DocumentReader::object(const std::string &key)
{
    const auto *value = find(key, false, "");
    return {value == nullptr ? emptyObject() : *value, *faults_, path(key)};
}

std::vector<DocumentReader> DocumentReader::objects(const std::string &key)
{
    std::vector<DocumentReader> result;
    const auto *value = find(key, false, "");
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        fault(key, "a list of objects");
        return result;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        result.emplace_back((*value)[i], *faults_, path(key) + "[" + std::to_string(i) + "]");
    }
    return result;
}

bool DocumentReader::has(const std::string &key) const
{
    return object_->contains(key);
}

void DocumentReader::fault(const std::string &key, const std::string &allowed)
{
    const auto it = object_->find(key);
    faults_->add(path(key), it == object_->end() ? "missing" : shorten(*it), allowed);
}

void DocumentReader::finish()
{
    for (const auto &[key, value] : object_->items()) {
        if (!known_.contains(key)) {
            std::string names;
            for (const std::string &name : known_) {
                names += (names.empty() ? "" : ", ") + name;
            }
            faults_->add(path(key), "unknown key", names);
        }
    }
}

}
