// What each machine can give to a job that waits: slots that are free, that preemption frees, and that come
// free by themselves. A slot is the room for one task of the job.
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
    double loss = 0;  // GPU seconds, of all victims
};

// The slots of one machine for one kind of request.
struct MachineCapacity {
    Machine* machine = nullptr;
    uint64_t changes = 0;                     // the machine's, when this was found
    uint32_t free_slots = 0;                  // free, or being freed, beside reservations
    std::vector<PreemptionStep> preemptions;  // each builds on those before it
    std::vector<Seconds> expected_slots;      // when further slots are expected to come free, earliest first
};

// One of a machine's preemption steps.
struct StepReference {
    const MachineCapacity* capacity;
    size_t index;

    [[nodiscard]] const PreemptionStep& step() const { return capacity->preemptions[index]; }
};

// Finds capacities once a pass for jobs that request the same of machines and may preempt the same work, and
// again only of machines that have changed since. Looked at job by job, a queue of 100 gangs cost 700
// machines each, and a pass took longer than the leader's share allows.
class CapacityCache {
  public:
    explicit CapacityCache(PassContext& pass) : pass_(pass) {}

    // The capacities of all machines that the job may use, by machine name. Valid until the pass ends; a
    // later call for a similar job may update them.
    [[nodiscard]] const std::vector<MachineCapacity>& find(const QueuedJob& queued);

  private:
    // Jobs with equal requests have equal capacities.
    struct Request {
        double cpus = 0;
        double gpus = 0;
        double memory_gb = 0;
        std::vector<std::string> machine_types;
        std::string zone;
        bool spot = false;
        JobKind kind = JobKind::kArray;
        PriorityClass priority = PriorityClass::kStandard;
        bool within_guarantee = false;
        std::string guaranteed_team;  // empty if it is not within its team's guarantee
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
        auto operator<=>(const Request&) const = default;
    };
    static Request request_of(const QueuedJob& queued);

    PassContext& pass_;
    std::map<Request, std::vector<MachineCapacity>> by_request_;
};

}  // namespace hareshore
