// The machines that a plan counts on: those that are there, those requested from the cloud, and those that
// the plan requests.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "fleet/machine_health.h"

namespace hareshore {

// A machine as the plan counts on it.
struct PlannedMachine {
    const Machine* machine = nullptr;  // null: it is requested only
    MachineKind kind;
    Resources free;
    Resources expected_free;   // expected to come free before a machine requested now would be up
    bool new_request = false;  // requested by this plan
    bool used = false;         // waiting work was placed on it

    [[nodiscard]] bool idle() const { return !used && (!machine || machine->idle()); }
    [[nodiscard]] bool allowed_for(const JobSpec& spec) const {
        return spec.allows(kind.machine_type, kind.zone, kind.spot);
    }
    // Places up to `tasks` tasks in the free resources; returns how many.
    uint32_t place(const JobSpec& spec, uint32_t tasks) { return place_in(free, spec, tasks); }
    // The same in the resources that are expected to come free.
    uint32_t place_in_expected(const JobSpec& spec, uint32_t tasks) {
        return place_in(expected_free, spec, tasks);
    }

  private:
    uint32_t place_in(Resources& resources, const JobSpec& spec, uint32_t tasks);
};

// The planned machines and the limits for further requests. Placing work on them is up to the callers.
class FleetCapacity {
  public:
    // Collects the machines that provide capacity, and those requested before and not answered yet.
    FleetCapacity(const PlanningContext& context, const MachineHealth& health);

    [[nodiscard]] const std::vector<PlannedMachine>& machines() const { return machines_; }
    [[nodiscard]] std::vector<PlannedMachine>& machines() { return machines_; }
    [[nodiscard]] int machines_in_zone(const std::string& zone) const;

    // Whether the cloud is likely to have machines of the kind, in a zone where they would be heard.
    [[nodiscard]] bool available(const MachineKind& kind) const;
    // Adds a new machine of the kind to the plan, last of machines(). False if the limits forbid it.
    [[nodiscard]] bool request(const MachineKind& kind);
    // What request() has added, by kind.
    [[nodiscard]] std::vector<ScaleOutRequest> new_requests() const;

  private:
    void add_existing(const Machine& machine, const MachineType& type);
    void add_requested(const MachineKind& kind, const MachineType& type, bool new_request);
    // The most machines that may be requested and not answered.
    [[nodiscard]] size_t most_requested() const;

    const PlanningContext& context_;
    std::vector<PlannedMachine> machines_;
    std::map<std::string, int> in_zone_;
    size_t requested_ = 0;  // before this plan and by it
};

}  // namespace hareshore
