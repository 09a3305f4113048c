// One term of leadership: the state of jobs and machines, and the components that act on it. The components
// are connected only here; the Dependencies struct of each lists what it may use.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "leader/cancellation_guard.h"
#include "leader/cancelled_task_reaper.h"
#include "leader/cloud_inventory.h"
#include "leader/deleted_machines.h"
#include "leader/fleet_scaler.h"
#include "leader/heartbeat_handler.h"
#include "leader/leadership.h"
#include "leader/record_writer.h"
#include "leader/scheduling_loop.h"

namespace hareshore {

// Created with std::make_shared for each term that this controller wins, and stopped when the term is over.
//
// Ownership: the controller has one reference. Each coroutine that the leader starts has another until it
// ends (TermLifecycle), and a caller of handle_heartbeat() must keep one until the call has completed. A
// stopped leader is thus destroyed in a later turn of the loop, when the last of these coroutines has
// unwound.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    // `machine_types`: as last known, until the leader has read them from the cloud.
    Leader(const LeaderEnvironment& environment, LeaderTerm term, std::unique_ptr<Leadership> leadership,
           std::vector<MachineType> machine_types);

    // Starts loading the records. Must be called once.
    void start();
    // Ends the term: cancels all coroutines and ends the waits of pending heartbeats. No coroutine is started
    // afterwards.
    void stop();
    [[nodiscard]] bool stopped() const { return lifecycle_.stopped(); }
    [[nodiscard]] uint64_t fencing_token() const { return term_.fencing_token; }

    // Responds to a worker's heartbeat with 200 and commands, or with 503. While there are no commands, the
    // response may be delayed by up to `max_delay` seconds.
    Task<Response> handle_heartbeat(WorkerHeartbeat&& heartbeat, Seconds max_delay, HeartbeatRoute route) {
        return heartbeat_handler_.handle(std::move(heartbeat), max_delay, route);
    }

    // Handles that this controller or a peer is confirming the job's cancellation to its user: stops the
    // job's tasks without waiting for the store.
    void observe_cancellation(const std::string& job_id) { cancellation_guard_.observe(job_id); }

    // The number of machines from which this leader has received a heartbeat.
    [[nodiscard]] size_t machines_seen() const;
    // The number of scheduling passes so far.
    [[nodiscard]] uint64_t passes_done() const { return scheduling_loop_.passes_done(); }
    // Seconds since the records were loaded; 0 before that.
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

    // State that the components share.
    JobTable jobs_;
    Cluster cluster_;
    TermLifecycle lifecycle_;
    PassRequests pass_requests_;
    WorkerConnections connections_;
    DeletedMachines deleted_machines_;

    // Each component refers only to members declared above it.
    CancellationGuard cancellation_guard_;
    RecordWatch record_watch_;
    RecordWriter record_writer_;
    CommandSender command_sender_;
    SchedulingLoop scheduling_loop_;
    HeartbeatHandler heartbeat_handler_;
    CloudInventory cloud_inventory_;
    MachineRental machine_rental_;
    MachineDeletion machine_deletion_;
    CancelledTaskReaper cancelled_task_reaper_;
    FleetReport fleet_report_;
    FleetScaler fleet_scaler_;
};

}  // namespace hareshore
