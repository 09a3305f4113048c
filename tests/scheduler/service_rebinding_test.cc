// Replicas that are bound again follow the same placement rules as at their first start.
#include <gtest/gtest.h>

#include <functional>

#include "standins/cloud.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// The scheduler binds placements, but nothing is launched. There is one machine per machine type and zone.
struct Rebinding : ServiceTest {
    Rebinding() {
        MachineType large = small_machine_type();
        large.name = "g8";
        cluster.machine_types.push_back(large);
    }
    Job& add(const std::string& id, uint32_t replicas, const std::function<void(JobSpec&)>& change = {}) {
        JobSpec spec = service_spec(id, replicas);
        spec.priority = JobSpec{}.priority;
        spec.image = "img-1";
        if (change) change(spec);
        return add_job(std::move(spec));
    }
    // Runs passes until one binds nothing: for a job without live tasks that has waited long, a pass binds
    // only one task.
    size_t bind_all(const std::vector<Machine*>& requesting_machines) {
        now += 60;  // long enough that no replica waits for a better spread any more
        size_t total = 0;
        while (size_t bound = schedule_for(requesting_machines).size()) total += bound;
        return total;
    }
};

}  // namespace

TEST_F(Rebinding, KeepsZoneMachineTypeAndSpotConstraints) {
    struct Rule {
        const char* name;
        std::function<void(JobSpec&)> set;
        // The machine that violates the rule.
        const char *zone, *machine_type;
        bool spot;
    };
    const Rule rules[] = {
        {"zone", [](JobSpec& spec) { spec.zone = std::string("a"); }, "b", "g2", false},
        {"type", [](JobSpec& spec) { spec.machine_types = {"g2"}; }, "a", "g8", false},
        {"kind", [](JobSpec&) {}, "a", "g2", true},
    };
    int index = 0;
    for (const Rule& rule : rules) {
        std::string id = "job-" + std::to_string(++index);
        Job& job = add(id, 2, rule.set);
        Machine &first = add_machine("first"),
                &wrong = add_machine("wrong", MachineKind{rule.machine_type, rule.zone, rule.spot});
        EXPECT_EQ(bind_all({&wrong}), 0U) << rule.name;
        ASSERT_EQ(bind_all({&first}), 2U) << rule.name;
        delete_machine(first.name);
        EXPECT_EQ(bind_all({&wrong}), 0U) << rule.name;
        EXPECT_EQ(job.pending.size(), 2U);
        Machine& right = add_machine("right");
        EXPECT_EQ(bind_all({&wrong, &right}), 2U) << rule.name;
        for (const auto& [task, p] : job.live) EXPECT_EQ(p.machine, "right") << rule.name;
        jobs.erase(id);
        cluster.machines.clear();
    }
}

// While another replica is still live in a zone, a replacement must be placed in the same zone.
TEST_F(Rebinding, SingleZoneServiceStaysInZoneOfLiveReplicas) {
    Job& job = add("job-1", 2, [](JobSpec& spec) { spec.single_zone = true; });
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2"), &in_b = add_machine("vm-3", "b");
    ASSERT_EQ(bind_all({&first}), 2U);
    jobs.stop(job, 0, StopMode::kSaveFirst);
    EXPECT_EQ(bind_all({&in_b}), 0U) << "both replicas may still be live";
    // One replica has ended; the other is being stopped and counts until it has exited.
    jobs.stop(job, 1, StopMode::kSaveFirst);
    apply_heartbeat(first,
                    {task_status("job-1", 0, job.live.at(0).attempt, TaskPhase::kExited, ExitCause::kStopped),
                     task_status("job-1", 1, job.live.at(1).attempt, TaskPhase::kRunning)});
    ASSERT_EQ(job.pending.size(), 1U);
    EXPECT_EQ(bind_all({&in_b}), 0U);
    EXPECT_EQ(bind_all({&second}), 1U);
    EXPECT_EQ(job.live.at(0).zone, "a");
    // Without live replicas any zone is allowed.
    delete_machine(first.name);
    delete_machine(second.name);
    EXPECT_EQ(bind_all({&in_b}), 2U);
}

