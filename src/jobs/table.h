// The unfinished jobs and their lifecycle. No I/O; time is a parameter.
#pragma once
#include <array>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>

#include "cluster/cluster.h"
#include "jobs/record.h"
#include "workers/command.h"

namespace hareshore {

struct Placement {
    uint64_t attempt = 0;
    std::string machine, zone;
    uint64_t version = 0;    // the job's version that first holds it; launched once that is committed
    bool inherited = false;  // from an earlier leader, who may have launched it
    uint64_t sent_incarnation = 0,
             sent_sequence = 0;  // newest report whose answer carried the launch; 0: none
    int sent = 0;                // reports whose answers carried it
    bool seen = false;           // the machine has reported it
    TaskPhase phase = TaskPhase::kFetching;
    Seconds bound_at = 0;
    bool stopping = false;  // it is being stopped, with this much time to save
    Seconds grace_s = 0;
    std::optional<Seconds> running_since;
};

// Why a job's tasks wait, for the operators.
enum class WaitReason : uint8_t {
    kNone,
    kNew,
    kTeamLimit,
    kNoRoom,
    kGangRoom,
    kHeldForImage,
    kHeldForSpread,
    kBackoff,
    kOldAttempt,
    kRecordFull,
};
const char* wait_reason_text(WaitReason reason);

struct Job {
    JobSpec spec;
    WallTime accepted_wall;
    Seconds accepted = 0;  // on this process's clock
    bool cancelled = false;
    Seconds cancelled_at = 0;       // when this leader learned of it; its user may have been told before
    bool cancelled_before = false;  // by the first record that this leader read: told at an unknown time
    Ranges done;
    Ranges pending;  // neither done nor live
    uint64_t next_attempt = 1;
    std::map<uint32_t, Placement> live;

    uint64_t mod_revision = 0;  // of the record in the state service
    uint64_t version = 0;       // counts the changes that must be kept
    uint64_t committed = 0;     // the last version that the state service has
    uint64_t inflight = 0;      // the version in the transaction on its way

    // Gangs: the attempt that is under way, and whether it has started or lost a task.
    uint64_t attempt = 0;
    bool started = false, broken = false;

    // Run times of array tasks that ran in one go, to tell machines that straggle.
    bool saw_all_starts = true;  // this leader saw all its starts
    uint32_t runs = 0;
    double runs_sum_s = 0;
    Ranges interrupted;

    std::set<std::string> failed_on;  // machines, since the last success
    Seconds not_before = 0, backoff_s = 0;
    bool failing = false;
    // Services: replicas that ended at once since one last ran steadily, and when the last of them did.
    size_t quick_exits = 0;
    Seconds last_quick_exit_at = -1e9;
    Seconds waiting_since = 0;
    bool has_unplaced_task = false;  // a machine runs a task of it that no placement accounts for
    // Room is being made on machines that have the image: until then it is not started elsewhere.
    Seconds image_preemption_until = 0;
    Seconds image_preemption_tried_for = -1;  // the wait (waiting_since) for which that was tried
    WaitReason wait_reason = WaitReason::kNew;
    Seconds why_logged = -1e9;

    // Set aside: the record is too large for the state service, or it said so, until it changes.
    uint64_t deferred_version = 0, deferred_format = 0;  // format 0: it is not
    bool write_deferred(uint64_t record_format) const {
        return deferred_format == record_format && deferred_version == version;
    }

    // What record_bytes found out for formats 1 and 2. A binding only raises it by the most that it can add:
    // to write the record for each task of a large array would cost the square of their number.
    struct RecordSize {
        uint64_t version = UINT64_MAX;
        size_t bytes = 0;
        bool exact = false;
    };
    mutable std::array<RecordSize, kNewestRecordFormat> sizes;
    mutable size_t fixed_bytes = 0;  // of the record without placements and done ranges; 0: not known yet
    size_t placement_bytes(uint64_t record_format,
                           const Machine& on) const;  // that one more on this machine adds at most
    RecordSize& measured(uint64_t record_format, bool exact) const;

