#include "leader/election.h"

#include "base/constants.h"
#include "base/log.h"
#include "jobs/record_format.h"

namespace hareshore {

namespace {

std::string pack_leader(const std::string& label, uint64_t fencing_token) {
    MsgpackWriter p;
    p.map(2).key("node").text(label).key("epoch").count(fencing_token);
    return p.take();
}

}  // namespace

Election::Election(Loop& loop, StoreClient& state, std::string label, double spread)
    : loop_(loop), state_(state), label_(std::move(label)), spread_(spread), changed_(loop) {}

void Election::pause_longer() {
    pause_ = std::clamp(pause_ * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
}

void Election::deposed(const char* why) {
    if (!leading_) return;
    log::info("leadership_lost", {{"fencing_token", fencing_token_}, {"reason", why}});
    leading_ = false;
    leader_.clear();
    changed_.notify();
}

void Election::heard(const std::string& label, uint64_t fencing_token) {
    bool names = fencing_token == known_fencing_token_ && !leading_ && leader_.empty() && !label.empty();
    if (fencing_token <= known_fencing_token_ && !names) return;
    known_fencing_token_ = fencing_token;
    if (leading_) deposed("a peer knows of a later epoch");
    leader_ = label;
    changed_.notify();
}

void Election::resign(Seconds stay_out) {
    out_until_ = loop_.now() + stay_out;
    resigning_ = true;
    deposed("resigned");
}

void Election::stop_standing() {
    if (standing_stopped_) return;
    standing_stopped_ = true;
    if (!leading_) return;
    resigning_ = true;
    deposed("the records are of a format that this version does not know");
}

Task<void> Election::run() {
    while (true) {
        if (leading_) {
            co_await keep();
        } else {
            co_await follow();
        }
    }
}

Task<void> Election::follow() {
    if (resigning_) {
        // Workers may be launched nothing by us any more; the key goes at once, so that others need not wait.
        resigning_ = false;
        co_await state_.revoke_lease(lease_, constants::kStoreCallTimeout_s);
    }
    // A list, since only that tells the revision from which to watch: the key's own mod revision may be so
    // old that the service has forgotten the changes since.
    ListResult got =
        co_await state_.list(kLeaderKey, "", constants::kRecordPageSize, constants::kStoreCallTimeout_s);
    const Entry* held = nullptr;
    for (const auto& e : got.entries)
        if (e.key == kLeaderKey) held = &e;
    if (got.status == StoreStatus::kOk && !held) {
        pause_ = 0;
        if (!leader_.empty()) {
            leader_.clear();
            changed_.notify();
        }
        if (standing_stopped_ || loop_.now() < out_until_) {
            co_await loop_.sleep(constants::kLeaderLeaseRenewal_s);
            co_return;
        }
        co_await loop_.sleep(spread_ * constants::kElectionJitter_s);
        co_await stand();
        co_return;
    }
    if (got.status != StoreStatus::kOk) {
        pause_longer();
        co_await loop_.sleep(pause_);
        co_return;
    }
    pause_ = 0;
    auto m = MsgpackDocument::parse(held->data);
    std::string node = m ? m->root()["node"].text_or("") : "";
    uint64_t fencing_token = m ? m->root()["epoch"].count_or(0) : 0;
    known_fencing_token_ = std::max(known_fencing_token_, fencing_token);
    if (node == label_) {
        // Left by this node's last process, which is gone: no need to wait for its lease.
        log::info("leadership_revoked", {{"reason", "held_by_earlier_process"}});
        GetResult own = co_await state_.get(kLeaderKey, constants::kStoreCallTimeout_s);
        if (own.status == StoreStatus::kOk && own.entry.mod_revision == held->mod_revision)
            co_await state_.revoke_lease(own.entry.lease.value_or(0), constants::kStoreCallTimeout_s);
        co_return;
    }
    if (leader_ != node) {
        log::info("leader_known", {{"leader", node}, {"fencing_token", fencing_token}});
        leader_ = node;
        changed_.notify();
    }
    WatchResult c = co_await state_.watch(kLeaderKey, got.revision, constants::kLeaderWatchTimeout_s);
    if (c.status != WatchStatus::kOk) {
        pause_longer();
        co_await loop_.sleep(pause_);
    }
}

Task<void> Election::stand() {
    GetResult term = co_await state_.get(kTermKey, constants::kStoreCallTimeout_s);
    if (term.status != StoreStatus::kOk && term.status != StoreStatus::kNotFound) {
        pause_longer();
        co_await loop_.sleep(pause_);
        co_return;
    }
    GetResult record_format = co_await state_.get(kRecordFormatKey, constants::kStoreCallTimeout_s);
    if (record_format.status != StoreStatus::kOk && record_format.status != StoreStatus::kNotFound) {
        pause_longer();
        co_await loop_.sleep(pause_);
        co_return;
    }
    if (record_format.status == StoreStatus::kOk &&
        unpack_record_format(record_format.entry.data) > kNewestRecordFormat) {
        log::error("election_not_joined", {{"reason", "newer_record_format"}});
        stop_standing();
        co_return;
    }
    uint64_t last = 0;
    if (term.status == StoreStatus::kOk) {
        auto m = MsgpackDocument::parse(term.entry.data);
        last = m ? m->root()["epoch"].count_or(0) : 0;
        if (last == 0) {
            log::error("election_not_joined", {{"reason", "term_unreadable"}});
            co_await loop_.sleep(constants::kRetryBackoffMax_s);
            co_return;
        }
    }
    Seconds asked = loop_.now();
    LeaseResult lease =
        co_await state_.grant_lease(constants::kLeaderLeaseTtl_s, constants::kStoreCallTimeout_s);
    if (lease.status != StoreStatus::kOk) {
        pause_longer();
        co_await loop_.sleep(pause_);
        co_return;
    }
    uint64_t fencing_token = std::max(last, known_fencing_token_) + 1;
    Transaction txn;
    txn.expect_absent(kLeaderKey)
        .expect_revision(kTermKey,
                         term.status == StoreStatus::kOk ? term.entry.mod_revision : kAbsentRevision);
    txn.expect_revision(kRecordFormatKey, record_format.status == StoreStatus::kOk
                                              ? record_format.entry.mod_revision
                                              : kAbsentRevision);
    std::string mine = pack_leader(label_, fencing_token);
    txn.put(kLeaderKey, mine, lease.lease).put(kTermKey, mine);
    TransactionResult r = co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
    if (r.status == StoreStatus::kUnknown) {
        // It may have been carried out: only the key can tell, and a late copy cannot win once the term
        // has moved on.
        GetResult now = co_await state_.get(kLeaderKey, constants::kStoreCallTimeout_s);
        if (now.status == StoreStatus::kOk && now.entry.lease == lease.lease) {
            r.status = StoreStatus::kOk;
            r.revision = now.entry.mod_revision;
        }
    }
    if (r.status != StoreStatus::kOk) {
        co_await state_.revoke_lease(lease.lease, constants::kStoreCallTimeout_s);
        co_return;
    }
    lease_ = lease.lease;
    fencing_token_ = fencing_token;
    mod_revision_ = r.revision;
    known_fencing_token_ = fencing_token;
    leading_ = true;
    confirmed_until_ = asked + constants::kLeaderLeaseTtl_s * (1 - constants::kClockDriftRate);
    leader_ = label_;
    log::info("leadership_won", {{"fencing_token", fencing_token_}, {"took_s", loop_.now() - asked}});
    changed_.notify();
}

Task<void> Election::keep() {
    Seconds pause = constants::kLeaderLeaseRenewal_s;
    while (leading_) {
        co_await loop_.wait(changed_, loop_.now() + pause);
        if (!leading_) co_return;
        Seconds asked = loop_.now();
        StoreStatus r = co_await state_.renew_lease(lease_, constants::kStoreCallTimeout_s);
        if (r == StoreStatus::kOk)
            confirmed_until_ = asked + constants::kLeaderLeaseTtl_s * (1 - constants::kClockDriftRate);
        if (r == StoreStatus::kNotFound) deposed("its lease ended");
        pause = r == StoreStatus::kOk ? constants::kLeaderLeaseRenewal_s : constants::kRetryBackoff_s * 2;
    }
}

}  // namespace hareshore
