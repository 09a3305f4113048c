// An index of the placements by machine.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/job.h"

namespace hareshore {

// An entry of the index. The job and its placement must outlive it.
struct PlacedTask {
    Job* job = nullptr;
    uint32_t task = 0;
    const Placement* placement = nullptr;
};

class PlacementIndex {
  public:
    void add(const std::string& machine, const PlacedTask& placed);
    void remove(const std::string& machine, const Job& job, uint32_t task);
    void clear();
    // Valid until the next add or remove.
    const std::vector<PlacedTask>& placements_on(const std::string& machine) const;
    // Machines whose placements have changed since the last call.
    std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }

  private:
    std::unordered_map<std::string, std::vector<PlacedTask>> by_machine_;
    std::set<std::string> changed_machines_;
};

}  // namespace hareshore
