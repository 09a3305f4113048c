#include "leader/heartbeat_handler.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/machine_drain.h"
#include "workers/command.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

Response not_answered() {
    return {503, "", 0, "application/msgpack"};
}

// Marks the machine while its heartbeat is held: an answer can go out at once. The machine may be deleted
// meanwhile.
class HeldHeartbeat {
  public:
    HeldHeartbeat(Cluster& cluster, const std::string& name) : cluster_(cluster), name_(name) {}
    HeldHeartbeat(const HeldHeartbeat&) = delete;
    HeldHeartbeat& operator=(const HeldHeartbeat&) = delete;
    ~HeldHeartbeat() {
        if (Machine* machine = cluster_.machine(name_)) machine->heartbeat_held = false;
    }

  private:
    Cluster& cluster_;
    const std::string& name_;
};

}  // namespace

Task<Response> HeartbeatHandler::handle(WorkerHeartbeat heartbeat, Seconds hold, HeartbeatRoute route) {
    Loop& loop = parts_.loop;
    TermLifecycle& lifecycle = parts_.lifecycle;
    if (heartbeat.fencing_token > parts_.fencing_token) {
        parts_.leadership.step_down(LossReason::kLaterTermSeenByWorker);
        co_return not_answered();
    }
    const Seconds received_at = loop.now();
    while (!lifecycle.loaded() && !lifecycle.stopped())
        if (co_await loop.wait(lifecycle.loaded_condition(), received_at + hold) == WakeReason::kTimeout)
            co_return not_answered();
    if (lifecycle.stopped() || parts_.deleted_machines.contains(heartbeat.machine)) co_return not_answered();

    const std::string name = heartbeat.machine;
    Machine* machine = &parts_.cluster.ensure(name, loop.now());
    if (machine->heartbeat_received && !heartbeat.newer_than(machine->incarnation, machine->sequence))
        co_return not_answered();  // a late copy
    const uint64_t number = ++parts_.connections.of(name).heartbeats;
    const bool has_news = accept(*machine, heartbeat, route);
    parts_.connections.of(name).wake.notify();  // an older heartbeat of it, if one is held, is let go
    if (has_news || parts_.pass_requests.pending() || parts_.scheduling.could_take_work(*machine))
        co_await join_pass(name, received_at + hold);

    // A commit is waited for from when it is needed, which may be late in a hold, but not past the time at
    // which the worker gives up.
    std::optional<Seconds> commit_deadline;
    while (true) {
        machine = parts_.cluster.machine(name);
        if (lifecycle.stopped() || !machine || parts_.connections.of(name).heartbeats != number)
            co_return not_answered();
        const bool awaits_commit = parts_.jobs.awaits_commit(*machine);
        if (awaits_commit && !commit_deadline)
            commit_deadline = std::min(loop.now() + constants::kHeartbeatCommitWait_s,
                                       received_at + hold + constants::kHeartbeatCommitWaitPastHold_s);
        const std::optional<Seconds> until =
            awaits_commit ? commit_deadline : hold_for_work_until(*machine, received_at, hold);
        if (!until || loop.now() >= *until) break;
        HeldHeartbeat held(parts_.cluster, name);
        machine->heartbeat_held = !awaits_commit;
        co_await loop.wait(parts_.connections.of(name).wake, *until);
    }
    co_return answer(*machine, route);
}

// Returns whether the heartbeat brings anything that a scheduling pass should see at once.
bool HeartbeatHandler::accept(Machine& machine, const WorkerHeartbeat& heartbeat, HeartbeatRoute route) {
    const bool was_reachable = !machine.unreachable_since;
    const bool was_current = machine.has_current_token;
    const bool had_spot_notice = machine.spot_reclaim_at.has_value();
    const bool first = !machine.answered_at;
    update_reachability(machine, heartbeat, route);
    // Only a machine that has seen this leader's fencing token can no longer be given launches by an earlier
    // leader, so only then does a task's absence prove anything.
    const Absence absence = machine.has_current_token ? Absence::kProven : Absence::kUnproven;
    bool has_news =
        parts_.jobs.apply_heartbeat(parts_.cluster, machine, heartbeat, absence, parts_.loop.now());
    if (machine.spot_reclaim_at && !had_spot_notice) {
        drain_machine(parts_.jobs, machine);
        has_news = true;
    }
    const bool reachable = !machine.unreachable_since;
    return has_news || first || machine.has_current_token != was_current || reachable != was_reachable;
}

