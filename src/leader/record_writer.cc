#include "leader/record_writer.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

// When a job ends, its final record is put and its live record is deleted.
constexpr size_t kWritesPerCompletion = 2;

double write_rate(const Config& config) {
    return config.write_rps * constants::kLeaderWriteShare;
}

bool has_ended(const Job& job) {
    return job.cancelled ? job.live.empty() : job.finished();
}

bool contains(const std::vector<std::string>& keys, const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

RecordWriter::RecordWriter(const Dependencies& dependencies)
    : dependencies_(dependencies),
      record_format_(dependencies.record_format.write_format()),
      write_tokens_(write_rate(dependencies.config),
                    std::max<double>(kWritesPerCompletion, write_rate(dependencies.config))),
      changed_(dependencies.loop) {}

Task<void> RecordWriter::run() {
    record_format_ = dependencies_.record_format.write_format();
    while (true) {
        apply_record_format_change();
        if (!dependencies_.jobs.has_unwritten()) {
            co_await dependencies_.loop.wait(changed_, kNoTimeLimit);
            continue;
        }
        Seconds rate_pause = write_tokens_.wait_time(kWritesPerCompletion, dependencies_.loop.now());
        if (rate_pause > 0) {
            co_await dependencies_.loop.sleep(rate_pause);
            continue;
        }
        Batch batch = build_batch(choose_jobs());
        if (batch.job_ids.empty()) continue;
        write_tokens_.take(static_cast<double>(batch.transaction.writes.size()), dependencies_.loop.now());
        TransactionResult result =
            co_await dependencies_.store.commit(std::move(batch.transaction), constants::kStoreCallTimeout_s);
        if (result.status == StoreStatus::kOk) {
            accept_commit(batch, result.revision);
            continue;
        }
        if (result.status == StoreStatus::kInvalid && batch.job_ids.size() == 1) {
            defer_refused(batch.job_ids.front());
            continue;
        }
        if (result.status == StoreStatus::kInvalid) single_writes_left_ = batch.job_ids.size();
        queue_write(batch);
        if (result.status != StoreStatus::kConflict) {
            co_await back_off(result.status);
            continue;
        }
        if (contains(result.failed_keys, dependencies_.term.key)) {
            dependencies_.leadership.step_down(LossReason::kLeadershipKeyChanged);
            co_return;
        }
        co_await reload_conflicting_records(batch, result);
        dependencies_.pass_requests.request();
    }
}

// A record that could not be written in the previous format may fit in the new one.
void RecordWriter::apply_record_format_change() {
    if (record_format_ == dependencies_.record_format.write_format()) return;
    record_format_ = dependencies_.record_format.write_format();
    dependencies_.jobs.queue_all_unwritten();
}

std::vector<Job*> RecordWriter::choose_jobs() {
    size_t max_writes = std::min(dependencies_.config.txn_ops,
                                 static_cast<size_t>(write_tokens_.available(dependencies_.loop.now())));
    std::vector<Job*> jobs = dependencies_.jobs.take_unwritten(std::max(kWritesPerCompletion, max_writes),
                                                               constants::kTransactionBytes, record_format_);
    if (single_writes_left_ > 0 && !jobs.empty()) {
        --single_writes_left_;
        for (size_t i = 1; i < jobs.size(); ++i) dependencies_.jobs.queue_write(*jobs[i]);
        jobs.resize(1);
    }
    return jobs;
}

RecordWriter::Batch RecordWriter::build_batch(const std::vector<Job*>& jobs) {
    Batch batch;
    batch.transaction.expect_revision(dependencies_.term.key, dependencies_.term.mod_revision);
    for (Job* job : jobs) {
        const std::string& id = job->spec.id;
        if (has_ended(*job)) {
            FinalRecord record{id, job->cancelled, job->spec.tasks, job->done.size()};
            batch.transaction.expect_revision(live_key(id), job->persistence.mod_revision)
                .put(final_key(id), record.pack())
                .delete_key(live_key(id));
            batch.final_ids.insert(id);
        } else if (!add_live_record(*job, batch.transaction)) {
            continue;
        }
        batch.job_ids.push_back(id);
        job->persistence.in_flight_version = job->persistence.version;
    }
    return batch;
}

// Returns false if the record cannot be written now.
bool RecordWriter::add_live_record(Job& job, Transaction& transaction) {
    if (job.persistence.write_deferred(record_format_)) return false;
    std::optional<std::string> data =
        job.to_record().pack_within(dependencies_.config.value_limit(record_format_), record_format_);
    // A record that the store would refuse for its size is not sent. Until the job's next change the stored
    // record may list tasks as live that have ended, but it never lacks a live task, since task starts are
    // limited by the record's free space.
    if (!data) {
        defer(job, job.persistence.version, DeferReason::kTooLarge);
        return false;
    }
    const std::string key = live_key(job.spec.id);
    transaction.expect_revision(key, job.persistence.mod_revision).put(key, std::move(*data));
    return true;
}

void RecordWriter::accept_commit(const Batch& batch, uint64_t revision) {
    retry_pause_ = 0;
    std::set<std::string> machines;
    for (const auto& id : batch.job_ids) {
        Job* job = dependencies_.jobs.find(id);
        if (!job) continue;
        job->persistence.mod_revision = revision;
        job->persistence.committed_version = job->persistence.in_flight_version;
        for (const auto& [task, placement] : job->live) machines.insert(placement.machine);
        if (batch.final_ids.contains(id)) dependencies_.record_watch.remove_finished_job(id, revision);
    }
    for (const auto& machine : machines) dependencies_.connections.wake(machine);
}

void RecordWriter::defer_refused(const std::string& job_id) {
    Job* job = dependencies_.jobs.find(job_id);
    if (!job) return;
    defer(*job, job->persistence.in_flight_version, DeferReason::kRefused);
    if (!job->persistence.write_deferred(record_format_))
        dependencies_.jobs.queue_write(*job);  // the job has changed since the refused write
}

void RecordWriter::queue_write(const Batch& batch) {
    for (const auto& id : batch.job_ids)
        if (Job* job = dependencies_.jobs.find(id)) dependencies_.jobs.queue_write(*job);
}

Task<void> RecordWriter::reload_conflicting_records(const Batch& batch, const TransactionResult& result) {
    for (const auto& id : batch.job_ids)
        if (contains(result.failed_keys, live_key(id))) co_await dependencies_.record_watch.reload_record(id);
}

Task<void> RecordWriter::back_off(StoreStatus status) {
    if (status == StoreStatus::kNotExecuted || status == StoreStatus::kRateLimited)
        write_tokens_.mark_exhausted(dependencies_.loop.now());
    retry_pause_ = std::clamp(retry_pause_ * 2, constants::kRetryBackoff_s, constants::kRetryBackoffMax_s);
    co_await dependencies_.loop.sleep(retry_pause_);
}

void RecordWriter::defer(Job& job, uint64_t version, DeferReason reason) const {
    if (!job.persistence.deferred_write)
        log::error("record_write_deferred",
                   {{"job", job.spec.id},
                    {"bytes", job.record_bytes(record_format_)},
                    {"reason", reason == DeferReason::kTooLarge ? "too_large" : "refused_by_store"}});
    job.persistence.deferred_write = DeferredWrite{version, record_format_};
}

Task<void> RecordWriter::raise_record_format() {
    while (dependencies_.record_format.below_newest()) {
        if (dependencies_.leadership.all_peers_upgraded()) {
            Transaction transaction;
            transaction.expect_revision(dependencies_.term.key, dependencies_.term.mod_revision)
                .expect_absent(kRecordFormatKey)
                .put(kRecordFormatKey, pack_record_format(kNewestRecordFormat));
            write_tokens_.take(1, dependencies_.loop.now());
            co_await dependencies_.store.commit(std::move(transaction), constants::kStoreCallTimeout_s);
            // The key shows whether the transaction took effect, whatever its result.
            co_await refresh_record_format(dependencies_.store, dependencies_.record_format);
        }
        if (dependencies_.record_format.below_newest())
            co_await dependencies_.loop.sleep(constants::kRecordFormatPollInterval_s);
    }
    changed_.notify();
}

}  // namespace hareshore
