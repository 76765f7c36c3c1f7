#include "jsonvalues.h"

#include <charconv>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

json::object parsedBody(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : json::object {};
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? static_cast<std::uint64_t>(value->as_int64()) : 0;
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

bool flagOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    std::uint64_t value = 0;
    if (at != std::string::npos) {
        std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), value);
    }
    return value;
}

} // namespace daisyrelay
