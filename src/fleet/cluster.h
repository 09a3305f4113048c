// The leader's view of the machines: who is there, what runs on them, what room and images they have.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "cloud/cloud.h"
#include "config/config.h"
#include "jobs/spec.h"
#include "workers/workers.h"

namespace hareshore {

// Which images a machine has. Reports do not say, so it is followed from what ran there: the least
// recently used go first, as the protocol promises.
class ImageCache {
  public:
    explicit ImageCache(double capacity_gb = 0) : capacity_(capacity_gb) {}
    void set_capacity(double gb) { capacity_ = gb; }
    void use(const std::string& image, double gb);
    bool has(const std::string& image) const;
    void clear() { images_.clear(); }

  private:
    struct Image {
        std::string name;
        double gb;
    };
    double capacity_;
    std::vector<Image> images_;  // most recently used first
};

inline constexpr double kEps = 1e-9;  // sums of decimals such as 0.1 are not exact

struct Amount {
    double cpus = 0, gpus = 0, memory_gb = 0;
    Amount& operator+=(const Amount& o);
    Amount& operator-=(const Amount& o);
    // Whether one task of this size fits; asked of all machines for each job, so it must cost little.
    bool holds(const Amount& a) const {
        return cpus + kEps >= a.cpus && gpus + kEps >= a.gpus && memory_gb + kEps >= a.memory_gb;
    }
    bool holds(const JobSpec& s) const { return holds(of(s)); }
    // The smaller of each.
    Amount lesser(const Amount& o) const {
        return {std::min(cpus, o.cpus), std::min(gpus, o.gpus), std::min(memory_gb, o.memory_gb)};
    }
    // How many tasks of this size fit, at most `most`.
    uint32_t fits(const JobSpec& s, uint32_t most) const;
    static Amount of(const JobSpec& s) { return {s.cpus, s.gpus, s.memory_gb}; }
};

// A task as the machine last reported it.
struct MachineTask {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    uint64_t exit_version =
        0;               // the job's version that accounts for the exit; it may be forgotten once committed
    bool sized = false;  // amount and team are known
    Amount amount;
    std::string team;
};

struct Machine {
    std::string name, addr, machine_type, zone;
    bool spot = false;

    // From its reports.
    uint64_t session = 0, seq = 0;
    bool reported = false;    // to this leader
    bool current = false;     // it has seen this leader's epoch: older launches can no longer arrive
    Seconds last_report = 0;  // when it last reported, or when this leader first knew of it
    Seconds leaves_at = -1;   // spot notice
    std::vector<MachineTask> tasks;
    ImageCache cache;

    // Whether it hears what it is told. One whose reports arrive while answers and commands are lost looks
    // alive and idle, and would be bound to over and over.
    Seconds unheard_since = -1;    // since when nothing shows that it hears us; negative: it does
    Seconds answered_at = -1;      // its newest report that was answered 200
    uint64_t answered_seq = 0;     // the newest number seen of it by then; commands number reports, too
    bool answered_direct = false;  // on its own connection, and no command was sent to it since
    // Takes what a report that is newer than all before says of the answers to those; it has not been
    // taken in yet. `direct`: it came on the worker's own connection.
    void judge_hearing(const Report& report, bool direct, Seconds lease_s, Seconds now);
    void answered(bool direct, Seconds now);

    // From the cloud.
    MachinePhase phase = MachinePhase::kBooting;
    Seconds born = 0;
    bool listed = false;

    // Judgement.
    std::set<std::string> failed_jobs;  // jobs with a failed task since the last success
    bool condemned = false;             // to be drained and returned
    bool emptying = false;              // its work is being moved elsewhere, then it is returned
    bool deleting = false;              // a deletion is on its way: nothing may be bound
    bool holding = false;               // a report of it is being held: an answer can go out at once
    std::string why_condemned;
    Seconds idle_since = -1;

    // Of the reported tasks, one that runs here though no placement accounts for it.
    struct UnplacedTask {
        std::string job, team;
        Amount amount;
    };
    // What placements and reported tasks take, counted when either has changed (`counted`): most scheduling
    // passes come with the news of a few machines, and counting all of them anew was their largest cost.
    struct TaskCount {
        Amount taken;
        uint32_t placed = 0;
        bool all_sized = true;  // of each reported task it is known what it takes
        std::vector<UnplacedTask> unplaced;
    };
    TaskCount count;
    bool counted = false;

    // Recounted from placements and reports.
    Amount free;
    Amount kept;             // of it, kept for gangs that wait
    Seconds kept_until = 0;  // work that ends before may use it
    uint32_t placed = 0;     // live placements and reported tasks
    bool usable = false;
    uint64_t changes = 0;  // of what it can give, in the scheduling pass under way

    bool idle() const { return placed == 0; }
};

class JobTable;

struct TeamUse {
    double cpus = 0, gpus = 0;
};

struct Cluster {
    std::map<std::string, std::unique_ptr<Machine>> machines;
    std::vector<MachineType> machine_types;
    std::unordered_map<std::string, TeamUse> teams;

    const MachineType* machine_type(const std::string& name) const;
    Machine* machine(const std::string& name);
    Machine& ensure(const std::string& name, Seconds now);
    // Brings room and team use up to date: placements and reported tasks both count, each task once.
    void recount(JobTable& jobs, Seconds now, Seconds silent_after);
    // The same of one machine's room alone, without team use.
    void recount_machine(Machine& machine, JobTable& jobs, Seconds now, Seconds silent_after) const;
    // Whether the team's limit allows so many more tasks beside what it uses and what is kept.
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUse kept = {}) const;
};

}  // namespace hareshore
