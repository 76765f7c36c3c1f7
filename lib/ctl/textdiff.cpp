#include "textdiff.h"

#include <algorithm>
#include <sstream>

namespace daisyrelay {

static std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line)) {
        lines.push_back(line);
    }
    return lines;
}

/// Lengths of the longest common subsequence of all suffixes of two lists of lines.
static std::vector<std::vector<std::size_t>> commonLengths(
    const std::vector<std::string> &before, const std::vector<std::string> &after)
{
    std::vector<std::vector<std::size_t>> lengths(before.size() + 1, std::vector<std::size_t>(after.size() + 1, 0));
    for (std::size_t row = before.size(); row-- > 0;) {
        for (std::size_t column = after.size(); column-- > 0;) {
            lengths[row][column] = before[row] == after[column]
                ? lengths[row + 1][column + 1] + 1
                : std::max(lengths[row + 1][column], lengths[row][column + 1]);
        }
    }
    return lengths;
}

std::vector<std::string> diffLines(const std::string &before, const std::string &after)
{
    const std::vector<std::string> old = linesOf(before);
    const std::vector<std::string> fresh = linesOf(after);
    const std::vector<std::vector<std::size_t>> lengths = commonLengths(old, fresh);
    std::vector<std::string> result;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < old.size() || column < fresh.size()) {
        const bool both = row < old.size() && column < fresh.size();
        if (both && old[row] == fresh[column]) {
            result.push_back("  " + old[row++]);
            ++column;
        } else if (column == fresh.size() || (both && lengths[row + 1][column] >= lengths[row][column + 1])) {
            result.push_back("- " + old[row++]);
        } else {
            result.push_back("+ " + fresh[column++]);
        }
    }
    return result;
}

} // namespace daisyrelay
