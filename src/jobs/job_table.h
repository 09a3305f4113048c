// The unfinished jobs, the placements of their tasks, and the record writes and machine commands that follow
// from them. No I/O; time is a parameter. Owned and called only by the leader.
//
// Implemented by concern: job_table.cc (jobs and task transitions), machine_commands.cc, stragglers.cc and
// replica_moves.cc. Heartbeats are applied by heartbeat_processor.cc.
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

// Whether a heartbeat that does not list a task placed on its machine proves that the task is not there.
enum class Absence : uint8_t {
    kUnproven,  // a launch by an earlier leader may still arrive, or may have arrived since a late heartbeat
    kFenced,    // the machine has this leader's fencing token, but this leader's own launch may still arrive
    kProven,    // the machine has this leader's fencing token: launches of earlier leaders have no effect
};

// Whether the commands for a machine include launches, which are only sent in responses to heartbeats.
enum class LaunchCommands : uint8_t { kOmit, kInclude };

enum class StopMode : uint8_t {
    kSaveFirst,
    kSkipSaveIfCheap,  // a task that checkpoints often does not save: saving costs as much time as is lost
};

class JobTable {
  public:
    using Map = JobMap;

    // --- Jobs. References and pointers to a job are valid until it is erased.
    const Map& all() const { return jobs_; }
    Job* find(const std::string& id);
    const Job* find(const std::string& id) const;
    size_t size() const { return jobs_.size(); }
    // When load() last added a new job.
    Seconds last_arrival() const { return last_arrival_; }

    // Loads a record read from the key-value store: adds a new job, or cancels a known one.
    // `now` and `wall` are the same moment on the monotonic and the wall clock.
    Job& load(const JobRecord& record, uint64_t mod_revision, Seconds now, WallTime wall);
    // Removes the job with its placements, if it is known.
    void erase(const std::string& id);
    void clear();
    // Marks a job whose record this version cannot decode, perhaps because a newer version wrote it. Its
    // placements are unknown, so its tasks are neither stopped nor forgotten, and machines that run one are
    // not used.
    void set_unreadable(const std::string& id);
    bool unreadable(const std::string& id) const { return unreadable_.contains(id); }

    // --- Task transitions; see jobs/task_lifecycle.h.
    // Places a pending task. The caller has checked that the record has room for it (Job::record_has_room).
    Placement& bind(Job& job, uint32_t task, const Machine& machine, uint64_t attempt, Seconds now);
    // Cancels the job and begins to stop its tasks. `cancelled_at`: when the cancellation was recorded; of
    // several such times for a job the earliest counts.
    void cancel(Job& job, Seconds cancelled_at, Seconds now);
    // Begins to stop a placed task, or its whole gang.
    void stop(Job& job, uint32_t task, StopMode mode);
    // Frees the placements on a machine whose deletion the cloud has confirmed.
    void on_machine_deleted(const std::string& machine, Seconds now);
    // Cordons machines on which tasks run several times longer than finished tasks of the same job elsewhere.
    void cordon_stragglers(Cluster& cluster, Seconds now);
    // Stops the replicas on cordoned and draining machines, one at a time for each service: the next one only
    // when all replicas of the service are running again.
    void move_replicas(Cluster& cluster);

    // --- Unwritten changes.
    // Increments the version of the job's record and queues its write.
    void mark_changed(Job& job);
    // Dequeues jobs with unwritten changes, oldest change first, up to the given limits of one transaction.
    std::vector<Job*> take_unwritten(size_t max_operations, size_t max_bytes, uint64_t record_format);
    bool has_unwritten() const { return write_queue_.size() > 0; }
    // The number of records that wait to be written.
    size_t unwritten_count() const { return write_queue_.size(); }
    // Queues the record to be written, without a new version; also called after a write failed.
    void queue_write(Job& job);
    // Queues all jobs with unwritten changes, including deferred writes: a record that could not be written
    // in one format may fit in another.
    void queue_all_unwritten();

    // --- Machines.
    // Applies a heartbeat that is newer than all earlier ones of the machine. Returns whether the scheduler
    // or other readers have to act on it (free resources or task phases changed).
    bool apply_heartbeat(Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                         Absence absence, Seconds now);
    // The current commands for the machine: stops, forgets, and launches of committed placements, as many as
    // one body may hold. Records for each launch that the response to the machine's newest heartbeat carries
    // it.
    std::vector<Command> commands(Machine& machine, LaunchCommands launches);
    // Machines that got new stops since the last call. A stop is sent without waiting for a heartbeat.
    std::set<std::string> take_machines_with_new_stops() {
        return std::exchange(machines_with_new_stops_, {});
    }
    // Machines whose placements have changed since the last call.
    std::set<std::string> take_changed_machines() { return placements_.take_changed_machines(); }
    // Makes take_machines_with_new_stops() return the machines of all jobs cancelled until then once more.
    void resend_stops_of_cancelled(Seconds cancelled_until);
    // Whether a placement on the machine is not committed yet.
    bool awaits_commit(const Machine& machine) const;
    // Whether the machine needs no commands: exactly the tasks placed on it run there, and none is stopping.
    bool all_running_on(const Machine& machine) const;
    // The placements on the machine. Copy them before tasks are bound or released.
    const std::vector<PlacedTask>& placements_on(const std::string& machine) const {
        return placements_.placements_on(machine);
    }

  private:
    friend class HeartbeatProcessor;  // releases and completes tasks according to the machine's heartbeats

    void load_placements(Job& job, const JobRecord& record, Seconds now);
    // Removes the task's placement; the task becomes pending unless it is done.
    void release(Job& job, uint32_t task, Seconds now);
    // Marks the task as done, and all tasks of a gang with it.
    void complete(Job& job, uint32_t task, Seconds now);
    void add_stops(CommandList& commands, const Machine& machine) const;
    void add_forgets(CommandList& commands, const Machine& machine) const;
    void add_launches(CommandList& commands, const Machine& machine);
    void begin_stop(Placement& placement, Seconds grace_s);
    void stop_gang(Job& job, Seconds grace_s);

    Map jobs_;
    PlacementIndex placements_;
    WriteQueue write_queue_;
    std::set<std::string> machines_with_new_stops_;
    std::set<std::string> unreadable_;  // job ids
    Seconds last_arrival_ = 0;
};

}  // namespace hareshore
