// Differences between two texts, line by line.
#pragma once

#include <string>
#include <vector>

namespace daisyrelay {

/// Returns the lines of both texts, marked "  " for common, "- " for only in \p before and "+ " for only in \p after.
std::vector<std::string> diffLines(const std::string &before, const std::string &after);

} // namespace daisyrelay
