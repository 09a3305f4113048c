// Cancellations that a leader cannot read from the store: what its peers notify it of, and when it must let
// leases expire because they may not have.
#include <gtest/gtest.h>

#include <memory>

#include "base/constants.h"
#include "peer/frames.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// A peer of the only controller, played by a script: it answers heartbeats, and sends its own once a second.
struct ScriptedPeer {
    Deployment& deployment;
    uint64_t incarnation = 77;
    uint8_t record_format =
        peer::kAnnouncedRecordFormat;  // 0: the version in production, which knows no cancellations
    uint32_t announced = 0;            // cancellations that it says it told users of
    std::vector<std::string> sends;  // and those that it sends ahead of its next answer, numbered from `from`
    uint32_t from = 0;
    Seconds announced_last = 0;  // when it told a user of one
    bool answers = true;         // heartbeats
    int unknown = 0;             // frames that the version in production does not know
    uint32_t next_heartbeat = 1;
    FileDescriptor listener;
    TaskGroup scope;

    explicit ScriptedPeer(Deployment& owner)
        : deployment(owner),
          announced_last(deployment.loop.now()),
          listener(deployment.loop, listen_on(deployment.configs[1].peer_listen)),
          scope(deployment.loop) {
        scope.spawn(accept(), "scripted peer");
        scope.spawn(heartbeats(), "scripted peer's heartbeats");
    }
    ~ScriptedPeer() {
        scope.cancel();
        unwind(deployment.loop);
    }
    peer::ControllerHeartbeat heartbeat() const {
        peer::ControllerHeartbeat b{};
        peer::set_label(b, deployment.configs[1].label);
        b.incarnation = incarnation;
        b.record_format = record_format;
        b.cancellations_announced = record_format ? announced : 0;
        b.store_age_ms = UINT32_MAX;
        b.since_last_cancellation_ms = static_cast<uint32_t>((deployment.loop.now() - announced_last) * 1000);
        return b;
    }
    Task<void> accept() {
        while (true) {
            int fd = accept_connection(listener.fd()).value_or(-1);
            if (fd < 0) {
                co_await deployment.loop.readable(listener, -1);
            } else {
                scope.spawn(serve(fd), "scripted peer's link");
            }
        }
    }
    Task<void> serve(int fd) {
        Stream stream(deployment.loop, fd);
        peer::FrameReader reader;
        while (true) {
            Stream::Read got = co_await stream.read(-1);
            if (!got.ok()) co_return;
            reader.feed(got.bytes);
            while (auto fields = reader.next()) {
                if (fields->kind != peer::FrameKind::kHeartbeat || !answers) continue;
                std::string out;
                if (!sends.empty())
                    out = peer::encode_frame(peer::FrameKind::kCancellationNotice, 0, incarnation,
                                             peer::encode_cancellation_notice({incarnation, from, sends}));
                sends.clear();
                peer::ControllerHeartbeat b = heartbeat();
                b.request_sent_us = peer::decode_controller_heartbeat(fields->payload)->request_sent_us;
                out += peer::encode_frame(peer::FrameKind::kHeartbeatResponse, fields->id,
                                          fields->incarnation, b);
                co_await stream.write(out, -1);
            }
        }
    }
    Task<void> count_unknown(std::shared_ptr<Stream> stream) {
        peer::FrameReader reader;
        while (true) {
            Stream::Read got = co_await stream->read(-1);
            if (!got.ok()) co_return;
            reader.feed(got.bytes);
            while (auto fields = reader.next())
                unknown += fields->kind == peer::FrameKind::kCancellationNotice;
        }
    }
    Task<void> heartbeats() {
        std::shared_ptr<Stream> stream = co_await connect_to(
            deployment.loop, deployment.configs[0].peer_listen, deployment.loop.now() + 1);
        if (stream) scope.spawn(count_unknown(stream), "answers to the scripted peer");
        while (stream) {
            co_await deployment.loop.sleep(0.93);
            co_await stream->write(
                peer::encode_frame(peer::FrameKind::kHeartbeat, next_heartbeat++, incarnation, heartbeat()),
                -1);
        }
    }
};

