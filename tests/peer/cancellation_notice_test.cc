// Cancellation notices between controllers while the leader cannot reach the store: which tasks the leader
// stops, and when it must stop renewing leases because it may have missed a cancellation.
#include <gtest/gtest.h>

#include <memory>

#include "base/constants.h"
#include "peer/frames.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// A scripted peer of the controller under test: responds to its heartbeats and sends one of its own about
// once a second.
struct ScriptedPeer {
    Deployment& deployment;
    uint64_t incarnation = 77;
    uint8_t record_format = peer::kAnnouncedRecordFormat;  // 0: the production version, without notices
    uint32_t announced_count = 0;  // number of cancellations that it claims to have confirmed to users
    std::vector<std::string> pending_jobs;  // sent in a notice before its next response
    uint32_t first_index = 0;               // of that notice
    Seconds last_cancellation_at = 0;       // when it last confirmed a cancellation to a user
    bool responds = true;                   // to heartbeats
    int notices_received = 0;               // the production version would close the connection on a notice
    uint32_t next_heartbeat = 1;
    FileDescriptor listener;
    TaskGroup coroutines;

    explicit ScriptedPeer(Deployment& owner)
        : deployment(owner),
          last_cancellation_at(deployment.loop.now()),
          listener(deployment.loop, listen_on(deployment.configs[1].peer_listen)),
          coroutines(deployment.loop) {
        coroutines.spawn(accept_connections(), "scripted peer");
        coroutines.spawn(send_heartbeats(), "scripted peer's heartbeats");
    }
    ~ScriptedPeer() {
        coroutines.cancel();
        unwind(deployment.loop);
    }
    peer::ControllerHeartbeat heartbeat() const {
        peer::ControllerHeartbeat state{};
        peer::set_label(state, deployment.configs[1].label);
        state.incarnation = incarnation;
        state.record_format = record_format;
        state.cancellations_announced = record_format ? announced_count : 0;
        state.store_age_ms = UINT32_MAX;
        state.since_last_cancellation_ms =
            static_cast<uint32_t>((deployment.loop.now() - last_cancellation_at) * 1000);
        return state;
    }
    Task<void> accept_connections() {
        while (true) {
            int fd = accept_connection(listener.fd()).value_or(-1);
            if (fd < 0) {
                co_await deployment.loop.readable(listener, -1);
            } else {
                coroutines.spawn(serve_connection(fd), "scripted peer's connection");
            }
        }
    }
    Task<void> serve_connection(int fd) {
        Stream stream(deployment.loop, fd);
        peer::FrameReader reader;
        while (true) {
            Stream::Read chunk = co_await stream.read(-1);
            if (!chunk.ok()) co_return;
            reader.append(chunk.bytes);
            while (auto frame = reader.next()) {
                if (frame->kind != peer::FrameKind::kHeartbeat || !responds) continue;
                std::string frames;
                if (!pending_jobs.empty())
                    frames = peer::encode_frame(
                        peer::FrameKind::kCancellationNotice, 0, incarnation,
                        peer::encode_cancellation_notice({incarnation, first_index, pending_jobs}));
                pending_jobs.clear();
                peer::ControllerHeartbeat response = heartbeat();
                response.request_sent_us = peer::decode_controller_heartbeat(frame->payload)->request_sent_us;
                frames += peer::encode_frame(peer::FrameKind::kHeartbeatResponse, frame->id,
                                             frame->incarnation, response);
                co_await stream.write(frames, -1);
            }
        }
    }
    Task<void> count_notices(std::shared_ptr<Stream> stream) {
        peer::FrameReader reader;
        while (true) {
            Stream::Read chunk = co_await stream->read(-1);
            if (!chunk.ok()) co_return;
            reader.append(chunk.bytes);
            while (auto frame = reader.next())
                notices_received += frame->kind == peer::FrameKind::kCancellationNotice;
        }
    }
    Task<void> send_heartbeats() {
        std::shared_ptr<Stream> stream = co_await connect_to(
            deployment.loop, deployment.configs[0].peer_listen, deployment.loop.now() + 1);
        if (stream) coroutines.spawn(count_notices(stream), "responses to the scripted peer");
        while (stream) {
            co_await deployment.loop.sleep(0.93);
            co_await stream->write(
                peer::encode_frame(peer::FrameKind::kHeartbeat, next_heartbeat++, incarnation, heartbeat()),
                -1);
        }
    }
};

