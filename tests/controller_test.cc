// Whole controllers against scripted peers.
#include <sys/resource.h>

#include <algorithm>

#include "base/constants.h"
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

std::string phase_of(const Answer& a) {
    auto m = Message::parse(a.body);
    return m ? m->root()["phase"].text_or("") : "";
}

std::vector<FakeWorker> settled_workers(Site& s, size_t n) {
    std::vector<FakeWorker> workers(n);
    for (size_t i = 0; i < n; ++i) {
        workers[i].name = "vm-00000" + std::to_string(i);
        s.settle(workers[i]);
    }
    return workers;
}

}  // namespace

TEST(Controller, RunsAJobFromSubmissionToDone) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    EXPECT_EQ(s.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200) << "a retry makes no second job";
    FakeWorker w;
    s.settle(w);
    s.send_report(w, 0);
    ASSERT_TRUE(w.find("job-1/0"));
    s.send_report(w, 0);
    EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-1")), "running");
    w.find("job-1/0")->phase = TaskPhase::kExited;
    w.find("job-1/0")->cause = ExitCause::kDone;
    s.send_report(w, 0);
    s.run(0.5);
    EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
    EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
    s.send_report(w, 0);
    EXPECT_TRUE(w.tasks.empty()) << "forgotten once committed";
}

TEST(Controller, AnswersWhatItCannotTake) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    auto submit = [&](const std::function<void(std::map<std::string, std::string>&)>& change) {
        return s.call(0, "POST", "/v2/runs", job_body("job-1", change)).status;
    };
    auto packed = [](auto f) {
        Packer p;
        f(p);
        return p.take();
    };
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", "\xc1").status, 400);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", "\x93\x01\x02\x03").status, 400);
    for (const char* field :
         {"ref", "owner", "pieces", "vcpus", "bundle", "one_zone", "snapshot_s", "rank"}) {
        EXPECT_EQ(submit([&](auto& f) { f.erase(field); }), 400) << field;
        EXPECT_EQ(submit([&](auto& f) { f[field] = packed([](Packer& p) { p.list(0); }); }), 400) << field;
    }
    for (double bad : {-1.0, static_cast<double>(INFINITY), static_cast<double>(NAN)})
        for (const char* field : {"pieces", "vcpus", "memory_gb", "size_gb", "expect_s", "due_s"})
            EXPECT_EQ(submit([&](auto& f) { f[field] = packed([&](Packer& p) { p.number(bad); }); }), 400)
                << field << bad;
    EXPECT_EQ(submit([&](auto& f) { f["pieces"] = packed([](Packer& p) { p.count(100'001); }); }), 400);
    EXPECT_EQ(submit([&](auto& f) { f["owner"] = packed([](Packer& p) { p.text("nobody"); }); }), 422);
    EXPECT_EQ(submit([&](auto& f) { f["cards"] = packed([](Packer& p) { p.number(3); }); }), 422);
    EXPECT_EQ(submit([&](auto& f) {
                  f["shape"] = packed([](Packer& p) { p.text("ensemble"); });
                  f["pieces"] = packed([](Packer& p) { p.count(9); });
              }),
              422);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs").status, 405);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs/job-1").status, 405);
    EXPECT_EQ(s.call(0, "GET", "/nothing").status, 404);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404) << "nothing of all this was accepted";
    EXPECT_EQ(s.call(0, "POST", "/hello", "\x81").status, 400);
    EXPECT_EQ(submit({}), 201) << "and the connection and the process are unharmed";
}

// Whoever asks again about an accepted job is told so, whatever else has changed; what is new waits until the
// machine types are known.
TEST(Controller, KnowsAnAcceptedJobWhateverHasChangedSince) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.kill(0);
    s.state.rows.erase("flavors");
    s.cloud.down = true;
    s.start(0);
    s.run(3);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-2")).status, 503);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-3", [](auto& f) { f.erase("owner"); })).status,
              400);
    s.kill(0);
    s.cloud.down = false;
    s.configs[0].teams[0].gpus_max = 0.5;
    s.start(0);
    s.run(3);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200)
        << "its team's limit is lower now";
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-2")).status, 422);
}

