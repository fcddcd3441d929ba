/**
 * Reads single fields of JSON objects that another program may have written. nlohmann's value() throws if a field has another type than its
 * fallback; these functions return the fallback then.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <string>
#include <utility>

namespace Chestnutcove {

/** Whether the value has the type, and its number is in the type's range. */
template<typename Value>
bool holds(const nlohmann::json &value)
{
    if constexpr (std::same_as<Value, std::string>) {
        return value.is_string();
    } else if constexpr (std::same_as<Value, bool>) {
        return value.is_boolean();
    } else if constexpr (std::floating_point<Value>) {
        return value.is_number();
    } else {
        static_assert(std::integral<Value>);
        return value.is_number_unsigned() ? std::in_range<Value>(value.get<std::uint64_t>())
                                          : value.is_number_integer() && std::in_range<Value>(value.get<std::int64_t>());
    }
}

/** The field, or @p fallback if @p object is no object, lacks it, or has another type there. */
template<typename Value>
Value fieldOr(const nlohmann::json &object, const char *name, Value fallback)
{
    if (!object.is_object()) {
        return fallback;
    }
    const auto it = object.find(name);
    return it != object.end() && holds<Value>(*it) ? it->get<Value>() : std::move(fallback);
}

inline std::string fieldOr(const nlohmann::json &object, const char *name, const char *fallback)
{
    return fieldOr(object, name, std::string(fallback));
}

}
