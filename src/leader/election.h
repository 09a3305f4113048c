// The election of one leader among the controllers, by a leased key in the key-value store. Each term of
// leadership has a fencing token that is never reused; workers refuse commands with an older one.
#pragma once
#include <optional>

#include "leader/election_wire.h"
#include "leader/loss_reason.h"
#include "state/store_client.h"

namespace hareshore {

// One controller's part in the elections: it follows the leader, campaigns when there is none, and renews its
// lease while it leads. Owned by the controller; all that it refers to must outlive it. run() must have ended
// before it is destroyed.
class Election {
  public:
    // `label`: this controller's. `campaign_delay`: the share, 0 to 1, of the time over which the
    // controllers' campaigns are spread that this one waits before its own.
    Election(Loop& loop, StoreClient& store, std::string label, double campaign_delay);
    // Takes part in elections until it is cancelled.
    Task<void> run();

    // Whether this controller leads as far as it has heard; another may have followed it by now.
    [[nodiscard]] bool leading() const { return leading_; }
    // Whether no other can lead now: the store has granted or renewed the lease within its time to live.
    [[nodiscard]] bool lease_confirmed() const;
    // Of the last term that this controller won; 0 before the first.
    [[nodiscard]] uint64_t fencing_token() const { return fencing_token_; }
    // Of the leadership key in that term: every write of a leader is conditioned on it.
    [[nodiscard]] Revision mod_revision() const { return mod_revision_; }
    // The label of the controller that leads as far as this one has heard; empty if none.
    [[nodiscard]] const std::string& leader() const { return leader_; }
    // The highest fencing token that this controller has seen.
    [[nodiscard]] uint64_t known_fencing_token() const { return known_fencing_token_; }
    // Notified when leading() or leader() changes.
    Condition& changed() { return changed_; }

    // Ends this controller's term, if it leads. The lease stays until it expires or the next round revokes
    // it.
    void step_down(LossReason reason);
    // A peer's heartbeat carried this fencing token; `label`: of the peer if it leads, else empty.
    void observe_peer_term(const std::string& label, uint64_t fencing_token);
    // Steps down, revokes the lease, and does not campaign for `stand_down` seconds.
    void resign(Seconds stand_down);
    // The records are of a format that this version does not read: it steps down and campaigns no more.
    void stop_campaigning();

  private:
    // What a campaign is based on, as read from the store. Its transaction is conditioned on these revisions.
    struct CampaignBasis {
        uint64_t last_fencing_token = 0;
        Revision term_revision = kAbsentRevision;
        Revision record_format_revision = kAbsentRevision;
    };

    Task<void> follow();
    Task<void> revoke_own_lease();
    Task<void> revoke_earlier_process(Revision mod_revision);
    Task<void> campaign_if_allowed();
    Task<void> campaign();
    Task<std::optional<CampaignBasis>> read_campaign_basis();
    Task<TransactionResult> claim_leadership(CampaignBasis basis, uint64_t fencing_token, LeaseId lease);
    Task<void> renew_lease();
    Task<void> back_off();
    void set_leader(const std::string& label);

    Loop& loop_;
    StoreClient& store_;
    std::string label_;
    double campaign_delay_;
    bool leading_ = false;
    bool revoke_own_lease_ = false;  // after a resignation
    bool campaigning_stopped_ = false;
    uint64_t fencing_token_ = 0;
    Revision mod_revision_ = kAbsentRevision;
    LeaseId lease_ = 0;
    uint64_t known_fencing_token_ = 0;
    std::string leader_;
    std::optional<Seconds> lease_confirmed_until_;
    std::optional<Seconds> stand_down_until_;
    Seconds retry_pause_ = 0;
    Condition changed_;
};

}  // namespace hareshore
