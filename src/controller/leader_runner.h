// Runs a Leader during each term that this controller wins.
#pragma once
#include <memory>
#include <vector>

#include "leader/election.h"
#include "leader/leader.h"
#include "peer/peers.h"

namespace hareshore {

// The only long-term owner of the Leader. Callers that await one of its coroutines share ownership until it
// completes; Leader::stopped() then tells them that the term is over.
class LeaderRunner {
  public:
    // All references must outlive the runner and every Leader. `machine_types` are copied when a term begins.
    LeaderRunner(const LeaderEnvironment& environment, Election& election, const peer::Peers& peers,
                 const std::vector<MachineType>& machine_types)
        : environment_(environment), election_(election), peers_(peers), machine_types_(machine_types) {}

    // Stops the Leader of a term that is over and starts one for a new term. Call whenever the state of the
    // election changes.
    void update();
    // Stops the Leader, if there is one. It stays allocated until its coroutines have unwound.
    void stop();
    // Null while this controller is not the leader.
    [[nodiscard]] const std::shared_ptr<Leader>& leader() const { return leader_; }

  private:
    LeaderEnvironment environment_;
    Election& election_;
    const peer::Peers& peers_;
    const std::vector<MachineType>& machine_types_;
    std::shared_ptr<Leader> leader_;
};

}  // namespace hareshore
