// Fixtures for tests of jobs, placement, scheduling and scaling without I/O: the test acts as the leader and
// as every machine, and advances the time itself.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fleet/scaling_plan.h"
#include "scheduler/scheduler.h"
#include "workers/command.h"

namespace hareshore::test {

struct SchedulingTest : testing::Test {
    SchedulingTest();

    // A job whose tasks need 4 CPUs, one GPU and 8 GB of memory and write checkpoints.
    static JobSpec job_spec(const std::string& id, uint32_t tasks, JobKind kind = JobKind::kArray);
    // Loads a job accepted at the current time. With live placements, its next attempt number is above
    // theirs.
    Job& add_job(JobSpec spec, std::map<uint32_t, PlacementRecord> live = {});
    // Adds a machine that sends heartbeats to this leader and runs no task.
    Machine& add_machine(const std::string& name, const std::string& zone = "a");
    Machine& add_machine(const std::string& name, const MachineKind& kind);
    // Builds the machine's next heartbeat with the status of these tasks.
    static WorkerHeartbeat heartbeat(const Machine& machine, std::vector<TaskStatus> tasks);
    static TaskStatus task_status(const std::string& job, uint32_t task, uint64_t attempt, TaskPhase phase,
                                  ExitCause cause = ExitCause::kNone);
    // Applies the machine's next heartbeat to the job table.
    void apply_heartbeat(Machine& machine, std::vector<TaskStatus> tasks);

    // Runs a scheduling pass for these machines, with fresh heartbeats of all machines.
    std::vector<Binding> schedule_for(std::vector<Machine*> requesting_machines);
    ScalingInput scaling_input();
    // Makes a scaling plan, with fresh heartbeats of all machines.
    ScalingPlan plan();
    void recount_resources();
    // Marks every machine's last heartbeat as received at the current time.
    void refresh_heartbeat_times();
    // Deletes the machine and ends the placements on it.
    void delete_machine(const std::string& name);

    static void mark_committed(Job& job) { job.persistence.committed_version = job.persistence.version; }
    static size_t count_launches(const std::vector<Command>& commands);
    static size_t count_stopping(const Job& job);

    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    Seconds now = 100;
};

// Fixture for services. Its machines execute every command and list launched replicas as running in their
// heartbeats.
struct ServiceTest : SchedulingTest {
    ServiceTest();

    static JobSpec service_spec(const std::string& id, uint32_t replicas);
    // A job whose tasks need all CPUs of a machine.
    static JobSpec batch_spec(const std::string& id, uint32_t tasks, PriorityClass priority);

    Machine& add_spot_machine(const std::string& name);
    // Schedules tasks, commits and launches them, and applies the machines' heartbeats. Returns the number of
    // tasks bound.
    size_t start_on(const std::vector<Machine*>& requesting_machines);
    // Commits all records, executes the machine's commands and applies its next heartbeat.
    void execute_commands(Machine& machine);
    // Makes all tasks of the machine exit and applies its next heartbeat.
    void exit_all(Machine& machine, ExitCause cause);
    // Applies the machine's next heartbeat with its current tasks.
    void apply_next_heartbeat(Machine& machine);
    // Counts the job's live placements by machine or by zone.
    static std::map<std::string, int> placements_by(const Job& job, std::string Placement::*field);

    std::map<std::string, std::vector<TaskStatus>> tasks_on;  // by machine
};

}  // namespace hareshore::test
