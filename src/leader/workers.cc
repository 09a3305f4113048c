// The leader's dialogue with workers: reports and their answers, scheduling passes, direct stop commands.
#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/leader.h"
#include "workers/command.h"
#include "workers/worker_client.h"
#include "workers/worker_wire.h"

namespace hareshore {

// The right to renew: what this answer keeps alive ends at the latest lease_s after the report was sent,
// and no task may outlive cancel_s after its user was told of the cancellation. So an answer is allowed
// while no cancellation older than the difference can be missing here.
bool Leader::may_renew() {
    Seconds span = (config_.cancel_s - config_.lease_s) * (1 - constants::kClockDriftRate) -
                   constants::kRenewalRightMargin_s;
    Seconds now = loop_.now();
    // What was known once stays known, also when a peer begins anew and can no longer speak for it.
    cancellations_known_until_ = std::max(cancellations_known_until_, watched_until_);
    cancellations_known_until_ = std::max(cancellations_known_until_,
                                          leadership_->cancellations_known_until(cancellations_known_until_));
    return now < cancellations_known_until_ + span;
}

// Known here before the state service can say so, the cancellation is none that the renewal right must wait
// for: letting all leases run out because of a single job cost the work of the whole fleet.
void Leader::observe_cancellation(const std::string& id) {
    cancellation_notices_[id] = loop_.now();
    Job* job = jobs_.find(id);
    if (!job || job->cancelled) return;
    log::info("job_cancelled", {{"job", id}, {"by", "confirmation_to_user"}});
    jobs_.cancel(*job, loop_.now());
    request_pass();
}

// While it lives the machine's report is held: an answer can go out at once.
struct Leader::Holding {
    Leader& leader;
    const std::string& machine;
    ~Holding() {
        if (Machine* held = leader.cluster_.machine(machine)) held->holding = false;
    }
};

// The machine asks for work in the next scheduling pass.
Task<void> Leader::join_pass(const std::string& machine, Seconds answer_by) {
    Holding holding{*this, machine};
    cluster_.machine(machine)->holding = true;
    uint64_t round = passes_;
    request_pass();
    Seconds until = std::min(answer_by, loop_.now() + constants::kHeartbeatSchedulingWait_s);
    while (passes_ == round && !stopped_)
        if (co_await loop_.wait(pass_done_, until) == WakeReason::kTimeout) break;
}

Task<Response> Leader::handle_heartbeat(WorkerHeartbeat r, Seconds hold, bool direct) {
    Response no{503, "", 0, "application/msgpack"};
    if (r.fencing_token > term_.fencing_token) {
        leadership_->deposed("a worker has seen a later epoch");
        co_return no;
    }
    Seconds began = loop_.now();
    while (!loaded_ && !stopped_)
        if (co_await loop_.wait(ready_, began + hold) == WakeReason::kTimeout) co_return no;
    if (stopped_ || deleted_machines_.contains(r.machine)) co_return no;

    std::string name = r.machine;
    Machine* h = &cluster_.ensure(name, loop_.now());
    if (h->reported && !r.newer_than(h->incarnation, h->sequence)) co_return no;  // a late copy
    uint64_t mine = ++worker_connection(name).reports;
    bool heard = !h->unreachable_since;
    h->update_reachability(r, direct, config_.lease_s, loop_.now());
    bool first = !h->answered_at;
    h->reported = true;
    h->last_heartbeat = loop_.now();
    bool was_current = h->current;
    h->current = r.fencing_token == term_.fencing_token;
    // Also a machine that does not take up this epoch hears nothing.
    if (h->current && !was_current) h->unreachable_since.reset();
    if (!h->current && !first && !h->unreachable_since) h->unreachable_since = loop_.now();
    if (heard != (!h->unreachable_since))
        log::debug("machine_reachability", {{"machine", name}, {"reachable", !heard}});
    bool noticed = h->spot_reclaim_at.has_value();
    // Only a machine that has seen this epoch can no longer be given launches by an earlier leader, so only
    // then does a task's absence prove anything.
    bool news = jobs_.apply(cluster_, *h, r, h->current, loop_.now());
    if (h->spot_reclaim_at && !noticed) {
        drain(*h);
        news = true;
    }
    news = news || first || h->current != was_current || heard != (!h->unreachable_since);
    worker_connection(name).wake.notify();  // an older report of it, if one is held, is let go
    if (news || wanted_ || asks_for_work(*h)) co_await join_pass(name, began + hold);

    // A commit is waited for from when it is needed, which may be late in a hold, but not past the time at
    // which the worker gives up.
    Seconds commit_until = -1;
    while (true) {
        h = cluster_.machine(name);
        if (stopped_ || !h || worker_connection(name).reports != mine) co_return no;
        Seconds until = -1;
        bool commits = jobs_.awaits_commit(*h);
        if (commits) {
            if (commit_until < 0)
                commit_until = std::min(loop_.now() + constants::kHeartbeatCommitWait_s,
                                        began + hold + constants::kHeartbeatCommitWaitPastHold_s);
            until = commit_until;
        } else if (h->schedulable && h->idle()) {
            until = began + hold;
        } else if (h->schedulable && replica_ && h->free.holds(*replica_) && jobs_.settled_on(*h)) {
            // A replica that comes or is lost does not wait for the next report. Not for long: changes on the
            // machine are told in its next report, which does not go out before this is answered.
            until = began + std::min(hold, constants::kBusyHeartbeatHold_s);
        }
        if (loop_.now() >= until) break;
        Holding holding{*this, name};
        h->holding = !commits;
        co_await loop_.wait(worker_connection(name).wake, until);
    }
    if (!may_renew()) {
        log::info("heartbeat_refused", {{"machine", name}, {"reason", "cancellation_could_be_missing"}});
        co_return no;
    }
    Response ok;
    std::vector<Command> commands = jobs_.commands(*h, h->current);
    for (const auto& o : commands)
        log::debug("command_sent", {{"command", command_name(o.kind)},
                                    {"task", o.name.text()},
                                    {"attempt", o.attempt},
                                    {"machine", name}});
    ok.body = encode_heartbeat_answer(term_.fencing_token, commands);
    h->answered(direct && !worker_connection(name).command_in_flight, loop_.now());
    co_return ok;
}

// Whether a scheduling pass could bind something to a machine that has reported nothing new: most reports
// come from machines that are full, or while nothing waits, and a pass looks at all machines.
bool Leader::asks_for_work(Machine& machine) {
    recount_machine(cluster_, machine, jobs_, loop_.now(), silent_after());
    return machine.schedulable && least_waiting_ && machine.free.holds(*least_waiting_);
}

// A machine is about to be taken: what can save does so now, and replicas move at once. From a machine that
// is only to be returned they move one by one (JobTable::move_replicas).
void Leader::drain(Machine& machine) {
    auto tasks = jobs_.on_machine(machine.name);
    for (const auto& r : tasks)
        if (r.job->spec.service() ? machine.spot_reclaim_at.has_value() : r.job->spec.checkpoint_s > 0)
            jobs_.stop(*r.job, r.task, loop_.now());
}

// Matching looks at all machines and the queue's head. Done for each report by itself it would cost the
// number of machines squared, and at a take-over or in a crowd take the leader's whole processor share: what
// comes within a scheduling pass is decided together.
Task<void> Leader::run_passes() {
    while (true) {
        // What is held for a better machine may go to another soon, without any report.
        Seconds until = held_back_ ? loop_.now() + constants::kDelayedTaskSchedulingInterval_s : -1;
        while (!wanted_)
            if (co_await loop_.wait(ask_, until) == WakeReason::kTimeout) break;
        if (loop_.now() < next_pass_) co_await loop_.sleep(next_pass_ - loop_.now());
        wanted_ = false;
        Seconds began = loop_.now();
        step();
        // With a fleet or a queue that is large for this machine's share of a core, scheduling passes come
        // less often: workers lose their tasks if they are not answered, and nothing if they wait for work.
        Seconds took = loop_.now() - began;
        next_pass_ = began + std::max(constants::kSchedulingInterval_s,
                                      took * (1 + constants::kSchedulingPauseFactor));
        longest_pass_ = std::max(longest_pass_, took);
        ++passes_;
        pass_done_.notify();
    }
}

void Leader::request_pass() {
    wanted_ = true;
    ask_.notify();
}

void Leader::step() {
    if (!loaded_ || stopped_) return;
    recount(cluster_, jobs_, loop_.now(), silent_after());
    SchedulerInput in{config_, settings_, loop_.now(), {}, record_format_.in_force()};
    for (auto& [name, h] : cluster_.machines)
        if (h->holding) in.requesting_machines.push_back(h.get());
    for (const auto& b : schedule(cluster_, jobs_, in))
        log::debug("task_bound", {{"job", b.job->spec.id},
                                  {"task", b.task},
                                  {"attempt", b.job->live.at(b.task).attempt},
                                  {"machine", b.machine->name}});
    update_demand();
    for (const auto& machine : jobs_.take_urgent()) {
        WorkerConnection& l = worker_connection(machine);
        if (l.command_in_flight) {
            l.again = true;
        } else if (Machine* h = cluster_.machine(machine); h && !h->addr.empty()) {
            l.command_in_flight = true;
            spawn(send_stops(machine), "stop commands");
        }
    }
    if (jobs_.any_dirty()) dirty_.notify();
}

// What a machine must have room for at least to be given something, now and if a replica ends.
void Leader::update_demand() {
    replica_.reset();
    least_waiting_.reset();
    held_back_ = false;
    auto lower = [](std::optional<Resources>& least, const JobSpec& spec) {
        Resources amount = Resources::of(spec);
        least = least ? least->lesser(amount) : amount;
    };
    for (const auto& [id, job] : jobs_.all()) {
        if (job->spec.service() && !job->cancelled) lower(replica_, job->spec);
        if (!job->waiting()) continue;
        lower(least_waiting_, job->spec);
        held_back_ = held_back_ || job->wait_reason == WaitReason::kHeldForImage ||
                     job->wait_reason == WaitReason::kHeldForSpread;
    }
}

Seconds Leader::silent_after() const {
    return constants::kFreshHeartbeatIntervals * config_.heartbeat_interval_s;
}

// Stops go at once; a gang must hear of its stop within gang_peer_s.
Task<void> Leader::send_stops(std::string machine) {
    do {
        worker_connection(machine).again = false;
        Machine* h = cluster_.machine(machine);
        std::optional<Address> to = h ? Address::parse(h->addr) : std::nullopt;
        if (!to) break;
        std::vector<Command> stops = jobs_.commands(*h, false);
        std::erase_if(stops, [](const Command& o) { return o.kind != CommandKind::kStop; });
        // One that has not reported to this leader may be held by another that knows less. Its session is
        // learned from its refusal; a command that it takes also tells it of this epoch, and through it the
        // other.
        uint64_t incarnation = h->incarnation;
        if (incarnation == 0)
            for (const auto& r : jobs_.on_machine(machine))
                if (r.job->cancelled)
                    stops.push_back({CommandKind::kStop, {r.job->spec.id, r.task}, r.placement->attempt, 0});
        if (stops.empty()) break;
        h->answered_directly = false;  // the command numbers a report, whether or not its answer arrives
        auto report =
            co_await send_commands(loop_, *to, term_.fencing_token, h->incarnation, std::move(stops));
        h = cluster_.machine(machine);
        if (report && h && report->newer_than(h->incarnation, h->sequence)) {
            jobs_.apply(cluster_, *h, *report, false, loop_.now());
            request_pass();
            if (incarnation == 0) worker_connection(machine).again = true;
        }
    } while (worker_connection(machine).again);
    if (cluster_.machine(machine)) {
        worker_connection(machine).command_in_flight = false;
    } else {
        worker_connections_.erase(machine);
    }
}

}  // namespace hareshore
