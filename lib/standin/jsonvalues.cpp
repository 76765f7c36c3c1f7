#include "jsonvalues.h"

#include <charconv>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : json::object {};
}

std::uint64_t numberField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? static_cast<std::uint64_t>(value->as_int64()) : 0;
}

std::string stringField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

bool boolField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t position = target.find(name + "=");
    std::uint64_t value = 0;
    if (position != std::string::npos) {
        std::from_chars(target.data() + position + name.size() + 1, target.data() + target.size(), value);
    }
    return value;
}

} // namespace daisyrelay
