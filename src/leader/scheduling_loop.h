// The loop of scheduling passes: when one runs, and what is sent off after it.
#pragma once
#include <optional>

#include "leader/command_sender.h"
#include "leader/record_writer.h"
#include "scheduler/scheduler.h"

namespace hareshore {

// A pass looks at all machines and the queue's head. Done for each heartbeat by itself it would cost the
// number of machines squared, and after a failover or in a burst take the leader's whole processor share: the
// requests within an interval are served by one pass.
class SchedulingLoop {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
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
    explicit SchedulingLoop(const Parts& parts) : parts_(parts), pass_done_(parts.loop) {}

    // Runs a pass after each request, until it is cancelled.
    Task<void> run();
    [[nodiscard]] uint64_t passes_done() const { return passes_done_; }
    // Notified after each pass.
    Condition& pass_done() { return pass_done_; }

    // Whether a pass could bind something to a machine whose heartbeat has brought no news: most heartbeats
    // come from machines that are full, or while nothing waits. Recounts the machine.
    bool could_take_work(Machine& machine);
    // Whether a replica of some service could be bound to the machine as it was last counted.
    [[nodiscard]] bool could_take_replica(const Machine& machine) const {
        return smallest_replica_ && machine.free.holds(*smallest_replica_);
    }
    // Recounts what all machines have free, without regard to reservations.
    void recount_cluster();
    // The duration of the longest pass since the last call.
    Seconds take_longest_pass();

  private:
    void run_pass();
    void update_demand();
    [[nodiscard]] Seconds silent_after() const;

    const Parts parts_;
    std::optional<Resources> smallest_replica_;  // no replica of a service asks less; none without services
    std::optional<Resources> smallest_waiting_;  // no waiting task asks less; none if none waits
    bool task_held_ = false;  // in the last pass a waiting task was held for a better machine
    uint64_t passes_done_ = 0;
    std::optional<Seconds> next_pass_at_;  // not before
    Seconds longest_pass_ = 0;
    Condition pass_done_;
};

}  // namespace hareshore
