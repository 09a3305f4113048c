#include "fleet/work_placement.h"

#include <algorithm>
#include <compare>

#include "base/constants.h"

namespace hareshore {

namespace {

// The sort key of a kind of machine for a job; the smallest is requested first.
struct KindRank {
    double price_per_task = 0;
    int machines_in_zone = 0;
    MachineKind kind;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const KindRank&) const = default;
};

// Places tasks on the machine as far as the job's zone constraints allow; returns how many were placed.
uint32_t place_by_rule(PlannedMachine& planned, const JobSpec& spec, uint32_t tasks, ZoneRule& rule) {
    uint32_t placed = planned.place(spec, std::min(tasks, rule.remaining(planned.kind.zone)));
    for (uint32_t i = 0; i < placed; ++i) rule.add(planned.kind.zone);
    return placed;
}

}  // namespace

WorkPlacement::WorkPlacement(const PlanningContext& context, FleetCapacity& capacity)
    : context_(context), capacity_(capacity) {
    for (size_t i = 0; i < capacity.machines().size(); ++i) machines_with_room_.push_back(i);
}

void WorkPlacement::place_all(const std::vector<QueuedJob>& queue) {
    smallest_request_ = smallest_request(queue);
    for (const auto& queued : queue) place(*queued.job);
}

void WorkPlacement::place(const Job& job) {
    if (context_.input.now < job.failures.retry_at) return;
    // Machines too full for even the smallest waiting request are skipped for all further jobs.
    std::erase_if(machines_with_room_, [&](size_t index) {
        const PlannedMachine& planned = capacity_.machines()[index];
        return !planned.free.can_fit(smallest_request_) && !planned.expected_free.can_fit(smallest_request_);
    });
    if (context_.input.steps) *context_.input.steps += machines_with_room_.size();
    uint32_t tasks = startable_tasks(job);
    if (tasks == 0) return;
    if (job.spec.single_zone && job.spec.tasks > 1) {
        place_in_one_zone(job, tasks);
    } else {
        place_across_zones(job, tasks);
    }
}

uint32_t WorkPlacement::startable_tasks(const Job& job) const {
    const Config& config = context_.input.config;
    const JobSpec& spec = job.spec;
    uint32_t tasks = job.pending.size();
    if (!spec.gang())
        while (tasks > 1 && !context_.cluster.within_limit(config, spec, tasks, {})) tasks /= 2;
    if (!context_.cluster.within_limit(config, spec, tasks, {})) return 0;
    // A gang waits until its previous attempt has ended, unless the attempt still accepts replacements.
    return spec.gang() && !job.live.empty() && !job.gang_attempt.accepts_replacements() ? 0 : tasks;
}

void WorkPlacement::place_across_zones(const Job& job, uint32_t tasks) {
    const JobSpec& spec = job.spec;
    // A job that must be spread uses no more of a zone than its constraint allows.
    ZoneRule rule(job);
    for (size_t index : machines_with_room_)
        if (PlannedMachine& planned = capacity_.machines()[index]; tasks > 0 && planned.allowed_for(spec))
            tasks -= place_by_rule(planned, spec, tasks, rule);
    // Tasks that need not start together can wait for resources that become free before a new machine has
    // booted. This does not apply to jobs with a deadline, since estimates are often wrong.
    if (!spec.gang() && !spec.service() && !spec.due_s)
        for (size_t index : machines_with_room_)
            if (PlannedMachine& planned = capacity_.machines()[index];
                tasks > 0 && planned.machine && planned.allowed_for(spec))
                tasks -= planned.place_in_expected(spec, tasks);
    for (const MachineKind& kind : kinds_for(spec)) {
        while (tasks > 0 && rule.remaining(kind.zone) > 0) {
            PlannedMachine* planned = request(kind);
            if (!planned) break;
            tasks -= place_by_rule(*planned, spec, tasks, rule);
        }
    }
}

void WorkPlacement::place_in_one_zone(const Job& job, uint32_t tasks) {
    const JobSpec& spec = job.spec;
    ZoneRule rule(job);
    std::string best_zone;
    uint32_t fewest_missing = UINT32_MAX;
    auto kinds = kinds_for(spec);
    for (const auto& zone : context_.input.config.zones) {
        if (rule.remaining(zone) == 0) continue;
        uint32_t room = room_in_zone(spec, zone, tasks);
        uint32_t missing = room >= tasks ? 0 : tasks - room;
        bool requestable = std::any_of(kinds.begin(), kinds.end(),
                                       [&](const MachineKind& kind) { return kind.zone == zone; });
        if (missing > 0 && !requestable) continue;
        if (missing < fewest_missing) {
            best_zone = zone;
            fewest_missing = missing;
        }
    }
    if (best_zone.empty()) return;
    for (size_t index : machines_with_room_)
        if (PlannedMachine& planned = capacity_.machines()[index];
            tasks > 0 && planned.kind.zone == best_zone && planned.allowed_for(spec))
            tasks -= planned.place(spec, tasks);
    for (const MachineKind& kind : kinds) {
        if (kind.zone != best_zone) continue;
        while (tasks > 0) {
            PlannedMachine* planned = request(kind);
            if (!planned) break;
            tasks -= planned->place(spec, tasks);
        }
    }
}

uint32_t WorkPlacement::room_in_zone(const JobSpec& spec, const std::string& zone, uint32_t tasks) const {
    uint32_t room = 0;
    for (size_t index : machines_with_room_)
        if (const PlannedMachine& planned = capacity_.machines()[index];
            planned.kind.zone == zone && planned.allowed_for(spec))
            room += planned.free.count_fitting(spec, tasks);
    return room;
}

std::vector<MachineKind> WorkPlacement::kinds_for(const JobSpec& spec) const {
    std::vector<KindRank> ranks;
    for (const MachineType& type : context_.cluster.machine_types) {
        Resources amount = Resources::of_machine(type.cpus, type.gpus, type.memory_gb);
        uint32_t tasks_per_machine = amount.count_fitting(spec, constants::kMaxTasksPerJob);
        if (tasks_per_machine == 0) continue;
        for (const auto& zone : type.zones)
            for (bool spot : {true, false}) {
                MachineKind kind{type.name, zone, spot};
                if (!spec.allows(type.name, zone, spot) || !capacity_.available(kind)) continue;
                double price = spot ? type.spot_price : type.price;
                ranks.push_back({price / tasks_per_machine, capacity_.machines_in_zone(zone), kind});
            }
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<MachineKind> kinds;
    kinds.reserve(ranks.size());
    for (KindRank& rank : ranks) kinds.push_back(std::move(rank.kind));
    return kinds;
}

PlannedMachine* WorkPlacement::request(const MachineKind& kind) {
    if (!capacity_.request(kind)) return nullptr;
    machines_with_room_.push_back(capacity_.machines().size() - 1);
    return &capacity_.machines().back();
}

}  // namespace hareshore
