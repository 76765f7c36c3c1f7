#include "output.h"

#include <algorithm>
#include <iomanip>
#include <vector>

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::size_t ColumnGap = 2;

std::string cellText(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

static std::vector<std::string> columnNames(const json::array &rows)
{
    std::vector<std::string> columns;
    for (const json::value &row : rows) {
        for (const auto &field : row.as_object()) {
            const std::string name(field.key());
            if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    return columns;
}

static std::string cellTextAt(const json::value &row, const std::string &column)
{
    const json::value *value = row.as_object().if_contains(column);
    return value == nullptr ? "" : cellText(*value);
}

static void printRows(std::ostream &out, const json::array &rows)
{
    if (rows.empty()) {
        out << "(none)\n";
        return;
    }
    for (const std::string &column : columnNames(rows)) {
        std::size_t width = column.size();
        for (const json::value &row : rows) {
            width = std::max(width, cellTextAt(row, column).size());
        }
        out << std::left << std::setw(static_cast<int>(width + ColumnGap)) << column;
    }
    out << "\n";
    for (const json::value &row : rows) {
        for (const std::string &column : columnNames(rows)) {
            std::size_t width = column.size();
            for (const json::value &otherRow : rows) {
                width = std::max(width, cellTextAt(otherRow, column).size());
            }
            out << std::left << std::setw(static_cast<int>(width + ColumnGap)) << cellTextAt(row, column);
        }
        out << "\n";
    }
}

static void printFields(std::ostream &out, const json::object &fields)
{
    std::size_t width = 0;
    for (const auto &field : fields) {
        width = std::max(width, field.key().size());
    }
    for (const auto &field : fields) {
        out << std::left << std::setw(static_cast<int>(width + ColumnGap)) << std::string(field.key())
            << cellText(field.value()) << "\n";
    }
}

static YAML::Node toYamlNode(const json::value &value)
{
    YAML::Node node;
    if (value.is_object()) {
        node = YAML::Node(YAML::NodeType::Map);
        for (const auto &field : value.as_object()) {
            node[std::string(field.key())] = toYamlNode(field.value());
        }
    } else if (value.is_array()) {
        node = YAML::Node(YAML::NodeType::Sequence);
        for (const json::value &element : value.as_array()) {
            node.push_back(toYamlNode(element));
        }
    } else if (!value.is_null()) {
        node = cellText(value);
    }
    return node;
}

std::string toYamlText(const json::value &value)
{
    return YAML::Dump(toYamlNode(value)) + "\n";
}

static bool isArrayOfObjects(const json::value &value)
{
    return value.is_array()
        && std::all_of(
            value.as_array().begin(), value.as_array().end(), [](const json::value &row) { return row.is_object(); });
}

void printValue(std::ostream &out, OutputFormat format, const json::value &value)
{
    if (format == OutputFormat::Json) {
        out << json::serialize(value) << "\n";
    } else if (format == OutputFormat::Yaml) {
        out << toYamlText(value);
    } else if (isArrayOfObjects(value)) {
        printRows(out, value.as_array());
    } else if (value.is_object()) {
        printFields(out, value.as_object());
    } else {
        out << cellText(value) << "\n";
    }
}

} // namespace daisyrelay