TEST(Controller, TellsUsersAtOnceWhenToComeBackInAnOutage) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    s.state.down = true;
    Seconds began = s.loop.now();
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 503);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs/job-1/withdraw").status, 503);
    EXPECT_LT(s.loop.now() - began, 0.5);
    s.state.down = false;
    s.run(3);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

TEST(Controller, AnotherTakesOverAndKeepsWhatRuns) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader(), second = 1 - first;
    s.run(1);
    FakeWorker w;
    s.settle(w);
    uint64_t fencing_token = w.fencing_token;
    ASSERT_EQ(s.call(second, "POST", "/v2/runs", job_body("job-1")).status, 201) << "any node serves users";
    s.send_report(w, first);
    s.send_report(w, first);
    ASSERT_TRUE(w.find("job-1/0"));
    EXPECT_EQ(s.send_report(w, second), 421);
    s.kill(first);
    ASSERT_TRUE(s.until([&] { return s.leader() == second; }, 15));
    s.settle(w);
    EXPECT_GT(w.fencing_token, fencing_token);
    s.send_report(w, second);
    ASSERT_TRUE(w.find("job-1/0"));
    EXPECT_EQ(w.find("job-1/0")->attempt, 1u);
    EXPECT_EQ(w.find("job-1/0")->phase, TaskPhase::kRunning);
}

// A report from before a launch comes late, and to a new leader. Its epoch is old: the answer with the launch
// may have come after it, so that what it lacks may be there all the same.
TEST(Controller, AnOldReportProvesNoAbsenceToANewLeader) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(3);
    FakeWorker w;
    s.settle(w);
    auto gang = [](auto& f) { f["shape"] = Packer().text("ensemble").take(); };
    ASSERT_EQ(s.call(first, "POST", "/v2/runs", job_body("job-1", gang)).status, 201);
    FakeWorker before = w;
    s.send_report(w, first);
    s.send_report(w, first);
    ASSERT_TRUE(w.find("job-1/0"));
    s.kill(first);
    s.state.end_lease(s.state.rows.at("leader").lease);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int second = s.leader();
    s.run(1);
    before.deaf = true;
    s.send_report(before, second);
    FakeWorker other;
    other.name = "vm-000002";
    s.settle(other);
    s.send_report(other, second);
    EXPECT_FALSE(other.find("job-1/0")) << "it runs where it was";
    EXPECT_EQ(s.nodes[static_cast<size_t>(second)]->leader()->jobs().find("job-1")->live.size(), 1u);
}

// A node that restarts finds its own last leadership in the store and ends it, rather than believing that
// it still leads or waiting for the lease. The epoch is never used again.
TEST(Controller, ARestartDuringItsOwnLeadershipTakesANewEpoch) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    uint64_t fencing_token = s.nodes[0]->election().fencing_token();
    s.kill(0);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }, 3)) << "well before the lease ends";
    EXPECT_GT(s.nodes[0]->election().fencing_token(), fencing_token);
}

// A leader's transaction is held up, the leader is deposed, and the transaction arrives after all.
TEST(Controller, ADeposedLeadersLateTransactionChangesNothing) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(1);
    FakeWorker w;
    s.settle(w);
    bool hold = false;
    s.state.let_through = [&](const std::string& body) {
        // The leader's only write of this job: its placement.
        return !(hold && body.find("j/job-1") != std::string::npos &&
                 body.find("leader") != std::string::npos);
    };
    hold = true;
    ASSERT_EQ(s.call(1 - first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, first);
    ASSERT_FALSE(s.state.late.empty()) << "the placement's transaction is on its way";
    EXPECT_FALSE(w.find("job-1/0")) << "nothing is launched before its commit";
    s.kill(first);
    hold = false;
    ASSERT_TRUE(s.until([&] { return s.leader() == 1 - first; }, 15));
    std::string before = s.state.rows.at("j/job-1").data;
    for (const auto& body : s.state.late) EXPECT_EQ(s.state.apply(body).status, 409);
    EXPECT_EQ(s.state.rows.at("j/job-1").data, before);
    s.settle(w);
    s.send_report(w, s.leader());
    EXPECT_TRUE(w.find("job-1/0")) << "the new leader starts it";
}

