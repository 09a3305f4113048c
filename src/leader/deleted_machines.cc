#include "leader/deleted_machines.h"

#include "base/constants.h"

namespace hareshore {

void DeletedMachines::add(const std::string& name) {
    if (names_.insert(name).second) oldest_first_.push_back(name);
    if (oldest_first_.size() > constants::kDeletedMachinesKept) {
        names_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

}  // namespace hareshore
