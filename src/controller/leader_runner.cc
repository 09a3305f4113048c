#include "controller/leader_runner.h"

#include "controller/term_checks.h"

namespace hareshore {

void LeaderRunner::update() {
    const bool term_is_over =
        leader_ && (!election_.leading() || leader_->fencing_token() != election_.fencing_token());
    if (term_is_over) {
        leader_->stop();
        leader_.reset();
    }
    if (leader_ || !election_.leading()) return;
    const LeaderTerm term{election_.fencing_token(), election_.mod_revision(), kLeaderKey};
    auto checks = std::make_unique<TermChecks>(environment_.loop, election_, peers_, term.fencing_token);
    leader_ = std::make_shared<Leader>(environment_, term, std::move(checks), machine_types_);
    leader_->start();
}

void LeaderRunner::stop() {
    if (leader_) leader_->stop();
}

}  // namespace hareshore
