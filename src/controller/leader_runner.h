// Runs a Leader for each term of leadership that this controller wins.
#pragma once
#include <memory>
#include <vector>

#include "leader/election.h"
#include "leader/leader.h"
#include "peer/peers.h"

namespace hareshore {

// The only lasting owner of the Leader. Others that await something of it hold it meanwhile, so that it lives
// until they are done; stopped() then tells them that its term is over.
class LeaderRunner {
  public:
    // All that is referred to must outlive the runner and every Leader. `machine_types` are copied when a
    // term begins.
    LeaderRunner(const LeaderEnvironment& environment, Election& election, const peer::Peers& peers,
                 const std::vector<MachineType>& machine_types)
        : environment_(environment), election_(election), peers_(peers), machine_types_(machine_types) {}

    // Stops the Leader of a term that is over and starts that of a new one. To be called whenever the
    // election changes.
    void follow_election();
    // Stops the Leader, if there is one; it is kept until its coroutines have unwound.
    void stop();
    // Null while this controller does not lead.
    [[nodiscard]] const std::shared_ptr<Leader>& leader() const { return leader_; }

  private:
    LeaderEnvironment environment_;
    Election& election_;
    const peer::Peers& peers_;
    const std::vector<MachineType>& machine_types_;
    std::shared_ptr<Leader> leader_;
};

}  // namespace hareshore
