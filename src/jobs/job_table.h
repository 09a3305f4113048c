// The unfinished jobs and their lifecycle. No I/O; time is a parameter.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/cluster.h"
#include "jobs/job.h"
#include "jobs/record.h"

namespace hareshore {

// A placement, seen from its machine.
struct PlacedTask {
    Job* job = nullptr;
    uint32_t task = 0;
    const Placement* placement = nullptr;
};

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
    using Map = std::unordered_map<std::string, std::unique_ptr<Job>>;
    const Map& all() const { return jobs_; }
    Job* find(const std::string& id);
    const Job* find(const std::string& id) const;
    size_t size() const { return jobs_.size(); }
    Seconds last_arrival() const { return last_arrival_; }

    // A record read from the state service: a new job, or news of a known one.
    Job& load(const JobRecord& record, uint64_t mod_revision, Seconds now, WallTime wall);
    void erase(const std::string& id);
    void clear();

    Placement& bind(Job& job, uint32_t task, const Machine& machine, uint64_t attempt, Seconds now);
    void cancel(Job& job, Seconds now);
    // Cordons machines whose tasks take several times as long as others of their job did elsewhere.
    void cordon_stragglers(Cluster& cluster, Seconds now);
    // Starts to stop a task, or the whole gang it belongs to.
    void stop(Job& job, uint32_t task, StopMode mode);
    // Stops replicas on machines that are to be emptied, of each service one at a time: the next when all of
    // its replicas run again.
    void move_replicas(Cluster& cluster);
    // Frees the placements on a machine that is confirmed to be gone.
    void machine_deleted(const std::string& machine, Seconds now);
    // Marks the job changed; it will be written.
    void mark_changed(Job& job);
    // Jobs with changes that are not on their way, oldest change first.
    std::vector<Job*> take_unwritten(size_t most_ops, size_t most_bytes, uint64_t record_format);
    bool has_unwritten() const { return !dirty_.empty(); }
    size_t unwritten_count() const { return dirty_.size(); }  // records that wait to be written
    void queue_write(Job& job);
    // Queues anew what was set aside: what could not be written in one format may fit in another.
    void queue_all_unwritten();
    // A job whose record cannot be read here, perhaps a later version's: its placements are not known.
    // Nothing is decided about it: its tasks are neither stopped nor forgotten, and a machine that has one is
    // not used.
    void set_unreadable(const std::string& id);
    bool unreadable(const std::string& id) const { return unreadable_.contains(id); }

    // Takes in a machine's report; `absence` says that what it lacks is proven not to be there.
    // Returns whether anything changed that matters to others (room, phases).
    bool apply_heartbeat(Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                         Absence absence, Seconds now);
    // The commands for the machine now: launches of committed placements, stops, forgets. Launches only
    // when they answer a report (`launches`), whose session and number are remembered with them.
    std::vector<Command> commands(Machine& machine, LaunchCommands launches);
    // Machines that have been given new stops since the last call; a stop should not wait for a report.
    std::set<std::string> take_machines_with_new_stops() { return std::exchange(urgent_, {}); }
    // Machines whose placements have changed since the last call.
    std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }
    // Stops that came to nothing so far go again: of what was cancelled before `before`.
    void repeat_stops_of_cancelled(Seconds before);
    // Whether the machine has placements that wait for their commit.
    bool awaits_commit(const Machine& machine) const;
    // Whether there is nothing to tell the machine: all that it has runs, and is meant to.
    bool all_running_on(const Machine& machine) const;
    // The placements on the machine, kept up to date by bind and release; to be copied where those are
    // called.
    const std::vector<PlacedTask>& on_machine(const std::string& machine) const;

  private:
    void enter(const std::string& machine, const PlacedTask& resident);
    void leave(const std::string& machine, const Job& job, uint32_t task);
    void release(Job& job, uint32_t task, Seconds now);
    void settle(Job& job);
    void complete(Job& job, uint32_t task, Seconds now);
    void exited(Cluster& cluster, Machine& machine, Job& job, uint32_t task, const TaskStatus& t,
                Seconds now);
    void failed(Cluster& cluster, Machine& machine, Job& job, Seconds now);
    void replica_ended(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                       Seconds now);
    static void count_failure(Machine& machine, const Job& job);
    void stop_gang(Job& job, Seconds grace);

    Map jobs_;
    Seconds last_arrival_ = 0;
    std::vector<std::string> dirty_;  // ids, in order of change
    std::set<std::string> queued_;    // what dirty_ holds
    std::set<std::string> urgent_;
    std::set<std::string> unreadable_;
    std::set<std::string> changed_machines_;
    std::unordered_map<std::string, std::vector<PlacedTask>> by_machine_;
};

}  // namespace hareshore
