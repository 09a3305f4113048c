// One machine as the leader knows it: what it reported, what the cloud lists, and what was decided about it.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cloud/machine_type.h"
#include "cluster/image_cache.h"
#include "model/resources.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// A task as the machine last reported it.
struct MachineTask {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    uint64_t exit_version =
        0;               // the job's version that accounts for the exit; it may be forgotten once committed
    bool sized = false;  // amount and team are known
    Resources amount;
    std::string team;
};

struct Machine {
    std::string name, addr, machine_type, zone;
    bool spot = false;

    // From its reports.
    uint64_t incarnation = 0, sequence = 0;
    bool reported = false;       // to this leader
    bool current = false;        // it has seen this leader's epoch: older launches can no longer arrive
    Seconds last_heartbeat = 0;  // when it last reported, or when this leader first knew of it
    std::optional<Seconds> spot_reclaim_at;  // spot notice
    std::vector<MachineTask> tasks;
    ImageCache cache;

    // Whether it hears what it is told. One whose reports arrive while answers and commands are lost looks
    // alive and idle, and would be bound to over and over.
    std::optional<Seconds> unreachable_since;  // since when nothing shows that it receives answers
    std::optional<Seconds> answered_at;        // its newest report that was answered 200
    uint64_t answered_sequence = 0;  // the newest number seen of it by then; commands number reports, too
    bool answered_directly = false;  // on its own connection, and no command was sent to it since
    // Takes what a report that is newer than all before says of the answers to those; it has not been
    // taken in yet. `direct`: it came on the worker's own connection.
    void update_reachability(const WorkerHeartbeat& report, bool direct, Seconds lease_s, Seconds now);
    void answered(bool direct, Seconds now);

    // From the cloud.
    MachinePhase phase = MachinePhase::kBooting;
    Seconds created_at = 0;
    bool listed = false;

    // Judgement.
    std::set<std::string> failed_jobs;  // jobs with a failed task since the last success
    bool cordoned = false;              // to be drained and returned
    bool draining = false;              // its work is being moved elsewhere, then it is returned
    bool deleting = false;              // a deletion is on its way: nothing may be bound
    bool holding = false;               // a report of it is being held: an answer can go out at once
    std::string cordon_reason;
    std::optional<Seconds> idle_since;

    // Of the reported tasks, one that runs here though no placement accounts for it.
    struct UnplacedTask {
        std::string job, team;
        Resources amount;
    };
    // What placements and reported tasks take, counted when either has changed (`counted`): most scheduling
    // passes come with the news of a few machines, and counting all of them anew was their largest cost.
    struct TaskCount {
        Resources taken;
        uint32_t placed_tasks = 0;
        bool all_sized = true;  // of each reported task it is known what it takes
        std::vector<UnplacedTask> unplaced;
    };
    TaskCount count;
    bool counted = false;

    // Recounted from placements and reports.
    Resources free;
    Resources reserved;          // of it, kept for gangs that wait
    Seconds reserved_until = 0;  // work that ends before may use it
    uint32_t placed_tasks = 0;   // live placements and reported tasks
    bool schedulable = false;
    uint64_t changes = 0;  // of what it can give, in the scheduling pass under way

    bool idle() const { return placed_tasks == 0; }
};

}  // namespace hareshore
