// Reservations of machines and team limits for waiting gangs.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// The last moment at which a reservation without an expected start has not expired.
constexpr Seconds kBeforeExpiry_s = constants::kReservationWithoutExpectedStart_s - 1;

struct GangReservation : SchedulingTest {
    static JobSpec service_spec(const std::string& id, uint32_t replicas, PriorityClass priority) {
        JobSpec spec = job_spec(id, replicas, JobKind::kService);
        spec.priority = priority;
        spec.checkpoint_s = spec.save_s = spec.estimate_s = 0;
        return spec;
    }
    static JobSpec idle_array(const std::string& id, uint32_t tasks) {
        JobSpec spec = job_spec(id, tasks);
        spec.priority = PriorityClass::kIdle;
        spec.estimate_s = 20;
        return spec;
    }
    // Places all tasks of the job on the machine, as running.
    void run_on(Machine& machine, Job& job) {
        std::vector<TaskStatus> running;
        for (uint32_t task = 0; task < job.spec.tasks; ++task) {
            jobs.bind(job, task, machine, task + 1, now);
            running.push_back(task_status(job.spec.id, task, task + 1, TaskPhase::kRunning));
        }
        mark_committed(job);
        apply_heartbeat(machine, running);
    }
};

}  // namespace

// Machines that become free are reserved for a waiting gang, except for tasks that end before the gang can
// start.
TEST_F(GangReservation, BackfillsReservedRoomWithShortTasks) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec long_spec = job_spec("job-1", 1);
    long_spec.gpus = 2;
    long_spec.estimate_s = 200;
    Job& busy = add_job(long_spec);
    jobs.bind(busy, 0, second, 1, now);
    mark_committed(busy);
    jobs.apply_heartbeat(cluster, second,
                         heartbeat(second, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    JobSpec gang_spec = job_spec("job-2", 2, JobKind::kGang);
    gang_spec.gpus = 2;
    gang_spec.single_zone = true;
    add_job(gang_spec);
    JobSpec long_job = job_spec("job-3", 1), short_job = job_spec("job-4", 1);
    long_job.estimate_s = 300;
    short_job.estimate_s = 20;
    now += 1;
    add_job(long_job);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "reserved for the gang";
    add_job(short_job);
    auto bindings = schedule_for({&first});
    ASSERT_EQ(bindings.size(), 1U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-4");
}

// For a gang that waits for its team's limit, the team's own lower-priority work is preempted, and small
// jobs of the team that arrive later do not keep taking the freed part of the limit.
TEST_F(GangReservation, ReservesTeamLimitForWaitingGang) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    add_machine("vm-3");
    Job& lower_priority = add_job(job_spec("job-1", 2));
    lower_priority.spec.priority = PriorityClass::kIdle;
    Job& same_priority = add_job(job_spec("job-2", 2));
    ASSERT_EQ(schedule_for({&first, &second}).size(), 4U) << "the limit is used up";
    mark_committed(lower_priority);
    mark_committed(same_priority);
    now += 1;
    Job& gang = add_job(job_spec("job-3", 3, JobKind::kGang));
    JobSpec idle_spec = job_spec("job-5", 1);
    idle_spec.priority = PriorityClass::kIdle;
    Job& idle_job = add_job(idle_spec);
    config.teams[0].gpus_max = 5;
    EXPECT_TRUE(schedule_for({&first, &second, cluster.machine("vm-3")}).empty())
        << "the free part of the limit is reserved against lower-priority work";
    EXPECT_EQ(idle_job.wait.reason, WaitReason::kTeamLimit);
    config.teams[0].gpus_max = 4;
    now += settings.begin_bound_s + 1;
    schedule_for({&first});
    auto count_stopping_tasks = [&](Job& job) {
        return std::count_if(job.live.begin(), job.live.end(), [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(count_stopping_tasks(lower_priority), 0)
        << "preempting them would not free enough of the limit";
    gang.spec.tasks = 2;
    gang.pending = Ranges::whole(2);
    schedule_for({&first});
    EXPECT_EQ(count_stopping_tasks(lower_priority), 2);
    EXPECT_EQ(count_stopping_tasks(same_priority), 0);
    // Too little of the limit was freed, and a small job arrives.
    gang.spec.tasks = 3;
    gang.pending = Ranges::whole(3);
    lower_priority.cancelled = true;
    for (const auto& placed : std::vector(jobs.placements_on("vm-1")))
        if (placed.job->spec.id == "job-1") jobs.on_machine_deleted("vm-1", now);
    add_job(job_spec("job-4", 1));
    EXPECT_TRUE(schedule_for({&first, &second}).empty()) << "the free part of the limit is reserved";
    EXPECT_EQ(gang.wait.reason, WaitReason::kTeamLimit);
    // The limit would now suffice, but machines are missing. The limit stays reserved; otherwise the work
    // preempted for the gang would start again and be preempted again.
    config.teams[0].gpus_max = cluster.teams["team"].gpus + 2;
    gang.spec.tasks = 2;
    gang.spec.single_zone = true;
    gang.spec.zone = std::string("b");
    gang.pending = Ranges::whole(2);
    EXPECT_TRUE(schedule_for({&first, &second, cluster.machine("vm-3")}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kGangRoom);
}

// The limit reserved for a starved gang does not count against the gang itself: it still gets reservations
// on machines that become free.
TEST_F(GangReservation, StarvedGangReservesLimitAndMachines) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec long_spec = job_spec("job-1", 1);
    long_spec.gpus = 2;
    long_spec.estimate_s = 300;
    Job& busy = add_job(long_spec);
    jobs.bind(busy, 0, second, 1, now);
    mark_committed(busy);
    config.teams[0].gpus_max = 6;
    JobSpec gang_spec = job_spec("job-2", 2, JobKind::kGang);
    gang_spec.gpus = 2;
    gang_spec.single_zone = true;
    add_job(gang_spec);
    Team other;
    other.name = "other";
    config.teams.push_back(other);
    JobSpec other_teams_job = job_spec("job-3", 1);
    other_teams_job.team = "other";
    other_teams_job.estimate_s = 900;
    now += settings.begin_bound_s + 1;
    add_job(other_teams_job);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "the machine is reserved, also against other teams";
    jobs.on_machine_deleted("vm-2", now);
    busy.done = Ranges::whole(1);
    busy.pending = {};
    EXPECT_EQ(schedule_for({&first, &second}).size(), 2U);
}

// Guards against work that never runs again beside empty machines: a gang that its team's limit cannot take
// beside a running service must not keep the rest of the limit from the team's other work, not even when it
// starves.
TEST_F(GangReservation, ReservesNoLimitThatServicesDoNotGiveBack) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    run_on(first, add_job(service_spec("job-1", 2, PriorityClass::kProduction)));
    Job& gang = add_job(job_spec("job-2", 3, JobKind::kGang));  // 2 + 3 GPUs of 4
    add_job(idle_array("job-3", 1));
    EXPECT_EQ(schedule_for({&second}).size(), 1U);
    EXPECT_EQ(gang.wait.reason, WaitReason::kTeamLimit);
    now += settings.begin_bound_s + 1;
    add_job(idle_array("job-4", 1));
    EXPECT_EQ(schedule_for({&second}).size(), 1U);
}

// Guards against a service of production rank that stays short of a replica because of a gang of lower rank
// that could not use what the replica gave back.
TEST_F(GangReservation, ServiceReplacesLostReplicaBesideStarvedGang) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    Job& service = add_job(service_spec("job-1", 2, PriorityClass::kProduction));
    run_on(first, service);
    add_job(job_spec("job-2", 4, JobKind::kGang));  // all of the limit
    now += settings.begin_bound_s + 1;
    apply_heartbeat(first, {task_status("job-1", 0, 1, TaskPhase::kRunning),
                            task_status("job-1", 1, 2, TaskPhase::kExited, ExitCause::kError)});
    ASSERT_EQ(service.pending.size(), 1U);
    auto bindings = schedule_for({&second});
    ASSERT_EQ(bindings.size(), 1U);
    EXPECT_EQ(bindings[0].job, &service);
}

// The same for a gang of one task, which is placed as tasks of an array are.
TEST_F(GangReservation, OneTaskGangReservesNoLimitThatServicesDoNotGiveBack) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    run_on(first, add_job(service_spec("job-1", 2, PriorityClass::kProduction)));
    config.teams[0].gpus_max = 3;
    JobSpec gang = job_spec("job-2", 1, JobKind::kGang);
    gang.gpus = 2;
    add_job(gang);
    add_job(idle_array("job-3", 1));
    EXPECT_EQ(schedule_for({&second}).size(), 1U);
}

// A service of lower rank gives nothing back either, but its missing replicas wait for the gang.
TEST_F(GangReservation, ReservesLimitAgainstMissingReplicasOfLowerRank) {
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    config.teams[0].gpus_max = 3;
    Job& service = add_job(service_spec("job-1", 2, PriorityClass::kIdle));
    run_on(first, service);
    Job& gang = add_job(job_spec("job-2", 2, JobKind::kGang));  // 1 + 2 GPUs of 3
    schedule_for({});
    delete_machine("vm-1");
    jobs.bind(service, 0, second, 9, now);
    mark_committed(service);
    Machine& third = add_machine("vm-3");
    third.spot = true;  // which the gang may not use
    service.spec.spot = true;
    EXPECT_TRUE(schedule_for({&third}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kGangRoom);
    EXPECT_EQ(service.wait.reason, WaitReason::kTeamLimit);
}

// Guards against a service that waits for ever beside machines which are reserved for a gang that never gets
// the other machines it needs.
TEST_F(GangReservation, MachinesAreNotReservedForEverWithoutExpectedStart) {
    config.teams[0].gpus_max = 0;
    Machine& first = add_machine("vm-1");
    JobSpec gang = job_spec("job-1", 2, JobKind::kGang);
    gang.gpus = 2;
    add_job(gang);
    add_job(service_spec("job-2", 1, PriorityClass::kStandard));
    EXPECT_TRUE(schedule_for({&first}).empty()) << "another machine may be booting for the gang";
    now += kBeforeExpiry_s;
    EXPECT_TRUE(schedule_for({&first}).empty());
    now += 1;
    EXPECT_EQ(schedule_for({&first}).size(), 1U);
}

// Guards against a team whose work stops for ever because a starved gang lacks machines that never come.
TEST_F(GangReservation, LimitIsNotReservedForEverWithoutExpectedStart) {
    Machine& first = add_machine("vm-1");
    JobSpec gang = job_spec("job-1", 4, JobKind::kGang);
    gang.zone = std::string("b");
    add_job(gang);
    now += settings.begin_bound_s + 1;
    add_job(idle_array("job-2", 1));
    EXPECT_TRUE(schedule_for({&first}).empty());
    now += kBeforeExpiry_s;
    EXPECT_TRUE(schedule_for({&first}).empty());
    now += 1;
    EXPECT_EQ(schedule_for({&first}).size(), 1U);
}

// Once running tasks are expected to end in time for the gang, its reservation holds again.
TEST_F(GangReservation, ExpiredReservationIsRenewedByExpectedStart) {
    config.teams[0].gpus_max = 0;
    Machine& first = add_machine("vm-1");
    JobSpec gang = job_spec("job-1", 2, JobKind::kGang);
    gang.gpus = 2;
    Job& waiting = add_job(gang);
    schedule_for({&first});
    now += constants::kReservationWithoutExpectedStart_s;
    schedule_for({&first});
    EXPECT_TRUE(waiting.wait.reservation_expired(now));
    Machine& second = add_machine("vm-2");
    JobSpec running = job_spec("job-2", 2);
    running.estimate_s = 100;
    run_on(second, add_job(running));
    add_job(service_spec("job-3", 1, PriorityClass::kStandard));
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_FALSE(waiting.wait.reservation_expired(now));
}

// Guards against work that waits beside empty machines of a zone in which a gang, spread across zones, may
// use no more of them.
TEST_F(GangReservation, ReservesNoMoreOfAZoneThanTheGangMayUse) {
    config.teams[0].gpus_max = 0;
    std::vector<Machine*> machines;
    for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4"}) machines.push_back(&add_machine(name));
    JobSpec gang = job_spec("job-1", 4, JobKind::kGang);
    gang.gpus = 2;
    gang.priority = PriorityClass::kHigh;
    gang.spread_across_zones = true;
    add_job(gang);
    JobSpec other = job_spec("job-2", 2, JobKind::kService);
    other.gpus = 2;
    other.estimate_s = 0;
    add_job(other);
    EXPECT_EQ(schedule_for(machines).size(), 2U);
}

// The same for preemption: no work is stopped in a zone in which the gang may use no more room.
TEST_F(GangReservation, PreemptsNoWorkWhereSpreadGangMayUseNoMore) {
    config.teams[0].gpus_max = 0;
    run_on(add_machine("vm-1"), add_job(idle_array("job-11", 2)));
    run_on(add_machine("vm-2"), add_job(idle_array("job-12", 2)));
    run_on(add_machine("vm-3"), add_job(idle_array("job-13", 2)));
    run_on(add_machine("vm-4"), add_job(idle_array("job-14", 2)));
    JobSpec gang = job_spec("job-2", 4, JobKind::kGang);
    gang.gpus = 2;
    gang.priority = PriorityClass::kHigh;
    gang.spread_across_zones = true;
    add_job(gang);
    schedule_for({});
    for (const auto& [id, job] : jobs.all()) EXPECT_EQ(count_stopping(*job), 0U) << id;
}

// Guards against machines that are kept free for a gang whose record has no room for its placements.
TEST_F(GangReservation, ReservesNoMachinesForGangWhoseRecordIsFull) {
    config.teams[0].gpus_max = 0;
    config.value_bytes = 1100;
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec gang = job_spec("job-1", 400, JobKind::kGang);
    gang.cpus = gang.gpus = gang.memory_gb = 0.005;
    Job& waiting = add_job(gang);
    JobSpec other = job_spec("job-2", 4);
    other.estimate_s = 100;
    add_job(other);
    EXPECT_EQ(schedule_for({&first, &second}).size(), 4U);
    EXPECT_EQ(waiting.wait.reason, WaitReason::kRecordFull);
}
