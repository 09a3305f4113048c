// Cancellations that a leader cannot read from the state service: what its peers tell it of them, and when
// it must let leases run out because they may not have.
#include "base/constants.h"
#include "peer/frames.h"
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

std::string phase_of(const Answer& a) {
    auto m = Message::parse(a.body);
    return m ? m->root()["phase"].text_or("") : "";
}

// A peer of the only controller, played by a script: it answers heartbeats, and sends its own once a second.
struct ScriptedPeer {
    Site& site;
    uint64_t incarnation = 77;
    uint8_t record_format = peer::kAnnouncedRecordFormat;  // 0: the version in production, which knows no cancellations
    uint32_t announced = 0;                     // cancellations that it says it told users of
    std::vector<std::string> sends;  // and those that it sends ahead of its next answer, numbered from `from`
    uint32_t from = 0;
    Seconds announced_last = 0;  // when it told a user of one
    bool answers = true;         // heartbeats
    int unknown = 0;             // frames that the version in production does not know
    uint32_t next_heartbeat = 1;
    File listener;
    Scope scope;

    explicit ScriptedPeer(Site& s)
        : site(s),
          announced_last(s.loop.now()),
          listener(s.loop, listen_on(s.configs[1].peer_listen)),
          scope(s.loop) {
        scope.spawn(accept(), "sibling");
        scope.spawn(heartbeats(), "sibling's beats");
    }
    ~ScriptedPeer() {
        scope.cancel();
        unwind(site.loop);
    }
    peer::ControllerHeartbeat heartbeat() const {
        peer::ControllerHeartbeat b{};
        peer::set_label(b, site.configs[1].label);
        b.incarnation = incarnation;
        b.record_format = record_format;
        b.cancellations_announced = record_format ? announced : 0;
        b.store_age_ms = UINT32_MAX;
        b.since_last_cancellation_ms = static_cast<uint32_t>((site.loop.now() - announced_last) * 1000);
        return b;
    }
    Task<void> accept() {
        while (true) {
            int fd = accept_from(listener.fd());
            if (fd < 0) {
                co_await site.loop.readable(listener, -1);
            } else {
                scope.spawn(serve(fd), "sibling's link");
            }
        }
    }
    Task<void> serve(int fd) {
        Stream stream(site.loop, fd);
        peer::FrameReader reader;
        while (true) {
            Stream::Read got = co_await stream.read(-1);
            if (!got.ok()) co_return;
            reader.feed(got.bytes);
            while (auto f = reader.next()) {
                if (f->kind != peer::FrameKind::kHeartbeat || !answers) continue;
                std::string out;
                if (!sends.empty())
                    out = peer::pack_frame(peer::FrameKind::kCancellationNotice, 0, incarnation,
                                     peer::pack_cancellation_notice({incarnation, from, sends}));
                sends.clear();
                peer::ControllerHeartbeat b = heartbeat();
                b.request_sent_us = peer::unpack_heartbeat(f->payload)->request_sent_us;
                out += peer::pack_frame(peer::FrameKind::kHeartbeatAnswer, f->id, f->incarnation, b);
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
            while (auto f = reader.next()) unknown += f->kind == peer::FrameKind::kCancellationNotice;
        }
    }
    Task<void> heartbeats() {
        std::shared_ptr<Stream> stream =
            co_await connect_to(site.loop, site.configs[0].peer_listen, site.loop.now() + 1);
        if (stream) scope.spawn(count_unknown(stream), "answers to the sibling's beats");
        while (stream) {
            co_await site.loop.sleep(0.93);
            co_await stream->write(
                peer::pack_frame(peer::FrameKind::kHeartbeat, next_heartbeat++, incarnation, heartbeat()), -1);
        }
    }
};

// Reports every 2 s for so long; the last status.
int report(Site& s, FakeWorker& w, int node, Seconds time) {
    int status = 0;
    for (Seconds end = s.loop.now() + time; s.loop.now() < end;) {
        s.run(2);
        status = s.send_report(w, node);
    }
    return status;
}

// A controller that leads, with a scripted peer and a worker with a task of each job.
struct Pair {
    Site s{2};
    std::unique_ptr<ScriptedPeer> peer;
    FakeWorker w;
    explicit Pair(uint8_t record_format, std::vector<std::string> jobs = {}) {
        s.run(1);
        peer = std::make_unique<ScriptedPeer>(s);
        peer->record_format = record_format;
        s.start(0);
        EXPECT_TRUE(s.until([&] { return s.leader() == 0; }));
        s.run(6);
        s.settle(w);
        for (const auto& id : jobs) EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(report(s, w, 0, 4), 200);
        EXPECT_EQ(w.tasks.size(), jobs.size());
    }
    bool runs(const std::string& task) {
        const TaskStatus* t = w.find(task);
        return t && t->phase == TaskPhase::kRunning;
    }
};

}  // namespace

