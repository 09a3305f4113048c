// A gang that waits on a full fleet, as a new leader sees it. No I/O.
//
// Guards against starvation of gangs: a gang needs machines and part of its team's limit at the same time.
// While machines were missing, the limit was given to the team's lower-priority work; when machines became
// free, the limit was missing, and no room was reserved while it was. On a full fleet the two shortages
// alternated until the gang starved.
#include <gtest/gtest.h>

#include "jobs/resource_accounting.h"
#include "scheduler/scheduler.h"
#include "standins/deployment.h"

using namespace hareshore;

namespace {

constexpr Seconds kNow = 1000;
constexpr double kWallNow = 50'000;
constexpr Seconds kGangExpectedWait_s =
    100;                            // until the last machine for the gang is expected to become free
constexpr Seconds kGangAge_s = 60;  // far below begin_bound_s

struct Starvation : testing::Test {
    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    uint64_t revision = 1;
    Machine* other_zone = nullptr;

    // Zone "a" has an idle machine and one used by another team; the gang needs both, and all of its team's
    // limit. Zone "b" has an idle machine that the gang may not use.
    Starvation() {
        config.zones = {"a", "b"};
        config.value_bytes = 8192;
        cluster.machine_types = {test::small_machine_type()};
        const MachineType& machine_type = cluster.machine_types.front();
        Team waiting, busy;
        waiting.name = "waiting";
        waiting.gpus_max = 2 * machine_type.gpus;
        busy.name = "busy";
        busy.gpus_max = 100;
        config.teams = {waiting, busy};

        receive_heartbeat("vm-1", "a", {});
        inherit(whole_machine("running", "busy", 1), 0, {{0, {1, "vm-2", "a"}}});
        receive_heartbeat("vm-2", "a", {{{"running", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false}});
        other_zone = &receive_heartbeat("vm-3", "b", {});
        inherit(whole_machine("gang", "waiting", 2), kGangAge_s);
    }

    JobSpec whole_machine(const std::string& id, const std::string& team, uint32_t tasks) {
        const MachineType& machine_type = cluster.machine_types.front();
        JobSpec spec;
        spec.id = id;
        spec.team = team;
        spec.kind = JobKind::kGang;
        spec.tasks = tasks;
        spec.cpus = machine_type.cpus;
        spec.gpus = machine_type.gpus;
        spec.memory_gb = machine_type.memory_gb;
        spec.zone = "a";
        spec.single_zone = true;
        spec.estimate_s = kGangExpectedWait_s;
        return spec;
    }

    JobSpec array(PriorityClass priority, Seconds estimate_s) {
        JobSpec spec;
        spec.id = "array";
        spec.team = "waiting";
        spec.priority = priority;
        spec.tasks = 1;
        spec.cpus = spec.gpus = spec.memory_gb = 1;
        spec.estimate_s = estimate_s;
        return spec;
    }

    // Loads a job as a new leader does after a failover.
    Job& inherit(JobSpec spec, Seconds age_s, std::map<uint32_t, PlacementRecord> live = {}) {
        JobRecord record;
        record.accepted_wall = {kWallNow - age_s};
        record.next_attempt = live.empty() ? 1 : live.begin()->second.attempt + 1;
        record.spec = std::move(spec);
        record.live = std::move(live);
        return jobs.load(record, ++revision, kNow, {kWallNow});
    }

    Machine& receive_heartbeat(const std::string& name, const std::string& zone,
                               std::vector<TaskStatus> tasks) {
        Machine& machine = cluster.find_or_add(name, kNow);
        WorkerHeartbeat heartbeat;
        heartbeat.machine = name;
        heartbeat.zone = zone;
        heartbeat.machine_type = cluster.machine_types.front().name;
        heartbeat.incarnation = 1;
        heartbeat.sequence = 1;
        heartbeat.tasks = std::move(tasks);
        machine.heartbeat_received = machine.has_current_token = true;
        jobs.apply_heartbeat(cluster, machine, heartbeat, Absence::kProven, kNow);
        return machine;
    }

    // Runs a scheduling pass in which the machine in the other zone requests work.
    std::vector<Binding> run_pass() {
        recount(cluster, jobs, kNow, 10);
        return schedule(cluster, jobs, {config, settings, kNow, {other_zone}, kNewestRecordFormat});
    }
};

}  // namespace

TEST_F(Starvation, GangWithoutMachinesReservesLimitAgainstLowerPriority) {
    inherit(array(PriorityClass::kIdle, 2 * kGangExpectedWait_s), 5);
    EXPECT_TRUE(run_pass().empty()) << "the array would still use the limit when the machines become free";
    EXPECT_EQ(jobs.find("gang")->wait.reason, WaitReason::kGangRoom);
    EXPECT_EQ(jobs.find("array")->wait.reason, WaitReason::kTeamLimit);
}

TEST_F(Starvation, ReservedLimitIsBackfilledUntilGangHasRoom) {
    inherit(array(PriorityClass::kIdle, kGangExpectedWait_s / 2), 5);
    EXPECT_EQ(run_pass().size(), 1U);
}

TEST_F(Starvation, LimitIsNotReservedWithoutExpectedRoom) {
    cluster.machine("vm-2")->cordoned = true;
    inherit(array(PriorityClass::kIdle, 2 * kGangExpectedWait_s), 5);
    EXPECT_EQ(run_pass().size(), 1U);
}

TEST_F(Starvation, UnstarvedGangReservesNoLimitAgainstEqualPriority) {
    inherit(array(PriorityClass::kStandard, 2 * kGangExpectedWait_s), 5);
    EXPECT_EQ(run_pass().size(), 1U);
}

TEST_F(Starvation, StarvedGangAllowsNoBackfillOfItsLimit) {
    jobs.find("gang")->accepted -= settings.begin_bound_s;
    inherit(array(PriorityClass::kIdle, 0), 5);
    EXPECT_TRUE(run_pass().empty()) << "not even for a task with an estimate of zero";
}
