#include "leader/heartbeat_handler.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/machine_drain.h"
#include "workers/command.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

Response service_unavailable() {
    return {503, "", 0, "application/msgpack"};
}

// Clears Machine::heartbeat_awaits_response, which marks that a response can be sent to the machine at once,
// when the wait ends. The machine may have been deleted during the wait.
class PendingResponseGuard {
  public:
    PendingResponseGuard(Cluster& cluster, const std::string& name) : cluster_(cluster), name_(name) {}
    PendingResponseGuard(const PendingResponseGuard&) = delete;
    PendingResponseGuard& operator=(const PendingResponseGuard&) = delete;
    ~PendingResponseGuard() {
        if (Machine* machine = cluster_.machine(name_)) machine->heartbeat_awaits_response = false;
    }

  private:
    Cluster& cluster_;
    const std::string& name_;
};

}  // namespace

Task<Response> HeartbeatHandler::handle(WorkerHeartbeat heartbeat, Seconds max_delay, HeartbeatRoute route) {
    Loop& loop = dependencies_.loop;
    TermLifecycle& lifecycle = dependencies_.lifecycle;
    if (heartbeat.fencing_token > dependencies_.fencing_token) {
        dependencies_.leadership.step_down(LossReason::kLaterTermSeenByWorker);
        co_return service_unavailable();
    }
    const Seconds received_at = loop.now();
    while (!lifecycle.loaded() && !lifecycle.stopped())
        if (co_await loop.wait(lifecycle.loaded_condition(), received_at + max_delay) == WakeReason::kTimeout)
            co_return service_unavailable();
    if (lifecycle.stopped() || dependencies_.deleted_machines.contains(heartbeat.machine))
        co_return service_unavailable();

    const std::string name = heartbeat.machine;
    Machine* machine = &dependencies_.cluster.find_or_add(name, loop.now());
    if (machine->heartbeat_received && !heartbeat.newer_than(machine->incarnation, machine->sequence))
        co_return service_unavailable();  // a duplicate that arrived late
    const uint64_t heartbeat_number = ++dependencies_.connections.of(name).heartbeats;
    const bool needs_pass = apply(*machine, heartbeat, route);
    dependencies_.connections.of(name).wake.notify();  // ends the wait of an older heartbeat of this worker
    if (needs_pass || dependencies_.pass_requests.pending() ||
        dependencies_.scheduling.could_fit_waiting_task(*machine))
        co_await wait_for_next_pass(name, received_at + max_delay);

    // The wait for a commit starts when the commit is first needed, which may be near the end of the delay,
    // and ends before the worker's request times out.
    std::optional<Seconds> commit_deadline;
    while (true) {
        machine = dependencies_.cluster.machine(name);
        if (lifecycle.stopped() || !machine ||
            dependencies_.connections.of(name).heartbeats != heartbeat_number)
            co_return service_unavailable();
        const bool awaits_commit = dependencies_.jobs.awaits_commit(*machine);
        if (awaits_commit && !commit_deadline)
            commit_deadline = std::min(loop.now() + constants::kHeartbeatCommitWait_s,
                                       received_at + max_delay + constants::kHeartbeatCommitWaitPastHold_s);
        const std::optional<Seconds> deadline =
            awaits_commit ? commit_deadline : long_poll_deadline(*machine, received_at, max_delay);
        if (!deadline || loop.now() >= *deadline) break;
        PendingResponseGuard pending_response(dependencies_.cluster, name);
        machine->heartbeat_awaits_response = !awaits_commit;
        co_await loop.wait(dependencies_.connections.of(name).wake, *deadline);
    }
    co_return respond(*machine, route);
}

// Returns whether a scheduling pass should run at once because of the heartbeat.
bool HeartbeatHandler::apply(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route) {
    const bool was_reachable = !machine.unreachable_since;
    const bool had_current_token = machine.has_current_token;
    const bool had_spot_notice = machine.spot_reclaim_at.has_value();
    const bool never_responded = !machine.last_response_at;
    update_reachability(machine, heartbeat, route);
    // A machine that has this leader's fencing token refuses launches by an earlier leader. Only then does a
    // task's absence from the heartbeat prove that it is not on the machine.
    const Absence absence = machine.has_current_token ? Absence::kProven : Absence::kUnproven;
    bool needs_pass = dependencies_.jobs.apply_heartbeat(dependencies_.cluster, machine, heartbeat, absence,
                                                         dependencies_.loop.now());
    if (machine.spot_reclaim_at && !had_spot_notice) {
        drain_machine(dependencies_.jobs, machine);
        needs_pass = true;
    }
    const bool reachable = !machine.unreachable_since;
    return needs_pass || never_responded || machine.has_current_token != had_current_token ||
           reachable != was_reachable;
}

