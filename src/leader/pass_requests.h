// Requests for a scheduling pass. Any component of the leader may make one; the scheduling loop serves them.
#pragma once
#include "loop/loop.h"

namespace hareshore {

class PassRequests {
  public:
    explicit PassRequests(Loop& loop) : requested_(loop) {}

    // To be called after a change that a scheduling pass could act on.
    void request() {
        pending_ = true;
        requested_.notify();
    }
    // To be called when a pass begins, which serves all requests made so far.
    void clear() { pending_ = false; }
    [[nodiscard]] bool pending() const { return pending_; }
    // Notified on each request.
    Condition& requested() { return requested_; }

  private:
    bool pending_ = false;
    Condition requested_;
};

}  // namespace hareshore
