// A machine in the leader's memory: its reported state, its state in the cloud, and the leader's decisions.
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

// A task as listed in the machine's newest heartbeat.
struct MachineTask {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    uint64_t exit_version = 0;  // the job's version that records the exit; forgotten once it is committed
    bool size_known = false;    // its job is known, and so are `amount` and `team`
    Resources amount;           // that the task takes
    std::string team;
};

// A reported task that runs on a machine but matches no placement.
struct UnplacedTask {
    std::string job;
    std::string team;
    Resources amount;
};

// The resources that placements and reported tasks take of a machine. Recounted only after a change: few
// machines change between two scheduling passes, and recounting all of them was the largest cost of a pass.
struct MachineUsage {
    Resources taken;
    uint32_t placed_tasks = 0;
    bool all_sizes_known = true;  // MachineTask::size_known of all reported tasks
    std::vector<UnplacedTask> unplaced;
};

// How a worker's heartbeat reached the leader: on the worker's own connection, or relayed by a peer.
enum class HeartbeatRoute : uint8_t { kDirect, kRelayed };

struct Machine {
    std::string name;
    std::string addr;
    std::string machine_type;
    std::string zone;
    bool spot = false;

    // --- From its heartbeats.
    uint64_t incarnation = 0;         // of its worker process
    uint64_t sequence = 0;            // of its newest heartbeat
    bool heartbeat_received = false;  // by this leader
    bool has_current_token = false;   // this leader's fencing token: earlier leaders' launches have no effect
    Seconds last_heartbeat = 0;       // when it arrived, or when this leader added the machine
    std::optional<Seconds> spot_reclaim_at;  // announced by a spot notice
    std::vector<MachineTask> tasks;          // of its newest heartbeat
    ImageCache cache;

    // --- Whether responses and commands reach it. A machine whose heartbeats arrive but which receives no
    // responses appears alive and idle, and tasks would be bound to it again and again.
    std::optional<Seconds> unreachable_since;  // since when nothing shows that it receives responses
    std::optional<Seconds> last_response_at;   // when a heartbeat of it last got response status 200
    uint64_t last_response_sequence = 0;       // its newest sequence number at that time
    // The last response was sent on the worker's own connection, and no command since: the heartbeat in the
    // reply to a command takes a sequence number, too.
    bool next_sequence_predictable = false;
    // Infers from a heartbeat, newer than all earlier ones and not applied yet, whether the responses to
    // those arrived.
    void update_reachability(const WorkerHeartbeat& heartbeat, HeartbeatRoute route, Seconds lease_s,
                             Seconds now);
    // Records a response with status 200 to its newest heartbeat. `next_sequence_known`: it is sent directly
    // and without commands, so a worker that receives it gives its next heartbeat the next sequence number.
    void record_response(bool next_sequence_known, Seconds now);

    // --- From the cloud.
    MachinePhase phase = MachinePhase::kBooting;
    Seconds created_at = 0;
    bool listed = false;  // in the cloud's newest list of machines

    // --- Decisions of the leader.
    std::set<std::string> failed_jobs;  // jobs with a failed task since the last success
    bool cordoned = false;              // no tasks are bound to it; it is drained and returned
    std::string cordon_reason;
    bool draining = false;                   // its tasks are moved to other machines, then it is returned
    bool deleting = false;                   // its deletion is in progress: no tasks may be bound to it
    bool heartbeat_awaits_response = false;  // a heartbeat request is open; its response can be sent now

    // --- Recounted from placements and heartbeats; see jobs/resource_accounting.h.
    MachineUsage usage;
    bool usage_valid = false;   // `usage` is up to date
    Resources free;             // the machine type's resources minus usage.taken
    uint32_t placed_tasks = 0;  // live placements and reported tasks
    bool schedulable = false;   // tasks may be bound to it
    std::optional<Seconds> idle_since;

    // --- State of the current scheduling pass.
    Resources reserved;             // part of `free`, reserved for waiting gangs
    Seconds reserved_until = 0;     // tasks that end earlier may be backfilled into the reservation
    uint64_t capacity_version = 0;  // incremented whenever its available resources change

    [[nodiscard]] bool idle() const { return placed_tasks == 0; }
};

}  // namespace hareshore