void HeartbeatHandler::update_reachability(Machine& machine, const WorkerHeartbeat& heartbeat,
                                           HeartbeatRoute route) {
    const Seconds now = dependencies_.loop.now();
    const bool was_reachable = !machine.unreachable_since;
    const bool had_current_token = machine.has_current_token;
    machine.update_reachability(heartbeat, route, dependencies_.config.lease_s, now);
    machine.heartbeat_received = true;
    machine.last_heartbeat = now;
    machine.has_current_token = heartbeat.fencing_token == dependencies_.fencing_token;
    // A machine that was sent this leader's fencing token but does not adopt it is not receiving the
    // responses.
    if (machine.has_current_token && !had_current_token) machine.unreachable_since.reset();
    if (!machine.has_current_token && machine.last_response_at && !machine.unreachable_since)
        machine.unreachable_since = now;
    if (was_reachable == !machine.unreachable_since) return;
    log::debug("machine_reachability", {{"machine", machine.name}, {"reachable", !was_reachable}});
}

// Requests a scheduling pass in which the machine can receive tasks, and waits until it has run.
Task<void> HeartbeatHandler::wait_for_next_pass(const std::string& name, Seconds response_deadline) {
    Loop& loop = dependencies_.loop;
    SchedulingLoop& scheduling = dependencies_.scheduling;
    PendingResponseGuard pending_response(dependencies_.cluster, name);
    dependencies_.cluster.machine(name)->heartbeat_awaits_response = true;
    const uint64_t passes_before = scheduling.passes_done();
    dependencies_.pass_requests.request();
    const Seconds deadline = std::min(response_deadline, loop.now() + constants::kHeartbeatSchedulingWait_s);
    while (scheduling.passes_done() == passes_before && !dependencies_.lifecycle.stopped())
        if (co_await loop.wait(scheduling.pass_done(), deadline) == WakeReason::kTimeout) break;
}

// The time until which the response is delayed for new work; std::nullopt if it is sent at once.
std::optional<Seconds> HeartbeatHandler::long_poll_deadline(const Machine& machine, Seconds received_at,
                                                            Seconds max_delay) const {
    if (!machine.schedulable) return std::nullopt;
    if (machine.idle()) return received_at + max_delay;
    // Delaying the response lets a replica be started or stopped without waiting for the next heartbeat. The
    // delay is short, since the worker sends its next heartbeat, with the changes on the machine, only after
    // this response.
    if (dependencies_.scheduling.could_fit_replica(machine) && dependencies_.jobs.all_running_on(machine))
        return received_at + std::min(max_delay, constants::kBusyHeartbeatHold_s);
    return std::nullopt;
}

// A leader whose lease is not confirmed may have been replaced: its successor may have moved or cancelled
// what this leader has placed. The fencing token does not prevent the launch on a machine that began anew
// since, as it has seen no token.
bool HeartbeatHandler::may_launch_on(const Machine& machine) const {
    return machine.has_current_token && dependencies_.leadership.lease_confirmed();
}

Response HeartbeatHandler::respond(Machine& machine, HeartbeatRoute route) {
    if (!dependencies_.cancellations.may_renew_leases()) {
        log::info("heartbeat_refused",
                  {{"machine", machine.name}, {"reason", "cancellation_could_be_missing"}});
        return service_unavailable();
    }
    const std::vector<Command> commands = dependencies_.jobs.commands(
        machine, may_launch_on(machine) ? LaunchCommands::kInclude : LaunchCommands::kOmit);
    for (const auto& command : commands)
        log::debug("command_sent", {{"command", command_name(command.kind)},
                                    {"task", command.name.text()},
                                    {"attempt", command.attempt},
                                    {"machine", machine.name}});
    Response response;
    response.body = encode_heartbeat_response(dependencies_.fencing_token, commands);
    // A direct command in flight takes a sequence number as well, so the next heartbeat's number would not
    // show whether this response has arrived.
    const bool next_sequence_known = !dependencies_.connections.of(machine.name).command_in_flight;
    machine.record_response(route == HeartbeatRoute::kDirect && next_sequence_known,
                            dependencies_.loop.now());
    return response;
}

}  // namespace hareshore