// The user cancels while the machine reports the last task done: one of the two wins, and it stays so.
TEST(Controller, ACancellationRacingTheEndGetsOneLastingAnswer) {
    for (bool cancel_first : {true, false}) {
        Site s;
        s.start(0);
        ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
        s.run(1);
        FakeWorker w;
        s.settle(w);
        ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
        s.send_report(w, 0);
        s.send_report(w, 0);
        ASSERT_TRUE(w.find("job-1/0"));
        w.find("job-1/0")->phase = TaskPhase::kExited;
        w.find("job-1/0")->cause = ExitCause::kDone;
        // The leader's transaction is lost on its way, and carried out late.
        bool lose = cancel_first;
        s.state.let_through = [&](const std::string& body) {
            return !(lose && body.find("leader") != std::string::npos);
        };
        s.send_report(w, 0);
        std::string announced = phase_of(s.call(0, "POST", "/v2/runs/job-1/withdraw"));
        EXPECT_EQ(announced, cancel_first ? "withdrawn" : "done");
        lose = false;
        for (const auto& body : s.state.late) s.state.apply(body);
        for (int i = 0; i < 5; ++i) {
            s.run(1);
            EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-1")), announced);
        }
        EXPECT_TRUE(s.state.rows.count("f/job-1"));
        EXPECT_FALSE(s.state.rows.count("j/job-1"));
    }
}

// Without the state service a leader cannot learn of cancellations. It renews workers' leases only while none
// older than cancel_s - lease_s can be missing, and longer only while all peers confirm that none was told.
TEST(Controller, RenewsWithoutTheStateServiceOnlyAsLongAsItMay) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(6);
    FakeWorker w;
    s.settle(w);
    s.state.down = true;
    // Reports every 3 s for so long; the last status.
    auto report = [&](Seconds time) {
        int status = 0;
        for (Seconds end = s.loop.now() + time; s.loop.now() < end;) {
            s.run(3);
            status = s.send_report(w, first);
        }
        return status;
    };
    EXPECT_EQ(report(60), 200) << "the sibling vouches";
    s.kill(1 - first);
    EXPECT_EQ(report(12), 200) << "within the span";
    EXPECT_EQ(report(21), 503) << "nobody vouches any more";
    s.start(1 - first);
    EXPECT_EQ(report(6), 503) << "a restarted sibling does not know what it told before";
    s.state.down = false;
    EXPECT_EQ(report(9), 200);
}

// A worker that was pointed to the leader and comes back could not reach it: its report is passed on.
TEST(Controller, RelaysReportsOfWorkersThatCannotReachTheLeader) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int other = 1 - s.leader();
    s.run(3);
    FakeWorker w;
    EXPECT_EQ(s.send_report(w, other), 421);
    s.run(5);
    EXPECT_EQ(s.send_report(w, other), 200);
    EXPECT_EQ(w.fencing_token, s.nodes[static_cast<size_t>(s.leader())]->election().fencing_token());
}

