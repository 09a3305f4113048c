// Placement of service replicas, and preemption for them.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServicePlacement : ServiceTest {};

}  // namespace

TEST_F(ServicePlacement, ReplicasAreNotPreempted) {
    Machine& machine = add_machine("vm-1");
    JobSpec low = service_spec("job-1", 4);
    low.priority = PriorityClass::kIdle;
    low.cpus = 4;
    Job& job = add_job(low);
    settings.preempt_after_s = 0;
    now += 10;
    ASSERT_EQ(start_on({&machine}), 4U);
    now += 60;
    JobSpec gang_spec = batch_spec("job-2", 1, PriorityClass::kProduction);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    schedule_for({&machine});
    EXPECT_EQ(count_stopping(job), 0U);
}

// The estimate that a user gives for a service is ignored: replicas do not end by themselves.
TEST_F(ServicePlacement, ReplicasAreNotExpectedToEnd) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.cpus = 16;
    spec.gpus = 1;
    spec.memory_gb = 8;
    spec.estimate_s = 30;
    add_job(spec);
    ASSERT_EQ(start_on({&first}), 1U);
    now += 25;
    apply_next_heartbeat(first);
    // A waiting array is not delayed until a replica ends.
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, second, 1, now);
    Job& waiting = add_job(batch_spec("job-3", 1, PriorityClass::kStandard));
    EXPECT_EQ(plan().scale_out.size(), 1U);
    jobs.erase(waiting.spec.id);
    // A gang that would need the replica's machine has no expected start, so its reservation may be
    // used for backfill.
    jobs.erase(busy.spec.id);
    JobSpec gang_spec = batch_spec("job-4", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    add_job(batch_spec("job-5", 1, PriorityClass::kStandard));
    auto bindings = schedule_for({&second});
    ASSERT_EQ(bindings.size(), 1U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-5");
}

TEST_F(ServicePlacement, ProductionServicePreemptsLowerPriorityAtOnce) {
    Machine& first = add_machine("vm-1");
    Job& low = add_job(batch_spec("job-1", 1, PriorityClass::kHigh));
    ASSERT_EQ(start_on({&first}), 1U);
    add_job(service_spec("job-2", 1));
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(count_stopping(low), 1U);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "the preempted task has not exited yet";
    execute_commands(first);
    auto bindings = schedule_for({&first});
    ASSERT_FALSE(bindings.empty());
    EXPECT_EQ(bindings[0].job->spec.id, "job-2") << "the service is served first";
}

// If nothing else makes room, a service of production priority also preempts work within its team's
// guarantee, and whole gangs.
TEST_F(ServicePlacement, ProductionServicePreemptsGangsAndGuaranteedWork) {
    Team guaranteed;
    guaranteed.name = "guaranteed";
    guaranteed.gpus = 100;
    config.teams.push_back(guaranteed);
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec gang_spec = batch_spec("job-1", 2, PriorityClass::kHigh);
    gang_spec.kind = JobKind::kGang;
    gang_spec.team = "guaranteed";
    Job& gang = add_job(gang_spec);
    ASSERT_EQ(start_on({&first, &second}), 2U);
    // A service of equal priority preempts nothing.
    Job& equal = add_job(service_spec("job-2", 1));
    equal.spec.priority = PriorityClass::kHigh;
    schedule_for({&first, &second});
    EXPECT_EQ(count_stopping(gang), 0U);
    equal.spec.priority = PriorityClass::kProduction;
    schedule_for({&first, &second});
    EXPECT_EQ(count_stopping(gang), 2U);
}

// Work is preempted in a zone where the replica may start, not where preemption would free most room.
TEST_F(ServicePlacement, PreemptsOnlyInZonesAllowedForReplica) {
    Machine &in_a = add_machine("vm-1"), &in_b = add_machine("vm-2", "b");
    Job& low = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    ASSERT_EQ(start_on({&in_b}), 1U);
    JobSpec spec = service_spec("job-1", 2);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    ASSERT_EQ(schedule_for({&in_a}).size(), 1U)
        << "half of the replicas, rounded up, although there is room for both";
    EXPECT_EQ(count_stopping(low), 1U);
    EXPECT_EQ(job.pending.size(), 1U);
    // Without the lower-priority work, a machine is requested in that zone.
    jobs.erase("job-2");
    cluster.machines.erase("vm-2");
    ScalingPlan scaling_plan = plan();
    ASSERT_EQ(scaling_plan.scale_out.size(), 1U);
    EXPECT_EQ(scaling_plan.scale_out[0].kind.zone, "b");
}

TEST_F(ServicePlacement, SpreadsReplacementsAcrossZones) {
    std::vector<Machine*> in_a, in_b;
    for (int i = 0; i < 4; ++i) in_a.push_back(&add_machine("vm-a" + std::to_string(i)));
    for (int i = 0; i < 4; ++i) in_b.push_back(&add_machine("vm-b" + std::to_string(i), "b"));
    JobSpec spec = service_spec("job-1", 5);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on(in_a), 3U);
    EXPECT_EQ(start_on(in_a), 0U) << "half of the replicas, rounded up, are already there";
    EXPECT_EQ(start_on(in_b), 2U);
    std::string lost_machine;
    for (const auto& [task, p] : job.live)
        if (p.zone == "b") lost_machine = p.machine;
    now += 60;
    jobs.on_machine_deleted(lost_machine, now);
    cluster.machines.erase(lost_machine);
    tasks_on.erase(lost_machine);
    EXPECT_EQ(start_on(in_a), 0U);
    std::vector<Machine*> remaining;
    for (auto& [name, machine] : cluster.machines)
        if (machine->zone == "b") remaining.push_back(machine.get());
    EXPECT_EQ(start_on(remaining), 1U);
    EXPECT_EQ(placements_by(job, &Placement::zone), (std::map<std::string, int>{{"a", 3}, {"b", 2}}));
}

