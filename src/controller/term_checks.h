// Leadership checks of one term, based on the election and on the peers.
#pragma once
#include <cstdint>

#include "leader/election.h"
#include "leader/leadership.h"
#include "peer/peers.h"

namespace hareshore {

// Owned by a Leader. The references must outlive that Leader. Once the election has moved on to another term,
// the checks of the lease and of other leaders fail and step_down() has no effect.
class TermChecks : public Leadership {
  public:
    TermChecks(const Loop& loop, Election& election, const peer::Peers& peers, uint64_t fencing_token)
        : loop_(loop), election_(election), peers_(peers), fencing_token_(fencing_token) {}

    [[nodiscard]] Seconds cancellations_known_until(Seconds since) const override;
    [[nodiscard]] bool lease_confirmed() const override;
    [[nodiscard]] bool no_other_leader() const override;
    [[nodiscard]] bool all_peers_upgraded() const override;
    void step_down(LossReason reason) override;

  private:
    [[nodiscard]] bool is_current() const { return election_.fencing_token() == fencing_token_; }

    const Loop& loop_;
    Election& election_;
    const peer::Peers& peers_;
    uint64_t fencing_token_;
};

}  // namespace hareshore
