// The leader's records: loading them at a take-over, watching them, and writing their changes.
#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "http/json_size.h"
#include "leader/leader.h"

namespace hareshore {

Task<void> Leader::load() {
    Seconds began = loop_.now();
    while (!co_await learn_record_format(state_, record_format_))
        co_await loop_.sleep(constants::kRetryBackoff_s * 2);
    while (!co_await read_records()) co_await loop_.sleep(constants::kRetryBackoff_s * 2);
    loaded_ = true;
    loaded_at_ = loop_.now();
    log::info("records_loaded", {{"jobs", jobs_.size()}, {"took_s", loaded_at_ - began}});
    ready_.notify();
    spawn(run_passes(), "scheduling passes");
    spawn(watch(), "watch", Priority::kUrgent);  // the right to renew rests on it
    spawn(commit(), "commit", Priority::kUrgent);
    spawn(raise_record_format(), "record format");
    spawn(read_prices(), "prices");
    spawn(read_machines(), "machine list");
    spawn(run_fleet(), "fleet");
}

Task<bool> Leader::read_records() {
    std::string from;
    uint64_t revision = 0;
    Seconds began = loop_.now();
    while (true) {
        ListResult page = co_await state_.list(kLivePrefix, from, constants::kRecordPageSize,
                                               constants::kStoreCallTimeout_s * 2);
        if (page.status != StoreStatus::kOk) co_return false;
        if (revision == 0) revision = page.revision;  // changes since the first page are watched
        for (auto& e : page.entries) {
            from = e.key;
            KeyChange c{e.key, false, e.mod_revision, std::move(e.data)};
            take_change(c);
        }
        if (!page.more) break;
    }
    revision_ = revision;
    watched_until_ = began;
    co_return true;
}

void Leader::take_change(const KeyChange& c) {
    if (c.deleted) return;  // only this leader drops records, and it knows
    auto record = JobRecord::unpack(c.data);
    if (!record || live_key(record->spec.id) != c.key) {
        std::string id = c.key.substr(kLivePrefix.size());
        if (!jobs_.quarantined(id))
            log::error(
                "job_quarantined",
                {{"key", c.key}, {"reason", newer_record_format(c.data) ? "newer_format" : "malformed"}});
        jobs_.quarantine(id);
        return;
    }
    auto it = finished_.find(record->spec.id);
    if (it != finished_.end() && c.mod_revision <= it->second) return;  // an echo from before its end
    Job& job = jobs_.load(*record, c.mod_revision, loop_.now(), loop_.wall());
    // Read before it was cancelled, and told of since.
    if (!job.cancelled && cancellation_notices_.contains(job.spec.id)) jobs_.cancel(job, loop_.now());
    for (const auto& [task, p] : job.live) {
        Machine& h = cluster_.ensure(p.machine, loop_.now());
        if (h.zone.empty()) h.zone = p.zone;
    }
}

Task<void> Leader::watch() {
    Seconds pause = 0;
    while (true) {
        Seconds sent = loop_.now();
        WatchResult r = co_await state_.watch(kLivePrefix, revision_, constants::kRecordWatchTimeout_s);
        if (r.status == WatchStatus::kOk) {
            pause = 0;
            for (const auto& c : r.changes) take_change(c);
            revision_ = std::max(revision_, r.revision);
            watched_until_ = std::max(watched_until_, sent);
            std::erase_if(cancellation_notices_, [&](const auto& t) { return t.second < watched_until_; });
            if (!r.changes.empty()) request_pass();
            continue;
        }
        if (r.status == WatchStatus::kCompacted && co_await read_records()) {
            // Never at once again: a service that keeps saying so must not be stampeded.
            request_pass();
            co_await loop_.sleep(constants::kRetryBackoff_s);
            continue;
        }
        pause = std::clamp(pause * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
        co_await loop_.sleep(pause);
    }
}

// One transaction at a time, each conditioned on the leadership key and on the records' mod revisions, so
// that a late copy of it can change nothing.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): one batch; to be split
Task<void> Leader::commit() {
    Seconds pause = 0;
    uint64_t record_format = record_format_.in_force();
    size_t alone = 0;  // so many records are sent one by one, to learn which of them is refused
    while (true) {
        if (record_format != record_format_.in_force()) {
            record_format = record_format_.in_force();
            jobs_.requeue_all();
        }
        if (!jobs_.any_dirty()) {
            co_await loop_.wait(dirty_, -1);
            continue;
        }
        Seconds wait = writes_.until(2, loop_.now());
        if (wait > 0) {
            co_await loop_.sleep(wait);
            continue;
        }
        size_t ops = std::min(config_.txn_ops, static_cast<size_t>(writes_.left(loop_.now())));
        std::vector<Job*> batch =
            jobs_.take_dirty(std::max<size_t>(2, ops), constants::kTransactionBytes, record_format);
        if (alone > 0 && !batch.empty()) {
            --alone;
            for (size_t i = 1; i < batch.size(); ++i) jobs_.requeue(*batch[i]);
            batch.resize(1);
        }
        Transaction txn;
        txn.expect_revision(term_.key, term_.mod_revision);
        std::vector<std::string> ids;
        std::set<std::string> final_ids;
        for (Job* j : batch) {
            const std::string& id = j->spec.id;
            bool final = j->cancelled ? j->live.empty() : j->finished();
            std::string data;
            if (!final) {
                if (j->write_deferred(record_format)) continue;
                data = j->record().pack(record_format);
                // What the service would refuse is not sent. Until the job's next change the record says
                // that tasks are live which are not, never the other way round: starts are bounded
                // by its room.
                if (json_size(data) > config_.value_limit(record_format)) {
                    defer_write(*j, j->version, record_format, "too large for the state service");
                    continue;
                }
            }
            ids.push_back(id);
            j->inflight = j->version;
            txn.expect_revision(live_key(id), j->mod_revision);
            if (final) {
                FinalRecord f{id, j->cancelled, j->spec.tasks, j->done.size()};
                txn.put(final_key(id), f.pack()).delete_key(live_key(id));
                final_ids.insert(id);
            } else {
                txn.put(live_key(id), std::move(data));
            }
        }
        if (ids.empty()) continue;
        writes_.take(static_cast<double>(txn.writes.size()), loop_.now());
        TransactionResult r = co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
        if (r.status == StoreStatus::kOk) {
            pause = 0;
            std::set<std::string> machines;
            for (const auto& id : ids) {
                Job* j = jobs_.find(id);
                if (!j) continue;
                j->mod_revision = r.revision;
                j->committed = j->inflight;
                for (const auto& [task, p] : j->live) machines.insert(p.machine);
                if (final_ids.contains(id)) finished(id, r.revision);
            }
            for (const auto& h : machines) wake(h);
            continue;
        }
        if (r.status == StoreStatus::kInvalid && ids.size() == 1) {
            if (Job* j = jobs_.find(ids[0])) {
                defer_write(*j, j->inflight, record_format, "refused by the state service");
                if (!j->write_deferred(record_format)) jobs_.requeue(*j);  // it has changed since
            }
            continue;
        }
        if (r.status == StoreStatus::kInvalid) alone = ids.size();
        for (const auto& id : ids)
            if (Job* j = jobs_.find(id)) jobs_.requeue(*j);
        if (r.status == StoreStatus::kConflict) {
            if (std::find(r.failed_keys.begin(), r.failed_keys.end(), term_.key) != r.failed_keys.end()) {
                leadership_->deposed("the leadership key has changed");
                co_return;
            }
            for (const auto& id : ids)
                if (std::find(r.failed_keys.begin(), r.failed_keys.end(), live_key(id)) !=
                    r.failed_keys.end())
                    co_await reread(id);
            request_pass();
            continue;
        }
        if (r.status == StoreStatus::kNotExecuted || r.status == StoreStatus::kRateLimited)
            writes_.mark_exhausted(loop_.now());
        pause = std::clamp(pause * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
        co_await loop_.sleep(pause);
    }
}

void Leader::defer_write(Job& job, uint64_t version, uint64_t record_format, const char* why) {
    if (job.deferred_format == 0)
        log::error("record_write_deferred",
                   {{"job", job.spec.id}, {"bytes", job.record_bytes(record_format)}, {"reason", why}});
    job.deferred_version = version;
    job.deferred_format = record_format;
}

// Format 2 is written from when every controller reads it, so that whoever leads next does. The key is put
// once and stays.
Task<void> Leader::raise_record_format() {
    while (record_format_.kept < kNewestRecordFormat) {
        if (leadership_->all_peers_upgraded()) {
            Transaction txn;
            txn.expect_revision(term_.key, term_.mod_revision)
                .expect_absent(kRecordFormatKey)
                .put(kRecordFormatKey, pack_record_format(kNewestRecordFormat));
            writes_.take(1, loop_.now());
            co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
            // Whatever became of it, the key tells.
            co_await learn_record_format(state_, record_format_);
        }
        if (record_format_.kept < kNewestRecordFormat)
            co_await loop_.sleep(constants::kRecordFormatPollInterval_s);
    }
    dirty_.notify();
}

// A record has another mod revision than expected: its user withdrew the job, or an answer of ours was lost.
Task<bool> Leader::reread(std::string id) {
    GetResult got = co_await state_.get(live_key(id), constants::kStoreCallTimeout_s);
    if (got.status == StoreStatus::kOk) {
        take_change({live_key(id), false, got.entry.mod_revision, got.entry.data});
        co_return true;
    }
    if (got.status != StoreStatus::kNotFound) co_return false;
    GetResult end = co_await state_.get(final_key(id), constants::kStoreCallTimeout_s);
    if (end.status == StoreStatus::kOk) finished(id, end.entry.mod_revision);
    if (end.status == StoreStatus::kNotFound) log::error("record_missing", {{"job", id}});
    co_return end.status == StoreStatus::kOk;
}

void Leader::finished(const std::string& id, uint64_t revision) {
    jobs_.erase(id);
    finished_[id] = revision;
    finished_order_.push_back(id);
    if (finished_order_.size() > constants::kFinalStateCacheSize) {
        finished_.erase(finished_order_.front());
        finished_order_.pop_front();
    }
}

}  // namespace hareshore