// Sends a heartbeat every 2 s for `duration`. Returns the status of the last response.
int send_heartbeats_for(Deployment& deployment, FakeWorker& worker, int node, Seconds duration) {
    int status = 0;
    for (Seconds end = deployment.loop.now() + duration; deployment.loop.now() < end;) {
        deployment.run(2);
        status = deployment.send_heartbeat(worker, node);
    }
    return status;
}

// A leader with a scripted peer, and one worker that runs one task of each job.
struct LeaderWithScriptedPeer {
    Deployment deployment{2};
    std::unique_ptr<ScriptedPeer> peer;
    FakeWorker worker;
    explicit LeaderWithScriptedPeer(uint8_t record_format, std::vector<std::string> jobs = {}) {
        deployment.run(1);
        peer = std::make_unique<ScriptedPeer>(deployment);
        peer->record_format = record_format;
        deployment.start(0);
        EXPECT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(6);
        deployment.register_worker(worker);
        for (const auto& id : jobs)
            EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(send_heartbeats_for(deployment, worker, 0, 4), 200);
        EXPECT_EQ(worker.tasks.size(), jobs.size());
    }
    bool runs(const std::string& name) {
        const TaskStatus* task = worker.find(name);
        return task && task->phase == TaskPhase::kRunning;
    }
};

}  // namespace

// The store refuses only the leader, another controller confirms a cancellation, then the store is down for
// all controllers for longer than cancel_s while workers still reach the leader. Without notices of the
// cancelled jobs, either the cancelled task would outlive cancel_s or all leases would expire.
TEST(CancellationNotices, LeaderWithoutStoreStopsOnlyTasksOfNotifiedJobs) {
    for (int controllers : {2, 3, 5}) {
        Deployment deployment(controllers);
        for (int i = 0; i < controllers; ++i) deployment.start(i);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() >= 0; }));
        int leader = deployment.leader(), other = (leader + 1) % controllers;
        deployment.run(6);
        FakeWorker worker;
        deployment.register_worker(worker);
        for (const char* id : {"job-1", "job-2"})
            ASSERT_EQ(deployment.call(other, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(send_heartbeats_for(deployment, worker, leader, 4), 200);
        ASSERT_TRUE(worker.find("job-1/0") && worker.find("job-2/0"));
        deployment.store.refused_nodes.insert(leader);
        deployment.run(0.3);
        ASSERT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
        deployment.run(0.5);
        deployment.store.down = true;
        Seconds outage_began = deployment.loop.now();
        EXPECT_EQ(send_heartbeats_for(deployment, worker, leader, 4), 200);
        EXPECT_TRUE(!worker.find("job-1/0") || worker.find("job-1/0")->phase == TaskPhase::kExited);
        EXPECT_EQ(send_heartbeats_for(deployment, worker, leader, deployment.configs[0].cancel_s + 20), 200)
            << "all cancellations are known: leases are renewed";
        EXPECT_EQ(deployment.leader(), leader);
        EXPECT_EQ(worker.find("job-2/0")->phase, TaskPhase::kRunning) << deployment.loop.now() - outage_began;
        deployment.store.renew_all_leases();
        deployment.store.down = false;
        deployment.store.refused_nodes.clear();
        deployment.run(3);
        EXPECT_EQ(send_heartbeats_for(deployment, worker, leader, 8), 200);
        EXPECT_TRUE(deployment.store.rows.contains("f/job-1"));
        EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-2")), "running");
    }
}

// A cancellation may be confirmed after a new leader has read the job's record, and its notice may arrive
// before the leader has read all records. The leader must not treat the job as running then.
TEST(CancellationNotices, NoticeDuringRecordLoadStopsTasks) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(4);
    FakeWorker worker;
    deployment.register_worker(worker);
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(send_heartbeats_for(deployment, worker, first, 4), 200);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.kill(first);
    deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() >= 0; }));
    Controller& node = deployment.node(1 - first);
    ASSERT_TRUE(deployment.run_until([&] { return node.leader() != nullptr; }));
    ASSERT_EQ(node.leader()->jobs().size(), 0U);
    node.leader()->observe_cancellation("job-1");
    deployment.register_worker(worker);
    EXPECT_EQ(send_heartbeats_for(deployment, worker, 1 - first, 4), 200);
    const TaskStatus* task = worker.find("job-1/0");
    EXPECT_TRUE(!task || task->phase == TaskPhase::kExited);
}

