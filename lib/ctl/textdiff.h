// Line-by-line differences between two texts.
#pragma once

#include <string>
#include <vector>

namespace daisyrelay {

/// Returns the lines of both texts with a prefix: "  " for common lines, "- " for lines only in \p before and "+ " for
/// lines only in \p after.
std::vector<std::string> diffLines(const std::string &before, const std::string &after);

} // namespace daisyrelay
