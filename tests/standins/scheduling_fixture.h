// Fixtures for jobs, placements, scheduling and scaling without I/O: the test plays the leader and every
// machine, on a clock of its own.
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

    // Tasks of 4 CPUs, a GPU and 8 GB, with checkpoints.
    static JobSpec job_spec(const std::string& id, uint32_t tasks, JobKind kind = JobKind::kArray);
    // Loads a job that was accepted now. With placements, it has had attempts before.
    Job& add_job(JobSpec spec, std::map<uint32_t, PlacementRecord> live = {});
    // A machine that reports to this leader and has no task yet.
    Machine& add_machine(const std::string& name, const std::string& zone = "a");
    Machine& add_machine(const std::string& name, const MachineKind& kind);
    // The machine's next heartbeat, with these tasks.
    static WorkerHeartbeat heartbeat(const Machine& machine, std::vector<TaskStatus> tasks);
    static TaskStatus task_status(const std::string& job, uint32_t task, uint64_t attempt, TaskPhase phase,
                                  ExitCause cause = ExitCause::kNone);
    // Takes in the machine's next heartbeat.
    void apply_heartbeat(Machine& machine, std::vector<TaskStatus> tasks);

    // A scheduling pass for these machines; all machines have just reported.
    std::vector<Binding> schedule_for(std::vector<Machine*> requesting_machines);
    ScalingInput scaling_input();
    // A scaling plan; all machines have just reported.
    ScalingPlan plan();
    void recount_resources();
    void refresh_heartbeat_times();
    // The machine is deleted with all that is on it.
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

// Services, whose replicas are launched and reported as running on machines that carry out every command.
struct ServiceTest : SchedulingTest {
    ServiceTest();

    static JobSpec service_spec(const std::string& id, uint32_t replicas);
    // Work that takes all of a machine's CPUs.
    static JobSpec batch_spec(const std::string& id, uint32_t tasks, PriorityClass priority);

    Machine& add_spot_machine(const std::string& name);
    // Binds, commits, launches and reports; how many tasks were bound.
    size_t start_on(const std::vector<Machine*>& requesting_machines);
    // Commits everything, carries out the machine's commands, and reports.
    void execute_commands(Machine& machine);
    // All tasks of the machine exit, and it reports that.
    void exit_all(Machine& machine, ExitCause cause);
    // The machine reports its tasks.
    void apply_next_heartbeat(Machine& machine);
    // Live placements of the job by machine or by zone.
    static std::map<std::string, int> placements_by(const Job& job, std::string Placement::*field);

    std::map<std::string, std::vector<TaskStatus>> tasks_on;  // by machine
};

}  // namespace hareshore::test