void HeartbeatHandler::update_reachability(Machine& machine, const WorkerHeartbeat& heartbeat,
                                           HeartbeatRoute route) {
    const Seconds now = parts_.loop.now();
    const bool was_reachable = !machine.unreachable_since;
    const bool was_current = machine.has_current_token;
    machine.update_reachability(heartbeat, route, parts_.config.lease_s, now);
    machine.heartbeat_received = true;
    machine.last_heartbeat = now;
    machine.has_current_token = heartbeat.fencing_token == parts_.fencing_token;
    // A machine that was answered and does not take up this leader's fencing token receives no answers
    // either.
    if (machine.has_current_token && !was_current) machine.unreachable_since.reset();
    if (!machine.has_current_token && machine.answered_at && !machine.unreachable_since)
        machine.unreachable_since = now;
    if (was_reachable == !machine.unreachable_since) return;
    log::debug("machine_reachability", {{"machine", machine.name}, {"reachable", !was_reachable}});
}

// The machine asks for work in the next scheduling pass.
Task<void> HeartbeatHandler::join_pass(const std::string& name, Seconds answer_by) {
    Loop& loop = parts_.loop;
    SchedulingLoop& scheduling = parts_.scheduling;
    HeldHeartbeat held(parts_.cluster, name);
    parts_.cluster.machine(name)->heartbeat_held = true;
    const uint64_t passes_before = scheduling.passes_done();
    parts_.pass_requests.request();
    const Seconds until = std::min(answer_by, loop.now() + constants::kHeartbeatSchedulingWait_s);
    while (scheduling.passes_done() == passes_before && !parts_.lifecycle.stopped())
        if (co_await loop.wait(scheduling.pass_done(), until) == WakeReason::kTimeout) break;
}

// Nothing if the answer is not to be held.
std::optional<Seconds> HeartbeatHandler::hold_for_work_until(const Machine& machine, Seconds received_at,
                                                             Seconds hold) const {
    if (!machine.schedulable) return std::nullopt;
    if (machine.idle()) return received_at + hold;
    // A replica that is to be started or stopped does not wait for the next heartbeat. Not for long: changes
    // on the machine are reported in its next heartbeat, which is not sent before this one is answered.
    if (parts_.scheduling.could_take_replica(machine) && parts_.jobs.all_running_on(machine))
        return received_at + std::min(hold, constants::kBusyHeartbeatHold_s);
    return std::nullopt;
}

Response HeartbeatHandler::answer(Machine& machine, HeartbeatRoute route) {
    if (!parts_.cancellations.may_renew()) {
        log::info("heartbeat_refused",
                  {{"machine", machine.name}, {"reason", "cancellation_could_be_missing"}});
        return not_answered();
    }
    const std::vector<Command> commands = parts_.jobs.commands(
        machine, machine.has_current_token ? LaunchCommands::kInclude : LaunchCommands::kOmit);
    for (const auto& command : commands)
        log::debug("command_sent", {{"command", command_name(command.kind)},
                                    {"task", command.name.text()},
                                    {"attempt", command.attempt},
                                    {"machine", machine.name}});
    Response response;
    response.body = encode_heartbeat_response(parts_.fencing_token, commands);
    // A command on its way numbers a heartbeat as well, so that the next one's number would show nothing.
    const bool next_number_known = !parts_.connections.of(machine.name).command_in_flight;
    machine.answered(route == HeartbeatRoute::kDirect && next_number_known, parts_.loop.now());
    return response;
}

}  // namespace hareshore
