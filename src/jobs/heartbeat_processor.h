// Applies a machine's heartbeat to the job table: the machine's own state, each task that the heartbeat lists
// (present, exited, or the result of an abandoned attempt) and each placement that it does not list.
#pragma once
#include <vector>

#include "jobs/job_table.h"

namespace hareshore {

// Finds an attempt of a task among those a machine reported. Successive heartbeats list tasks in the same
// order, so the attempt is usually at index `hint`.
std::vector<MachineTask>::const_iterator find_attempt(const std::vector<MachineTask>& tasks, size_t hint,
                                                      const TaskName& name, uint64_t attempt);

// Processes one heartbeat. Keeps references to its arguments; an instance is used once.
class HeartbeatProcessor {
  public:
    HeartbeatProcessor(JobTable& table, Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                       Absence absence, Seconds now)
        : table_(table),
          cluster_(cluster),
          machine_(machine),
          heartbeat_(heartbeat),
          absence_(absence),
          now_(now) {}

    // Returns whether free resources or task phases changed.
    bool run();

  private:
    void apply_machine_state();
    void apply_task_status(const TaskStatus& status);
    // `known_exit`: an earlier heartbeat listed the exit. `task`: the entry to be added to Machine::tasks.
    void apply_status_of_known_job(Job& job, const TaskStatus& status, bool known_exit, MachineTask& task);
    // Whether the status of the placement's attempt may be that of a task which the placement has replaced.
    [[nodiscard]] bool may_precede_replacement(const Job& job, const Placement& placement,
                                               const TaskStatus& status, bool known_exit) const;
    void handle_present_task(Job& job, Placement& placement, const TaskStatus& status);
    void handle_exited_task(Job& job, const TaskStatus& status);
    void record_run_time(Job& job, uint32_t task);
    // Infers from the phase of a task of a gang whether its attempt has started.
    void observe_gang_start(Job& job, TaskPhase phase);
    // Ends the gang's attempt if no replacement of the exited task may join it.
    static void break_gang_on_exit(Job& job, uint32_t task, ExitCause cause);
    void handle_absent_tasks();
    void handle_absent_task(Job& job, uint32_t task, const Placement& placement);

    JobTable& table_;
    Cluster& cluster_;
    Machine& machine_;
    const WorkerHeartbeat& heartbeat_;
    Absence absence_;
    Seconds now_;
    bool changed_ = false;
    std::vector<MachineTask> previous_tasks_;  // of the previous heartbeat
    std::vector<const Placement*> present_;    // placements that this heartbeat lists
};

}  // namespace hareshore
