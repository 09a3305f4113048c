#include "controller/term_checks.h"

#include "controller/peer_confirmations.h"

namespace hareshore {

Seconds TermChecks::cancellations_known_until(Seconds since) const {
    return hareshore::cancellations_known_until(peers_.statuses(), since, loop_.now());
}

bool TermChecks::lease_confirmed() const {
    return is_current() && election_.lease_confirmed();
}

bool TermChecks::no_other_leader() const {
    return is_current() && election_.leading() &&
           hareshore::no_other_leader(peers_.statuses(), fencing_token_, loop_.now());
}

bool TermChecks::all_peers_upgraded() const {
    return hareshore::all_peers_upgraded(peers_.statuses());
}

void TermChecks::step_down(LossReason reason) {
    if (is_current()) election_.step_down(reason);
}

}  // namespace hareshore
