#include "textdiff.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(TextDiff) {};

/// Rebuilds one side of a difference from its marked lines.
static std::string rebuildSide(const std::vector<std::string> &lines, char excludedMark)
{
    std::string text;
    for (const std::string &line : lines) {
        if (line[0] != excludedMark) {
            text += line.substr(2) + "\n";
        }
    }
    return text;
}

TEST(TextDiff, BothSidesCanBeRebuilt)
{
    CHECK(rc::check([]() {
        const auto text = rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                                           "classes:", "  lookups:", "    freshness: 5s", "services:")),
            [](const std::vector<std::string> &lines) {
                std::string joined;
                for (const std::string &line : lines) {
                    joined += line + "\n";
                }
                return joined;
            });
        const std::string before = *text;
        const std::string after = *text;
        const std::vector<std::string> lines = diffLines(before, after);
        RC_ASSERT(rebuildSide(lines, '+') == before);
        RC_ASSERT(rebuildSide(lines, '-') == after);
    }));
}

TEST(TextDiff, EqualTextsHaveNoMarks)
{
    for (const std::string &line : diffLines("a\nb\n", "a\nb\n")) {
        CHECK_EQUAL(' ', line[0]);
    }
}
