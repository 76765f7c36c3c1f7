// Conversions of a Configuration from and to YAML and JSON. Every error names the invalid key.
#pragma once

#include "daisyrelay/config/configuration.h"

namespace daisyrelay {

/// Parses YAML, of which JSON is a subset.
/// \param fileName appears in error details as "file:line: key: message".
/// \returns ErrorKind::InvalidConfig unless the text is a complete, valid configuration.
Expected<Configuration> parseConfiguration(const std::string &text, const std::string &fileName = "config");

/// Returns the canonical JSON text of \p configuration.
std::string toJson(const Configuration &configuration);

/// Returns \p configuration as human-readable YAML.
std::string toYaml(const Configuration &configuration);

/// Parses "50ms", "5s" or "2m".
Expected<std::chrono::milliseconds> parseDuration(const std::string &text);

} // namespace daisyrelay
