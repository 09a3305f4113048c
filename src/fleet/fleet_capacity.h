// The machines that a scaling plan counts on: existing ones, those already requested from the cloud, and
// those that the plan requests.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "fleet/machine_health.h"

namespace hareshore {

// A machine that the plan counts on.
struct PlannedMachine {
    const Machine* machine = nullptr;  // null: requested, does not exist yet
    MachineKind kind;
    Resources free;
    Resources expected_free;   // expected to become free before a machine requested now has booted
    bool new_request = false;  // requested by this plan
    bool used = false;         // waiting work was placed on it

    [[nodiscard]] bool idle() const { return !used && (!machine || machine->idle()); }
    [[nodiscard]] bool allowed_for(const JobSpec& spec) const {
        return spec.allows(kind.machine_type, kind.zone, kind.spot);
    }
    // Places up to `tasks` tasks in the free resources; returns how many were placed.
    uint32_t place(const JobSpec& spec, uint32_t tasks) { return place_in(free, spec, tasks); }
    // Like place(), but in the resources that are expected to become free.
    uint32_t place_in_expected(const JobSpec& spec, uint32_t tasks) {
        return place_in(expected_free, spec, tasks);
    }

  private:
    uint32_t place_in(Resources& resources, const JobSpec& spec, uint32_t tasks);
};

// The planned machines and the limits on further requests. Callers place work on the machines.
class FleetCapacity {
  public:
    // Collects the machines that provide capacity, and those that were requested earlier without a response
    // so far.
    FleetCapacity(const PlanningContext& context, const MachineHealth& health);

    [[nodiscard]] const std::vector<PlannedMachine>& machines() const { return machines_; }
    [[nodiscard]] std::vector<PlannedMachine>& machines() { return machines_; }
    [[nodiscard]] int machines_in_zone(const std::string& zone) const;

    // Whether the cloud is likely to have machines of the kind, in a zone that this controller can reach.
    [[nodiscard]] bool available(const MachineKind& kind) const;
    // Adds a new machine of the kind to the plan, at the end of machines(). Returns false if the limits
    // forbid it.
    [[nodiscard]] bool request(const MachineKind& kind);
    // The machines added by request(), by kind.
    [[nodiscard]] std::vector<ScaleOutRequest> new_requests() const;

  private:
    void add_existing(const Machine& machine, const MachineType& type);
    void add_requested(const MachineKind& kind, const MachineType& type, bool new_request);
    // The maximum number of machines that may be requested without a response so far.
    [[nodiscard]] size_t max_requested() const;

    const PlanningContext& context_;
    std::vector<PlannedMachine> machines_;
    std::map<std::string, int> in_zone_;
    size_t requested_ = 0;  // by earlier plans without a response, and by this plan
};

}  // namespace hareshore
