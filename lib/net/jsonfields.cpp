#include "jsonfields.h"

#include <algorithm>

namespace daisyrelay {

namespace json = boost::json;

JsonFields::JsonFields(const std::string &text, std::initializer_list<std::string_view> allowed)
{
    boost::system::error_code failure;
    const json::value value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        error_ = "the body must be one JSON object";
        return;
    }
    object_ = value.as_object();
    for (const auto &field : object_) {
        const std::string_view key(field.key().data(), field.key().size());
        if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
            fail(key, "unknown field");
        }
    }
}

std::string JsonFields::readString(std::string_view key)
{
    const json::value *value = object_.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return "";
    }
    if (!value->is_string()) {
        fail(key, "must be a string");
        return "";
    }
    return std::string(value->as_string());
}

std::string JsonFields::requireString(std::string_view key)
{
    std::string value = readString(key);
    if (value.empty()) {
        fail(key, "is required");
    }
    return value;
}

bool JsonFields::readBool(std::string_view key, bool fallback)
{
    const json::value *value = object_.if_contains(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        fail(key, "must be true or false");
        return fallback;
    }
    return value->as_bool();
}

std::uint64_t JsonFields::readNumber(std::string_view key, std::uint64_t fallback, std::uint64_t maxValue)
{
    return object_.contains(key) ? requireNumber(key, maxValue) : fallback;
}

std::uint64_t JsonFields::requireNumber(std::string_view key, std::uint64_t maxValue)
{
    const json::value *value = object_.if_contains(key);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 0
        || static_cast<std::uint64_t>(value->as_int64()) > maxValue) {
        fail(key, "must be a whole number within bounds");
        return 0;
    }
    return static_cast<std::uint64_t>(value->as_int64());
}

std::string JsonFields::rawJson(std::string_view key)
{
    const json::value *value = object_.if_contains(key);
    return value == nullptr ? "null" : json::serialize(*value);
}

void JsonFields::fail(std::string_view key, const std::string &message)
{
    if (error_.empty()) {
        error_ = std::string(key) + ": " + message;
    }
}

} // namespace daisyrelay
