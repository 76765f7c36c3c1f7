// Lenient reads of JSON fields: a missing or mistyped field reads as zero, empty or false.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Returns the object in \p text, or an empty one.
boost::json::object parseObject(const std::string &text);

std::uint64_t numberField(const boost::json::object &object, std::string_view key);
std::string stringField(const boost::json::object &object, std::string_view key);
bool boolField(const boost::json::object &object, std::string_view key);

/// Returns the number of \p name in the query of \p target, or zero.
std::uint64_t queryNumber(const std::string &target, const std::string &name);

} // namespace daisyrelay