// Reports every 2 s for so long; the last status.
int report(Deployment& deployment, FakeWorker& worker, int node, Seconds time) {
    int status = 0;
    for (Seconds end = deployment.loop.now() + time; deployment.loop.now() < end;) {
        deployment.run(2);
        status = deployment.send_report(worker, node);
    }
    return status;
}

// A controller that leads, with a scripted peer and a worker with a task of each job.
struct LeaderWithScriptedPeer {
    Deployment deployment{2};
    std::unique_ptr<ScriptedPeer> peer;
    FakeWorker worker;
    explicit LeaderWithScriptedPeer(uint8_t record_format, std::vector<std::string> jobs = {}) {
        deployment.run(1);
        peer = std::make_unique<ScriptedPeer>(deployment);
        peer->record_format = record_format;
        deployment.start(0);
        EXPECT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(6);
        deployment.settle(worker);
        for (const auto& id : jobs)
            EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(report(deployment, worker, 0, 4), 200);
        EXPECT_EQ(worker.tasks.size(), jobs.size());
    }
    bool runs(const std::string& name) {
        const TaskStatus* task = worker.find(name);
        return task && task->phase == TaskPhase::kRunning;
    }
};

}  // namespace

// The gap: the state service refuses the leader alone, another controller confirms a cancellation, then the
// service is down for all for longer than cancel_s while workers still report to the leader. Without the
// peers' word for which jobs were cancelled either this task outlived cancel_s or every lease ended.
TEST(CancellationNotices, AnnouncedByAPeerWhileTheLeaderIsRefusedEndsItsTasksAndNoOthers) {
    for (int n : {2, 3, 5}) {
        Deployment deployment(n);
        for (int i = 0; i < n; ++i) deployment.start(i);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }));
        int leader = deployment.leader(), other = (leader + 1) % n;
        deployment.run(6);
        FakeWorker worker;
        deployment.settle(worker);
        for (const char* id : {"job-1", "job-2"})
            ASSERT_EQ(deployment.call(other, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(report(deployment, worker, leader, 4), 200);
        ASSERT_TRUE(worker.find("job-1/0") && worker.find("job-2/0"));
        deployment.store.refused_nodes.insert(leader);
        deployment.run(0.3);
        ASSERT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
        deployment.run(0.5);
        deployment.store.down = true;
        Seconds announced = deployment.loop.now();
        EXPECT_EQ(report(deployment, worker, leader, 4), 200);
        EXPECT_TRUE(!worker.find("job-1/0") || worker.find("job-1/0")->phase == TaskPhase::kExited);
        EXPECT_EQ(report(deployment, worker, leader, deployment.configs[0].cancel_s + 20), 200)
            << "all is known: no lease need end";
        EXPECT_EQ(deployment.leader(), leader);
        EXPECT_EQ(worker.find("job-2/0")->phase, TaskPhase::kRunning) << deployment.loop.now() - announced;
        deployment.store.restart_leases();
        deployment.store.down = false;
        deployment.store.refused_nodes.clear();
        deployment.run(3);
        EXPECT_EQ(report(deployment, worker, leader, 8), 200);
        EXPECT_TRUE(deployment.store.rows.contains("f/job-1"));
        EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-2")), "running");
    }
}

// A cancellation may be confirmed after a new leader has read the job's record and told before it has read
// them all: its view must not take the job for one that goes on.
TEST(CancellationNotices, AnnouncedWhileANewLeaderReadsTheRecordsCounts) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(4);
    FakeWorker worker;
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(report(deployment, worker, first, 4), 200);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.kill(first);
    deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }));
    Controller& node = deployment.node(1 - first);
    ASSERT_TRUE(deployment.until([&] { return node.leader() != nullptr; }));
    ASSERT_EQ(node.leader()->jobs().size(), 0U);
    node.leader()->observe_cancellation("job-1");
    deployment.settle(worker);
    EXPECT_EQ(report(deployment, worker, 1 - first, 4), 200);
    const TaskStatus* task = worker.find("job-1/0");
    EXPECT_TRUE(!task || task->phase == TaskPhase::kExited);
}

