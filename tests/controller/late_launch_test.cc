// Launches that reach a machine late, or once more, after their task was moved or cancelled. Workers execute
// the commands in a response to a heartbeat only while they wait for it, and direct commands at any later
// time as long as fencing token and incarnation match. A machine that begins anew has seen no fencing token:
// it accepts the commands of any controller that still gives some.
#include <gtest/gtest.h>

#include "http/server.h"
#include "standins/addresses.h"
#include "standins/deployment.h"
#include "standins/unwind.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr int kFirstLeader = 0;
constexpr int kSecondLeader = 1;
constexpr int kWorkerHost = 50;
constexpr uint16_t kWorkerPort = 9000;
constexpr Seconds kNotice_s = 120;
constexpr int kHeartbeats = 4;
constexpr Seconds kHeartbeatPause_s = 0.5;
constexpr Seconds kElectionTime_s = 15;
const std::string kTask = "job-1/0";

// Two controllers that reach workers but not each other. The first one leads. It has committed a task's
// placement on `machine` and sent the launch, whose response was lost. Then the store refuses it, and the
// second one leads, while the first one still answers its workers.
struct LateLaunch : testing::Test {
    LateLaunch() {
        for (Config& config : deployment.configs) config.peers.clear();
        other.name = "vm-000002";
        deployment.list_machine(machine);
        deployment.list_machine(other);
    }

    void launch_and_change_leader() {
        deployment.start(kFirstLeader);
        ASSERT_TRUE(deployment.run_until([&] { return leads(kFirstLeader); }));
        deployment.start(kSecondLeader);
        deployment.register_worker(machine);
        ASSERT_EQ(deployment.call(kFirstLeader, "POST", "/v2/runs", job_body("job-1")).status, 201);
        machine.loses_responses = true;
        ASSERT_EQ(deployment.send_heartbeat(machine, kFirstLeader), 200);
        machine.loses_responses = false;
        ASSERT_EQ(jobs_of(kFirstLeader).find("job-1")->live.at(0).machine, machine.name);
        ASSERT_TRUE(jobs_of(kFirstLeader).find("job-1")->live.at(0).launch.sent());
        deployment.store.refused_nodes.insert(kFirstLeader);
        ASSERT_TRUE(deployment.run_until([&] { return leads(kSecondLeader); }, kElectionTime_s));
    }

    bool leads(int node) { return deployment.node(node).election().leading(); }
    const JobTable& jobs_of(int node) { return deployment.node(node).leader()->jobs(); }

    // Sends heartbeats of the worker, as many as it needs to get the controller's fencing token and a launch.
    void send_heartbeats(FakeWorker& worker, int node) {
        for (int i = 0; i < kHeartbeats; ++i) {
            deployment.run(kHeartbeatPause_s);
            EXPECT_EQ(deployment.send_heartbeat(worker, node), 200);
        }
    }

    // The machine gets the second leader's fencing token, and tells it that the task is not there.
    void prove_absence() {
        send_heartbeats(machine, kSecondLeader);
        EXPECT_FALSE(machine.find(kTask));
    }

    // The machine is back within a second without tasks and token, and sends its heartbeats to the first
    // leader.
    void restart_machine_at_first_leader() {
        ++machine.incarnation;
        machine.fencing_token = 0;
        machine.notice_s.reset();
        machine.tasks.clear();
        send_heartbeats(machine, kFirstLeader);  // which does not know yet that it has been replaced
    }

    Task<Response> execute(Request request) {
        direct_commands.push_back(request.body);
        machine.execute_commands(request.body);
        co_return Response{200, machine.next_heartbeat()};
    }

    Deployment deployment{2};
    std::vector<std::string> direct_commands;  // the bodies that the machine has received
    FakeWorker machine;
    FakeWorker other;
};

}  // namespace

// Guards against a task on two machines: a replaced leader must not launch it on a machine that began anew.
TEST_F(LateLaunch, ReplacedLeaderLaunchesNoTaskThatWasMoved) {
    launch_and_change_leader();
    machine.notice_s = kNotice_s;  // its task is moved
    prove_absence();
    send_heartbeats(other, kSecondLeader);
    ASSERT_TRUE(other.find(kTask)) << "the second leader moves the task";
    restart_machine_at_first_leader();
    EXPECT_FALSE(machine.find(kTask)) << "the task runs on the other machine";
}

// Guards against a cancelled task that runs: the same with a cancellation in between.
TEST_F(LateLaunch, ReplacedLeaderLaunchesNoTaskThatWasCancelled) {
    launch_and_change_leader();
    ASSERT_EQ(deployment.call(kSecondLeader, "POST", "/v2/runs/job-1/withdraw").status, 200);
    prove_absence();
    restart_machine_at_first_leader();
    EXPECT_FALSE(machine.find(kTask));
}

// A copy of the heartbeat that brought the launch arrives at the next leader, which a controller back within
// a second is, after the task has begun: it must not be launched elsewhere.
TEST_F(LateLaunch, CopyOfHeartbeatBeforeLaunchMovesNoTaskAtRestartedController) {
    deployment.start(kFirstLeader);
    ASSERT_TRUE(deployment.run_until([&] { return leads(kFirstLeader); }));
    deployment.register_worker(machine);
    const std::string idle = machine.next_heartbeat();
    ASSERT_TRUE(deployment.launch(machine, kFirstLeader, "job-1"));
    deployment.kill(kFirstLeader);
    deployment.run(0.5);
    deployment.start(kFirstLeader);
    ASSERT_TRUE(deployment.run_until([&] { return leads(kFirstLeader); }, kElectionTime_s));
    deployment.register_worker(other);
    for (int i = 0; i < 3; ++i) {
        deployment.call(kFirstLeader, "POST", "/hello", idle);
        deployment.send_heartbeat(other, kFirstLeader);
        deployment.run(1);
    }
    EXPECT_FALSE(other.find(kTask));
    EXPECT_TRUE(machine.find(kTask));
}

// A copy of the launch of a task that has since ended and been forgotten could only come with a direct
// command, as workers take responses to heartbeats only while they wait for them: direct commands must carry
// no launches.
TEST_F(LateLaunch, DirectCommandsCarryNoLaunch) {
    deployment.start(kFirstLeader);
    ASSERT_TRUE(deployment.run_until([&] { return leads(kFirstLeader); }));
    const Address worker_address = address(kWorkerHost, kWorkerPort);
    machine.addr = text_of(worker_address);
    HttpServer worker_server(deployment.loop, worker_address, 4,
                             [this](Request request) { return execute(std::move(request)); });
    deployment.register_worker(machine);
    ASSERT_TRUE(deployment.launch(machine, kFirstLeader, "job-1"));
    ASSERT_EQ(deployment.call(kFirstLeader, "POST", "/v2/runs", job_body("job-2")).status, 201);
    deployment.run(1);
    ASSERT_EQ(deployment.call(kFirstLeader, "POST", "/v2/runs/job-1/withdraw").status, 200);
    ASSERT_TRUE(deployment.run_until([&] { return !direct_commands.empty(); }, 5));
    for (const std::string& body : direct_commands)
        EXPECT_EQ(body.find("launch"), std::string::npos) << "a late copy would start the task again";
    worker_server.stop();
    unwind(deployment.loop);
}
