// The users' requests. Any node serves them; what it answers is committed or read from the state service.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>

#include "jobs/record.h"
#include "jobs/record_format.h"
#include "users/record_reader.h"
#include "users/user_wire.h"

namespace hareshore {

class UserService {
  public:
    // Called before a user is told that the job is cancelled.
    using CancellationListener = std::function<void(const std::string&)>;
    UserService(Loop& loop, const Config& config, StoreClient& state,
                const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                CancellationListener telling);
    // The path begins with /v2/runs.
    Task<Response> handle(const Request& request);
    void stop() { records_.stop(); }
    // When a user was last told of a cancellation here, or when this process began.
    Seconds last_cancellation() const { return last_cancellation_; }

  private:
    struct Known {
        StoreStatus status = StoreStatus::kNotExecuted;  // kOk, kAbsent, or that it could not be read
        JobPhase phase = JobPhase::kPending;
        uint32_t done = 0, running = 0;
        bool final = false;
        JobRecord record;  // unless final
        uint64_t mod_revision = 0;
    };
    Task<Response> submit(const Request& request);
    Task<Response> query(std::string id);
    Task<Response> cancel(std::string id);
    Task<Known> read(std::string id, Seconds until);
    Task<Known> read_records(std::string id, Seconds until);
    static Known known_from(const FinalRecord& final);
    // What was read of a job, or what this node has answered meanwhile if that is newer.
    Known no_older_than_answered(const std::string& id, Known read) const;
    void keep_answered(const std::string& id, JobPhase phase);
    // Why the job's record could not be written under the limits of the state service, now or later.
    std::string never_recorded(const JobRecord& record) const;
    bool state_away() const;
    void keep_final(const std::string& id, const FinalRecord& f);
    Response answer_known(const std::string& id, const Known& k, bool counts);

    Loop& loop_;
    const Config& config_;
    StoreClient& state_;
    const std::vector<MachineType>& machine_types_;
    const RecordFormat& record_format_;
    CancellationListener on_cancellation_;
    size_t busy_ = 0;
    size_t most_busy_;
    RecordReader records_;
    Seconds last_cancellation_;
    std::set<std::string> unreadable_;  // records whose unreadable format was logged
    std::unordered_map<std::string, FinalRecord> finals_;
    std::deque<std::string> finals_order_;
    // Jobs that users were told here are accepted, and whether they were told that they are cancelled.
    struct Answered {
        bool cancelled = false;
    };
    std::unordered_map<std::string, Answered> answered_;
    std::deque<std::string> answered_order_;
};

}  // namespace hareshore
