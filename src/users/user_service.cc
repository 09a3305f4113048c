#include "users/user_service.h"

#include "base/constants.h"
#include "base/log.h"
#include "http/json_size.h"

namespace hareshore {

namespace {

Response unavailable(int status = 503, int after = constants::kRetryAfter_s) {
    return {status, pack_error("try again"), after, "application/msgpack"};
}

Response plain(int status, const std::string& why) {
    return {status, pack_error(why), 0, "application/msgpack"};
}

}  // namespace

UserService::UserService(Loop& loop, const Config& config, StoreClient& state,
                         const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                         CancellationListener telling)
    : loop_(loop),
      config_(config),
      state_(state),
      machine_types_(machine_types),
      record_format_(record_format),
      on_cancellation_(std::move(telling)),
      most_busy_(std::max(constants::kMinConcurrentUserRequests,
                          static_cast<size_t>(config.state_rps * constants::kUserReadTimeout_s /
                                              static_cast<double>(config.peers.size() + 1)))),
      records_(loop, state),
      last_cancellation_(loop.now()) {}

Task<Response> UserService::handle(const Request& request) {
    static const std::string base = "/v2/runs";
    if (request.path == base) {
        if (request.method != "POST") co_return plain(405, "use POST");
    } else if (request.path.compare(0, base.size() + 1, base + "/") != 0) {
        co_return plain(404, "unknown path");
    }
    // More than can be worked on: the user is told at once when to come back.
    if (busy_ >= most_busy_) co_return unavailable(429);
    struct Busy {
        size_t& n;
        explicit Busy(size_t& x) : n(x) { ++n; }
        ~Busy() { --n; }
    } busy(busy_);
    if (request.path == base) co_return co_await submit(request);
    std::string rest = request.path.substr(base.size() + 1);
    auto slash = rest.find('/');
    std::string id = rest.substr(0, slash);
    std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (!verb.empty() && verb != "withdraw") co_return plain(404, "unknown path");
    if (slash != std::string::npos && verb.empty()) co_return plain(404, "unknown path");
    if (request.method != (verb.empty() ? "GET" : "POST"))
        co_return plain(405, verb.empty() ? "use GET" : "use POST");
    if (!valid_job_id(id)) co_return plain(404, "unknown job");
    if (verb.empty()) co_return co_await query(id);
    co_return co_await cancel(id);
}

// A node cut off from the state service would let each user wait for an answer that does not come. The
// election's watches, which end every 2 s, notice when it is back.
bool UserService::state_away() const {
    return state_.last_contact() && loop_.now() - *state_.last_contact() > constants::kStoreUnavailable_s;
}

void UserService::keep_final(const std::string& id, const FinalRecord& f) {
    if (!finals_.emplace(id, f).second) return;
    finals_order_.push_back(id);
    if (finals_order_.size() > constants::kFinalStateCacheSize) {
        finals_.erase(finals_order_.front());
        finals_order_.pop_front();
    }
}

void UserService::keep_answered(const std::string& id, JobPhase phase) {
    auto [it, added] = answered_.try_emplace(id);
    it->second.cancelled |= phase == JobPhase::kCancelled;
    if (!added) return;
    answered_order_.push_back(id);
    if (answered_order_.size() > constants::kFinalStateCacheSize) {
        answered_.erase(answered_order_.front());
        answered_order_.pop_front();
    }
}

UserService::Known UserService::known_from(const FinalRecord& final) {
    Known k;
    k.status = StoreStatus::kOk;
    k.final = true;
    k.phase = final.cancelled ? JobPhase::kCancelled : JobPhase::kDone;
    k.done = final.done;
    return k;
}

UserService::Known UserService::no_older_than_answered(const std::string& id, Known read) const {
    if (read.final) return read;
    if (auto final = finals_.find(id); final != finals_.end()) return known_from(final->second);
    auto answered = answered_.find(id);
    if (answered == answered_.end()) return read;
    if (read.status == StoreStatus::kNotFound)
        return Known{};  // read before it was accepted: to be asked again
    if (read.status == StoreStatus::kOk && answered->second.cancelled) {
        read.record.cancelled = true;
        read.phase = JobPhase::kCancelled;
    }
    return read;
}

// A slow read may be older than what another question about the job was answered meanwhile.
Task<UserService::Known> UserService::read(std::string id, Seconds until) {
    Known k = co_await read_records(id, until);
    co_return no_older_than_answered(id, std::move(k));
}

// The current state of a job. Records move only from the live key to the final one, so this order of
// reading cannot miss one.
Task<UserService::Known> UserService::read_records(std::string id, Seconds until) {
    Known k;
    auto cached = finals_.find(id);
    std::optional<FinalRecord> final;
    if (cached != finals_.end()) {
        final = cached->second;
    } else {
        if (state_away()) co_return k;
        GetResult live = co_await records_.read(id, until);
        if (live.status == StoreStatus::kOk) {
            auto record = JobRecord::unpack(live.entry.data);
            if (!record) {
                // Nothing is said of a job whose record means something unknown.
                if (unreadable_.size() < constants::kFinalStateCacheSize && unreadable_.insert(id).second)
                    log::error(
                        "record_unreadable",
                        {{"key", live.entry.key},
                         {"reason", newer_record_format(live.entry.data) ? "newer_format" : "malformed"}});
                co_return k;
            }
            k.status = StoreStatus::kOk;
            k.phase = record->phase();
            k.done = record->done.size();
            k.running = static_cast<uint32_t>(record->live.size());
            k.record = std::move(*record);
            k.mod_revision = live.entry.mod_revision;
            co_return k;
        }
        if (live.status != StoreStatus::kNotFound || loop_.now() >= until) co_return k;
        GetResult end = co_await state_.get(final_key(id), until - loop_.now());
        if (end.status != StoreStatus::kOk) {
            k.status =
                end.status == StoreStatus::kNotFound ? StoreStatus::kNotFound : StoreStatus::kNotExecuted;
            co_return k;
        }
        final = FinalRecord::unpack(end.entry.data);
        if (!final) co_return k;
        keep_final(id, *final);
    }
    co_return known_from(*final);
}

Response UserService::answer_known(const std::string& id, const Known& k, bool counts) {
    keep_answered(id, k.phase);
    if (k.phase == JobPhase::kCancelled) {
        last_cancellation_ = loop_.now();
        on_cancellation_(id);
    }
    return {200, counts ? pack_job(id, k.phase, k.done, k.running) : pack_phase(id, k.phase), 0,
            "application/msgpack"};
}

Task<Response> UserService::submit(const Request& request) {
    auto parsed = parse_submission(request.body);
    if (auto* why = std::get_if<std::string>(&parsed)) {
        log::info("submission_refused", {{"reason", *why}});
        co_return plain(400, *why);
    }
    JobSpec spec = std::get<JobSpec>(std::move(parsed));
    Seconds until = loop_.now() + constants::kUserWriteTimeout_s;
    if (record_format_.newer()) co_return unavailable();  // records are no longer ours to write
    JobRecord record;
    record.spec = spec;
    record.accepted_wall = loop_.wall();
    bool unknown = machine_types_.empty();  // what can run is not known yet
    int status = 422;
    std::string never = unknown ? "" : never_runnable(spec, config_, machine_types_);
    if (never.empty()) {
        never = never_recorded(record);
        status = 400;
    }
    if (unknown || !never.empty()) {
        // A job that was accepted once is known for ever, whatever the machine types are by now.
        Known k = co_await read(spec.id, until);
        if (k.status == StoreStatus::kOk) co_return answer_known(spec.id, k, false);
        if (unknown || k.status != StoreStatus::kNotFound) co_return unavailable();
        co_return plain(status, never);
    }
    if (state_away()) co_return unavailable(503, constants::kRetryAfterOutage_s);
    Transaction txn;
    txn.expect_absent(live_key(spec.id)).expect_absent(final_key(spec.id));
    txn.put(live_key(spec.id), record.pack(record_format_.in_force()));
    TransactionResult r = co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
    if (r.status == StoreStatus::kOk) {
        log::debug("job_accepted", {{"job", spec.id},
                                    {"class", spec.job_class},
                                    {"tasks", spec.tasks},
                                    {"image", spec.image},
                                    {"team", spec.team}});
        // Of a commit whose answer was slow, other questions may have been answered already.
        Known accepted;
        accepted.status = StoreStatus::kOk;
        Response created = answer_known(spec.id, no_older_than_answered(spec.id, std::move(accepted)), false);
        created.status = 201;
        co_return created;
    }
    if (r.status == StoreStatus::kConflict) {
        Known k = co_await read(spec.id, until);
        if (k.status == StoreStatus::kOk) co_return answer_known(spec.id, k, false);
    }
    // At the service's rate the user is told at once when to come back, rather than held.
    if (r.status == StoreStatus::kRateLimited) co_return unavailable(429);
    if (r.status == StoreStatus::kNotExecuted) co_return unavailable(503, constants::kRetryAfterOutage_s);
    co_return unavailable();
}

std::string UserService::never_recorded(const JobRecord& record) const {
    // All tasks of a gang are in its record at once. An array's or a service's start as its room allows, one
    // at a time if need be.
    size_t least = constants::kRecordReserveBytes;
    if (record.spec.gang()) least += (record.spec.tasks - 1) * constants::kMinPlacementBytes;
    for (uint64_t record_format = record_format_.in_force(); record_format <= kNewestRecordFormat;
         ++record_format)
        if (json_size(record.pack(record_format)) + least > config_.value_limit(record_format))
            return "the job's description is too long to be kept, or its gang too large";
    return "";
}

Task<Response> UserService::query(std::string id) {
    Known k = co_await read(id, loop_.now() + constants::kUserReadTimeout_s);
    if (k.status == StoreStatus::kOk) co_return answer_known(id, k, true);
    if (k.status == StoreStatus::kNotFound) co_return plain(404, "unknown job");
    co_return unavailable();
}

Task<Response> UserService::cancel(std::string id) {
    Seconds until = loop_.now() + constants::kUserWriteTimeout_s;
    while (loop_.now() < until) {
        Known k = co_await read(id, until);
        if (k.status == StoreStatus::kNotFound) co_return plain(404, "unknown job");
        if (k.status != StoreStatus::kOk) co_return unavailable();
        if (k.final || k.record.cancelled) co_return answer_known(id, k, false);
        if (record_format_.newer()) co_return unavailable();
        k.record.cancelled = true;
        uint64_t record_format = record_format_.in_force();
        std::string data = k.record.pack(record_format);
        if (json_size(data) > config_.value_limit(record_format)) {
            // Of a cancelled job nothing starts again: it is not needed any more which tasks are done.
            k.record.done = {};
            data = k.record.pack(record_format);
        }
        if (json_size(data) > config_.value_limit(record_format)) {
            log::error("cancellation_not_written", {{"job", id}, {"reason", "record_too_large"}});
            co_return unavailable();
        }
        Transaction txn;
        txn.expect_revision(live_key(id), k.mod_revision).put(live_key(id), std::move(data));
        TransactionResult r = co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
        if (r.status == StoreStatus::kOk) {
            k.phase = JobPhase::kCancelled;
            log::info("job_cancelled", {{"job", id}, {"by", "user"}});
            co_return answer_known(id, k, false);
        }
        if (r.status == StoreStatus::kRateLimited) co_return unavailable(429);
        if (r.status != StoreStatus::kConflict) co_return unavailable();
        // The leader wrote in between: read again.
    }
    co_return unavailable();
}

}  // namespace hareshore
