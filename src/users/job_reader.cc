#include "users/job_reader.h"

#include <optional>
#include <utility>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

bool JobReader::store_unavailable() const {
    std::optional<Seconds> contact = store_.last_contact();
    return contact && loop_.now() - *contact > constants::kStoreUnavailable_s;
}

Task<JobStateResult> JobReader::read(std::string id, Seconds deadline) {
    JobStateResult read = co_await read_records(id, deadline);
    co_return history_.ensure_monotonic(id, std::move(read));
}

// A record moves only from the key for unfinished jobs to the key for ended ones, so reading the keys in this
// order cannot miss it.
Task<JobStateResult> JobReader::read_records(std::string id, Seconds deadline) {
    if (const FinalRecord* final = history_.final_record(id)) co_return JobState::from_final_record(*final);
    if (store_unavailable()) co_return tl::unexpected(JobReadError::kUnavailable);
    GetResult live = co_await records_.read(id, deadline);
    if (live.status == StoreStatus::kOk) co_return parse_live_record(id, live.entry);
    if (live.status != StoreStatus::kNotFound || loop_.now() >= deadline)
        co_return tl::unexpected(JobReadError::kUnavailable);
    co_return co_await read_final_record(std::move(id), deadline);
}

JobStateResult JobReader::parse_live_record(const std::string& id, const Entry& entry) {
    std::optional<JobRecord> record = JobRecord::unpack(entry.data);
    if (!record) {
        bool should_log = logged_unreadable_.size() < constants::kFinalStateCacheSize &&
                          logged_unreadable_.insert(id).second;
        if (should_log) {
            log::error("record_unreadable",
                       {{"key", entry.key},
                        {"reason", newer_record_format(entry.data) ? "newer_format" : "malformed"}});
        }
        return tl::unexpected(JobReadError::kUnavailable);
    }
    JobState state;
    state.phase = record->phase();
    state.done = record->done.size();
    state.running = static_cast<uint32_t>(record->live.size());
    state.record = std::move(*record);
    state.mod_revision = entry.mod_revision;
    return state;
}

Task<JobStateResult> JobReader::read_final_record(std::string id, Seconds deadline) {
    GetResult result = co_await store_.get(final_key(id), deadline - loop_.now());
    if (result.status == StoreStatus::kNotFound) co_return tl::unexpected(JobReadError::kUnknownJob);
    if (result.status != StoreStatus::kOk) co_return tl::unexpected(JobReadError::kUnavailable);
    std::optional<FinalRecord> final = FinalRecord::unpack(result.entry.data);
    if (!final) co_return tl::unexpected(JobReadError::kUnavailable);
    history_.add_final(id, *final);
    co_return JobState::from_final_record(*final);
}

}  // namespace hareshore
