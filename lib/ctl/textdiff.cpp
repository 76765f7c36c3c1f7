#include "textdiff.h"

#include <algorithm>
#include <sstream>

namespace daisyrelay {

static std::vector<std::string> splitLines(const std::string &text)
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
static std::vector<std::vector<std::size_t>> commonSubsequenceLengths(
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
    const std::vector<std::string> oldLines = splitLines(before);
    const std::vector<std::string> newLines = splitLines(after);
    const std::vector<std::vector<std::size_t>> lengths = commonSubsequenceLengths(oldLines, newLines);
    std::vector<std::string> result;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < oldLines.size() || column < newLines.size()) {
        const bool hasBoth = row < oldLines.size() && column < newLines.size();
        if (hasBoth && oldLines[row] == newLines[column]) {
            result.push_back("  " + oldLines[row++]);
            ++column;
        } else if (column == newLines.size() || (hasBoth && lengths[row + 1][column] >= lengths[row][column + 1])) {
            result.push_back("- " + oldLines[row++]);
        } else {
            result.push_back("+ " + newLines[column++]);
        }
    }
    return result;
}

} // namespace daisyrelay
