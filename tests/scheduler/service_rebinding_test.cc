// Replicas that are bound again: they keep to the rules of every start as the first ones did.
#include <gtest/gtest.h>

#include <functional>

#include "standins/cloud.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Placements are bound by the scheduler alone; nothing is launched. One machine of each kind and zone.
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
    // Passes follow each other until one binds nothing: of a job without a live task that has waited long, a
    // pass binds one.
    size_t bound(const std::vector<Machine*>& requesting_machines) {
        now += 60;  // no replica waits for an emptier machine any more
        size_t all = 0;
        while (size_t number = schedule_for(requesting_machines).size()) all += number;
        return all;
    }
};

}  // namespace

TEST_F(Rebinding, KeepsToZoneTypeAndKindOfMachine) {
    struct Rule {
        const char* what;
        std::function<void(JobSpec&)> set;
        const char *zone, *machine_type;
        bool spot;  // of a machine that breaks it
    };
    const Rule rules[] = {
        {"zone", [](JobSpec& spec) { spec.zone = std::string("a"); }, "b", "g2", false},
        {"type", [](JobSpec& spec) { spec.machine_types = {"g2"}; }, "a", "g8", false},
        {"kind", [](JobSpec&) {}, "a", "g2", true},
    };
    int n = 0;
    for (const Rule& rule : rules) {
        std::string id = "job-" + std::to_string(++n);
        Job& job = add(id, 2, rule.set);
        Machine &first = add_machine("first"),
                &wrong = add_machine("wrong", MachineKind{rule.machine_type, rule.zone, rule.spot});
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        ASSERT_EQ(bound({&first}), 2U) << rule.what;
        delete_machine(first.name);
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        EXPECT_EQ(job.pending.size(), 2U);
        Machine& right = add_machine("right");
        EXPECT_EQ(bound({&wrong, &right}), 2U) << rule.what;
        for (const auto& [task, p] : job.live) EXPECT_EQ(p.machine, "right") << rule.what;
        jobs.erase(id);
        cluster.machines.clear();
    }
}

// While one replica is where it was, the other's successor must come there too.
TEST_F(Rebinding, StaysInTheOneZoneOfTheOthers) {
    Job& job = add("job-1", 2, [](JobSpec& spec) { spec.single_zone = true; });
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2"), &other = add_machine("vm-3", "b");
    ASSERT_EQ(bound({&first}), 2U);
    jobs.stop(job, 0, now);
    EXPECT_EQ(bound({&other}), 0U) << "both may still be live";
    // One has ended; the other is being stopped, and counts until it is gone.
    jobs.stop(job, 1, now);
    report(first, {task_status("job-1", 0, job.live.at(0).attempt, TaskPhase::kExited, ExitCause::kStopped),
                   task_status("job-1", 1, job.live.at(1).attempt, TaskPhase::kRunning)});
    ASSERT_EQ(job.pending.size(), 1U);
    EXPECT_EQ(bound({&other}), 0U);
    EXPECT_EQ(bound({&y}), 1U);
    EXPECT_EQ(job.live.at(0).zone, "a");
    // With none left any zone will do.
    delete_machine(first.name);
    delete_machine(y.name);
    EXPECT_EQ(bound({&other}), 2U);
}

// At most half, rounded up, counted with predecessors that may still be live.
TEST_F(Rebinding, PutsHalfRoundedUpIntoAZone) {
    for (uint32_t replicas : {1U, 2U, 5U, 9U}) {
        uint32_t half = (replicas + 1) / 2;
        Job& job = add("job-1", replicas, [](JobSpec& spec) { spec.spread_across_zones = true; });
        Machine &in_a = add_machine("vm-1"), &b = add_machine("vm-2", "b"), &again = add_machine("vm-3");
        ASSERT_EQ(bound({&in_a}), half) << replicas;
        ASSERT_EQ(bound({&b}), replicas - half) << replicas;
        // Those of `b` move: until their exit is known they are there, and there is no room in `a`.
        for (const auto& [task, p] : job.live)
            if (p.machine == "vm-2") jobs.stop(job, task, now);
        EXPECT_EQ(bound({&in_a, &again}), 0U) << replicas;
        delete_machine(b.name);
        EXPECT_EQ(bound({&in_a, &again}), 0U) << replicas;
        EXPECT_EQ(job.pending.size(), replicas - half);
        Machine& b2 = add_machine("vm-4", "b");
        EXPECT_EQ(bound({&b2}), replicas - half) << replicas;
        // Those of `a` are lost: their successors may come back to it, and no more of them than half.
        delete_machine(in_a.name);
        EXPECT_EQ(bound({&again}), half) << replicas;
        jobs.erase("job-1");
        cluster.machines.clear();
    }
}

// A replica that is being moved, or whose machine is silent, uses its team's limit until it is gone.
TEST_F(Rebinding, KeepsTheLimitWhileAPredecessorMayBeLive) {
    for (bool cpus : {true, false}) {
        config.teams[0].cpus_max = cpus ? 4 : 0;
        config.teams[0].gpus_max = cpus ? 0 : 2;
        auto amount = [&](JobSpec& spec) { spec.gpus = cpus ? 0 : 0.5; };
        Job& job = add("job-1", 4, amount);
        Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
        ASSERT_EQ(bound({&first}), 4U);
        add("job-2", 1, [&](JobSpec& spec) {
            amount(spec);
            spec.kind = JobKind::kArray;
        });
        add("job-3", 1, amount);
        for (uint32_t task = 0; task < 4; ++task) jobs.stop(job, task, now);
        EXPECT_EQ(bound({&y}), 0U) << "stopping is not gone";
        first.current = false;
        now += 500;
        EXPECT_EQ(bound({&y}), 0U) << "nor is silence";
        delete_machine(first.name);
        EXPECT_EQ(bound({&y}), 4U) << "and then no more than the limit";
        // An attempt that no placement accounts for still takes its part.
        MachineTask has_unplaced_task;
        has_unplaced_task.name = {"job-9", 0};
        has_unplaced_task.attempt = 1;
        has_unplaced_task.phase = TaskPhase::kRunning;
        has_unplaced_task.sized = true;
        has_unplaced_task.team = "team";
        has_unplaced_task.amount = {1, cpus ? 0 : 0.5, 2};
        Machine& third = add_machine("vm-3");
        third.tasks = {has_unplaced_task};
        jobs.machine_deleted("vm-2", now);
        EXPECT_EQ(bound({&y}), 3U);
        for (const char* id : {"job-1", "job-2", "job-3"}) jobs.erase(id);
        cluster.machines.clear();
    }
}
