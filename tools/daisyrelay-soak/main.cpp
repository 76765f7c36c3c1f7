// Runs real processes on loopback, injects random faults and checks the guarantees to callers and backend servers.
#include "platform/soak/soakrun.h"

#include <csignal>
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(node, "", "Path of the program daisyrelay-node");
DEFINE_string(folder, "", "Folder for settings, data and logs; each seed gets a subfolder");
DEFINE_uint64(seed, 1, "The first seed");
DEFINE_uint64(runs, 1, "Number of consecutive seeds to run");
DEFINE_uint64(seconds, 20, "Duration of the faults in each run, in seconds");
DEFINE_uint64(entries, 0, "Entries; 0 for 4, or 8 where commits wait for a replica");
DEFINE_uint64(controls, 3, "Number of control VMs");
DEFINE_uint64(callers, 0,
    "Callers; 0 for 12, 32 with outages or receipts, or 48 with rolls, where drains must not end early for want of "
    "sessions");
DEFINE_string(
    positions, "", "What new primaries report with outages: 'received' or 'applied' positions; by the seed if empty");
DEFINE_bool(trace, true, "Let entries log what each read relies on; builds without this setting reject it");
DEFINE_bool(fences, true, "Whether a primary loses its role at the moment another server is promoted");
DEFINE_string(previous, "", "Path of another build of daisyrelay-node, which is replaced process by process");
DEFINE_bool(halfway, false, "Return half of the processes to the previous build before all are replaced");
DEFINE_string(plan, "faults",
    "What is played: 'faults', 'rolls' (planned work only: rolling restarts of entries, reloads, configurations), "
    "'both', 'outage' (all primaries are lost at once, then many processes) or 'receipts' (commits wait for a replica; "
    "homes hold the connections of 8 entries)");
DEFINE_string(only, "", "Inject only this kind of fault");

static std::optional<daisyrelay::soak::SoakPlan> parsePlan(const std::string &name)
{
    using daisyrelay::soak::SoakPlan;
    static const std::map<std::string, SoakPlan> Plans { { "faults", SoakPlan::Faults }, { "rolls", SoakPlan::Rolls },
        { "both", SoakPlan::Both }, { "outage", SoakPlan::Outage }, { "receipts", SoakPlan::Receipts } };
    const auto found = Plans.find(name);
    return found == Plans.end() ? std::nullopt : std::optional(found->second);
}

static bool runSeed(std::uint64_t seed)
{
    daisyrelay::soak::SoakOptions options;
    options.seed = seed;
    options.plan = *parsePlan(FLAGS_plan);
    options.faultDuration = std::chrono::seconds(FLAGS_seconds);
    options.size.controls = FLAGS_controls;
    constexpr std::size_t CallersWithRolls = 48;
    constexpr std::size_t CallersWithOutage = 32;
    constexpr std::size_t CallersWithReceipts = 32;
    using daisyrelay::soak::SoakPlan;
    constexpr std::size_t EntriesWithReceipts = 8;
    if (options.plan == SoakPlan::Receipts) {
        options.size.entries = EntriesWithReceipts;
    }
    options.size.entries = FLAGS_entries == 0 ? options.size.entries : FLAGS_entries;
    if (options.plan == SoakPlan::Receipts) {
        options.size.callers = CallersWithReceipts;
    } else if (options.plan == SoakPlan::Outage) {
        options.size.callers = CallersWithOutage;
        options.size.spareControls = 1;
        options.size.hasEntryLinks = true;
    } else if (options.plan != SoakPlan::Faults) {
        options.size.callers = CallersWithRolls;
    }
    options.size.callers = FLAGS_callers == 0 ? options.size.callers : FLAGS_callers;
    options.program = FLAGS_node;
    options.folder = FLAGS_folder + "/seed-" + std::to_string(seed);
    options.tracesReads = FLAGS_trace;
    if (!FLAGS_positions.empty()) {
        options.reportsAppliedPosition = FLAGS_positions == "applied";
    }
    options.platformFences = FLAGS_fences;
    options.onlyKind = FLAGS_only;
    options.previousProgram = FLAGS_previous;
    options.returnsHalfway = FLAGS_halfway;
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    std::cout << "seed " << seed << '\n';
    boost::asio::io_context context(1);
    daisyrelay::soak::SoakRun soakRun(context, options);
    const daisyrelay::soak::SoakResult result = soakRun.run();
    for (const std::string &violation : result.violations) {
        std::cout << "  BROKEN " << violation << '\n';
    }
    std::cout << "  cuts: " << result.cuts << '\n';
    std::cout << "seed " << seed << (result.violations.empty() ? ": held" : ": BROKEN") << ", faults " << result.faults
              << ", promotions " << result.promotions << ", served " << result.succeededStatements << ", not served "
              << result.failedStatements << ", statements run " << result.runCount << std::endl;
    return result.violations.empty();
}

int main(int argc, char **argv)
{
    constexpr int ExitViolations = 1;
    constexpr int ExitBadUsage = 2;
    gflags::SetUsageMessage("daisyrelay-soak --node PROGRAM --folder FOLDER [--seed N] [--runs N] [--seconds N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_node.empty() || FLAGS_folder.empty() || FLAGS_controls == 0 || !parsePlan(FLAGS_plan)
        || (!FLAGS_positions.empty() && FLAGS_positions != "received" && FLAGS_positions != "applied")) {
        std::cerr << "daisyrelay-soak: --node and --folder are required, --controls must be above 0, --plan must be "
                     "faults, rolls, both, outage or receipts, --positions received or applied\n";
        return ExitBadUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool allPassed = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs; ++seed) {
        allPassed = runSeed(seed) && allPassed;
    }
    return allPassed ? 0 : ExitViolations;
}
