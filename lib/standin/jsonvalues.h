// Lenient JSON accessors: a missing field or one of another type reads as zero, empty or false.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Parses \p text. \returns an empty object if it is not a JSON object.
boost::json::object parseObject(const std::string &text);

std::uint64_t numberField(const boost::json::object &object, std::string_view key);
std::string stringField(const boost::json::object &object, std::string_view key);
bool boolField(const boost::json::object &object, std::string_view key);

/// Returns the numeric value of the query parameter \p name in \p target, or zero.
std::uint64_t queryNumber(const std::string &target, const std::string &name);

} // namespace daisyrelay
