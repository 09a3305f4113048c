#include "standins/scheduling_fixture.h"

#include <algorithm>

#include "jobs/resource_accounting.h"
#include "standins/cloud.h"
#include "standins/worker.h"
#include "workers/command.h"

namespace hareshore::test {

namespace {

constexpr uint64_t kModRevision = 5;   // of each loaded record
constexpr uint64_t kNextAttempt = 10;  // higher than the attempts of all placements in the tests

}  // namespace

SchedulingTest::SchedulingTest() {
    config.zones = {"a", "b"};
    Team team;
    team.name = "team";
    team.gpus_max = 4;
    config.teams = {team};
    config.heartbeat_interval_s = 3;
    config.lease_s = 24;
    config.value_bytes = 8192;
    config.cloud_rps = 6;
    cluster.machine_types = {small_machine_type()};
}

JobSpec SchedulingTest::job_spec(const std::string& id, uint32_t tasks, JobKind kind) {
    JobSpec spec;
    spec.id = id;
    spec.team = "team";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.cpus = 4;
    spec.gpus = 1;
    spec.memory_gb = 8;
    spec.image = "img-" + id;
    spec.image_gb = 2;
    spec.checkpoint_s = 10;
    spec.save_s = 2;
    return spec;
}

Job& SchedulingTest::add_job(JobSpec spec, std::map<uint32_t, PlacementRecord> live) {
    JobRecord record;
    record.spec = std::move(spec);
    record.live = std::move(live);
    record.next_attempt = record.live.empty() ? 1 : kNextAttempt;
    Job& job = jobs.load(record, kModRevision, now, {0});
    job.accepted = now;
    for (const auto& [task, placement] : record.live)
        cluster.find_or_add(placement.machine, now).zone = placement.zone;
    return job;
}

Machine& SchedulingTest::add_machine(const std::string& name, const std::string& zone) {
    return add_machine(name, MachineKind{"g2", zone, false});
}

Machine& SchedulingTest::add_machine(const std::string& name, const MachineKind& kind) {
    Machine& machine = cluster.find_or_add(name, now);
    machine.zone = kind.zone;
    machine.machine_type = kind.machine_type;
    machine.spot = kind.spot;
    machine.heartbeat_received = machine.has_current_token = true;
    apply_heartbeat(machine, {});
    return machine;
}

WorkerHeartbeat SchedulingTest::heartbeat(const Machine& machine, std::vector<TaskStatus> tasks) {
    WorkerHeartbeat heartbeat;
    heartbeat.machine = machine.name;
    heartbeat.zone = machine.zone;
    heartbeat.machine_type = machine.machine_type;
    heartbeat.spot = machine.spot;
    heartbeat.incarnation = 1;
    heartbeat.sequence = machine.sequence + 1;
    heartbeat.tasks = std::move(tasks);
    return heartbeat;
}

TaskStatus SchedulingTest::task_status(const std::string& job, uint32_t task, uint64_t attempt,
                                       TaskPhase phase, ExitCause cause) {
    return {{job, task}, attempt, phase, cause, false};
}

void SchedulingTest::apply_heartbeat(Machine& machine, std::vector<TaskStatus> tasks) {
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, std::move(tasks)), Absence::kProven, now);
}

void SchedulingTest::refresh_heartbeat_times() {
    for (auto& [name, machine] : cluster.machines) machine->last_heartbeat = now;
}

void SchedulingTest::recount_resources() {
    recount(cluster, jobs, now, 2 * config.heartbeat_interval_s);
}

std::vector<Binding> SchedulingTest::schedule_for(std::vector<Machine*> requesting_machines) {
    refresh_heartbeat_times();
    recount_resources();
    return schedule(cluster, jobs,
                    {config, settings, now, std::move(requesting_machines), kNewestRecordFormat});
}

ScalingInput SchedulingTest::scaling_input() {
    return {config, settings, now, 0, {}, {}, false};
}

ScalingPlan SchedulingTest::plan() {
    refresh_heartbeat_times();
    recount_resources();
    return plan_scaling(cluster, jobs, scaling_input());
}

void SchedulingTest::delete_machine(const std::string& name) {
    // Found before the erasure: `name` may be a reference to the machine's own name.
    auto machine = cluster.machines.find(name);
    jobs.on_machine_deleted(name, now);
    cluster.machines.erase(machine);
}

size_t SchedulingTest::count_launches(const std::vector<Command>& commands) {
    return static_cast<size_t>(std::count_if(commands.begin(), commands.end(), [](const Command& command) {
        return command.kind == CommandKind::kLaunch;
    }));
}

size_t SchedulingTest::count_stopping(const Job& job) {
    return static_cast<size_t>(std::count_if(job.live.begin(), job.live.end(),
                                             [](const auto& entry) { return entry.second.stopping; }));
}

ServiceTest::ServiceTest() {
    config.teams[0].gpus_max = 0;
    config.heartbeat_interval_s = 4;
}

JobSpec ServiceTest::service_spec(const std::string& id, uint32_t replicas) {
    JobSpec spec;
    spec.id = id;
    spec.team = "team";
    spec.kind = JobKind::kService;
    spec.priority = PriorityClass::kProduction;
    spec.tasks = replicas;
    spec.cpus = 1;
    spec.memory_gb = 2;
    spec.image = "img-" + id;
    return spec;
}

JobSpec ServiceTest::batch_spec(const std::string& id, uint32_t tasks, PriorityClass priority) {
    JobSpec spec = job_spec(id, tasks);
    spec.priority = priority;
    spec.cpus = 16;
    spec.image_gb = 0;
    spec.estimate_s = 500;
    return spec;
}

Machine& ServiceTest::add_spot_machine(const std::string& name) {
    return add_machine(name, MachineKind{"g2", "a", true});
}

void ServiceTest::apply_next_heartbeat(Machine& machine) {
    apply_heartbeat(machine, tasks_on[machine.name]);
}

size_t ServiceTest::start_on(const std::vector<Machine*>& requesting_machines) {
    size_t bound = schedule_for(requesting_machines).size();
    for (auto& [name, machine] : cluster.machines) execute_commands(*machine);
    return bound;
}

void ServiceTest::execute_commands(Machine& machine) {
    for (const auto& [id, job] : jobs.all()) mark_committed(*job);
    auto& tasks = tasks_on[machine.name];
    for (const Command& command : jobs.commands(machine, LaunchCommands::kInclude)) {
        auto task = std::find_if(tasks.begin(), tasks.end(), [&](const TaskStatus& status) {
            return status.name == command.name && status.attempt == command.attempt;
        });
        bool present = task != tasks.end();
        if (command.kind == CommandKind::kLaunch && !present)
            tasks.push_back({command.name, command.attempt, TaskPhase::kRunning, ExitCause::kNone, false});
        if (command.kind == CommandKind::kStop && present) exit_task(*task, ExitCause::kStopped);
        if (command.kind == CommandKind::kForget && present) tasks.erase(task);
    }
    apply_next_heartbeat(machine);
}

void ServiceTest::exit_all(Machine& machine, ExitCause cause) {
    for (auto& task : tasks_on[machine.name]) exit_task(task, cause);
    apply_next_heartbeat(machine);
}

std::map<std::string, int> ServiceTest::placements_by(const Job& job, std::string Placement::*field) {
    std::map<std::string, int> count;
    for (const auto& [task, placement] : job.live) ++count[placement.*field];
    return count;
}

}  // namespace hareshore::test