// A leader that keeps the state service but that no worker reaches gives way to one that they reach.
TEST(Controller, ALeaderCutOffFromTheWorkersResigns) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    auto workers = settled_workers(s, 4);
    // Busy machines are answered at once.
    ASSERT_EQ(s.call(first, "POST", "/v2/runs",
                     job_body("job-1",
                              [](auto& f) {
                                  Packer p;
                                  f["pieces"] = p.count(8).take();
                              }))
                  .status,
              201);
    for (int i = 0; i < 2; ++i)
        for (auto& w : workers) s.send_report(w, first);
    ASSERT_EQ(workers[3].tasks.size(), 2u);
    auto report = [&](int node, Seconds time) {
        for (Seconds t = 0; t < time && s.leader() == first; t += 1) {
            s.run(1);
            for (auto& w : workers) s.send_report(w, node);
        }
    };
    report(first, 10);
    EXPECT_EQ(s.leader(), first);
    report(1 - first, 15);
    ASSERT_TRUE(s.until([&] { return s.leader() == 1 - first; }, 5));
    EXPECT_TRUE(s.cloud.deleted.empty()) << "its machines were not given up";
}

TEST(Controller, DeletesAnUnreachableMachineBeforeItsTasksStartElsewhere) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w1, w2;
    w2.name = "vm-000002";
    s.settle(w1);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w1, 0);
    s.send_report(w1, 0);
    ASSERT_TRUE(w1.find("job-1/0"));
    s.cloud.down = true;
    for (int i = 0; i < 10; ++i) {
        s.run(3);
        s.send_report(w2, 0);
        EXPECT_FALSE(w2.find("job-1/0")) << "the first machine may still run it";
    }
    s.cloud.down = false;
    for (int i = 0; i < 4; ++i) {
        s.run(3);
        s.send_report(w2, 0);
    }
    EXPECT_EQ(std::count(s.cloud.deleted.begin(), s.cloud.deleted.end(), "vm-000001"), 1);
    EXPECT_TRUE(w2.find("job-1/0"));
}

// The service has forgotten the changes that a watch asks for: the leader reads all records again, page by
// page, and misses neither a new job nor a cancellation.
TEST(Controller, ReadsAllRecordsAgainWhenAWatchComesTooLate) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(1);
    s.state.page = 2;
    s.state.oldest = 1000;
    for (int i = 1; i <= 5; ++i)
        ASSERT_EQ(s.call(1 - first, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status, 201);
    ASSERT_EQ(s.call(1 - first, "POST", "/v2/runs/job-5/withdraw").status, 200);
    s.run(5);
    const auto& jobs = s.nodes[static_cast<size_t>(first)]->leader()->jobs();
    EXPECT_EQ(jobs.size(), 4u) << "the withdrawn one is over and moved";
    for (int i = 1; i <= 4; ++i) EXPECT_TRUE(jobs.find("job-" + std::to_string(i)));
    EXPECT_TRUE(s.state.rows.count("f/job-5"));
}

// A watch's answer has no size limit. One that is larger than is taken must lead to reading the records in
// pages, not to asking for the same answer for ever.
TEST(Controller, ReadsInPagesWhatIsTooLargeForOneAnswer) {
    Site s;
    s.configs[0].ram_bytes = 8 * 1024 * 1024;
    s.state.page = 50;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    s.state.down = true;  // open watches wait
    for (int i = 0; i < 300; ++i) {
        JobRecord r;
        r.spec.id = "job-" + std::to_string(i);
        r.spec.team = "team";
        r.spec.tasks = 1;
        r.spec.image = std::string(5000, 'x');
        Transaction t;
        t.expect(live_key(r.spec.id), 0).put(live_key(r.spec.id), r.pack(1));
        ASSERT_EQ(s.state.apply(t.pack()).status, 200);
    }
    s.state.down = false;
    s.run(10);
    EXPECT_EQ(s.nodes[0]->leader()->jobs().size(), 300u);
}

