// Machines whose deletion was confirmed, so that late heartbeats and outdated machine lists do not add them
// again.
#pragma once
#include <deque>
#include <set>
#include <string>

namespace hareshore {

// Remembers the last kDeletedMachinesKept names. The cloud never reuses a name.
class DeletedMachines {
  public:
    void add(const std::string& name);
    [[nodiscard]] bool contains(const std::string& name) const { return names_.contains(name); }

  private:
    std::set<std::string> names_;
    std::deque<std::string> oldest_first_;
};

}  // namespace hareshore
