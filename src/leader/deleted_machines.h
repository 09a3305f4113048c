// Machines whose deletion was confirmed, against late heartbeats and old machine lists.
#pragma once
#include <deque>
#include <set>
#include <string>

namespace hareshore {

// Remembers the last kDeletedMachinesKept names. A name is never used again by the cloud.
class DeletedMachines {
  public:
    void add(const std::string& name);
    [[nodiscard]] bool contains(const std::string& name) const { return names_.contains(name); }

  private:
    std::set<std::string> names_;
    std::deque<std::string> oldest_first_;
};

}  // namespace hareshore