TEST(Controller, StartsFromKeptMachineTypesWhileTheCloudIsAway) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(3);
    s.kill(0);
    s.cloud.down = true;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.call(0, "GET", "/ready").status == 200; }, 10));
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// A copy of a report that comes late shows neither that its machine came back nor that it is alive, and
// takes the place of no report.
TEST(Controller, LateCopiesOfReportsShowNothing) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int leader = s.leader(), other = 1 - leader;
    s.run(3);
    FakeWorker w;
    std::string pointed = w.report();
    EXPECT_EQ(s.call(other, "POST", "/hello", pointed).status, 421);
    s.run(5);
    EXPECT_EQ(s.call(other, "POST", "/hello", pointed).status, 421) << "not passed on to the leader";
    s.settle(w);
    std::string idle = w.report();
    EXPECT_EQ(s.call(leader, "POST", "/hello", idle).status, 200);
    ASSERT_EQ(s.call(leader, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, leader);
    ASSERT_TRUE(w.find("job-1/0"));
    s.send_report(w, leader);
    const auto& jobs = s.nodes[static_cast<size_t>(leader)]->leader()->jobs();
    ASSERT_EQ(jobs.find("job-1")->live.size(), 1u);
    EXPECT_EQ(s.call(leader, "POST", "/hello", idle).status, 503) << "older than what is known";
    EXPECT_EQ(jobs.find("job-1")->live.size(), 1u) << "it proves no absence";
    Seconds heard =
        s.nodes[static_cast<size_t>(leader)]->leader()->cluster().machines.at(w.name)->last_heartbeat;
    for (int i = 0; i < 3; ++i) {
        s.run(s.configs[0].lease_s);
        EXPECT_EQ(s.call(leader, "POST", "/hello", idle).status, 503);
    }
    auto l = s.nodes[static_cast<size_t>(leader)]->leader();
    auto it = l->cluster().machines.find(w.name);
    EXPECT_TRUE(it == l->cluster().machines.end() || it->second->last_heartbeat == heard)
        << "it was not taken for alive";
    EXPECT_FALSE(s.cloud.deleted.empty()) << "but replaced";
}

// A controller without the state service and its peers: users hear so at once, the load balancer is told
// to go elsewhere, and workers are answered as long as that is safe and then sent on.
TEST(Controller, ALoneControllerIsHonestAndLetsGo) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(6);
    FakeWorker w;
    s.settle(w);
    ASSERT_EQ(s.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, first);
    s.state.silent = true;
    s.kill(1 - first);
    Seconds began = s.loop.now();
    s.run(8);
    EXPECT_EQ(s.send_report(w, first), 200) << "what runs goes on";
    for (const char* path : {"/v2/runs/job-1", "/v2/runs/job-2"}) {
        Seconds asked = s.loop.now();
        EXPECT_EQ(s.call(first, "GET", path).status, 503) << "it can say neither";
        EXPECT_LT(s.loop.now() - asked, 0.5);
    }
    EXPECT_EQ(s.call(first, "POST", "/v2/runs", job_body("job-3")).status, 503);
    EXPECT_EQ(s.call(first, "POST", "/v2/runs", "\xc1").status, 400) << "bad input is told all the same";
    s.run(5);
    EXPECT_EQ(s.call(first, "GET", "/ready").status, 503);
    const Config& c = s.configs[0];
    s.run(c.cancel_s - c.lease_s - (s.loop.now() - began));
    EXPECT_EQ(s.send_report(w, first), 503);
    s.state.silent = false;
    s.start(1 - first);
    s.run(10);
    EXPECT_EQ(s.call(first, "GET", "/v2/runs/job-1").status, 200);
    EXPECT_EQ(s.call(first, "GET", "/ready").status, 200);
}