// The gap: the state service refuses the leader alone, another controller confirms a cancellation, then the
// service is down for all for longer than cancel_s while workers still report to the leader. Without the
// peers' word for which jobs were cancelled either this task outlived cancel_s or every lease ended.
TEST(Cancellation, AnnouncedByAPeerWhileTheLeaderIsRefusedEndsItsTasksAndNoOthers) {
    for (int n : {2, 3, 5}) {
        Site s(n);
        for (int i = 0; i < n; ++i) s.start(i);
        ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
        int leader = s.leader(), other = (leader + 1) % n;
        s.run(6);
        FakeWorker w;
        s.settle(w);
        for (const char* id : {"job-1", "job-2"})
            ASSERT_EQ(s.call(other, "POST", "/v2/runs", job_body(id)).status, 201);
        EXPECT_EQ(report(s, w, leader, 4), 200);
        ASSERT_TRUE(w.find("job-1/0") && w.find("job-2/0"));
        s.state.refused.insert(leader);
        s.run(0.3);
        ASSERT_EQ(phase_of(s.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
        s.run(0.5);
        s.state.down = true;
        Seconds announced = s.loop.now();
        EXPECT_EQ(report(s, w, leader, 4), 200);
        EXPECT_TRUE(!w.find("job-1/0") || w.find("job-1/0")->phase == TaskPhase::kExited);
        EXPECT_EQ(report(s, w, leader, s.configs[0].cancel_s + 20), 200) << "all is known: no lease need end";
        EXPECT_EQ(s.leader(), leader);
        EXPECT_EQ(w.find("job-2/0")->phase, TaskPhase::kRunning) << s.loop.now() - announced;
        s.state.outage_is_over();
        s.state.down = false;
        s.state.refused.clear();
        s.run(3);
        EXPECT_EQ(report(s, w, leader, 8), 200);
        EXPECT_TRUE(s.state.rows.count("f/job-1"));
        EXPECT_EQ(phase_of(s.call(other, "GET", "/v2/runs/job-2")), "running");
    }
}

// A cancellation may be confirmed after a new leader has read the job's record and told before it has read
// them all: its view must not take the job for one that goes on.
TEST(Cancellation, AnnouncedWhileANewLeaderReadsTheRecordsCounts) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(4);
    FakeWorker w;
    s.settle(w);
    ASSERT_EQ(s.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(report(s, w, first, 4), 200);
    ASSERT_TRUE(w.find("job-1/0"));
    s.kill(first);
    s.state.end_lease(s.state.rows.at("leader").lease);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    Controller& node = *s.nodes[static_cast<size_t>(1 - first)];
    ASSERT_TRUE(s.until([&] { return node.leader() != nullptr; }));
    ASSERT_EQ(node.leader()->jobs().size(), 0u);
    node.leader()->observe_cancellation("job-1");
    s.settle(w);
    EXPECT_EQ(report(s, w, 1 - first, 4), 200);
    const TaskStatus* t = w.find("job-1/0");
    EXPECT_TRUE(!t || t->phase == TaskPhase::kExited);
}

// A peer of the version in production cannot say which jobs were cancelled: it is sent nothing that it
// does not know, and its silence about cancellations counts as before.
TEST(Cancellation, BesideTheVersionInProductionSilenceCounts) {
    Pair p(0, {"job-1"});
    ASSERT_EQ(phase_of(p.s.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    p.s.run(3);
    EXPECT_EQ(p.peer->unknown, 0) << "it would close the connection";
    p.s.state.down = true;
    EXPECT_EQ(report(p.s, p.w, 0, 60), 200) << "it has told nobody";
    p.peer->announced_last = p.s.loop.now();
    EXPECT_EQ(report(p.s, p.w, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(p.s, p.w, 0, 12), 503) << "which it was is not known";
}

// The peer says that it told of a cancellation, and the frame that names the job does not come.
TEST(Cancellation, AMissingNameEndsTheRightToRenewInTime) {
    Pair p(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    p.s.state.down = true;
    EXPECT_EQ(report(p.s, p.w, 0, 60), 200);
    p.peer->announced_last = p.s.loop.now();
    p.peer->announced = 1;
    EXPECT_EQ(report(p.s, p.w, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(p.s, p.w, 0, 12), 503);
    EXPECT_TRUE(p.runs("job-1/0") && p.runs("job-2/0"));
}

// Named in time, also by a connection that begins anew and repeats what was lost on the last one.
TEST(Cancellation, NamesCountOnceAndInCommand) {
    Pair p(peer::kAnnouncedRecordFormat, {"job-1", "job-2"});
    p.s.state.down = true;
    p.s.run(2);
    p.peer->announced_last = p.s.loop.now();
    p.peer->announced = 1;
    p.peer->sends = {"job-1"};
    EXPECT_EQ(report(p.s, p.w, 0, 6), 200);
    EXPECT_TRUE(!p.runs("job-1/0") && p.runs("job-2/0"));
    p.peer->announced_last = p.s.loop.now();
    p.peer->announced = 2;
    p.peer->sends = {"job-1", "job-2"};
    EXPECT_EQ(report(p.s, p.w, 0, 60), 200);
    EXPECT_FALSE(p.runs("job-2/0"));
    // One is left out: what comes after it says nothing of it.
    p.peer->announced_last = p.s.loop.now();
    p.peer->announced = 4;
    p.peer->from = 3;
    p.peer->sends = {"job-9"};
    EXPECT_EQ(report(p.s, p.w, 0, 16), 200) << "within the span";
    EXPECT_EQ(report(p.s, p.w, 0, 12), 503);
}

// The heartbeat that a peer sends by itself is up to a second newer than its last answer. Taken together, its
// silence and the answer's time reached back to before a cancellation that it had told a user of.
TEST(Cancellation, ALaterHeartbeatSaysNothingOfAnEarlierAnswer) {
    Pair p(0);
    // Seen fresh by a watch that began up to 3 s ago, and cut off now.
    p.s.state.refused.insert(0);
    p.s.state.down = true;
    p.s.run(0.2);
    p.peer->announced_last = p.s.loop.now();
    Seconds announced = p.s.loop.now();
    while (p.s.loop.now() < announced + p.s.configs[0].cancel_s - p.s.configs[0].lease_s) {
        p.s.run(0.2);
        p.s.send_report(p.w, 0);
    }
    for (int i = 0; i < 40; ++i) {
        p.s.run(0.2);
        ASSERT_EQ(p.s.send_report(p.w, 0), 503) << i;
    }
}

// What was confirmed for once stays known when the peer begins anew and can speak only for itself.
TEST(Cancellation, WhatWasVouchedForStaysKnown) {
    Pair p(peer::kAnnouncedRecordFormat);
    p.s.state.down = true;
    EXPECT_EQ(report(p.s, p.w, 0, 60), 200);
    p.peer->incarnation = 78;
    p.peer->announced_last = p.s.loop.now();
    EXPECT_EQ(report(p.s, p.w, 0, 16), 200) << "within the span from its last word";
    EXPECT_EQ(report(p.s, p.w, 0, 12), 503) << "its last process may have told of one before it ended";
}

// In the heartbeat's format of the version in production the label is padded to 32 bytes; ours stands in the
// padding.
TEST(Cancellation, AHeartbeatIsReadAsTheVersionInProductionReadsIt) {
    for (std::string label : {"node-0", "a-label-of-23-bytes-long", "a-label-of-exactly-31-bytes-xyz"}) {
        peer::ControllerHeartbeat b{};
        peer::set_label(b, label);
        EXPECT_EQ(peer::label_of(b), label);
        EXPECT_EQ(peer::has_extension(b), label.size() < sizeof b.label);
        if (peer::has_extension(b)) {
            b.record_format = peer::kAnnouncedRecordFormat;
            b.cancellations_announced = 0x01020304;
        }
        EXPECT_EQ(peer::label_of(b), label);
        std::string bytes = peer::pack_frame(peer::FrameKind::kHeartbeat, 1, 2, b);
        ASSERT_EQ(bytes.size(), 24u + 68u);
        EXPECT_EQ(std::string(bytes.c_str() + 24), label);
    }
}
