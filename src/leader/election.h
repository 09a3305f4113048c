// Leader election among the controllers, through a leased key in the key-value store. Each term has a fencing
// token that is never reused; workers refuse commands with an older token.
#pragma once
#include <optional>

#include "leader/election_wire.h"
#include "leader/loss_reason.h"
#include "state/store_client.h"

namespace hareshore {

// One controller's candidate: it watches the leader, campaigns when there is none, and renews its lease while
// it leads. Owned by the controller; everything it refers to must outlive it, and run() must have ended
// before it is destroyed.
class Election {
  public:
    // `label`: of this controller. `campaign_delay`: how long this controller waits before it campaigns, as a
    // fraction (0 to 1) of kElectionJitter_s.
    Election(Loop& loop, StoreClient& store, std::string label, double campaign_delay);
    // Takes part in elections until it is cancelled.
    Task<void> run();

    // Whether this controller believes that it leads. Another may have been elected since.
    [[nodiscard]] bool leading() const { return leading_; }
    // Whether no other controller can lead now: the lease was granted or renewed within its time to live.
    [[nodiscard]] bool lease_confirmed() const;
    // The fencing token of the last term that this controller won; 0 before the first.
    [[nodiscard]] uint64_t fencing_token() const { return fencing_token_; }
    // The mod revision of the leadership key in that term. Every write of a leader is conditioned on it.
    [[nodiscard]] Revision mod_revision() const { return mod_revision_; }
    // The label of the leader, as last known to this controller; empty if there is none.
    [[nodiscard]] const std::string& leader() const { return leader_; }
    // The highest fencing token that this controller has seen.
    [[nodiscard]] uint64_t known_fencing_token() const { return known_fencing_token_; }
    // Notified when leading() or leader() changes.
    Condition& changed() { return changed_; }

    // Ends this controller's term, if it leads. The lease remains until it expires or is revoked in the next
    // round.
    void step_down(LossReason reason);
    // Handles the fencing token of a peer heartbeat. `label`: of the peer if it leads, else empty.
    void observe_peer_term(const std::string& label, uint64_t fencing_token);
    // Steps down, revokes the lease, and does not campaign for `campaign_pause` seconds.
    void resign(Seconds campaign_pause);
    // Steps down and never campaigns again: the records have a format that this version does not read.
    void stop_campaigning();

  private:
    // The state of the store at the start of a campaign. The election transaction is conditioned on these
    // revisions.
    struct CampaignSnapshot {
        uint64_t last_fencing_token = 0;
        Revision term_revision = kAbsentRevision;
        Revision record_format_revision = kAbsentRevision;
    };

    Task<void> follow();
    Task<void> revoke_own_lease();
    Task<void> revoke_lease_of_earlier_process(Revision mod_revision);
    Task<void> campaign_if_allowed();
    Task<void> campaign();
    Task<std::optional<CampaignSnapshot>> read_campaign_snapshot();
    Task<TransactionResult> claim_leadership(CampaignSnapshot snapshot, uint64_t fencing_token,
                                             LeaseId lease);
    Task<void> renew_lease_while_leading();
    Task<void> back_off();
    void set_leader(const std::string& label);

    Loop& loop_;
    StoreClient& store_;
    std::string label_;
    double campaign_delay_;
    bool leading_ = false;
    bool own_lease_revocation_due_ = false;  // set by a resignation
    bool campaigning_stopped_ = false;
    uint64_t fencing_token_ = 0;
    Revision mod_revision_ = kAbsentRevision;
    LeaseId lease_ = 0;
    uint64_t known_fencing_token_ = 0;
    std::string leader_;
    std::optional<Seconds> lease_confirmed_until_;
    std::optional<Seconds> campaign_paused_until_;
    Seconds retry_pause_ = 0;
    Condition changed_;
};

}  // namespace hareshore
