// Finds what is wrong in a status answer, most urgent first.
#pragma once

#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Returns one line for each problem; empty if nothing is wrong.
std::vector<std::string> findProblems(const boost::json::object &status);

} // namespace daisyrelay