// A process is killed while its election is on its way, is back at once, and the old transaction arrives
// in the midst of the new election, before or after it. One leads, in an epoch that nobody had.
TEST(Controller, AProcessBackInTheMidstOfItsElectionLeadsOnlyInANewEpoch) {
    for (bool late_first : {true, false}) {
        Site s;
        s.state.let_through = [&](const std::string& body) {
            return body.find("term") == std::string::npos || !s.state.late.empty();
        };
        s.start(0);
        ASSERT_TRUE(s.until([&] { return !s.state.late.empty(); }));
        std::string old = s.state.late.at(0);
        s.kill(0);
        if (late_first) {
            EXPECT_EQ(s.state.apply(old).status, 200);
        }
        s.start(0);
        ASSERT_TRUE(s.until([&] { return s.leader() == 0; }, 5));
        uint64_t fencing_token = s.nodes[0]->election().fencing_token();
        EXPECT_EQ(fencing_token, late_first ? 2u : 1u) << "the old transaction took effect, or never will";
        EXPECT_NE(s.state.apply(old).status, 200) << "its conditions or its lease are gone";
        s.run(5);
        EXPECT_EQ(s.nodes[0]->election().fencing_token(), fencing_token);
        EXPECT_EQ(s.leader(), 0);
    }
}

// After a take-over all workers report at once. What comes together is decided together: the work grows with
// the reports, not with reports times machines.
TEST(Controller, ACrowdOfReportsSharesItsPasses) {
    Site s;
    // Each worker takes two descriptors of this process.
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    ASSERT_GE(files.rlim_cur, 2500u);
    s.configs[0].sockets = 2000;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs",
                     job_body("job-1",
                              [](auto& f) {
                                  Packer p;
                                  f["pieces"] = p.count(8).take();
                              }))
                  .status,
              201);
    std::vector<FakeWorker> workers(1000);
    int answered = 0;
    Scope scope(s.loop);
    auto go = [](Loop& l, Address at, FakeWorker& w, int& n) -> Task<void> {
        n += co_await w.send_report(l, at) == 200;
    };
    for (size_t i = 0; i < workers.size(); ++i) {
        workers[i].name = "vm-" + std::to_string(10000 + i);
        scope.spawn(go(s.loop, s.configs[0].listen, workers[i], answered), "hello");
    }
    uint64_t before = s.nodes[0]->leader()->passes_done();
    Seconds began = s.loop.now();
    ASSERT_TRUE(s.until([&] { return answered == 1000; }, 10));
    uint64_t run_passes = s.nodes[0]->leader()->passes_done() - before;
    EXPECT_LE(static_cast<double>(run_passes), 2 + (s.loop.now() - began) / constants::kPassInterval_s);
    EXPECT_LT(run_passes, 50u) << "far fewer than reports";
    EXPECT_EQ(s.nodes[0]->leader()->machines_seen(), 1000u);
}

// Controllers that start in an outage of the state service are open for users all the same, and tell them
// when to come back; but not one that alone is refused.
TEST(Controller, IsReadyWhenStartedInAnOutageForAll) {
    Site s(2);
    s.state.down = true;
    s.start(0);
    s.start(1);
    EXPECT_EQ(s.call(0, "GET", "/ready").status, 503);
    s.run(4);
    EXPECT_EQ(s.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    s.state.down = false;
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }, 10));
    s.run(3);
    s.kill(1);
    s.configs[1].state = address(1, 2);  // nobody is there
    s.start(1);
    s.run(4);
    EXPECT_EQ(s.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(s.call(1, "GET", "/ready").status, 503);
}

// Once all troubles are over no job may be refused again and again: not for the load of other questions,
// and not by a node that was cut off.
TEST(Controller, AnswersEveryQuestionOnceTheTroublesAreOver) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    s.run(1);
    for (int i = 1; i <= 20; ++i)
        ASSERT_EQ(s.call(i % 2, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status, 201);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs/job-20/withdraw").status, 200);
    s.state.silent = true;
    s.run(20);
    s.kill(0);
    s.kill(1);
    s.start(0);
    s.run(1);
    s.start(1);
    s.state.silent = false;
    s.run(8);
    for (int node : {0, 1})
        for (int i = 1; i <= 20; ++i)
            EXPECT_EQ(s.call(node, "GET", "/v2/runs/job-" + std::to_string(i)).status, 200) << i;
}