// A peer of the version in production cannot say which jobs were cancelled: it is sent nothing that it
// does not know, and its silence about cancellations counts as before.
TEST(CancellationNotices, BesideTheVersionInProductionSilenceCounts) {
    LeaderWithScriptedPeer pair(0, {"job-1"});
    ASSERT_EQ(phase_of(pair.deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    pair.deployment.run(3);
    EXPECT_EQ(pair.peer->unknown, 0) << "it would close the connection";
    pair.deployment.store.down = true;
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 60), 200) << "it has told nobody";
    pair.peer->announced_last = pair.deployment.loop.now();
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 12), 503) << "which it was is not known";
}

// The peer says that it told of a cancellation, and the frame that names the job does not come.
TEST(CancellationNotices, AMissingNoticeEndsTheRightToRenewLeasesInTime) {
    LeaderWithScriptedPeer pair(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    pair.deployment.store.down = true;
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 60), 200);
    pair.peer->announced_last = pair.deployment.loop.now();
    pair.peer->announced = 1;
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 12), 503);
    EXPECT_TRUE(pair.runs("job-1/0") && pair.runs("job-2/0"));
}

// Named in time, also by a connection that begins anew and repeats what was lost on the last one.
TEST(CancellationNotices, NoticesCountOnceAndInOrder) {
    LeaderWithScriptedPeer pair(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    pair.deployment.store.down = true;
    pair.deployment.run(2);
    pair.peer->announced_last = pair.deployment.loop.now();
    pair.peer->announced = 1;
    pair.peer->sends = {"job-1"};
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 6), 200);
    EXPECT_TRUE(!pair.runs("job-1/0") && pair.runs("job-2/0"));
    pair.peer->announced_last = pair.deployment.loop.now();
    pair.peer->announced = 2;
    pair.peer->sends = {"job-1", "job-2"};
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 60), 200);
    EXPECT_FALSE(pair.runs("job-2/0"));
    // One is left out: what comes after it says nothing of it.
    pair.peer->announced_last = pair.deployment.loop.now();
    pair.peer->announced = 4;
    pair.peer->from = 3;
    pair.peer->sends = {"job-9"};
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 12), 503);
}

// The heartbeat that a peer sends by itself is up to a second newer than its last answer. Taken together, its
// silence and the answer's time reached back to before a cancellation that it had told a user of.
TEST(CancellationNotices, ALaterHeartbeatDoesNotExtendAnEarlierAnswer) {
    LeaderWithScriptedPeer pair(0);
    // Seen fresh by a watch that began up to 3 s ago, and cut off now.
    pair.deployment.store.refused_nodes.insert(0);
    pair.deployment.store.down = true;
    pair.deployment.run(0.2);
    pair.peer->announced_last = pair.deployment.loop.now();
    Seconds announced = pair.deployment.loop.now();
    while (pair.deployment.loop.now() <
           announced + pair.deployment.configs[0].cancel_s - pair.deployment.configs[0].lease_s) {
        pair.deployment.run(0.2);
        pair.deployment.send_report(pair.worker, 0);
    }
    for (int i = 0; i < 40; ++i) {
        pair.deployment.run(0.2);
        ASSERT_EQ(pair.deployment.send_report(pair.worker, 0), 503) << i;
    }
}

// What was confirmed for once stays known when the peer begins anew and can speak only for itself.
TEST(CancellationNotices, WhatAPeerConfirmedStaysKnown) {
    LeaderWithScriptedPeer pair(peer::kAnnouncedRecordFormat);
    pair.deployment.store.down = true;
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 60), 200);
    pair.peer->incarnation = 78;
    pair.peer->announced_last = pair.deployment.loop.now();
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 16), 200) << "within the span from its last word";
    EXPECT_EQ(report(pair.deployment, pair.worker, 0, 12), 503)
        << "its last process may have told of one before it ended";
}
