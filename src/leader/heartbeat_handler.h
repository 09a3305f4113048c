// Handles the workers' heartbeats and responds to them with commands.
#pragma once
#include <optional>
#include <string>

#include "leader/cancellation_guard.h"
#include "leader/deleted_machines.h"
#include "leader/scheduling_loop.h"

namespace hareshore {

class HeartbeatHandler {
  public:
    // All must outlive the handler.
    struct Dependencies {
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
    explicit HeartbeatHandler(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Responds with 200 and commands, which renews the leases of the worker's tasks, or with 503. While there
    // are no commands, the response may be delayed by up to `max_delay` seconds (long polling). The caller
    // must keep the leader alive until this has returned.
    Task<Response> handle(WorkerHeartbeat heartbeat, Seconds max_delay, HeartbeatRoute route);

  private:
    bool apply(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route);
    void update_reachability(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route);
    Task<void> wait_for_next_pass(const std::string& name, Seconds response_deadline);
    [[nodiscard]] std::optional<Seconds> long_poll_deadline(const Machine& machine, Seconds received_at,
                                                            Seconds max_delay) const;
    [[nodiscard]] bool may_launch_on(const Machine& machine) const;
    Response respond(Machine& machine, HeartbeatRoute route);

    const Dependencies dependencies_;
};

}  // namespace hareshore
