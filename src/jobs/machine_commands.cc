// Derives the commands for a machine from its last heartbeat and the placements on it.
#include <algorithm>
#include <optional>
#include <utility>

#include "jobs/heartbeat_processor.h"
#include "jobs/job_table.h"
#include "jobs/task_lifecycle.h"
#include "workers/command.h"

namespace hareshore {

namespace {

// The placement of a reported task; nullptr if its job has ended or its attempt is no longer placed.
const Placement* placement_of(const Job* job, const Machine& machine, const MachineTask& task) {
    if (!job) return nullptr;
    auto entry = job->live.find(task.name.task);
    if (entry == job->live.end()) return nullptr;
    const Placement& placement = entry->second;
    return placement.machine == machine.name && placement.attempt == task.attempt ? &placement : nullptr;
}

// The stop that a listed task needs; none if it may go on.
std::optional<Command> stop_for(const Machine& machine, const MachineTask& task, const Job* job) {
    const Placement* placement = placement_of(job, machine, task);
    if (!placement) return Command{CommandKind::kStop, task.name, task.attempt, 0};
    bool already_saving = task.phase == TaskPhase::kSaving && placement->grace_s > 0;
    if (!placement->stopping || already_saving) return std::nullopt;
    return Command{CommandKind::kStop, task.name, task.attempt, placement->grace_s};
}

bool may_launch(const Job& job, const Placement& placement) {
    if (!transition(placed_state(job, placement), TaskEvent::kLaunchSent).accepted()) return false;
    return !(job.spec.gang() && job.gang_attempt.broken);
}

// Records that the response to the machine's newest heartbeat carries the launch.
void record_launch(LaunchAttempts& launch, const Machine& machine) {
    if (launch.incarnation != machine.incarnation || launch.sequence != machine.sequence) ++launch.responses;
    launch.incarnation = machine.incarnation;
    launch.sequence = machine.sequence;
}

}  // namespace

std::vector<Command> JobTable::commands(Machine& machine, LaunchCommands launches) {
    // In the order of their urgency, as there may not be room for all.
    CommandList commands;
    add_stops(commands, machine);
    add_forgets(commands, machine);
    if (launches == LaunchCommands::kInclude) add_launches(commands, machine);
    return std::move(commands).take();
}

void JobTable::add_stops(CommandList& commands, const Machine& machine) const {
    for (const auto& task : machine.tasks) {
        if (task.phase == TaskPhase::kExited || unreadable(task.name.job)) continue;
        auto stop = stop_for(machine, task, find(task.name.job));
        if (stop && !commands.add(std::move(*stop))) return;
    }
}

void JobTable::add_forgets(CommandList& commands, const Machine& machine) const {
    for (const auto& task : machine.tasks) {
        if (task.phase != TaskPhase::kExited || unreadable(task.name.job)) continue;
        // The machine may forget an exit only after its effect is committed to the store.
        const Job* job = find(task.name.job);
        if (job && !job->persistence.committed(task.exit_version)) continue;
        if (!commands.add({CommandKind::kForget, task.name, task.attempt, 0})) return;
    }
}

void JobTable::add_launches(CommandList& commands, const Machine& machine) {
    for (const auto& [job, task, placed] : placements_on(machine.name)) {
        if (!may_launch(*job, *placed)) continue;
        TaskName name{job->spec.id, task};
        if (find_attempt(machine.tasks, 0, name, placed->attempt) != machine.tasks.end()) continue;
        if (!commands.add({CommandKind::kLaunch, std::move(name), placed->attempt, 0})) return;
        record_launch(job->live.at(task).launch, machine);
    }
}

bool JobTable::awaits_commit(const Machine& machine) const {
    const auto& placements = placements_on(machine.name);
    return std::any_of(placements.begin(), placements.end(), [](const PlacedTask& placed) {
        const Placement& placement = *placed.placement;
        return !placement.from_earlier_leader && !placed.job->cancelled &&
               !placed.job->persistence.committed(placement.job_version);
    });
}

bool JobTable::all_running_on(const Machine& machine) const {
    auto is_running = [](const MachineTask& task) { return task.phase == TaskPhase::kRunning; };
    auto should_run = [](const PlacedTask& placed) {
        return placed.placement->acknowledged && !placed.placement->stopping;
    };
    const auto& placements = placements_on(machine.name);
    return placements.size() == machine.tasks.size() &&
           std::all_of(machine.tasks.begin(), machine.tasks.end(), is_running) &&
           std::all_of(placements.begin(), placements.end(), should_run);
}

}  // namespace hareshore
