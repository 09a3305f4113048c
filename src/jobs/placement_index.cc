#include "jobs/placement_index.h"

namespace hareshore {

void PlacementIndex::add(const std::string& machine, const PlacedTask& placed) {
    by_machine_[machine].push_back(placed);
    changed_machines_.insert(machine);
}

void PlacementIndex::remove(const std::string& machine, const Job& job, uint32_t task) {
    auto entry = by_machine_.find(machine);
    if (entry == by_machine_.end()) return;
    changed_machines_.insert(machine);
    std::erase_if(entry->second,
                  [&](const PlacedTask& placed) { return placed.job == &job && placed.task == task; });
    if (entry->second.empty()) by_machine_.erase(entry);
}

void PlacementIndex::clear() {
    by_machine_.clear();
    changed_machines_.clear();
}

const std::vector<PlacedTask>& PlacementIndex::placements_on(const std::string& machine) const {
    static const std::vector<PlacedTask> none;
    auto it = by_machine_.find(machine);
    return it == by_machine_.end() ? none : it->second;
}

}  // namespace hareshore
