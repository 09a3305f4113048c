// One term of leadership: the view of jobs and machines, and the parts that act on it. The parts are wired
// here and nowhere else; the header of each shows in its Parts what it may touch.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "leader/cancellation_guard.h"
#include "leader/cloud_inventory.h"
#include "leader/deleted_machines.h"
#include "leader/fleet_scaler.h"
#include "leader/heartbeat_handler.h"
#include "leader/leadership.h"
#include "leader/record_writer.h"
#include "leader/scheduling_loop.h"

namespace hareshore {

// Made for each term that this controller wins, by std::make_shared, and stopped when the term is over.
//
// Ownership: the controller holds one reference. Each coroutine that the leader starts holds another until it
// has ended (TermLifecycle), and whoever awaits handle_heartbeat() must hold one meanwhile. So a stopped
// leader is destroyed in a later turn of the loop, when the last of them has unwound.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    // `machine_types`: as last known; the leader reads them anew.
    Leader(const LeaderEnvironment& environment, LeaderTerm term, std::unique_ptr<Leadership> leadership,
           std::vector<MachineType> machine_types);

    // Begins to load the records. To be called once.
    void start();
    // Ends the term: cancels all coroutines and releases the held heartbeats. Nothing is started after it.
    void stop();
    [[nodiscard]] bool stopped() const { return lifecycle_.stopped(); }
    [[nodiscard]] uint64_t fencing_token() const { return term_.fencing_token; }

    // Takes in a worker's heartbeat and answers 200 with commands, or 503. The answer may be held for up to
    // `hold` seconds for work that comes.
    Task<Response> handle_heartbeat(WorkerHeartbeat&& heartbeat, Seconds hold, HeartbeatRoute route) {
        return heartbeats_.handle(std::move(heartbeat), hold, route);
    }

    // A user's cancellation of this job is being confirmed, by this controller or by a peer. Its tasks are
    // stopped, also while the store cannot confirm it.
    void observe_cancellation(const std::string& job_id) { cancellations_.observe(job_id); }

    // How many machines have reported to this leader.
    [[nodiscard]] size_t machines_seen() const;
    // Scheduling passes so far.
    [[nodiscard]] uint64_t passes_done() const { return scheduling_.passes_done(); }
    // Seconds since the records had been loaded; 0 before.
    [[nodiscard]] Seconds loaded_for() const { return lifecycle_.loaded_for(); }

    // The operators' pages, as plain text.
    [[nodiscard]] std::string jobs_page() const;
    [[nodiscard]] std::string machines_page() const;
    [[nodiscard]] const JobTable& jobs() const { return jobs_; }
    [[nodiscard]] const Cluster& cluster() const { return cluster_; }

  private:
    Task<void> load_records();
    void start_loops();

    const LeaderEnvironment environment_;
    const LeaderTerm term_;
    const std::unique_ptr<Leadership> leadership_;

    // What the parts share.
    JobTable jobs_;
    Cluster cluster_;
    TermLifecycle lifecycle_;
    PassRequests pass_requests_;
    WorkerConnections connections_;
    DeletedMachines deleted_machines_;

    // Each part uses only what is declared above it.
    CancellationGuard cancellations_;
    RecordWatch record_watch_;
    RecordWriter record_writer_;
    CommandSender command_sender_;
    SchedulingLoop scheduling_;
    HeartbeatHandler heartbeats_;
    CloudInventory inventory_;
    MachineRental rental_;
    MachineDeletion deletion_;
    FleetReport fleet_report_;
    FleetScaler fleet_scaler_;
};

}  // namespace hareshore
