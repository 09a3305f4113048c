// The unfinished jobs, their tasks' placements and what has to be written and sent about them. No I/O; time
// is a parameter. Owned and called by the leader alone.
//
// Implemented by concern: job_table.cc (jobs and transitions of their tasks), machine_commands.cc,
// stragglers.cc and replica_moves.cc. Heartbeats are taken in by heartbeat_intake.cc.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/cluster.h"
#include "jobs/job.h"
#include "jobs/placement_index.h"
#include "jobs/record.h"
#include "jobs/write_queue.h"
#include "workers/command.h"

namespace hareshore {

// What it means that a heartbeat lacks a task that is placed on its machine.
enum class Absence : uint8_t {
    kUnproven,  // a launch by an earlier leader may still arrive
    kProven,    // the machine has this leader's fencing token: the task is not there
};

// Whether the commands for a machine include launches. Those are only sent in answers to heartbeats.
enum class LaunchCommands : uint8_t { kOmit, kInclude };

enum class StopMode : uint8_t {
    kSaveFirst,
    kSkipSaveIfCheap,  // a task that checkpoints often does not save: that would take as long as it loses
};

class JobTable {
  public:
    using Map = JobMap;

    // --- Jobs. References and pointers to a job are valid until it is erased.
    const Map& all() const { return jobs_; }
    Job* find(const std::string& id);
    const Job* find(const std::string& id) const;
    size_t size() const { return jobs_.size(); }
    // When the last job was loaded that was not known before.
    Seconds last_arrival() const { return last_arrival_; }

    // Takes in a record read from the key-value store: a new job, or the cancellation of a known one.
    // `now` and `wall` are the same moment on the two clocks.
    Job& load(const JobRecord& record, uint64_t mod_revision, Seconds now, WallTime wall);
    // Removes the job with its placements, if it is known.
    void erase(const std::string& id);
    void clear();
    // A job whose record cannot be read here, perhaps a later version's: its placements are not known.
    // Nothing is decided about it: its tasks are neither stopped nor forgotten, and a machine that has one is
    // not used.
    void set_unreadable(const std::string& id);
    bool unreadable(const std::string& id) const { return unreadable_.contains(id); }

    // --- Transitions of tasks; see jobs/task_lifecycle.h.
    // Places a pending task. The job's record has room for it (Job::room_in_record).
    Placement& bind(Job& job, uint32_t task, const Machine& machine, uint64_t attempt, Seconds now);
    void cancel(Job& job, Seconds now);
    // Starts to stop a placed task, or the whole gang it belongs to.
    void stop(Job& job, uint32_t task, StopMode mode);
    // Frees the placements on a machine whose deletion the cloud has confirmed.
    void machine_deleted(const std::string& machine, Seconds now);
    // Cordons machines whose tasks take several times as long as others of their job did elsewhere.
    void cordon_stragglers(Cluster& cluster, Seconds now);
    // Stops replicas on cordoned and draining machines, of each service one at a time: the next when all of
    // its replicas run again.
    void move_replicas(Cluster& cluster);

    // --- Changes that have to be written.
    // Counts a change of the job's record and queues its write.
    void mark_changed(Job& job);
    // Takes jobs with unwritten changes off the queue, oldest change first: no more than fit into one
    // transaction of so many operations and bytes of records.
    std::vector<Job*> take_unwritten(size_t most_operations, size_t most_bytes, uint64_t record_format);
    bool has_unwritten() const { return write_queue_.size() > 0; }
    // How many records wait to be written.
    size_t unwritten_count() const { return write_queue_.size(); }
    // Queues a job whose write failed.
    void queue_write(Job& job);
    // Queues all jobs with unwritten changes, also those whose write was put off: what could not be written
    // in one format may fit in another.
    void queue_all_unwritten();

    // --- Machines.
    // Takes in a machine's heartbeat, which is newer than all before. Returns whether anything changed that
    // matters to others (room, phases).
    bool apply_heartbeat(Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                         Absence absence, Seconds now);
    // The commands for the machine now: stops, forgets and launches of committed placements. Each launch is
    // noted with the heartbeat that it answers, the machine's newest.
    std::vector<Command> commands(Machine& machine, LaunchCommands launches);
    // Machines that have been given new stops since the last call; a stop should not wait for a heartbeat.
    std::set<std::string> take_machines_with_new_stops() {
        return std::exchange(machines_with_new_stops_, {});
    }
    // Machines whose placements have changed since the last call.
    std::set<std::string> take_changed_machines() { return placements_.take_changed_machines(); }
    // Counts the stops of all jobs that were cancelled until then as new ones.
    void resend_stops_of_cancelled(Seconds cancelled_until);
    // Whether the machine has placements that wait for their commit.
    bool awaits_commit(const Machine& machine) const;
    // Whether there is nothing to command: all that the machine has runs, and is meant to.
    bool all_running_on(const Machine& machine) const;
    // The placements on the machine. To be copied where tasks are bound or released meanwhile.
    const std::vector<PlacedTask>& on_machine(const std::string& machine) const {
        return placements_.on_machine(machine);
    }

  private:
    friend class HeartbeatIntake;  // releases and completes tasks as the machine reports them

    void load_placements(Job& job, const JobRecord& record, Seconds now);
    // The task is on no machine any more: it is pending again, unless it is done.
    void release(Job& job, uint32_t task, Seconds now);
    // The task is done, and with it the whole of a gang.
    void complete(Job& job, uint32_t task, Seconds now);
    void begin_stop(Placement& placement, Seconds grace_s);
    void stop_gang(Job& job, Seconds grace_s);

    Map jobs_;
    PlacementIndex placements_;
    WriteQueue write_queue_;
    std::set<std::string> machines_with_new_stops_;
    std::set<std::string> unreadable_;  // ids of jobs
    Seconds last_arrival_ = 0;
};

}  // namespace hareshore
