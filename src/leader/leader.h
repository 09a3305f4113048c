// What the leading controller does: it keeps the view of jobs and machines, binds tasks as reports
// arrive, commits before it launches, and rents and returns machines.
#pragma once
#include <memory>

#include "base/token_bucket.h"
#include "cloud/cloud_client.h"
#include "fleet/scaling_plan.h"
#include "jobs/record_format.h"
#include "jobs/resource_accounting.h"
#include "leader/leadership.h"
#include "scheduler/scheduler.h"

namespace hareshore {

class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(const LeaderEnvironment& environment, LeaderTerm term, std::unique_ptr<Leadership> leadership,
           std::vector<MachineType> machine_types);
    void start();
    void stop();
    bool stopped() const { return stopped_; }
    uint64_t fencing_token() const { return term_.fencing_token; }

    // A worker's report, and the answer to it. 421 means that another leads.
    // `hold`: how long the answer may be held for work that comes.
    // `direct`: it came on the worker's own connection, not through a peer.
    Task<Response> handle_heartbeat(WorkerHeartbeat report, Seconds hold, bool direct);

    // A user is being told that this job is cancelled, by this node or by a peer: its tasks must go, also
    // while the state service cannot say so.
    void observe_cancellation(const std::string& id);

    // How many machines have reported to this leader, and for how long it has known its view.
    size_t machines_seen() const;
    uint64_t passes_done() const { return passes_; }  // of matching, so far
    Seconds loaded_for() const { return loaded_ ? loop_.now() - loaded_at_ : 0; }

    std::string jobs_page() const;
    std::string machines_page() const;
    const JobTable& jobs() const { return jobs_; }
    const Cluster& cluster() const { return cluster_; }

  private:
    // What belongs to a machine's connection rather than to the machine.
    struct WorkerConnection {
        explicit WorkerConnection(Loop& loop) : wake(loop) {}
        Condition wake;
        uint64_t reports = 0;            // how many came; an older one's answer is dropped by the worker
        bool command_in_flight = false;  // a direct command is on its way
        bool again = false;              // another is wanted after it
    };

    Task<void> load();
    Task<bool> read_records();
    Task<void> watch();
    Task<void> commit();
    Task<void> raise_record_format();
    Task<bool> reread(std::string id);
    void defer_write(Job& job, uint64_t version, uint64_t record_format, const char* why);
    Task<void> read_machines();
    Task<void> read_prices();
    Task<void> run_fleet();
    Task<void> rent(ScaleOutRequest rental);
    Task<void> confirmation();
    Task<void> remove(std::vector<std::string> names, std::set<std::string> silent);
    void return_machines(const std::vector<ScaleInDecision>& decisions);
    void return_machines_holding_cancelled();
    bool holds_cancelled(const std::string& machine) const;
    void gone(const std::vector<std::string>& names);
    Task<void> send_stops(std::string machine);

    void spawn(Task<void> task, const char* name, Priority priority = Priority::kNormal);
    Task<void> run_passes();
    void request_pass();
    void step();  // matches, and sends off what came of it
    void update_demand();
    bool asks_for_work(Machine& machine);
    struct Holding;
    Task<void> join_pass(const std::string& machine, Seconds answer_by);
    Seconds silent_after() const;  // an older report shows no room
    void drain(Machine& machine);
    void wake(const std::string& machine);
    WorkerConnection& worker_connection(const std::string& machine);
    bool may_renew();
    void finished(const std::string& id, uint64_t revision);
    void take_change(const KeyChange& c);
    void log_waiting();
    void account(Seconds since);
    void log_fleet();
    bool kind_seen_spot_only() const;

    Loop& loop_;
    const Config& config_;
    const Settings& settings_;
    StoreClient& state_;
    CloudClient& cloud_;
    RecordFormat& record_format_;
    LeaderTerm term_;
    std::unique_ptr<Leadership> leadership_;

    JobTable jobs_;
    Cluster cluster_;
    std::unordered_map<std::string, std::unique_ptr<WorkerConnection>> worker_connections_;
    std::set<std::string> deleted_machines_;  // machines whose deletion was confirmed
    std::deque<std::string> deleted_machines_order_;
    std::unordered_map<std::string, uint64_t> finished_;  // jobs erased from the table, with the revision
    std::deque<std::string> finished_order_;
    std::map<MachineKind, Seconds> refused_until_;
    std::vector<ScaleOutRequest> on_order_;
    std::map<std::string, Seconds> cut_at_;  // when a zone was last taken for cut off
    bool machine_types_kept_ = false;

    bool loaded_ = false, stopped_ = false;
    uint64_t revision_ = 0;                     // the watch has seen all changes up to this revision
    Seconds watched_until_ = -1e9;              // no cancellation committed before this is missing
    Seconds cancellations_known_until_ = -1e9;  // no cancellation told to a user before this is missing
    std::map<std::string, Seconds>
        cancellation_notices_;  // jobs known to be cancelled by telling, and since when
    Seconds loaded_at_ = 0;
    Seconds listening_since_ = 0;  // before this, that a machine was silent says nothing
    uint64_t claims_ = 0;
    Seconds fleet_logged_ = -1e9;
    Seconds stops_repeated_at_ = -1e9;  // when stops of cancelled work were last repeated
    // Where the GPU time that is paid for goes, in GPU seconds since this leader began; for the log.
    struct Spent {
        double booting = 0, idle = 0, unused = 0, starting = 0, running = 0;
    } spent_;
    TokenBucket writes_;
    std::optional<Resources> replica_;  // what no replica of a service asks less than; none without services
    std::optional<Resources> least_waiting_;  // what no waiting task asks less than; none if none waits
    bool held_back_ = false;                  // a waiting task was held for a better machine in the last pass
    bool wanted_ = false;                     // a scheduling pass is wanted
    uint64_t passes_ = 0;
    Seconds next_pass_ = -1e9, longest_pass_ = 0;
    Condition ready_, dirty_, ask_, pass_done_;
    TaskGroup scope_;
};

}  // namespace hareshore
