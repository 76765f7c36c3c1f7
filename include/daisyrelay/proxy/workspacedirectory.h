// The workspaces of a configuration, found by the keys of callers.
#pragma once

#include "daisyrelay/wire.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

/// Immutable; each configuration version has one of its own.
class WorkspaceDirectory
{
public:
    /// A directory of a configuration that requires no keys.
    WorkspaceDirectory() = default;

    explicit WorkspaceDirectory(const RouteConfiguration &configuration);

    // The indexes refer to elements of this object.
    WorkspaceDirectory(const WorkspaceDirectory &) = delete;
    WorkspaceDirectory &operator=(const WorkspaceDirectory &) = delete;

    /// Returns whether callers of databases that are not public need a key.
    [[nodiscard]] bool requiresKeys() const;

    /// Returns the workspace that holds \p key, or null.
    [[nodiscard]] const Workspace *findByKey(const std::string &key) const;

    /// Returns the workspace \p name, or null.
    [[nodiscard]] const Workspace *find(const WorkspaceId &name) const;

    [[nodiscard]] const std::vector<Workspace> &workspaces() const;

private:
    bool requiresKeys_ = false;
    std::vector<Workspace> workspaces_;
    std::unordered_map<std::string, const Workspace *> byKey_;
    std::unordered_map<WorkspaceId, const Workspace *> byName_;
};

} // namespace daisyrelay
