// The number of tasks on a machine is limited by the size of the bodies that it exchanges with the leader.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "http/json_size.h"
#include "http/msgpack.h"
#include "standins/scheduling_fixture.h"
#include "workers/worker_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr uint32_t kTasks = 2000;
// The longest job id that is accepted, and a common one.
const std::string kLongId = "job-" + std::string(60, '7');
const std::string kCommonId = "job-000412";

// Jobs whose tasks are so small that their resources allow thousands of them on a machine.
struct HeartbeatRoom : SchedulingTest {
    HeartbeatRoom() { config.teams[0].gpus_max = 0; }

    static JobSpec tiny_spec(const std::string& id, JobKind kind = JobKind::kArray) {
        JobSpec spec = job_spec(id, kTasks, kind);
        spec.cpus = 0.001;
        spec.gpus = 0;
        spec.memory_gb = 0.001;
        return spec;
    }

    // The JSON size of a heartbeat of the machine in which each task has exited with the longest text.
    static size_t longest_heartbeat_bytes(const std::vector<Binding>& tasks) {
        MsgpackWriter packer;
        const std::string long_name(128, 'm');
        packer.map(10).key("host").text(long_name).key("addr").text(long_name);
        packer.key("flavor").text(long_name).key("cove").text(long_name).key("driftwood").flag(false);
        packer.key("tenure").count(constants::kMaxExactInteger);
        packer.key("tick").count(constants::kMaxExactInteger);
        packer.key("epoch").count(constants::kMaxExactInteger);
        packer.key("warning_s").number(1234.5);
        packer.key("pieces").list(tasks.size());
        for (const Binding& binding : tasks) {
            packer.map(5).key("piece").text(binding.job->spec.id + "/99999");
            packer.key("try").count(constants::kMaxExactInteger).key("phase").text("exited");
            packer.key("cause").text("incomplete").key("kept").flag(false);
        }
        return json_size(packer.take());
    }

    Machine& first = add_machine("vm-1");
    Machine& second = add_machine("vm-2");
};

}  // namespace

// Guards against healthy machines that are deleted because they run more tasks than they can report.
TEST_F(HeartbeatRoom, MachineGetsNoMoreTasksThanItsHeartbeatCanList) {
    for (const std::string& id : {kCommonId, kLongId}) {
        Job& job = add_job(tiny_spec(id));
        auto bindings = schedule_for({&first});
        EXPECT_GT(bindings.size(), 350U);
        EXPECT_LT(bindings.size(), 512U) << "the version in production refuses heartbeats with more tasks";
        EXPECT_LE(longest_heartbeat_bytes(bindings), constants::kBodyLimit);
        EXPECT_EQ(job.wait.reason, WaitReason::kNoRoom);
        mark_committed(job);
        auto launches = jobs.commands(first, LaunchCommands::kInclude);
        EXPECT_EQ(launches.size(), bindings.size()) << "all fit into one response";
        EXPECT_LE(json_size(encode_heartbeat_response(1, launches)), constants::kBodyLimit);
        EXPECT_EQ(schedule_for({&second}).size(), bindings.size()) << "the others go to the next machine";
        jobs.erase(id);
    }
}

TEST_F(HeartbeatRoom, GangGetsNoMoreTasksOfAMachineThanItsHeartbeatCanList) {
    JobSpec spec = tiny_spec(kCommonId, JobKind::kGang);
    spec.tasks = constants::kMaxTasksPerMachine + 1;
    add_job(spec);
    schedule_for({});
    EXPECT_EQ(jobs.placements_on("vm-1").size() + jobs.placements_on("vm-2").size(), spec.tasks);
    EXPECT_LE(jobs.placements_on("vm-1").size(), constants::kMaxTasksPerMachine);
    EXPECT_LE(jobs.placements_on("vm-2").size(), constants::kMaxTasksPerMachine);
}

// The scheduler and the plan for the fleet agree on how many tasks a machine can have.
TEST_F(HeartbeatRoom, PlanRequestsMachinesForTasksBeyondThose) {
    config.value_bytes = 64 * 1024;
    JobSpec spec = tiny_spec(kCommonId);
    spec.tasks = 5 * constants::kMaxTasksPerMachine;
    add_job(spec);
    schedule_for({&first, &second});
    ScalingPlan scaling = plan();
    ASSERT_EQ(scaling.scale_out.size(), 1U);
    EXPECT_EQ(scaling.scale_out[0].number, 3);
}

// A machine lists exited tasks until it has forgotten them.
TEST_F(HeartbeatRoom, ExitedTasksTakeRoomUntilTheyAreForgotten) {
    Job& job = add_job(tiny_spec(kCommonId));
    auto bindings = schedule_for({&first});
    std::vector<TaskStatus> exited;
    for (const Binding& binding : bindings)
        exited.push_back(task_status(kCommonId, binding.task, job.live.at(binding.task).attempt,
                                     TaskPhase::kExited, ExitCause::kDone));
    apply_heartbeat(first, exited);
    EXPECT_TRUE(schedule_for({&first}).empty());
    apply_heartbeat(first, {});
    EXPECT_EQ(schedule_for({&first}).size(), bindings.size());
}

// An earlier version may have placed more tasks than commands fit into one body.
TEST_F(HeartbeatRoom, CommandsBeyondOneBodyFollowLater) {
    std::vector<TaskStatus> unknown;
    for (uint32_t task = 0; task < kTasks; ++task)
        unknown.push_back(task_status(kLongId, task, 1, TaskPhase::kExited, ExitCause::kStopped));
    unknown.push_back(task_status(kLongId, kTasks, 1, TaskPhase::kRunning));
    apply_heartbeat(first, unknown);
    auto commands = jobs.commands(first, LaunchCommands::kInclude);
    EXPECT_LT(commands.size(), unknown.size());
    EXPECT_LE(json_size(encode_heartbeat_response(constants::kMaxExactInteger, commands)),
              constants::kBodyLimit);
    EXPECT_EQ(commands[0].kind, CommandKind::kStop) << "stops are the most urgent";
}