// A leader that has lost the state service may have been followed by another without knowing. It goes on to
// answer workers as long as it may, but asks the cloud for nothing: cut off for 120 s, one returned the whole
// fleet, which by then was another's.
TEST(Controller, ALeaderThatIsNotConfirmedReturnsNothing) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w;
    s.cloud.machines[w.name] = {w.name, w.addr, w.machine_type, w.zone, false, MachinePhase::kRunning, 100};
    s.settle(w);
    s.state.silent = true;
    s.run(60);
    EXPECT_TRUE(s.cloud.deleted.empty());
    s.state.silent = false;
    s.run(60);
    EXPECT_EQ(s.cloud.deleted.size(), 1u) << "once it is confirmed, or leads anew";
}

// A command may be lost, and a machine that does not report hears nothing else.
TEST(Controller, RepeatsTheStopOfCancelledWork) {
    Site s;
    int commands = 0;
    Address at = address(60, 9000);
    HttpServer machine(s.loop, at, 20, [&](Request) -> Task<Response> {
        ++commands;
        co_return Response{500, "", 0, ""};
    });
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w;
    w.addr = text_of(at);
    s.settle(w);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, 0);
    s.send_report(w, 0);
    ASSERT_TRUE(w.find("job-1/0"));
    ASSERT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    s.run(11);
    EXPECT_GE(commands, 3);
    machine.stop();
    unwind(s.loop);
}

// Nor what holds cancelled work, if a peer does not answer: it may lead by now.
TEST(Controller, ALeaderThatMayHaveBeenFollowedReturnsNothing) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int first = s.leader();
    s.run(6);
    FakeWorker w;
    s.cloud.machines[w.name] = {w.name, w.addr, w.machine_type, w.zone, false, MachinePhase::kRunning, 100};
    s.settle(w);
    ASSERT_EQ(s.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, first);
    s.send_report(w, first);
    ASSERT_TRUE(w.find("job-1/0"));
    ASSERT_EQ(phase_of(s.call(first, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    s.state.silent = true;
    s.kill(1 - first);
    s.run(60);
    EXPECT_TRUE(s.cloud.deleted.empty());
}

// The cloud is away when a silent machine is given up, and the machine is heard again before it is back.
TEST(Controller, KeepsAMachineThatIsHeardBeforeItCouldBeReturned) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w1, w2;
    w2.name = "vm-000002";
    s.settle(w1);
    s.settle(w2);
    s.cloud.down = true;
    s.run(20);
    EXPECT_EQ(s.send_report(w1, 0), 200);
    s.cloud.down = false;
    s.run(4);
    EXPECT_EQ(s.cloud.deleted, std::vector<std::string>{"vm-000002"});
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w1, 0);
    EXPECT_TRUE(w1.find("job-1/0")) << "it is of use again";
}

// A process stands still for 30 s while its clocks run on. What it believed before does not count: it does
// not take its machines for silent, answers no worker on an old right, and leads only if the state service
// says so.
TEST(Controller, AfterStandingStillNothingCountsUntilConfirmed) {
    for (bool followed : {false, true}) {
        Site s(2);
        s.start(0);
        ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
        s.run(6);
        auto workers = settled_workers(s, 2);
        s.run(3);
        // The clock jumps between two turns of the loop, wherever its routines are.
        for (int steps : {0, 1, 2, 5}) {
            for (int i = 0; i < steps; ++i) s.loop.turn(0);
            if (followed) {
                Packer p;
                p.map(2).key("node").text("node-1").key("epoch").count(9);
                s.state.rows["leader"] = {p.take(), ++s.state.revision, 0};
            }
            s.clock.advance(30);
            if (!followed) s.state.outage_is_over();  // so that the lease is still there
            for (int i = 0; i < 3; ++i) s.loop.turn(0);
            if (followed) {
                s.run(5);
                EXPECT_EQ(s.leader(), -1) << steps;
                EXPECT_EQ(s.send_report(workers[0], 0), 421) << steps;
            }
            EXPECT_TRUE(s.cloud.deleted.empty()) << steps;
            if (followed) break;
            s.run(2.5);
            EXPECT_EQ(s.nodes[0]->election().fencing_token(), 1u) << "it leads still";
            for (auto& w : workers) s.settle(w);
            s.run(3);
        }
        EXPECT_TRUE(s.cloud.deleted.empty());
    }
}

