// Finds the problems that a status response shows, most urgent first.
#pragma once

#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Returns one line for each problem; empty if there is none.
std::vector<std::string> findProblems(const boost::json::object &status);

} // namespace daisyrelay
