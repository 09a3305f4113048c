#include "scenario/simulated_fleet.h"

#include <algorithm>
#include <set>

namespace hareshore::test {

namespace {

constexpr Seconds kNever_s = 1e6;
constexpr Seconds kPollInterval_s = 0.1;              // between checks of a machine's state
constexpr Seconds kHeartbeatTimeout_s = 4;            // later responses are ignored
constexpr Seconds kRetryInterval_s = 1;               // after a heartbeat that failed
constexpr Seconds kRedirectDelay_s = 0.2;             // before a heartbeat to the leader of a redirect
constexpr Seconds kChangedHeartbeatInterval_s = 0.5;  // between heartbeats while the status changes
constexpr Seconds kHeartbeatInterval_s = 3;           // and otherwise
constexpr Seconds kLaunchGrace_s = 0.5;  // for responses under way when a cancellation is confirmed
constexpr Seconds kResendDelay_s = 1.5;  // an old heartbeat is resent this long after a newer one
constexpr size_t kMinSentToResend = 3;   // heartbeats sent before an old one is resent
constexpr int kFirstHost = 50;
constexpr uint16_t kCommandPort = 9000;
constexpr size_t kMaxConnections = 20;

int node_number(const std::string& label) {
    return label.back() - '0';
}

}  // namespace

bool SimulatedMachine::runs(const std::string& job) const {
    return !deleted && std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& task) {
        return task.name.job == job && task.phase != TaskPhase::kExited;
    });
}

bool SimulatedMachine::accepts(const std::string& command) const {
    auto message = MsgpackDocument::parse(command);
    return message->root()["epoch"].count_or(0) >= worker.fencing_token &&
           message->root()["tenure"].count_or(0) == worker.incarnation;
}

SimulatedFleet::SimulatedFleet(Deployment& deployment, JobLedger& jobs)
    : deployment_(deployment), jobs_(jobs), scope_(deployment.loop) {}

void SimulatedFleet::stop() {
    scope_.cancel();
    for (auto& machine : machines_) machine->command_server->stop();
}

void SimulatedFleet::add(const std::string& name, const std::string& zone) {
    start(name, zone);
    deployment_.list_machine(machines_.back()->worker);
}

void SimulatedFleet::start(const std::string& name, const std::string& zone) {
    machines_.push_back(std::make_unique<SimulatedMachine>());
    SimulatedMachine& machine = *machines_.back();
    machine.worker.name = name;
    machine.worker.zone = zone;
    Address listen = address(kFirstHost + static_cast<int>(machines_.size()), kCommandPort);
    machine.worker.addr = text_of(listen);
    machine.lease_start = deployment_.loop.now();
    machine.command_server = std::make_unique<HttpServer>(
        deployment_.loop, listen, kMaxConnections,
        [this, &machine](Request request) { return handle_command(machine, std::move(request)); });
    scope_.spawn(heartbeat_loop(machine), "machine heartbeats");
}

void SimulatedFleet::enable_renting(size_t max_machines, Seconds boot_s) {
    auto remaining = std::make_shared<size_t>(max_machines);
    deployment_.cloud.rent = [this, remaining, boot_s](const std::string& zone, size_t number) {
        std::vector<std::string> names;
        for (; number > 0 && *remaining > 0; --number, --*remaining) {
            std::string name = "vm-00030" + std::to_string(*remaining);
            // Listed while it boots; controllers learn its address from its heartbeats.
            deployment_.cloud.machines[name] = {name, "", "g2", zone, false, MachinePhase::kBooting, 0};
            scope_.spawn(boot(name, zone, boot_s), "boot");
            names.push_back(name);
        }
        return names;
    };
}

Task<void> SimulatedFleet::boot(std::string name, std::string zone, Seconds boot_s) {
    co_await deployment_.loop.sleep(boot_s);
    if (deployment_.cloud.machines.contains(name)) start(name, zone);
}

SimulatedMachine* SimulatedFleet::machine_running(const std::string& job) {
    for (auto& machine : machines_)
        if (machine->runs(job)) return machine.get();
    return nullptr;
}

