// Lenient reads of JSON fields: a missing or mistyped field reads as zero, empty or false.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Returns the object in \p text, or an empty one.
boost::json::object parsedBody(const std::string &text);

std::uint64_t numberOf(const boost::json::object &object, std::string_view key);
std::string textOf(const boost::json::object &object, std::string_view key);
bool flagOf(const boost::json::object &object, std::string_view key);

/// Returns the number of \p name in the query of \p target, or zero.
std::uint64_t queryNumber(const std::string &target, const std::string &name);

} // namespace daisyrelay