// Late copies of what controllers said to each other: a heartbeat of a process that is gone, and answers that
// belong to no request of this process, change nothing.
TEST(Controller, LateCopiesOfFramesShowNothing) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int leader = s.leader();
    size_t at = static_cast<size_t>(leader);
    s.run(4);
    uint64_t fencing_token = s.nodes[at]->election().fencing_token();
    peer::ControllerHeartbeat b{};
    peer::set_label(b, s.configs[1 - at].label);
    b.incarnation = 7;
    b.fencing_token = 50;
    b.leads = 1;
    b.request_sent_us = static_cast<uint64_t>((s.loop.now() + 100) * 1e6);
    std::string frames = peer::pack_frame(peer::FrameKind::kHeartbeat, 1000, 7, b) +
                         peer::pack_frame(peer::FrameKind::kHeartbeatAnswer, 1, 7, b) +
                         peer::pack_frame(peer::FrameKind::kRelayAnswer, 1, 7, std::string("\xc8\0", 2));
    Scope scope(s.loop);
    auto send = [](Loop& l, Address to, std::string bytes) -> Task<void> {
        auto stream = co_await connect_to(l, to, l.now() + 1);
        for (int i = 0; stream && i < 100; ++i) {
            co_await stream->write(bytes, l.now() + 1);
            co_await l.sleep(0.037);
        }
    };
    scope.spawn(send(s.loop, s.configs[at].peer_listen, frames), "copies");
    s.run(4);
    EXPECT_EQ(s.leader(), leader);
    EXPECT_EQ(s.nodes[at]->election().fencing_token(), fencing_token);
}

// Requests that were carried out come again, late: every transaction of the controllers and all that users
// asked. None changes a job, a leadership or an answer.
TEST(Controller, RepeatsOfWhatWasCarriedOutChangeNothing) {
    Site s;
    std::vector<std::string> transactions;
    s.state.let_through = [&](const std::string& body) {
        transactions.push_back(body);
        return true;
    };
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w;
    s.settle(w);
    for (const char* id : {"job-1", "job-2", "job-3"}) {
        ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        s.send_report(w, 0);
        s.send_report(w, 0);
        TaskStatus* t = w.find(std::string(id) + "/0");
        ASSERT_TRUE(t) << id;
        if (std::string(id) == "job-1") {
            t->phase = TaskPhase::kExited;
            t->cause = ExitCause::kDone;
        } else if (std::string(id) == "job-2") {
            ASSERT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        }
        s.send_report(w, 0);
        s.send_report(w, 0);
    }
    auto kept = [&] {
        std::map<std::string, std::string> rows;
        for (const auto& [key, row] : s.state.rows) rows[key] = row.data;
        return rows;
    };
    auto before = kept();
    ASSERT_TRUE(before.count("f/job-1") && before.count("f/job-2") && before.count("j/job-3"));
    auto repeated = transactions;
    ASSERT_GT(repeated.size(), 8u);
    uint64_t fencing_token = s.nodes[0]->election().fencing_token();
    for (int round = 0; round < 2; ++round) {
        for (const auto& body : repeated) s.state.apply(body);
        EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
        EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs", job_body("job-2"))), "withdrawn");
        EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
        EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs", job_body("job-3"))), "running");
        s.run(3);
        s.send_report(w, 0);
        EXPECT_EQ(kept(), before);
        EXPECT_EQ(w.tasks.size(), 1u) << "nothing was started again";
        EXPECT_EQ(s.nodes[0]->election().fencing_token(), fencing_token);
    }
}
