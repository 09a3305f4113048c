// The slots that each machine can offer to a waiting job: free slots, slots freed by preemption, and slots
// expected to become free when tasks end. A slot is room for one task of the job.
#pragma once
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "scheduler/preemption.h"

namespace hareshore {

// Victims on one machine that together free one more slot.
struct PreemptionStep {
    std::vector<Victim> victims;
    double loss = 0;  // of all victims, in GPU seconds
};

// The slots of one machine for one kind of request.
struct MachineCapacity {
    Machine* machine = nullptr;
    uint64_t version = 0;                     // the machine's capacity_version when this was computed
    uint32_t free_slots = 0;                  // free or being freed, excluding reservations
    std::vector<PreemptionStep> preemptions;  // each assumes the ones before it
    std::vector<Seconds> expected_slots;      // when further slots should become free, earliest first
};

// One of a machine's preemption steps.
struct StepReference {
    const MachineCapacity* capacity;
    size_t index;

    [[nodiscard]] const PreemptionStep& step() const { return capacity->preemptions[index]; }
};

// Computes machine capacities once per pass for all jobs with the same request and the same preemption
// rights, and recomputes only the machines that have changed since. Without the cache, a queue of 100 gangs
// examined 700 machines per gang, and a pass took longer than the leader's share of CPU time allows.
class CapacityCache {
  public:
    explicit CapacityCache(PassContext& pass) : pass_(pass) {}

    // Returns the capacities of all machines that the job may use, ordered by machine name. Valid until the
    // pass ends; a later call for a job with the same request may update them.
    [[nodiscard]] const std::vector<MachineCapacity>& find(const QueuedJob& queued);

  private:
    // Jobs with equal requests have equal capacities.
    struct Request {
        double cpus = 0;
        double gpus = 0;
        double memory_gb = 0;
        double list_bytes = 0;
        std::vector<std::string> machine_types;
        std::string zone;
        bool spot = false;
        JobKind kind = JobKind::kArray;
        PriorityClass priority = PriorityClass::kStandard;
        bool within_guarantee = false;
        std::string guaranteed_team;  // empty if the job is not within its team's guarantee
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
        auto operator<=>(const Request&) const = default;
    };
    static Request request_of(const QueuedJob& queued);

    PassContext& pass_;
    std::map<Request, std::vector<MachineCapacity>> by_request_;
};

}  // namespace hareshore
