#include "scenario/simulated_fleet.h"

#include <algorithm>
#include <set>

namespace hareshore::test {

namespace {

constexpr Seconds kNever_s = 1e6;
constexpr Seconds kStep_s = 0.1;          // how often a machine looks whether it may go on
constexpr Seconds kReportTimeout_s = 4;   // a later answer counts for nothing
constexpr Seconds kRetry_s = 1;           // after a report that was not answered
constexpr Seconds kRedirected_s = 0.2;    // before the leader that was named is asked
constexpr Seconds kReportSoon_s = 0.5;    // between reports when something has changed
constexpr Seconds kReportInterval_s = 3;  // and otherwise
constexpr Seconds kLaunchGrace_s = 0.5;   // an answer on its way when a user is told of a cancellation
constexpr Seconds kResendAfter_s = 1.5;   // a copy of an old report comes this long after a newer one
constexpr size_t kResendFrom = 3;         // once so many reports were sent
constexpr int kFirstHost = 50;
constexpr uint16_t kCommandPort = 9000;
constexpr size_t kMostConnections = 20;

int node_number(const std::string& label) {
    return label.back() - '0';
}

}  // namespace

bool SimulatedMachine::runs(const std::string& job) const {
    return !deleted && std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& task) {
        return task.name.job == job && task.phase != TaskPhase::kExited;
    });
}

bool SimulatedMachine::takes(const std::string& command) const {
    auto message = MsgpackDocument::parse(command);
    return message->root()["epoch"].count_or(0) >= worker.fencing_token &&
           message->root()["tenure"].count_or(0) == worker.incarnation;
}

SimulatedFleet::SimulatedFleet(Deployment& deployment, JobLedger& jobs)
    : deployment_(deployment), jobs_(jobs), scope_(deployment.loop) {}

void SimulatedFleet::stop() {
    scope_.cancel();
    for (auto& machine : machines_) machine->commands->stop();
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
    Address at = address(kFirstHost + static_cast<int>(machines_.size()), kCommandPort);
    machine.worker.addr = text_of(at);
    machine.lease_from = deployment_.loop.now();
    machine.commands = std::make_unique<HttpServer>(
        deployment_.loop, at, kMostConnections,
        [this, &machine](Request request) { return handle_command(machine, std::move(request)); });
    scope_.spawn(report_forever(machine), "machine");
}

