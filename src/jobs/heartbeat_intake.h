// Takes a machine's heartbeat into the job table, event by event: the machine's own state, each task that it
// lists (present, exited, or the result of an abandoned attempt) and each placement that it lacks.
#pragma once
#include <vector>

#include "jobs/job_table.h"

namespace hareshore {

// One attempt of a task in what a machine reported. Heartbeats keep their order: it is mostly found at
// `hint`.
std::vector<MachineTask>::const_iterator find_attempt(const std::vector<MachineTask>& tasks, size_t hint,
                                                      const TaskName& name, uint64_t attempt);

// The intake of one heartbeat; refers to its arguments and is used once.
class HeartbeatIntake {
  public:
    HeartbeatIntake(JobTable& table, Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                    Seconds now)
        : table_(table), cluster_(cluster), machine_(machine), heartbeat_(heartbeat), now_(now) {}

    // Returns whether anything changed that matters to others (room, phases).
    bool run(Absence absence);

  private:
    void take_header();
    void take_task(const TaskStatus& status);
    // `task` is what the machine's list will hold of it; `known_exit`: an earlier heartbeat listed the exit.
    void take_task_of(Job& job, const TaskStatus& status, bool known_exit, MachineTask& task);
    void task_present(Job& job, Placement& placement, const TaskStatus& status);
    void task_exited(Job& job, const TaskStatus& status);
    void record_run_time(Job& job, uint32_t task);
    void break_gang_on_exit(Job& job, ExitCause cause) const;
    void take_absences();
    void task_absent(Job& job, uint32_t task, const Placement& placement);

    JobTable& table_;
    Cluster& cluster_;
    Machine& machine_;
    const WorkerHeartbeat& heartbeat_;
    Seconds now_;
    bool changed_ = false;
    std::vector<MachineTask> previous_tasks_;  // of the heartbeat before
    std::vector<const Placement*> present_;    // placements that the heartbeat lists
};

}  // namespace hareshore
