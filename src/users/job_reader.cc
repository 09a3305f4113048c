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

Task<JobStateResult> JobReader::read(std::string id, Seconds until) {
    JobStateResult read = co_await read_records(id, until);
    co_return history_.no_older_than_answered(id, std::move(read));
}

// A record moves only from the key of unfinished jobs to that of ended ones, so reading them in this order
// cannot miss it.
Task<JobStateResult> JobReader::read_records(std::string id, Seconds until) {
    if (const FinalRecord* final = history_.final_record(id)) co_return JobState::of_final(*final);
    if (store_unavailable()) co_return tl::unexpected(JobReadError::kUnavailable);
    GetResult live = co_await records_.read(id, until);
    if (live.status == StoreStatus::kOk) co_return parse_live_record(id, live.entry);
    if (live.status != StoreStatus::kNotFound || loop_.now() >= until)
        co_return tl::unexpected(JobReadError::kUnavailable);
    co_return co_await read_final_record(std::move(id), until);
}

JobStateResult JobReader::parse_live_record(const std::string& id, const Entry& entry) {
    std::optional<JobRecord> record = JobRecord::unpack(entry.data);
    if (!record) {
        bool log_it = logged_unreadable_.size() < constants::kFinalStateCacheSize &&
                      logged_unreadable_.insert(id).second;
        if (log_it) {
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

Task<JobStateResult> JobReader::read_final_record(std::string id, Seconds until) {
    GetResult result = co_await store_.get(final_key(id), until - loop_.now());
    if (result.status == StoreStatus::kNotFound) co_return tl::unexpected(JobReadError::kUnknownJob);
    if (result.status != StoreStatus::kOk) co_return tl::unexpected(JobReadError::kUnavailable);
    std::optional<FinalRecord> final = FinalRecord::unpack(result.entry.data);
    if (!final) co_return tl::unexpected(JobReadError::kUnavailable);
    history_.add_final(id, *final);
    co_return JobState::of_final(*final);
}

}  // namespace hareshore
