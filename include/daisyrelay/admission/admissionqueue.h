// The order in which the statements that wait for one service are sent to its backend servers.
#pragma once

#include "daisyrelay/base.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

/// Statements ordered by the priority of their route, then by fairness between workspaces, then by arrival. Fairness is
/// start-time fair queueing: each statement gets a virtual start time, and a workspace that sends more than others
/// gets later ones. Without workspaces, statements of one priority are ordered by arrival.
class AdmissionQueue
{
public:
    using Id = std::uint64_t;

    struct Entry {
        Id id = 0;
        std::uint32_t priority = 0; ///< Of the route; zero is the most urgent.
        Instant arrivedAt {};
        WorkspaceId workspace;
        std::uint32_t workspacePriority = 0; ///< Zero is the most urgent and gets the largest share.
        bool needsPrimary = false;
    };

    /// Adds a statement. A statement that is already queued keeps its place.
    void insert(const Entry &entry);

    /// Removes a statement.
    /// \returns whether it was queued.
    bool erase(Id id);

    /// Records that the statement was sent, before it is removed: the virtual time of its priority moves on to it.
    void recordStart(Instant now, Id id);

    /// Returns the mean interval between two statements that were sent while others waited; nothing if the queue was
    /// empty in between.
    [[nodiscard]] std::optional<Duration> startInterval() const;

    /// Returns the fraction of the recently sent statements that were more urgent than \p priority.
    [[nodiscard]] double moreUrgentShare(std::uint32_t priority) const;

    [[nodiscard]] bool contains(Id id) const;
    [[nodiscard]] bool empty() const;
    [[nodiscard]] std::size_t size() const;

    /// Returns the identifiers of all statements in order.
    [[nodiscard]] std::vector<Id> inOrder() const;

    /// Returns the number of statements that only the primary can run.
    [[nodiscard]] std::size_t countForPrimary() const;

    /// Returns the number of statements of a workspace that need the primary, or of those that do not.
    [[nodiscard]] std::size_t countOf(const WorkspaceId &workspace, bool needsPrimary) const;

    /// Returns how many statements a new one of \p priority would wait for: those of the same or a more urgent
    /// priority. Unless \p countsAll is set, only those with equal \p needsPrimary count.
    [[nodiscard]] std::size_t countUpTo(std::uint32_t priority, bool needsPrimary, bool countsAll) const;

    /// Returns how many statements are ahead of \p id. If \p onlyForPrimary is set, only those that need the primary
    /// count.
    [[nodiscard]] std::size_t countAhead(Id id, bool onlyForPrimary) const;

private:
    /// Priority, virtual start time, arrival, identifier.
    using Key = std::tuple<std::uint32_t, std::uint64_t, Instant, Id>;

    struct Flow {
        std::uint64_t lastFinish = 0; ///< Virtual finish time of its last statement.
        std::size_t queued = 0;
    };

    /// The statements of one priority, whose virtual time starts anew when none is queued.
    struct Level {
        std::uint64_t virtualTime = 0;
        std::map<WorkspaceId, Flow> flows;
        std::array<std::size_t, 2> counts {}; ///< Of statements that do not need the primary, and that do.
    };

    struct Queued {
        Entry entry;
        Key key;
    };

    std::optional<Instant> lastStartAt_; ///< Set while statements have been waiting since then.
    double startInterval_ = 0; ///< In ticks of Duration.
    std::map<std::uint32_t, double> shares_; ///< Fraction of the recent statements of each priority.
    std::size_t intervalCount_ = 0; ///< Number of intervals since the queue was empty.
    std::set<Key> order_;
    std::unordered_map<Id, Queued> queued_;
    std::map<std::uint32_t, Level> levels_;
    std::map<std::pair<WorkspaceId, bool>, std::size_t> workspaceCounts_;
};

} // namespace daisyrelay