    bool finished() const { return !spec.service() && done.size() == spec.tasks; }
    bool dirty() const { return version != committed; }
    bool waiting() const { return !cancelled && !finished() && !pending.empty(); }
    // Stopping it at once loses no more than letting it save: it checkpoints often.
    bool skips_saving() const;
    // When it should be done, by its deadline or its class's aim; far off if there is none.
    Seconds due(const Config& config) const;
    // Even started now it would likely be late.
    bool late(const Config& config, Seconds now) const;
    // How many of its class's aims a task of it that starts now can no longer meet.
    int missed_objectives(const Config& config, Seconds now) const;
    // Replicas that run.
    uint32_t running_replicas() const;
    // Whether the record holds one more task on each of these machines, whatever becomes of its tasks: it
    // must fit the limit today, and in format 2 also the later one.
    bool room_in_record(const Config& config, uint64_t record_format,
                        std::span<const Machine* const> on) const;
    // The length of the record's JSON text in that format, at most.
    size_t record_bytes(uint64_t record_format) const;
    JobRecord record() const;
};

// A placement, seen from its machine.
struct PlacedTask {
    Job* job = nullptr;
    uint32_t task = 0;
    const Placement* placement = nullptr;
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
    // Condemns machines whose tasks take several times as long as others of their job did elsewhere.
    void find_stragglers(Cluster& cluster, Seconds now);
    // Starts to stop a task, or the whole gang it belongs to.
    // With `skip_saving` a task that checkpoints often does not save first: that would take as long as it
    // loses.
    void stop(Job& job, uint32_t task, Seconds now, bool skip_saving = false);
    // Stops replicas on machines that are to be emptied, of each service one at a time: the next when all of
    // its replicas run again.
    void move_replicas(Cluster& cluster, Seconds now);
    // Frees the placements on a machine that is confirmed to be gone.
    void machine_deleted(const std::string& machine, Seconds now);
    // Marks the job changed; it will be written.
    void touch(Job& job);
    // Jobs with changes that are not on their way, oldest change first.
    std::vector<Job*> take_dirty(size_t most_ops, size_t most_bytes, uint64_t record_format);
    bool any_dirty() const { return !dirty_.empty(); }
    size_t backlog() const { return dirty_.size(); }  // records that wait to be written
    void requeue(Job& job);
    // Queues anew what was set aside: what could not be written in one format may fit in another.
    void requeue_all();
    // A job whose record cannot be read here, perhaps a later version's: its placements are not known.
    // Nothing is decided about it: its tasks are neither stopped nor forgotten, and a machine that has one is
    // not used.
    void quarantine(const std::string& id);
    bool quarantined(const std::string& id) const { return quarantined_.contains(id); }

    // Takes in a machine's report; `absence` says that what it lacks is proven not to be there.
    // Returns whether anything changed that matters to others (room, phases).
    bool apply(Cluster& cluster, Machine& machine, const WorkerHeartbeat& report, bool absence, Seconds now);
    // The commands for the machine now: launches of committed placements, stops, forgets. Launches only
    // when they answer a report (`launches`), whose session and number are remembered with them.
    std::vector<Command> commands(Machine& machine, bool launches);
    // Machines that have been given new stops since the last call; a stop should not wait for a report.
    std::set<std::string> take_urgent() { return std::exchange(urgent_, {}); }
    // Machines whose placements have changed since the last call.
    std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }
    // Stops that came to nothing so far go again: of what was cancelled before `before`.
    void repeat_stops(Seconds before);
    // Whether the machine has placements that wait for their commit.
    bool awaits_commit(const Machine& machine) const;
    // Whether there is nothing to tell the machine: all that it has runs, and is meant to.
    bool settled_on(const Machine& machine) const;
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
    std::set<std::string> quarantined_;
    std::set<std::string> changed_machines_;
    std::unordered_map<std::string, std::vector<PlacedTask>> by_machine_;
};

}  // namespace hareshore
