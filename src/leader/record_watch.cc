#include "leader/record_watch.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "fleet/cancelled_tasks.h"

namespace hareshore {

Task<bool> RecordWatch::read_all() {
    std::string from;
    Revision revision = kAbsentRevision;
    Seconds requested_at = dependencies_.loop.now();
    while (true) {
        ListResult page = co_await dependencies_.store.list(kLivePrefix, from, constants::kRecordPageSize,
                                                            constants::kStoreCallTimeout_s * 2);
        if (page.status != StoreStatus::kOk) co_return false;
        if (revision == kAbsentRevision)
            revision = page.revision;  // changes after the first page are read by the watch
        for (auto& entry : page.entries) {
            from = entry.key;
            apply({entry.key, false, entry.mod_revision, std::move(entry.data)});
        }
        if (!page.more) break;
    }
    revision_ = revision;
    dependencies_.cancellations.on_records_read(requested_at);
    co_return true;
}

Task<void> RecordWatch::watch_changes() {
    Seconds pause = 0;
    while (true) {
        Seconds requested_at = dependencies_.loop.now();
        WatchResult result =
            co_await dependencies_.store.watch(kLivePrefix, revision_, constants::kRecordWatchTimeout_s);
        if (result.status == WatchStatus::kOk) {
            pause = 0;
            for (const auto& change : result.changes) apply(change);
            revision_ = std::max(revision_, result.revision);
            dependencies_.cancellations.on_changes_read(requested_at);
            if (!result.changes.empty()) dependencies_.pass_requests.request();
            continue;
        }
        if (result.status == WatchStatus::kCompacted && co_await read_all()) {
            // The pause prevents overloading a store that keeps reporting compacted revisions.
            dependencies_.pass_requests.request();
            co_await dependencies_.loop.sleep(constants::kRetryBackoff_s);
            continue;
        }
        pause = std::clamp(pause * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
        co_await dependencies_.loop.sleep(pause);
    }
}

void RecordWatch::apply(const KeyChange& change) {
    if (change.deleted) return;  // only this leader deletes records, and it has removed the job already
    auto record = JobRecord::unpack(change.data);
    if (!record || live_key(record->spec.id) != change.key) {
        quarantine(change);
        return;
    }
    if (finished_.ended_after(record->spec.id, change.mod_revision)) return;
    const Seconds now = dependencies_.loop.now();
    const WallTime wall = dependencies_.loop.wall();
    set_missing_cancellation_time(*record, wall);
    Job& job = dependencies_.jobs.load(*record, change.mod_revision, now, wall);
    // The record was read before the job was cancelled; the cancellation has since been confirmed.
    const std::optional<Seconds> observed_at = dependencies_.cancellations.observed_at(job.spec.id);
    if (!job.cancelled && observed_at) dependencies_.jobs.cancel(job, *observed_at, now);
    for (const auto& [task, placement] : job.live) {
        Machine& machine = dependencies_.cluster.find_or_add(placement.machine, now);
        if (machine.zone.empty()) machine.zone = placement.zone;
    }
}

// Earlier versions do not record when a job was cancelled.
void RecordWatch::set_missing_cancellation_time(JobRecord& record, WallTime wall) const {
    if (!record.cancelled || record.cancelled_wall || dependencies_.jobs.find(record.spec.id)) return;
    record.cancelled_wall = WallTime{wall.since_epoch - assumed_cancellation_age(dependencies_.config)};
}

void RecordWatch::quarantine(const KeyChange& change) {
    std::string job_id = change.key.substr(kLivePrefix.size());
    if (!dependencies_.jobs.unreadable(job_id))
        log::error("job_quarantined",
                   {{"key", change.key},
                    {"reason", newer_record_format(change.data) ? "newer_format" : "malformed"}});
    dependencies_.jobs.set_unreadable(job_id);
}

Task<void> RecordWatch::reload_record(std::string job_id) {
    GetResult live = co_await dependencies_.store.get(live_key(job_id), constants::kStoreCallTimeout_s);
    if (live.status == StoreStatus::kOk)
        apply({live_key(job_id), false, live.entry.mod_revision, std::move(live.entry.data)});
    if (live.status != StoreStatus::kNotFound) co_return;
    GetResult final = co_await dependencies_.store.get(final_key(job_id), constants::kStoreCallTimeout_s);
    if (final.status == StoreStatus::kOk) remove_finished_job(job_id, final.entry.mod_revision);
    if (final.status == StoreStatus::kNotFound) log::error("record_missing", {{"job", job_id}});
}

void RecordWatch::remove_finished_job(const std::string& job_id, uint64_t revision) {
    dependencies_.jobs.erase(job_id);
    finished_.add(job_id, revision);
}

}  // namespace hareshore