size_t SimulatedFleet::replicas_up(const std::string& service) const {
    size_t running = 0;
    for (const auto& machine : machines_) {
        if (machine->deleted) continue;
        for (const auto& task : machine->worker.tasks)
            running += task.name.job == service && task.phase == TaskPhase::kRunning ? 1 : 0;
    }
    return running;
}

int SimulatedFleet::live_machines() const {
    return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
                                          [](const auto& machine) { return !machine->deleted; }));
}

int SimulatedFleet::launches(const std::string& job) const {
    auto found = launches_.find(job);
    return found == launches_.end() ? 0 : found->second;
}

Task<void> SimulatedFleet::heartbeat_loop(SimulatedMachine& machine) {
    Loop& loop = deployment_.loop;
    while (!machine.deleted) {
        if (machine.hung) {
            co_await loop.sleep(kPollInterval_s);
            continue;
        }
        Seconds sent = loop.now();
        Seconds pause = co_await send_heartbeat(machine);
        if (pause > 0) {
            co_await loop.sleep(pause);
            continue;
        }
        while (!machine.deleted && loop.now() - sent < (machine.heartbeat_soon ? kChangedHeartbeatInterval_s
                                                                               : kHeartbeatInterval_s))
            co_await loop.sleep(kPollInterval_s);
    }
}

Task<Seconds> SimulatedFleet::send_heartbeat(SimulatedMachine& machine) {
    Loop& loop = deployment_.loop;
    int node = machine.target_node;
    machine.target_node = (node + 1) % static_cast<int>(deployment_.configs.size());
    if (machine.heartbeats_blocked || machine.partitioned) co_return kRetryInterval_s;
    machine.heartbeat_soon = false;
    Seconds sent = loop.now();
    machine.last_heartbeat = sent;
    uint64_t incarnation = machine.worker.incarnation;
    machine.sent_heartbeats.push_back(machine.worker.next_heartbeat());
    HttpClient http(loop, deployment_.config(node).listen, 1);
    CallResult response =
        co_await http.call("POST", "/hello", machine.sent_heartbeats.back(), kHeartbeatTimeout_s);
    while (machine.hung) co_await loop.sleep(kPollInterval_s);
    bool received =
        !machine.inbound_blocked && !machine.partitioned && loop.now() - sent <= kHeartbeatTimeout_s;
    if (received && response.status == 421) co_return follow_redirect(machine, node, response);
    if (!received || response.status != 200) co_return kRetryInterval_s;
    machine.target_node = node;
    auto parsed = MsgpackDocument::parse(response.body);
    if (machine.worker.incarnation == incarnation && parsed &&
        parsed->root()["epoch"].count_or(0) >= machine.worker.fencing_token) {
        execute(machine, response.body);
        machine.lease_start = sent;
    }
    co_return 0;
}

Seconds SimulatedFleet::follow_redirect(SimulatedMachine& machine, int node, const CallResult& response) {
    auto redirect = MsgpackDocument::parse(response.body);
    std::string leader = redirect ? redirect->root()["harbor"].text_or("") : "";
    int leader_node = leader.empty() ? node : node_number(leader);
    if (leader_node == node) return kRetryInterval_s;
    machine.target_node = leader_node;
    return kRedirectDelay_s;
}

Task<Response> SimulatedFleet::handle_command(SimulatedMachine& machine, Request request) {
    while (machine.hung || machine.inbound_blocked || machine.partitioned || machine.deleted)
        co_await deployment_.loop.sleep(kPollInterval_s);
    if (!MsgpackDocument::parse(request.body)) co_return Response{400, "", 0, ""};
    if (Seconds delay = command_delay_ ? command_delay_() : 0; delay > 0) {
        scope_.spawn(execute_late(machine, request.body, delay), "late command");
        while (true) co_await deployment_.loop.sleep(kNever_s);
    }
    if (!machine.accepts(request.body))
        co_return Response{409, machine.worker.next_heartbeat(), 0, "application/msgpack"};
    execute(machine, request.body);
    co_return Response{200, machine.worker.next_heartbeat(), 0, "application/msgpack"};
}

