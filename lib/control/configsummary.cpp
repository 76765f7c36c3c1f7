#include "configsummary.h"

#include "daisyrelay/config.h"

namespace daisyrelay {

template <typename Map>
static void appendDifferences(const std::string &section, const Map &before, const Map &after, std::string &summary)
{
    const auto add = [&summary, &section](const std::string &what, const std::string &name) {
        summary += (summary.empty() ? "" : ", ") + what + " " + section + "." + name;
    };
    for (const auto &[id, value] : after) {
        const auto old = before.find(id);
        if (old == before.end()) {
            add("added", id.value);
        } else if (!(old->second == value)) {
            add("changed", id.value);
        }
    }
    for (const auto &[id, value] : before) {
        if (!after.contains(id)) {
            add("removed", id.value);
        }
    }
}

std::string summarizeChange(const std::string &before, const std::string &after)
{
    const Configuration old = parseConfiguration(before).value_or(Configuration {});
    const Expected<Configuration> next = parseConfiguration(after);
    if (!next) {
        return "not readable";
    }
    std::string summary;
    appendDifferences("classes", old.classes, next->classes, summary);
    appendDifferences("services", old.services, next->services, summary);
    return summary.empty() ? "no difference" : summary;
}

} // namespace daisyrelay
