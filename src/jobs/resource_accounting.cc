#include "jobs/resource_accounting.h"

namespace hareshore {

namespace {

MachineUsage count_usage(const Machine& machine, const JobTable& jobs) {
    MachineUsage usage;
    for (const auto& placed : jobs.placements_on(machine.name)) {
        usage.taken += Resources::of(placed.job->spec);
        ++usage.placed_tasks;
    }
    for (const auto& task : machine.tasks) {
        if (task.phase == TaskPhase::kExited) {
            usage.taken.list_bytes += task_list_bytes(task.name.job);  // until it is forgotten
            continue;
        }
        if (const Job* job = jobs.find(task.name.job)) {
            auto placement = job->live.find(task.name.task);
            if (placement != job->live.end() && placement->second.machine == machine.name)
                continue;  // counted as a placement
        }
        usage.taken += task.amount;
        ++usage.placed_tasks;
        usage.all_sizes_known = usage.all_sizes_known && task.size_known;
        usage.unplaced.push_back({task.name.job, task.team, task.amount});
    }
    return usage;
}

// Adds the job's placements to its team's usage.
void add_usage(TeamUsage& usage, const Job& job) {
    auto placements = static_cast<double>(job.live.size());
    usage.cpus += placements * job.spec.cpus;
    usage.gpus += placements * job.spec.gpus;
}

// Whether tasks may be bound to a machine, provided that its type is known.
bool may_be_scheduled(const Machine& machine, Seconds now, Seconds silent_after) {
    bool alive = machine.heartbeat_awaits_response || now - machine.last_heartbeat <= silent_after;
    bool stays = !machine.cordoned && !machine.deleting && !machine.draining && !machine.spot_reclaim_at;
    return alive && stays && machine.has_current_token && !machine.unreachable_since &&
           machine.usage.all_sizes_known;
}

}  // namespace

void recount_machine(const Cluster& cluster, Machine& machine, const JobTable& jobs, Seconds now,
                     Seconds silent_after) {
    if (!machine.usage_valid) {
        machine.usage = count_usage(machine, jobs);
        machine.usage_valid = true;
    }
    const MachineType* type = cluster.machine_type(machine.machine_type);
    machine.free = type ? Resources::of_machine(type->cpus, type->gpus, type->memory_gb) : Resources{};
    if (type) machine.cache.set_capacity(type->cache_gb);
    machine.free -= machine.usage.taken;
    machine.placed_tasks = machine.usage.placed_tasks;
    machine.schedulable = type && may_be_scheduled(machine, now, silent_after);
    if (machine.placed_tasks > 0) {
        machine.idle_since.reset();
    } else if (!machine.idle_since) {
        machine.idle_since = now;
    }
}

void recount(Cluster& cluster, JobTable& jobs, Seconds now, Seconds silent_after) {
    for (const auto& name : jobs.take_changed_machines())
        if (Machine* changed = cluster.machine(name)) changed->usage_valid = false;
    cluster.teams.clear();
    for (const auto& [id, job] : jobs.all()) {
        job->wait.has_unplaced_task = false;
        if (!job->live.empty()) add_usage(cluster.teams[job->spec.team], *job);
    }
    for (auto& [name, machine] : cluster.machines) {
        recount_machine(cluster, *machine, jobs, now, silent_after);
        machine->reserved = {};
        machine->reserved_until = 0;
        for (const auto& task : machine->usage.unplaced) {
            if (Job* job = jobs.find(task.job)) job->wait.has_unplaced_task = true;
            TeamUsage& usage = cluster.teams[task.team];
            usage.cpus += task.amount.cpus;
            usage.gpus += task.amount.gpus;
        }
    }
}

}  // namespace hareshore