// A peer of the production version cannot announce which jobs were cancelled. It is sent no notices, and the
// time since its last cancellation limits lease renewal as in that version.
TEST(CancellationNotices, ProductionVersionPeerIsTrackedByTimeSinceLastCancellation) {
    LeaderWithScriptedPeer setup(0, {"job-1"});
    ASSERT_EQ(phase_of(setup.deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    setup.deployment.run(3);
    EXPECT_EQ(setup.peer->notices_received, 0) << "the production version would close the connection";
    setup.deployment.store.down = true;
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 60), 200)
        << "the peer confirmed no cancellation";
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 16), 200)
        << "leases may still be renewed";
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 12), 503)
        << "the cancelled job is not known";
}

// The peer counts a confirmed cancellation, but the notice that names the job never arrives.
TEST(CancellationNotices, MissingNoticeStopsLeaseRenewal) {
    LeaderWithScriptedPeer setup(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    setup.deployment.store.down = true;
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 60), 200);
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    setup.peer->announced_count = 1;
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 16), 200)
        << "leases may still be renewed";
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 12), 503);
    EXPECT_TRUE(setup.runs("job-1/0") && setup.runs("job-2/0"));
}

// Notices received in time stop the tasks, also when a new connection repeats jobs that were already
// announced. A missing notice before a received one is detected.
TEST(CancellationNotices, RepeatedNoticesAreMergedAndMissingNoticeIsDetected) {
    LeaderWithScriptedPeer setup(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    setup.deployment.store.down = true;
    setup.deployment.run(2);
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    setup.peer->announced_count = 1;
    setup.peer->pending_jobs = {"job-1"};
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 6), 200);
    EXPECT_TRUE(!setup.runs("job-1/0") && setup.runs("job-2/0"));
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    setup.peer->announced_count = 2;
    setup.peer->pending_jobs = {"job-1", "job-2"};
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 60), 200);
    EXPECT_FALSE(setup.runs("job-2/0"));
    // One cancellation is skipped: the notice after it does not cover it.
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    setup.peer->announced_count = 4;
    setup.peer->first_index = 3;
    setup.peer->pending_jobs = {"job-9"};
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 16), 200)
        << "leases may still be renewed";
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 12), 503);
}

// A peer's unsolicited heartbeat is up to a second newer than its last response. Combining the heartbeat's
// time since the last cancellation with the time of the response would hide a cancellation that the peer
// confirmed in between.
TEST(CancellationNotices, LaterHeartbeatDoesNotExtendEarlierResponse) {
    LeaderWithScriptedPeer setup(0);
    // The leader's last watch of the store began up to 3 s ago; the store is unreachable from now on.
    setup.deployment.store.refused_nodes.insert(0);
    setup.deployment.store.down = true;
    setup.deployment.run(0.2);
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    Seconds confirmed_at = setup.deployment.loop.now();
    while (setup.deployment.loop.now() <
           confirmed_at + setup.deployment.configs[0].cancel_s - setup.deployment.configs[0].lease_s) {
        setup.deployment.run(0.2);
        setup.deployment.send_heartbeat(setup.worker, 0);
    }
    for (int i = 0; i < 40; ++i) {
        setup.deployment.run(0.2);
        ASSERT_EQ(setup.deployment.send_heartbeat(setup.worker, 0), 503) << i;
    }
}

// After a peer restarts, its new process vouches only for itself. The interval covered by the responses of
// the old process remains valid.
TEST(CancellationNotices, IntervalConfirmedByPeerRemainsValidAfterItsRestart) {
    LeaderWithScriptedPeer setup(peer::kAnnouncedRecordFormat);
    setup.deployment.store.down = true;
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 60), 200);
    setup.peer->incarnation = 78;
    setup.peer->last_cancellation_at = setup.deployment.loop.now();
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 16), 200)
        << "leases may still be renewed after the last response of the old process";
    EXPECT_EQ(send_heartbeats_for(setup.deployment, setup.worker, 0, 12), 503)
        << "its previous process may have confirmed a cancellation before it ended";
}
