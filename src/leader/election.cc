#include "leader/election.h"

#include "base/constants.h"
#include "base/log.h"
#include "jobs/record_format.h"

namespace hareshore {

namespace {

bool read_or_missing(const GetResult& result) {
    return result.status == StoreStatus::kOk || result.status == StoreStatus::kNotFound;
}

Revision revision_or_absent(const GetResult& result) {
    return result.status == StoreStatus::kOk ? result.entry.mod_revision : kAbsentRevision;
}

// How long a lease surely lasts on this controller's clock that was granted or renewed by a request sent
// then.
Seconds lease_lasts_until(Seconds requested_at) {
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

void Election::resign(Seconds stand_down) {
    stand_down_until_ = loop_.now() + stand_down;
    revoke_own_lease_ = true;
    step_down(LossReason::kResigned);
}

void Election::stop_campaigning() {
    if (campaigning_stopped_) return;
    campaigning_stopped_ = true;
    if (!leading_) return;
    revoke_own_lease_ = true;
    step_down(LossReason::kNewerRecordFormat);
}

Task<void> Election::run() {
    while (true) {
        if (leading_) {
            co_await renew_lease();
        } else {
            co_await follow();
        }
    }
}

// One round without leadership: until the leadership key changes, or until a campaign has ended.
Task<void> Election::follow() {
    if (revoke_own_lease_) co_await revoke_own_lease();
    // A list, since only that returns the revision from which to watch: the key's own mod revision may be so
    // old that the store has compacted the changes since.
    ListResult listed =
        co_await store_.list(kLeaderKey, "", constants::kRecordPageSize, constants::kStoreCallTimeout_s);
    if (listed.status != StoreStatus::kOk) {
        co_await back_off();
        co_return;
    }
    retry_pause_ = 0;
    const Entry* held = nullptr;
    for (const auto& entry : listed.entries)
        if (entry.key == kLeaderKey) held = &entry;
    if (!held) {
        if (!leader_.empty()) set_leader("");
        co_await campaign_if_allowed();
        co_return;
    }
    LeaderRecord record = unpack_leader_record(held->data);
    uint64_t fencing_token = record.fencing_token.value_or(0);
    known_fencing_token_ = std::max(known_fencing_token_, fencing_token);
    if (record.label == label_) {
        co_await revoke_earlier_process(held->mod_revision);
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

// This controller launches nothing any more: the key goes at once, so that others need not wait for the
// lease.
Task<void> Election::revoke_own_lease() {
    revoke_own_lease_ = false;
    co_await store_.revoke_lease(lease_, constants::kStoreCallTimeout_s);
}

// The key was left by this controller's last process, which is gone: no need to wait for its lease.
Task<void> Election::revoke_earlier_process(Revision mod_revision) {
    log::info("leadership_revoked", {{"reason", "held_by_earlier_process"}});
    GetResult own = co_await store_.get(kLeaderKey, constants::kStoreCallTimeout_s);
    if (own.status == StoreStatus::kOk && own.entry.mod_revision == mod_revision)
        co_await store_.revoke_lease(own.entry.lease.value_or(0), constants::kStoreCallTimeout_s);
}

Task<void> Election::campaign_if_allowed() {
    if (campaigning_stopped_ || (stand_down_until_ && loop_.now() < *stand_down_until_)) {
        co_await loop_.sleep(constants::kLeaderLeaseRenewal_s);
        co_return;
    }
    co_await loop_.sleep(campaign_delay_ * constants::kElectionJitter_s);
    co_await campaign();
}

Task<void> Election::campaign() {
    std::optional<CampaignBasis> basis = co_await read_campaign_basis();
    if (!basis) co_return;
    Seconds requested_at = loop_.now();
    LeaseResult granted =
        co_await store_.grant_lease(constants::kLeaderLeaseTtl_s, constants::kStoreCallTimeout_s);
    if (granted.status != StoreStatus::kOk) {
        co_await back_off();
        co_return;
    }
    uint64_t fencing_token = std::max(basis->last_fencing_token, known_fencing_token_) + 1;
    TransactionResult claimed = co_await claim_leadership(*basis, fencing_token, granted.lease);
    if (claimed.status != StoreStatus::kOk) {
        co_await store_.revoke_lease(granted.lease, constants::kStoreCallTimeout_s);
        co_return;
    }
    lease_ = granted.lease;
    fencing_token_ = fencing_token;
    mod_revision_ = claimed.revision;
    known_fencing_token_ = fencing_token;
    leading_ = true;
    lease_confirmed_until_ = lease_lasts_until(requested_at);
    log::info("leadership_won", {{"fencing_token", fencing_token_}, {"took_s", loop_.now() - requested_at}});
    set_leader(label_);
}

// Nothing if this controller cannot campaign now; it has waited then.
Task<std::optional<Election::CampaignBasis>> Election::read_campaign_basis() {
    GetResult term = co_await store_.get(kTermKey, constants::kStoreCallTimeout_s);
    if (!read_or_missing(term)) {
        co_await back_off();
        co_return std::nullopt;
    }
    GetResult record_format = co_await store_.get(kRecordFormatKey, constants::kStoreCallTimeout_s);
    if (!read_or_missing(record_format)) {
        co_await back_off();
        co_return std::nullopt;
    }
    if (record_format.status == StoreStatus::kOk &&
        unpack_record_format(record_format.entry.data) > kNewestRecordFormat) {
        log::error("election_not_joined", {{"reason", "newer_record_format"}});
        stop_campaigning();
        co_return std::nullopt;
    }
    CampaignBasis basis;
    basis.term_revision = revision_or_absent(term);
    basis.record_format_revision = revision_or_absent(record_format);
    if (term.status == StoreStatus::kOk) {
        std::optional<uint64_t> last = unpack_leader_record(term.entry.data).fencing_token;
        if (!last) {
            log::error("election_not_joined", {{"reason", "term_unreadable"}});
            co_await loop_.sleep(constants::kRetryBackoffMax_s);
            co_return std::nullopt;
        }
        basis.last_fencing_token = *last;
    }
    co_return basis;
}

Task<TransactionResult> Election::claim_leadership(CampaignBasis basis, uint64_t fencing_token,
                                                   LeaseId lease) {
    Transaction transaction;
    transaction.expect_absent(kLeaderKey)
        .expect_revision(kTermKey, basis.term_revision)
        .expect_revision(kRecordFormatKey, basis.record_format_revision);
    std::string record = pack_leader_record(label_, fencing_token);
    transaction.put(kLeaderKey, record, lease).put(kTermKey, record);
    TransactionResult result = co_await store_.commit(std::move(transaction), constants::kStoreCallTimeout_s);
    if (result.status == StoreStatus::kUnknown) {
        // It may have been executed: only the key shows that, and a late copy cannot win once the term has
        // moved on.
        GetResult current = co_await store_.get(kLeaderKey, constants::kStoreCallTimeout_s);
        if (current.status == StoreStatus::kOk && current.entry.lease == lease) {
            result.status = StoreStatus::kOk;
            result.revision = current.entry.mod_revision;
        }
    }
    co_return result;
}

Task<void> Election::renew_lease() {
    Seconds pause = constants::kLeaderLeaseRenewal_s;
    while (leading_) {
        co_await loop_.wait(changed_, loop_.now() + pause);
        if (!leading_) co_return;
        Seconds requested_at = loop_.now();
        StoreStatus status = co_await store_.renew_lease(lease_, constants::kStoreCallTimeout_s);
        if (status == StoreStatus::kOk) lease_confirmed_until_ = lease_lasts_until(requested_at);
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