// A zone gets at most half of the replicas, rounded up, including predecessors that may still be live.
TEST_F(Rebinding, SpreadServicePlacesHalfRoundedUpPerZone) {
    for (uint32_t replicas : {1U, 2U, 5U, 9U}) {
        uint32_t half = (replicas + 1) / 2;
        Job& job = add("job-1", replicas, [](JobSpec& spec) { spec.spread_across_zones = true; });
        Machine &in_a = add_machine("vm-1"), &in_b = add_machine("vm-2", "b"),
                &second_in_a = add_machine("vm-3");
        ASSERT_EQ(bind_all({&in_a}), half) << replicas;
        ASSERT_EQ(bind_all({&in_b}), replicas - half) << replicas;
        // The replicas in zone b are stopped. They count there until they have exited, and zone a has no
        // room for more.
        for (const auto& [task, p] : job.live)
            if (p.machine == "vm-2") jobs.stop(job, task, StopMode::kSaveFirst);
        EXPECT_EQ(bind_all({&in_a, &second_in_a}), 0U) << replicas;
        delete_machine(in_b.name);
        EXPECT_EQ(bind_all({&in_a, &second_in_a}), 0U) << replicas;
        EXPECT_EQ(job.pending.size(), replicas - half);
        Machine& second_in_b = add_machine("vm-4", "b");
        EXPECT_EQ(bind_all({&second_in_b}), replicas - half) << replicas;
        // The replicas in zone a are lost: their replacements may be placed there again, up to the same
        // half.
        delete_machine(in_a.name);
        EXPECT_EQ(bind_all({&second_in_a}), half) << replicas;
        jobs.erase("job-1");
        cluster.machines.clear();
    }
}

// A replica that is being stopped, or whose machine is silent, counts against its team's limit until it is
// known to have ended.
TEST_F(Rebinding, LimitCountsPredecessorsThatMayBeLive) {
    for (bool cpus : {true, false}) {
        config.teams[0].cpus_max = cpus ? 4 : 0;
        config.teams[0].gpus_max = cpus ? 0 : 2;
        auto amount = [&](JobSpec& spec) { spec.gpus = cpus ? 0 : 0.5; };
        Job& job = add("job-1", 4, amount);
        Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
        ASSERT_EQ(bind_all({&first}), 4U);
        add("job-2", 1, [&](JobSpec& spec) {
            amount(spec);
            spec.kind = JobKind::kArray;
        });
        add("job-3", 1, amount);
        for (uint32_t task = 0; task < 4; ++task) jobs.stop(job, task, StopMode::kSaveFirst);
        EXPECT_EQ(bind_all({&second}), 0U) << "stopping replicas still count";
        first.has_current_token = false;
        now += 500;
        EXPECT_EQ(bind_all({&second}), 0U) << "replicas on a silent machine still count";
        delete_machine(first.name);
        EXPECT_EQ(bind_all({&second}), 4U) << "no more replicas than the limit allows";
        // A running attempt without a placement still counts against the limit.
        MachineTask unplaced_task;
        unplaced_task.name = {"job-9", 0};
        unplaced_task.attempt = 1;
        unplaced_task.phase = TaskPhase::kRunning;
        unplaced_task.size_known = true;
        unplaced_task.team = "team";
        unplaced_task.amount = {1, cpus ? 0 : 0.5, 2};
        Machine& third = add_machine("vm-3");
        third.tasks = {unplaced_task};
        jobs.on_machine_deleted("vm-2", now);
        EXPECT_EQ(bind_all({&second}), 3U);
        for (const char* id : {"job-1", "job-2", "job-3"}) jobs.erase(id);
        cluster.machines.clear();
    }
}
