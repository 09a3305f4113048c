// A gang that waits on a full fleet, seen by a new leader, without I/O.
//
// What is guarded against: a gang needs room on machines and a part of its team's limit at once. While
// machines were lacking the limit was given to the team's lower work; when machines came free the limit was
// lacking, and no room was kept meanwhile. On a full fleet the two took turns until the gang starved.
#include <gtest/gtest.h>

#include "jobs/resource_accounting.h"
#include "scheduler/scheduler.h"
#include "standins/deployment.h"

using namespace hareshore;

namespace {

constexpr Seconds kNow = 1000;
constexpr double kWallNow = 50'000;
constexpr Seconds kGangRoomIn_s = 100;  // when the last machine for the gang is expected to come free
constexpr Seconds kGangAge_s = 60;      // far from starving

struct Starvation : testing::Test {
    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    uint64_t revision = 1;
    Machine* other_zone = nullptr;

    // Zone "a" has an idle machine and one that is taken by another team; the gang needs both, and all of its
    // team's limit. Zone "b" has an idle machine that the gang may not use.
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

        report("vm-1", "a", {});
        inherit(whole_machine("running", "busy", 1), 0, {{0, {1, "vm-2", "a"}}});
        report("vm-2", "a", {{{"running", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false}});
        other_zone = &report("vm-3", "b", {});
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
        spec.estimate_s = kGangRoomIn_s;
        return spec;
    }

    JobSpec array(PriorityClass rank, Seconds estimate_s) {
        JobSpec spec;
        spec.id = "array";
        spec.team = "waiting";
        spec.priority = rank;
        spec.tasks = 1;
        spec.cpus = spec.gpus = spec.memory_gb = 1;
        spec.estimate_s = estimate_s;
        return spec;
    }

    // As a leader reads it at its take-over.
    Job& inherit(JobSpec spec, Seconds age_s, std::map<uint32_t, PlacementRecord> live = {}) {
        JobRecord record;
        record.accepted_wall = {kWallNow - age_s};
        record.next_attempt = live.empty() ? 1 : live.begin()->second.attempt + 1;
        record.spec = std::move(spec);
        record.live = std::move(live);
        return jobs.load(record, ++revision, kNow, {kWallNow});
    }

    Machine& report(const std::string& name, const std::string& zone, std::vector<TaskStatus> tasks) {
        Machine& machine = cluster.ensure(name, kNow);
        WorkerHeartbeat report;
        report.machine = name;
        report.zone = zone;
        report.machine_type = cluster.machine_types.front().name;
        report.incarnation = 1;
        report.sequence = 1;
        report.tasks = std::move(tasks);
        machine.heartbeat_received = machine.has_current_token = true;
        jobs.apply_heartbeat(cluster, machine, report, Absence::kProven, kNow);
        return machine;
    }

    // The machine in the other zone asks for work.
    std::vector<Binding> round() {
        recount(cluster, jobs, kNow, 10);
        return schedule(cluster, jobs, {config, settings, kNow, {other_zone}, kNewestRecordFormat});
    }
};

}  // namespace

TEST_F(Starvation, AGangThatLacksMachinesKeepsItsTeamsLimitFromLowerWork) {
    inherit(array(PriorityClass::kIdle, 2 * kGangRoomIn_s), 5);
    EXPECT_TRUE(round().empty()) << "it would still hold the limit when the machines come free";
    EXPECT_EQ(jobs.find("gang")->wait.reason, WaitReason::kGangRoom);
    EXPECT_EQ(jobs.find("array")->wait.reason, WaitReason::kTeamLimit);
}

TEST_F(Starvation, TheLimitIsLentToLowerWorkThatEndsBeforeTheGangHasRoom) {
    inherit(array(PriorityClass::kIdle, kGangRoomIn_s / 2), 5);
    EXPECT_EQ(round().size(), 1U);
}

TEST_F(Starvation, TheLimitIsLentWhileNoRoomIsInSight) {
    cluster.machine("vm-2")->cordoned = true;
    inherit(array(PriorityClass::kIdle, 2 * kGangRoomIn_s), 5);
    EXPECT_EQ(round().size(), 1U);
}

TEST_F(Starvation, AGangThatDoesNotStarveKeepsNoLimitFromWorkOfItsOwnRank) {
    inherit(array(PriorityClass::kStandard, 2 * kGangRoomIn_s), 5);
    EXPECT_EQ(round().size(), 1U);
}

TEST_F(Starvation, AStarvedGangLendsNothingOfItsLimit) {
    jobs.find("gang")->accepted -= settings.begin_bound_s;
    inherit(array(PriorityClass::kIdle, 0), 5);
    EXPECT_TRUE(round().empty()) << "not even to work that claims to take no time";
}
