// Late duplicates of messages must change nothing.
#include <gtest/gtest.h>

#include "peer/frames.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

// A late duplicate of a heartbeat must not make its machine count as back or alive, nor replace a newer
// heartbeat.
TEST(Idempotence, IgnoresLateHeartbeatDuplicates) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader(), other = 1 - leader;
    deployment.run(3);
    FakeWorker worker;
    std::string redirected = worker.next_heartbeat();
    EXPECT_EQ(deployment.call(other, "POST", "/hello", redirected).status, 421);
    deployment.run(5);
    EXPECT_EQ(deployment.call(other, "POST", "/hello", redirected).status, 421)
        << "a duplicate must not be relayed to the leader";
    deployment.register_worker(worker);
    std::string idle_heartbeat = worker.next_heartbeat();
    EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle_heartbeat).status, 200);
    ASSERT_EQ(deployment.call(leader, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_heartbeat(worker, leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.send_heartbeat(worker, leader);
    const auto& jobs = deployment.node(leader).leader()->jobs();
    ASSERT_EQ(jobs.find("job-1")->live.size(), 1U);
    EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle_heartbeat).status, 503)
        << "older than the last heartbeat";
    EXPECT_EQ(jobs.find("job-1")->live.size(), 1U) << "an old heartbeat must not end a task";
    Seconds last_heartbeat =
        deployment.node(leader).leader()->cluster().machines.at(worker.name)->last_heartbeat;
    for (int i = 0; i < 3; ++i) {
        deployment.run(deployment.configs[0].lease_s);
        EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle_heartbeat).status, 503);
    }
    auto leader_routines = deployment.node(leader).leader();
    auto it = leader_routines->cluster().machines.find(worker.name);
    EXPECT_TRUE(it == leader_routines->cluster().machines.end() ||
                it->second->last_heartbeat == last_heartbeat)
        << "a duplicate must not count as a sign of life";
    EXPECT_FALSE(deployment.cloud.deleted.empty()) << "the unreachable machine must be deleted";
}

// Late duplicates of frames between controllers, a heartbeat of a process that has ended and responses to no
// request of this process, must change nothing.
TEST(Idempotence, IgnoresLatePeerFrameDuplicates) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader();
    int other = 1 - leader;
    deployment.run(4);
    uint64_t fencing_token = deployment.node(leader).election().fencing_token();
    peer::ControllerHeartbeat heartbeat{};
    peer::set_label(heartbeat, deployment.config(other).label);
    heartbeat.incarnation = 7;
    heartbeat.fencing_token = 50;
    heartbeat.leads = 1;
    heartbeat.request_sent_us = static_cast<uint64_t>((deployment.loop.now() + 100) * 1e6);
    std::string frames = peer::encode_frame(peer::FrameKind::kHeartbeat, 1000, 7, heartbeat) +
                         peer::encode_frame(peer::FrameKind::kHeartbeatResponse, 1, 7, heartbeat) +
                         peer::encode_frame(peer::FrameKind::kRelayResponse, 1, 7, std::string("\xc8\0", 2));
    TaskGroup scope(deployment.loop);
    auto send_repeatedly = [](Loop& event_loop, Address peer_address, std::string bytes) -> Task<void> {
        auto stream = co_await connect_to(event_loop, peer_address, event_loop.now() + 1);
        for (int i = 0; stream && i < 100; ++i) {
            co_await stream->write(bytes, event_loop.now() + 1);
            co_await event_loop.sleep(0.037);
        }
    };
    scope.spawn(send_repeatedly(deployment.loop, deployment.config(leader).peer_listen, frames),
                "duplicates");
    deployment.run(4);
    EXPECT_EQ(deployment.leader(), leader);
    EXPECT_EQ(deployment.node(leader).election().fencing_token(), fencing_token);
}

// Late duplicates of every transaction of the controllers and of all user requests must change no job, no
// leadership and no response.
TEST(Idempotence, RepeatedTransactionsAndUserRequestsChangeNothing) {
    Deployment deployment;
    std::vector<std::string> transactions;
    deployment.store.transaction_filter = [&](const std::string& body) {
        transactions.push_back(body);
        return true;
    };
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    for (const char* id : {"job-1", "job-2", "job-3"}) {
        ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        deployment.send_heartbeat(worker, 0);
        deployment.send_heartbeat(worker, 0);
        TaskStatus* task = worker.find(std::string(id) + "/0");
        ASSERT_TRUE(task) << id;
        if (std::string(id) == "job-1") {
            exit_task(*task, ExitCause::kDone);
        } else if (std::string(id) == "job-2") {
            ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        }
        deployment.send_heartbeat(worker, 0);
        deployment.send_heartbeat(worker, 0);
    }
    auto stored_values = [&] {
        std::map<std::string, std::string> rows;
        for (const auto& [key, row] : deployment.store.rows) rows[key] = row.data;
        return rows;
    };
    auto before = stored_values();
    ASSERT_TRUE(before.count("f/job-1") && before.count("f/job-2") && before.count("j/job-3"));
    auto repeated = transactions;
    ASSERT_GT(repeated.size(), 8U);
    uint64_t fencing_token = deployment.node(0).election().fencing_token();
    for (int round = 0; round < 2; ++round) {
        for (const auto& body : repeated) deployment.store.apply(body);
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-2"))), "withdrawn");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-3"))), "running");
        deployment.run(3);
        deployment.send_heartbeat(worker, 0);
        EXPECT_EQ(stored_values(), before);
        EXPECT_EQ(worker.tasks.size(), 1U) << "a finished task was launched again";
        EXPECT_EQ(deployment.node(0).election().fencing_token(), fencing_token);
    }
}
