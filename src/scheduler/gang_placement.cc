#include "scheduler/gang_placement.h"

#include <algorithm>
#include <compare>

#include "base/constants.h"
#include "scheduler/preemption.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

// The sort key of a machine for a gang; machines with the smallest key are used first.
struct MachineRank {
    bool lacks_image;
    double free_gpus;
    double free_cpus;
    // Tie-breakers that start the tasks sooner: a held heartbeat can be answered at once; otherwise the
    // machine with the oldest heartbeat sends the next one soonest.
    bool heartbeat_not_held;
    Seconds last_heartbeat;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const MachineRank&) const = default;
};

MachineRank rank_of(const Machine& machine, const std::string& image) {
    return {!machine.cache.has(image), machine.free.gpus, machine.free.cpus,
            !machine.heartbeat_awaits_response, machine.last_heartbeat};
}

}  // namespace

void GangPlacer::place(const QueuedJob& queued) {
    Job& job = *queued.job;
    if (job.pending.empty()) return;
    bool new_attempt = job.live.empty();
    // Tasks of the previous attempt are still on their machines. A gang that has started or is ending gets
    // no replacement tasks.
    if (!new_attempt && !job.gang_attempt.accepts_replacements()) {
        job.wait.reason = WaitReason::kPreviousAttemptNotEnded;
        return;
    }
    auto tasks = static_cast<uint32_t>(job.pending.size());
    if (!quota_.within_limit(job.spec, tasks)) {
        job.wait.reason = WaitReason::kTeamLimit;
        preempt_for_team_limit(pass_, queued, tasks);
        return;
    }
    GangSlots slots = find_best_slots(job, tasks);
    if (slots.machines.empty()) {
        job.wait.reason = WaitReason::kGangRoom;
        return;
    }
    if (pass_.input.now < job.image_preemption.until && slots.with_image < tasks) {
        job.wait.reason = WaitReason::kDelayedForImage;
        return;
    }
    // The record stores differences between one placement and the next: in this order they are small.
    std::sort(slots.machines.begin(), slots.machines.end(),
              [](const Machine* a, const Machine* b) { return a->name < b->name; });
    std::vector<const Machine*> machines(slots.machines.begin(), slots.machines.end());
    if (!job.record_has_room(pass_.input.config, pass_.input.record_format, machines)) {
        job.wait.reason = WaitReason::kRecordFull;
        return;
    }
    if (new_attempt) job.gang_attempt.number = job.next_attempt++;
    for (Machine* machine : slots.machines)
        pass_.bind(job, *job.pending.first(), *machine, job.gang_attempt.number);
}

GangPlacer::GangSlots GangPlacer::find_best_slots(const Job& job, uint32_t tasks) {
    GangSlots best;
    for (const auto& zone : zones_to_try(job.spec, pass_.input.config)) {
        GangSlots slots = find_slots(job, zone, tasks);
        if (!slots.machines.empty() && (best.machines.empty() || slots.with_image > best.with_image))
            best = std::move(slots);
    }
    return best;
}

GangPlacer::GangSlots GangPlacer::find_slots(const Job& job, const std::string& zone, uint32_t tasks) {
    if (!may_have_room(job.spec, zone, tasks)) return {};
    std::vector<Machine*> machines;
    for (Machine* machine : pass_.schedulable)
        if ((zone.empty() || machine->zone == zone) && fits(pass_, job, *machine))
            machines.push_back(machine);
    std::sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
        auto order = rank_of(*a, job.spec.image) <=> rank_of(*b, job.spec.image);
        return std::is_neq(order) ? std::is_lt(order) : a->name < b->name;
    });
    GangSlots slots;
    ZoneRule rule(job);
    for (Machine* machine : machines) {
        auto missing = tasks - static_cast<uint32_t>(slots.machines.size());
        uint32_t fitting = available_resources(pass_, job, *machine).count_fitting(job.spec, missing);
        while (fitting > 0 && rule.remaining(machine->zone) > 0) {
            slots.machines.push_back(machine);
            rule.add(machine->zone);
            slots.with_image += machine->cache.has(job.spec.image) ? 1 : 0;
            --fitting;
        }
        if (slots.machines.size() == tasks) return slots;
    }
    return {};
}

bool GangPlacer::may_have_room(const JobSpec& spec, const std::string& zone, uint32_t tasks) {
    SizeInZone size{spec.cpus, spec.gpus, spec.memory_gb, task_list_bytes(spec.id), zone};
    uint32_t& max_slots = max_slots_.try_emplace(std::move(size), UINT32_MAX).first->second;
    if (tasks > max_slots) return false;
    pass_.count_steps(pass_.schedulable.size());
    max_slots = 0;
    for (const Machine* machine : pass_.schedulable)
        if (zone.empty() || machine->zone == zone)
            max_slots += machine->free.count_fitting(spec, constants::kMaxTasksPerMachine);
    return tasks <= max_slots;
}

}  // namespace hareshore