void SimulatedFleet::rent_on_request(size_t most, Seconds boot_s) {
    auto left = std::make_shared<size_t>(most);
    deployment_.cloud.rent = [this, left, boot_s](const std::string& zone, size_t number) {
        std::vector<std::string> names;
        for (; number > 0 && *left > 0; --number, --*left) {
            std::string name = "vm-00030" + std::to_string(*left);
            // Listed from the start; its address is learned from its reports.
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

SimulatedMachine* SimulatedFleet::holder(const std::string& job) {
    for (auto& machine : machines_)
        if (machine->runs(job)) return machine.get();
    return nullptr;
}

size_t SimulatedFleet::replicas_up(const std::string& service) const {
    size_t up = 0;
    for (const auto& machine : machines_) {
        if (machine->deleted) continue;
        for (const auto& task : machine->worker.tasks)
            up += task.name.job == service && task.phase == TaskPhase::kRunning ? 1 : 0;
    }
    return up;
}

int SimulatedFleet::live_machines() const {
    return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
                                          [](const auto& machine) { return !machine->deleted; }));
}

int SimulatedFleet::launches(const std::string& job) const {
    auto found = launches_.find(job);
    return found == launches_.end() ? 0 : found->second;
}

Task<void> SimulatedFleet::report_forever(SimulatedMachine& machine) {
    Loop& loop = deployment_.loop;
    while (!machine.deleted) {
        if (machine.hung) {
            co_await loop.sleep(kStep_s);
            continue;
        }
        Seconds sent = loop.now();
        Seconds pause = co_await report(machine);
        if (pause > 0) {
            co_await loop.sleep(pause);
            continue;
        }
        while (!machine.deleted &&
               loop.now() - sent < (machine.report_soon ? kReportSoon_s : kReportInterval_s))
            co_await loop.sleep(kStep_s);
    }
}

Task<Seconds> SimulatedFleet::report(SimulatedMachine& machine) {
    Loop& loop = deployment_.loop;
    int asked = machine.node;
    machine.node = (asked + 1) % static_cast<int>(deployment_.configs.size());
    if (machine.cannot_report || machine.cut) co_return kRetry_s;
    machine.report_soon = false;
    Seconds sent = loop.now();
    machine.last_heartbeat = sent;
    uint64_t incarnation = machine.worker.incarnation;
    machine.reports.push_back(machine.worker.report());
    HttpClient http(loop, deployment_.config(asked).listen, 1);
    CallResult answer = co_await http.call("POST", "/hello", machine.reports.back(), kReportTimeout_s);
    while (machine.hung) co_await loop.sleep(kStep_s);
    bool heard = !machine.cannot_hear && !machine.cut && loop.now() - sent <= kReportTimeout_s;
    if (heard && answer.status == 421) co_return follow_redirect(machine, asked, answer);
    if (!heard || answer.status != 200) co_return kRetry_s;
    machine.node = asked;
    auto parsed = MsgpackDocument::parse(answer.body);
    if (machine.worker.incarnation == incarnation && parsed &&
        parsed->root()["epoch"].count_or(0) >= machine.worker.fencing_token) {
        carry_out(machine, answer.body);
        machine.lease_from = sent;
    }
    co_return 0;
}

Seconds SimulatedFleet::follow_redirect(SimulatedMachine& machine, int asked, const CallResult& answer) {
    auto redirect = MsgpackDocument::parse(answer.body);
    std::string leader = redirect ? redirect->root()["harbor"].text_or("") : "";
    int node = leader.empty() ? asked : node_number(leader);
    if (node == asked) return kRetry_s;
    machine.node = node;
    return kRedirected_s;
}

Task<Response> SimulatedFleet::handle_command(SimulatedMachine& machine, Request request) {
    while (machine.hung || machine.cannot_hear || machine.cut || machine.deleted)
        co_await deployment_.loop.sleep(kStep_s);
    if (!MsgpackDocument::parse(request.body)) co_return Response{400, "", 0, ""};
    if (Seconds delay = command_delay_ ? command_delay_() : 0; delay > 0) {
        scope_.spawn(carry_out_late(machine, request.body, delay), "late command");
        while (true) co_await deployment_.loop.sleep(kNever_s);
    }
    if (!machine.takes(request.body))
        co_return Response{409, machine.worker.report(), 0, "application/msgpack"};
    carry_out(machine, request.body);
    co_return Response{200, machine.worker.report(), 0, "application/msgpack"};
}

// The command was held up on its way: what counts is the machine's state when it arrives.
Task<void> SimulatedFleet::carry_out_late(SimulatedMachine& machine, std::string command, Seconds delay) {
    co_await deployment_.loop.sleep(delay);
    while (machine.hung) co_await deployment_.loop.sleep(kStep_s);
    if (machine.deleted || !machine.takes(command)) co_return;
    ++late_commands_carried_out_;
    carry_out(machine, command);
    ++machine.worker.sequence;  // its answer is numbered like a report, and lost
}

void SimulatedFleet::carry_out(SimulatedMachine& machine, const std::string& body) {
    FakeWorker& worker = machine.worker;
    std::set<std::pair<std::string, uint64_t>> before;
    for (const auto& task : worker.tasks) before.insert({task.name.text(), task.attempt});
    uint64_t fencing_token = worker.fencing_token;
    size_t live = worker.live_tasks();
    worker.carry_out(body);
    machine.report_soon =
        machine.report_soon || worker.fencing_token != fencing_token || worker.live_tasks() != live;
    Seconds now = deployment_.loop.now();
    for (const auto& task : worker.tasks) {
        if (task.phase == TaskPhase::kExited || before.contains({task.name.text(), task.attempt})) continue;
        ++launches_[task.name.job];
        machine.ends[task.name.text()] = now + jobs_.run_times[task.name.job];
        auto cancelled = jobs_.cancelled.find(task.name.job);
        if (cancelled != jobs_.cancelled.end() && now > cancelled->second + kLaunchGrace_s)
            launched_after_cancellation_.push_back(task.name.text());
    }
}

Task<void> SimulatedFleet::resend(std::string body, int node) {
    HttpClient http(deployment_.loop, deployment_.config(node).listen, 1);
    co_await http.call("POST", "/hello", std::move(body), kReportTimeout_s);
}

bool SimulatedFleet::gang_broken(const TaskStatus& task, Seconds now) {
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
    Seconds& complete_at = complete_at_[{task.name.job, task.attempt}];
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
    if (!machine.hung && now - machine.lease_from > deployment_.config(0).lease_s) {
        machine.worker.tasks.clear();
        ++machine.worker.incarnation;
        machine.worker.sequence = 0;
        machine.lease_from = now;
        machine.report_soon = true;
    }
    if (!machine.hung)
        for (auto& task : machine.worker.tasks) advance_task(machine, task, now);
    if (repeat_old_reports_ && machine.reports.size() > kResendFrom &&
        now - machine.last_heartbeat > kResendAfter_s)
        scope_.spawn(resend(machine.reports[machine.reports.size() / 2], machine.node), "copy");
}

void SimulatedFleet::advance_task(SimulatedMachine& machine, TaskStatus& task, Seconds now) {
    if (task.phase == TaskPhase::kExited) return;
    if (gang_broken(task, now)) {
        exit_task(task, ExitCause::kPeersGone);
        machine.report_soon = true;
    } else if (now >= machine.ends[task.name.text()]) {
        exit_task(task, ExitCause::kDone);
        machine.report_soon = true;
        jobs_.complete_task(task.name.job, task.name.task);
    }
}

}  // namespace hareshore::test
