#include "controller/term_checks.h"

#include "controller/peer_confirmations.h"

namespace hareshore {

Seconds TermChecks::cancellations_known_until(Seconds since) const {
    return hareshore::cancellations_known_until(peers_.statuses(), since, loop_.now());
}

bool TermChecks::confirmed() const {
    return is_current() && election_.confirmed();
}

bool TermChecks::no_other_leader() const {
    return is_current() && election_.leading() &&
           hareshore::no_other_leader(peers_.statuses(), fencing_token_, loop_.now());
}

bool TermChecks::all_peers_upgraded() const {
    return hareshore::all_peers_upgraded(peers_.statuses());
}

void TermChecks::deposed(const char* reason) {
    if (is_current()) election_.deposed(reason);
}

}  // namespace hareshore
