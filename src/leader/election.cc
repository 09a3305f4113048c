#include "leader/election.h"

#include "base/constants.h"
#include "base/log.h"
#include "jobs/record_format.h"

namespace hareshore {

namespace {

bool ok_or_not_found(const GetResult& result) {
    return result.status == StoreStatus::kOk || result.status == StoreStatus::kNotFound;
}

Revision revision_or_absent(const GetResult& result) {
    return result.status == StoreStatus::kOk ? result.entry.mod_revision : kAbsentRevision;
}

// The time on this controller's clock until which a lease granted or renewed by a request sent at
// `requested_at` is certain to be valid.
Seconds lease_valid_until(Seconds requested_at) {
    return requested_at + constants::kLeaderLeaseTtl_s * (1 - constants::kClockDriftRate);
}

}  // namespace

Election::Election(Loop& loop, StoreClient& store, std::string label, double campaign_delay)
    : loop_(loop), store_(store), label_(std::move(label)), campaign_delay_(campaign_delay), changed_(loop) {}

bool Election::lease_confirmed() const {
    return leading_ && lease_confirmed_until_ && loop_.now() < *lease_confirmed_until_;
}

void Election::step_down(LossReason reason) {
    if (!leading_) return;
    log::info("leadership_lost", {{"fencing_token", fencing_token_}, {"reason", loss_reason_code(reason)}});
    leading_ = false;
    set_leader("");
}

void Election::observe_peer_term(const std::string& label, uint64_t fencing_token) {
    bool names_unknown_leader =
        fencing_token == known_fencing_token_ && !leading_ && leader_.empty() && !label.empty();
    if (fencing_token <= known_fencing_token_ && !names_unknown_leader) return;
    known_fencing_token_ = fencing_token;
    if (leading_) step_down(LossReason::kLaterTermSeenByPeer);
    set_leader(label);
}

void Election::resign(Seconds campaign_pause) {
    campaign_paused_until_ = loop_.now() + campaign_pause;
    own_lease_revocation_due_ = true;
    step_down(LossReason::kResigned);
}

void Election::stop_campaigning() {
    if (campaigning_stopped_) return;
    campaigning_stopped_ = true;
    if (!leading_) return;
    own_lease_revocation_due_ = true;
    step_down(LossReason::kNewerRecordFormat);
}

Task<void> Election::run() {
    while (true) {
        if (leading_) {
            co_await renew_lease_while_leading();
        } else {
            co_await follow();
        }
    }
}

// Runs one round as a follower, which ends when the leadership key has changed or a campaign is over.
Task<void> Election::follow() {
    if (own_lease_revocation_due_) co_await revoke_own_lease();
    // Uses a list request because only its response has the store's current revision, from which to watch.
    // The changes since the key's own mod revision may already be compacted.
    ListResult listed =
        co_await store_.list(kLeaderKey, "", constants::kRecordPageSize, constants::kStoreCallTimeout_s);
    if (listed.status != StoreStatus::kOk) {
        co_await back_off();
        co_return;
    }
    retry_pause_ = 0;
    const Entry* leader_entry = nullptr;
    for (const auto& entry : listed.entries)
        if (entry.key == kLeaderKey) leader_entry = &entry;
    if (!leader_entry) {
        if (!leader_.empty()) set_leader("");
        co_await campaign_if_allowed();
        co_return;
    }
    LeaderRecord record = unpack_leader_record(leader_entry->data);
    uint64_t fencing_token = record.fencing_token.value_or(0);
    known_fencing_token_ = std::max(known_fencing_token_, fencing_token);
    if (record.label == label_) {
        co_await revoke_lease_of_earlier_process(leader_entry->mod_revision);
        co_return;
    }
    if (leader_ != record.label) {
        log::info("leader_known", {{"leader", record.label}, {"fencing_token", fencing_token}});
        set_leader(record.label);
    }
    WatchResult watched =
        co_await store_.watch(kLeaderKey, listed.revision, constants::kLeaderWatchTimeout_s);
    if (watched.status != WatchStatus::kOk) co_await back_off();
}

// This controller no longer launches tasks, so the lease is revoked at once and the peers need not wait for
// it to expire.
Task<void> Election::revoke_own_lease() {
    own_lease_revocation_due_ = false;
    co_await store_.revoke_lease(lease_, constants::kStoreCallTimeout_s);
}

// The key belongs to an earlier process of this controller, which has ended, so its lease need not expire
// first.
Task<void> Election::revoke_lease_of_earlier_process(Revision mod_revision) {
    log::info("leadership_revoked", {{"reason", "held_by_earlier_process"}});
    GetResult own = co_await store_.get(kLeaderKey, constants::kStoreCallTimeout_s);
    if (own.status == StoreStatus::kOk && own.entry.mod_revision == mod_revision)
        co_await store_.revoke_lease(own.entry.lease.value_or(0), constants::kStoreCallTimeout_s);
}

Task<void> Election::campaign_if_allowed() {
    if (campaigning_stopped_ || (campaign_paused_until_ && loop_.now() < *campaign_paused_until_)) {
        co_await loop_.sleep(constants::kLeaderLeaseRenewal_s);
        co_return;
    }
    co_await loop_.sleep(campaign_delay_ * constants::kElectionJitter_s);
    co_await campaign();
}

Task<void> Election::campaign() {
    std::optional<CampaignSnapshot> snapshot = co_await read_campaign_snapshot();
    if (!snapshot) co_return;
    Seconds requested_at = loop_.now();
    LeaseResult granted =
        co_await store_.grant_lease(constants::kLeaderLeaseTtl_s, constants::kStoreCallTimeout_s);
    if (granted.status != StoreStatus::kOk) {
        co_await back_off();
        co_return;
    }
    uint64_t fencing_token = std::max(snapshot->last_fencing_token, known_fencing_token_) + 1;
    TransactionResult claimed = co_await claim_leadership(*snapshot, fencing_token, granted.lease);
    if (claimed.status != StoreStatus::kOk) {
        co_await store_.revoke_lease(granted.lease, constants::kStoreCallTimeout_s);
        co_return;
    }
    lease_ = granted.lease;
    fencing_token_ = fencing_token;
    mod_revision_ = claimed.revision;
    known_fencing_token_ = fencing_token;
    leading_ = true;
    lease_confirmed_until_ = lease_valid_until(requested_at);
    log::info("leadership_won", {{"fencing_token", fencing_token_}, {"took_s", loop_.now() - requested_at}});
    set_leader(label_);
}

// Returns std::nullopt, after a pause, if this controller cannot campaign now.
Task<std::optional<Election::CampaignSnapshot>> Election::read_campaign_snapshot() {
    GetResult term = co_await store_.get(kTermKey, constants::kStoreCallTimeout_s);
    if (!ok_or_not_found(term)) {
        co_await back_off();
        co_return std::nullopt;
    }
    GetResult record_format = co_await store_.get(kRecordFormatKey, constants::kStoreCallTimeout_s);
    if (!ok_or_not_found(record_format)) {
        co_await back_off();
        co_return std::nullopt;
    }
    if (record_format.status == StoreStatus::kOk && !reads_record_format(record_format.entry.data)) {
        log::error("election_not_joined", {{"reason", "newer_record_format"}});
        stop_campaigning();
        co_return std::nullopt;
    }
    CampaignSnapshot snapshot;
    snapshot.term_revision = revision_or_absent(term);
    snapshot.record_format_revision = revision_or_absent(record_format);
    if (term.status == StoreStatus::kOk) {
        std::optional<uint64_t> last = unpack_leader_record(term.entry.data).fencing_token;
        if (!last) {
            log::error("election_not_joined", {{"reason", "term_unreadable"}});
            co_await loop_.sleep(constants::kRetryBackoffMax_s);
            co_return std::nullopt;
        }
        snapshot.last_fencing_token = *last;
    }
    co_return snapshot;
}

Task<TransactionResult> Election::claim_leadership(CampaignSnapshot snapshot, uint64_t fencing_token,
                                                   LeaseId lease) {
    Transaction transaction;
    transaction.expect_absent(kLeaderKey)
        .expect_revision(kTermKey, snapshot.term_revision)
        .expect_revision(kRecordFormatKey, snapshot.record_format_revision);
    std::string record = pack_leader_record(label_, fencing_token);
    transaction.put(kLeaderKey, record, lease).put(kTermKey, record);
    TransactionResult result = co_await store_.commit(std::move(transaction), constants::kStoreCallTimeout_s);
    if (result.status == StoreStatus::kUnknown) {
        // The transaction may have been executed, which only the key shows. A copy that arrives late fails
        // its conditions once the term key has changed.
        GetResult current = co_await store_.get(kLeaderKey, constants::kStoreCallTimeout_s);
        if (current.status == StoreStatus::kOk && current.entry.lease == lease) {
            result.status = StoreStatus::kOk;
            result.revision = current.entry.mod_revision;
        }
    }
    co_return result;
}

Task<void> Election::renew_lease_while_leading() {
    Seconds pause = constants::kLeaderLeaseRenewal_s;
    while (leading_) {
        co_await loop_.wait(changed_, loop_.now() + pause);
        if (!leading_) co_return;
        Seconds requested_at = loop_.now();
        StoreStatus status = co_await store_.renew_lease(lease_, constants::kStoreCallTimeout_s);
        if (status == StoreStatus::kOk) lease_confirmed_until_ = lease_valid_until(requested_at);
        if (status == StoreStatus::kNotFound) step_down(LossReason::kLeaseExpired);
        pause =
            status == StoreStatus::kOk ? constants::kLeaderLeaseRenewal_s : constants::kRetryBackoff_s * 2;
    }
}

Task<void> Election::back_off() {
    retry_pause_ = std::clamp(retry_pause_ * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
    co_await loop_.sleep(retry_pause_);
}

void Election::set_leader(const std::string& label) {
    leader_ = label;
    changed_.notify();
}

}  // namespace hareshore
