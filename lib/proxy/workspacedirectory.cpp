#include "daisyrelay/proxy/workspacedirectory.h"

namespace daisyrelay {

WorkspaceDirectory::WorkspaceDirectory(const RouteConfiguration &configuration)
    : requiresKeys_(configuration.requiresKeys), workspaces_(configuration.workspaces)
{
    for (const Workspace &workspace : workspaces_) {
        byName_.emplace(workspace.name, &workspace);
        for (const std::string &key : workspace.keys) {
            byKey_.emplace(key, &workspace);
        }
    }
}

bool WorkspaceDirectory::requiresKeys() const
{
    return requiresKeys_;
}

const Workspace *WorkspaceDirectory::findByKey(const std::string &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

const Workspace *WorkspaceDirectory::find(const WorkspaceId &name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : found->second;
}

const std::vector<Workspace> &WorkspaceDirectory::workspaces() const
{
    return workspaces_;
}

} // namespace daisyrelay
