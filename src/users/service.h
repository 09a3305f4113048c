// The users' requests. Any node serves them; what it answers is committed or read from the state service.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>

#include "jobs/record.h"
#include "state/form.h"
#include "users/wire.h"

namespace hareshore {

class UserService {
  public:
    // Called before a user is told that the job is withdrawn.
    using Telling = std::function<void(const std::string&)>;
    UserService(Loop& loop, const Config& config, StateService& state, const std::vector<Flavor>& flavors,
                const Form& form, Telling telling);
    // The path begins with /v2/runs.
    Task<Response> handle(const Request& request);
    // When a user was last told of a withdrawal here, or when this process began.
    Seconds last_withdrawal() const { return last_withdrawal_; }

  private:
    struct Known {
        Reply reply = Reply::kRefused;  // kOk, kAbsent, or that it could not be read
        JobPhase phase = JobPhase::kPending;
        uint32_t done = 0, running = 0;
        bool final = false;
        JobRecord record;  // unless final
        uint64_t stamp = 0;
    };
    Task<Response> submit(const Request& request);
    Task<Response> query(std::string id);
    Task<Response> withdraw(std::string id);
    Task<Known> read(std::string id, Seconds until);
    // Commits; an exceeded rate is waited out, since users go before the leader's own writes.
    Task<TxnResult> commit(Txn txn, Seconds until);
    // Why the job's record could not be written under the limits of the state service, now or later.
    std::string never_recorded(const JobRecord& record) const;
    bool state_away() const;
    void keep_final(const std::string& id, const FinalRecord& f);
    Response told(const std::string& id, const Known& k, bool counts);

    Loop& loop_;
    const Config& config_;
    StateService& state_;
    const std::vector<Flavor>& flavors_;
    const Form& form_;
    Telling telling_;
    size_t busy_ = 0;
    size_t most_busy_;
    Seconds last_withdrawal_;
    std::set<std::string> unreadable_;  // records whose unreadable form was logged
    std::unordered_map<std::string, FinalRecord> finals_;
    std::deque<std::string> finals_order_;
};

}  // namespace hareshore