// Losing one machine loses one replica, and a wave of spot reclaims loses at most half of the replicas.
TEST_F(ServicePlacement, SpreadsReplicasOverMachinesAndSpotKinds) {
    std::vector<Machine*> all;
    for (int i = 0; i < 4; ++i)
        all.push_back(&add_machine("vm-" + std::to_string(i), MachineKind{"g2", "a", i < 2}));
    JobSpec spec = service_spec("job-1", 4);
    spec.spot = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on({all[0]}), 1U) << "the other replicas wait for other machines";
    EXPECT_EQ(job.wait.reason, WaitReason::kDelayedForSpread);
    EXPECT_EQ(start_on(all), 3U);
    EXPECT_EQ(placements_by(job, &Placement::machine).size(), 4U);
    // The wait is bounded: a machine that requests work now is better than one that may do so later.
    Job& other_job = add_job(service_spec("job-2", 3));
    EXPECT_EQ(start_on({all[2]}), 1U);
    now += constants::kReplicaSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1U);
    now += constants::kReplicaSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1U);
    EXPECT_EQ(other_job.live.size(), 3U);
    // Three replicas on spot machines would be more than half of four.
    add_spot_machine("vm-9");
    spec.id = "job-3";
    Job& spot_job = add_job(spec);
    EXPECT_EQ(start_on({all[0], all[1], cluster.machine("vm-9")}), 2U);
    EXPECT_EQ(start_on({all[2], all[3]}), 2U);
    EXPECT_EQ(spot_job.live.size(), 4U);
}

TEST_F(ServicePlacement, WaitsForCachedImageOnlyIfSooner) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.image_gb = 1;  // the fetch takes 1 s; the next heartbeat of the machine with the image may take 4 s
    first.cache.use(spec.image, 1);
    add_job(spec);
    EXPECT_EQ(schedule_for({&second}).size(), 1U);
    spec.id = "job-2";
    spec.image_gb = 10;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&second}).empty());
    EXPECT_EQ(schedule_for({&first}).size(), 1U);
    // A replica waits at most half as long as the fetch takes.
    spec.id = "job-3";
    spec.image_gb = 5;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&second}).empty());
    now += 2.5;
    EXPECT_EQ(schedule_for({&second}).size(), 1U);
}

// A service never ends, so it must not backfill the room reserved for a gang; and it has no deadline or
// start objective to miss.
TEST_F(ServicePlacement, ServiceIsNotBackfilledAsShortWork) {
    config.wait_within["c"] = {2};
    JobSpec spec = service_spec("job-1", 1);
    spec.job_class = "c";
    spec.due_s = 5;
    spec.priority = PriorityClass::kIdle;
    spec.cpus = 16;
    Job& job = add_job(spec);
    now += 50;
    EXPECT_EQ(job.missed_objectives(config, now), 0);
    EXPECT_FALSE(job.likely_late(config, now));
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, second, 1, now);
    JobSpec gang_spec = batch_spec("job-3", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "reserved for the gang, which waits for the other machine";
}
