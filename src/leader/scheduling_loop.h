// Decides when scheduling passes run, and sends the resulting commands and records.
#pragma once
#include <optional>

#include "leader/command_sender.h"
#include "leader/record_writer.h"
#include "scheduler/scheduler.h"

namespace hareshore {

// One pass serves all requests made within an interval. A pass examines all machines and the head of the
// queue, so one pass per heartbeat would cost the square of the number of machines, and use up the leader's
// CPU share after a failover or in a burst.
class SchedulingLoop {
  public:
    // All must outlive the loop.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        const Settings& settings;
        const RecordFormat& record_format;
        const TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        PassRequests& pass_requests;
        CommandSender& command_sender;
        RecordWriter& record_writer;
    };
    explicit SchedulingLoop(const Dependencies& dependencies)
        : dependencies_(dependencies), pass_done_(dependencies.loop) {}

    // Runs a pass after each request, until it is cancelled.
    Task<void> run();
    [[nodiscard]] uint64_t passes_done() const { return passes_done_; }
    // Notified after each pass.
    Condition& pass_done() { return pass_done_; }

    // Whether a pass could bind a waiting task to the machine. Saves a pass for most heartbeats, which come
    // from machines that are full, or while no task waits. Recounts the machine.
    bool could_fit_waiting_task(Machine& machine);
    // Whether a replica of some service would fit into the machine's free resources as last counted.
    [[nodiscard]] bool could_fit_replica(const Machine& machine) const {
        return smallest_replica_ && machine.free.can_fit(*smallest_replica_);
    }
    // Recounts the free resources of all machines, ignoring reservations.
    void recount_cluster();
    // Returns the duration of the longest pass since the last call, and resets it to zero.
    Seconds get_and_reset_longest_pass();

  private:
    void run_pass();
    void update_demand();
    [[nodiscard]] Seconds max_heartbeat_age() const;

    const Dependencies dependencies_;
    // The least of each resource that any replica, or any waiting task, requests; empty if there is none.
    std::optional<Resources> smallest_replica_;
    std::optional<Resources> smallest_waiting_;
    bool task_delayed_ = false;  // the last pass delayed a waiting task for a better machine
    uint64_t passes_done_ = 0;
    std::optional<Seconds> next_pass_at_;  // the earliest time of the next pass
    Seconds longest_pass_ = 0;
    Condition pass_done_;
};

}  // namespace hareshore
