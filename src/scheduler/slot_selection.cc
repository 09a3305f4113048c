#include "scheduler/slot_selection.h"

#include <algorithm>
#include <map>

#include "base/constants.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

// The sort key of a preemption step among the steps of all machines; the smallest is taken first.
struct StepRank {
    bool lacks_image;
    double loss;
    const MachineCapacity* capacity;
    size_t index;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const StepRank&) const = default;
};

StepRank rank_of(const StepReference& reference, const Job& job) {
    return {!reference.capacity->machine->cache.has(job.spec.image), reference.step().loss,
            reference.capacity, reference.index};
}

// A slot that is expected to become free when a task ends.
struct ExpectedSlot {
    Seconds available_at;
    Machine* machine;
};

// The slots that the machines of a zone can offer.
struct Candidates {
    std::vector<Machine*> free;  // one entry per slot, no more than needed
    std::vector<StepReference> steps;
    std::vector<ExpectedSlot> expected;
};

Candidates collect_candidates(const std::string& zone, const Job& job, uint32_t tasks,
                              const std::vector<MachineCapacity>& capacities, ZoneRule& rule) {
    Candidates candidates;
    uint32_t missing = tasks;
    for (const MachineCapacity& capacity : capacities) {
        Machine* machine = capacity.machine;
        if ((!zone.empty() && machine->zone != zone) || avoids(job, *machine)) continue;
        uint32_t taken = std::min({missing, capacity.free_slots, rule.remaining(machine->zone)});
        missing -= taken;
        for (uint32_t i = 0; i < taken; ++i) {
            candidates.free.push_back(machine);
            rule.add(machine->zone);
        }
        for (size_t i = 0; i < capacity.preemptions.size(); ++i) candidates.steps.push_back({&capacity, i});
        for (Seconds available_at : capacity.expected_slots)
            candidates.expected.push_back({available_at, machine});
    }
    return candidates;
}

// How many of the best candidates have to be sorted to select from them, if `enough` are otherwise. Of a job
// that is spread across zones any number may be in a zone that can take no more.
size_t candidates_to_sort(const Job& job, size_t candidates, size_t enough) {
    return job.spec.spread_across_zones ? candidates : std::min(candidates, enough);
}

// Adds up to `missing` slots by preemption; returns how many are still missing.
uint32_t select_preemptions(const Job& job, std::vector<StepReference>& steps, uint32_t missing,
                            ZoneRule& rule, SlotSelection& selection) {
    // A machine's steps must be taken in order: taking a later step takes the ones before it, so at most as
    // many steps are skipped as are taken, and twice `missing` are enough.
    auto end = steps.begin() + static_cast<long>(candidates_to_sort(job, steps.size(), size_t{2} * missing));
    std::partial_sort(steps.begin(), end, steps.end(), [&](const StepReference& a, const StepReference& b) {
        return rank_of(a, job) < rank_of(b, job);
    });
    steps.erase(end, steps.end());
    std::map<const MachineCapacity*, size_t> steps_taken;
    for (const StepReference& step : steps) {
        const std::string& zone = step.capacity->machine->zone;
        for (size_t index = steps_taken[step.capacity];
             index <= step.index && missing > 0 && rule.remaining(zone) > 0; ++index) {
            const auto& victims = step.capacity->preemptions[index].victims;
            selection.victims.insert(selection.victims.end(), victims.begin(), victims.end());
            selection.machines.push_back(step.capacity->machine);
            steps_taken[step.capacity] = index + 1;
            rule.add(zone);
            --missing;
        }
    }
    return missing;
}

// Adds up to `missing` slots that are expected to become free, earliest first, and sets when all are
// available.
void select_expected_slots(const Job& job, std::vector<ExpectedSlot>& expected, uint32_t missing, Seconds now,
                           ZoneRule& rule, SlotSelection& selection) {
    auto end = expected.begin() + static_cast<long>(candidates_to_sort(job, expected.size(), missing));
    std::partial_sort(expected.begin(), end, expected.end(),
                      [](const ExpectedSlot& a, const ExpectedSlot& b) {
                          return a.available_at != b.available_at ? a.available_at < b.available_at
                                                                  : a.machine->name < b.machine->name;
                      });
    selection.available_at = now;
    for (const ExpectedSlot& slot : expected) {
        if (missing == 0) break;
        if (rule.remaining(slot.machine->zone) == 0) continue;
        rule.add(slot.machine->zone);
        selection.machines.push_back(slot.machine);
        selection.available_at = slot.available_at;
        --missing;
    }
    selection.start_expected = missing == 0;
    if (missing > 0) selection.available_at = now + constants::kNoExpectedEnd_s;
}

}  // namespace

SlotSelection select_slots(const PassContext& pass, const std::string& zone, const Job& job, uint32_t tasks,
                           const std::vector<MachineCapacity>& capacities) {
    pass.count_steps(capacities.size());
    ZoneRule rule(job);
    Candidates candidates = collect_candidates(zone, job, tasks, capacities, rule);
    ZoneRule preemption_rule = rule;
    SlotSelection selection;
    selection.machines = std::move(candidates.free);
    size_t free_slots = selection.machines.size();
    auto missing = tasks - static_cast<uint32_t>(free_slots);
    selection.complete = select_preemptions(job, candidates.steps, missing, preemption_rule, selection) == 0;
    if (selection.complete) return selection;
    // Preemption does not free enough slots for all tasks, so the expected slots are reserved instead.
    selection.machines.resize(free_slots);
    select_expected_slots(job, candidates.expected, missing, pass.input.now, rule, selection);
    return selection;
}

}  // namespace hareshore