// A command that was delayed on its way is checked against the machine's state at its arrival.
Task<void> SimulatedFleet::execute_late(SimulatedMachine& machine, std::string command, Seconds delay) {
    co_await deployment_.loop.sleep(delay);
    while (machine.hung) co_await deployment_.loop.sleep(kPollInterval_s);
    if (machine.deleted || !machine.accepts(command)) co_return;
    ++late_commands_executed_;
    execute(machine, command);
    ++machine.worker.sequence;  // its lost response takes a sequence number, as a heartbeat does
}

void SimulatedFleet::execute(SimulatedMachine& machine, const std::string& body) {
    FakeWorker& worker = machine.worker;
    std::set<std::pair<std::string, uint64_t>> before;
    for (const auto& task : worker.tasks) before.insert({task.name.text(), task.attempt});
    uint64_t fencing_token = worker.fencing_token;
    size_t live = worker.live_tasks();
    worker.execute_commands(body);
    machine.heartbeat_soon =
        machine.heartbeat_soon || worker.fencing_token != fencing_token || worker.live_tasks() != live;
    Seconds now = deployment_.loop.now();
    for (const auto& task : worker.tasks) {
        if (task.phase == TaskPhase::kExited || before.contains({task.name.text(), task.attempt})) continue;
        ++launches_[task.name.job];
        machine.task_end_times[task.name.text()] = now + jobs_.run_times[task.name.job];
        auto cancelled = jobs_.cancelled.find(task.name.job);
        if (cancelled != jobs_.cancelled.end() && now > cancelled->second + kLaunchGrace_s)
            launched_after_cancellation_.push_back(task.name.text());
    }
}

Task<void> SimulatedFleet::resend_heartbeat(std::string body, int node) {
    HttpClient http(deployment_.loop, deployment_.config(node).listen, 1);
    co_await http.call("POST", "/hello", std::move(body), kHeartbeatTimeout_s);
}

bool SimulatedFleet::gang_lost_peer(const TaskStatus& task, Seconds now) {
    auto gang = jobs_.gangs.find(task.name.job);
    if (gang == jobs_.gangs.end() || jobs_.done.contains(task.name.job)) return false;
    size_t live = 0;
    for (const auto& machine : machines_) {
        if (machine->deleted || machine->hung) continue;
        for (const auto& other : machine->worker.tasks)
            live += other.phase != TaskPhase::kExited && other.name.job == task.name.job &&
                            other.attempt == task.attempt
                        ? 1
                        : 0;
    }
    Seconds& complete_at = gang_complete_at_[{task.name.job, task.attempt}];
    if (live == gang->second) complete_at = now;
    return complete_at > 0 && now - complete_at > deployment_.config(0).gang_peer_s;
}

void SimulatedFleet::advance() {
    Seconds now = deployment_.loop.now();
    for (auto& machine : machines_) {
        if (!deployment_.cloud.machines.contains(machine->worker.name)) {
            machine->deleted = true;
            machine->worker.tasks.clear();
        }
        if (!machine->deleted) advance_machine(*machine, now);
    }
}

void SimulatedFleet::advance_machine(SimulatedMachine& machine, Seconds now) {
    if (!machine.hung && now - machine.lease_start > deployment_.config(0).lease_s) {
        machine.worker.tasks.clear();
        ++machine.worker.incarnation;
        machine.worker.sequence = 0;
        machine.lease_start = now;
        machine.heartbeat_soon = true;
    }
    if (!machine.hung)
        for (auto& task : machine.worker.tasks) advance_task(machine, task, now);
    if (resend_old_heartbeats_ && machine.sent_heartbeats.size() > kMinSentToResend &&
        now - machine.last_heartbeat > kResendDelay_s)
        scope_.spawn(resend_heartbeat(machine.sent_heartbeats[machine.sent_heartbeats.size() / 2],
                                      machine.target_node),
                     "resent heartbeat");
}

void SimulatedFleet::advance_task(SimulatedMachine& machine, TaskStatus& task, Seconds now) {
    if (task.phase == TaskPhase::kExited) return;
    if (gang_lost_peer(task, now)) {
        exit_task(task, ExitCause::kPeersGone);
        machine.heartbeat_soon = true;
    } else if (now >= machine.task_end_times[task.name.text()]) {
        exit_task(task, ExitCause::kDone);
        machine.heartbeat_soon = true;
        jobs_.complete_task(task.name.job, task.name.task);
    }
}

}  // namespace hareshore::test
