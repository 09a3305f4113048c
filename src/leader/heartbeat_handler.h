// Takes in the workers' heartbeats and answers them with commands.
#pragma once
#include <optional>
#include <string>

#include "leader/cancellation_guard.h"
#include "leader/deleted_machines.h"
#include "leader/scheduling_loop.h"

namespace hareshore {

class HeartbeatHandler {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        const Config& config;
        uint64_t fencing_token;
        Leadership& leadership;
        TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        WorkerConnections& connections;
        const DeletedMachines& deleted_machines;
        PassRequests& pass_requests;
        SchedulingLoop& scheduling;
        CancellationGuard& cancellations;
    };
    explicit HeartbeatHandler(const Parts& parts) : parts_(parts) {}

    // Answers 200 with commands, which renews the leases of the worker's tasks, or 503. The answer may be
    // held for up to `hold` seconds for work that comes. The caller keeps the leader alive until it has
    // returned.
    Task<Response> handle(WorkerHeartbeat heartbeat, Seconds hold, HeartbeatRoute route);

  private:
    bool accept(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route);
    void update_reachability(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route);
    Task<void> join_pass(const std::string& name, Seconds answer_by);
    [[nodiscard]] std::optional<Seconds> hold_for_work_until(const Machine& machine, Seconds received_at,
                                                             Seconds hold) const;
    Response answer(Machine& machine, HeartbeatRoute route);

    const Parts parts_;
};

}  // namespace hareshore
