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
    uint64_t exit_version = 0;  // the job's version that accounts for the exit; forgotten once committed
    bool size_known = false;    // its job is known, and with it `amount` and `team`
    Resources amount;           // that it takes
    std::string team;
};

// A reported task that runs on a machine though no placement accounts for it.
struct UnplacedTask {
    std::string job;
    std::string team;
    Resources amount;
};

// What placements and reported tasks take of a machine. Most scheduling passes come with the news of a few
// machines, and counting all of them anew was their largest cost: it is counted when something has changed.
struct MachineUsage {
    Resources taken;
    uint32_t placed_tasks = 0;
    bool all_sizes_known = true;  // of each reported task it is known what it takes
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
    bool has_current_token = false;   // this leader's fencing token: launches by earlier ones cannot arrive
    Seconds last_heartbeat = 0;       // when it last reported, or when this leader first knew of it
    std::optional<Seconds> spot_reclaim_at;  // announced by a spot notice
    std::vector<MachineTask> tasks;          // of its newest heartbeat
    ImageCache cache;

    // --- Whether answers and commands reach it. One whose heartbeats arrive while those are lost looks alive
    // and idle, and would be bound to over and over.
    std::optional<Seconds> unreachable_since;  // since when nothing shows that it receives answers
    std::optional<Seconds> last_response_at;   // its newest heartbeat that was answered 200
    uint64_t last_response_sequence =
        0;  // the newest number seen of it by then; commands number heartbeats, too
    bool next_sequence_predictable = false;  // on its own connection, and no command was sent to it since
    // Concludes from a heartbeat, newer than all before and not taken in yet, whether the answers to those
    // arrived.
    void update_reachability(const WorkerHeartbeat& heartbeat, HeartbeatRoute route, Seconds lease_s,
                             Seconds now);
    // Its newest heartbeat is answered 200. `next_sequence_known`: directly and without commands, so that the
    // next heartbeat of a worker that receives the answer has the next number.
    void record_response(bool next_sequence_known, Seconds now);

    // --- From the cloud.
    MachinePhase phase = MachinePhase::kBooting;
    Seconds created_at = 0;
    bool listed = false;  // in the newest list of machines

    // --- Decided about it.
    std::set<std::string> failed_jobs;  // jobs with a failed task since the last success
    bool cordoned = false;              // nothing is bound; it is drained and returned
    std::string cordon_reason;
    bool draining = false;                   // its work is being moved elsewhere, then it is returned
    bool deleting = false;                   // a deletion is on its way: nothing may be bound
    bool heartbeat_awaits_response = false;  // a heartbeat of it awaits its answer, which can go out at once

    // --- Recounted from placements and heartbeats; see jobs/resource_accounting.h.
    MachineUsage usage;
    bool usage_valid = false;   // nothing that `usage` counts has changed since
    Resources free;             // of the machine type's, besides usage.taken
    uint32_t placed_tasks = 0;  // live placements and reported tasks
    bool schedulable = false;   // tasks may be bound to it
    std::optional<Seconds> idle_since;

    // --- Of the scheduling pass under way.
    Resources reserved;          // of `free`, for gangs that wait
    Seconds reserved_until = 0;  // work that ends before may use it
    uint64_t room_changes = 0;   // how often what it can give has changed

    [[nodiscard]] bool idle() const { return placed_tasks == 0; }
};

}  // namespace hareshore
