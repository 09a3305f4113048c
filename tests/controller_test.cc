// Whole controllers against scripted peers.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>

#include "base/constants.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(Controller, RunsAJobFromSubmissionToDone) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200)
        << "a retry makes no second job";
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.send_report(worker, 0);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "running");
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    deployment.send_report(worker, 0);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
    deployment.send_report(worker, 0);
    EXPECT_TRUE(worker.tasks.empty()) << "forgotten once committed";
}

TEST(Controller, AnswersWhatItCannotTake) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    auto submit = [&](const JobFieldsChange& change) {
        return deployment.call(0, "POST", "/v2/runs", job_body("job-1", change)).status;
    };
    auto packed = [](auto fields) {
        Packer packer;
        fields(packer);
        return packer.take();
    };
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", "\xc1").status, 400);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", "\x93\x01\x02\x03").status, 400);
    for (const char* field :
         {"ref", "owner", "pieces", "vcpus", "bundle", "one_zone", "snapshot_s", "rank"}) {
        EXPECT_EQ(submit([&](auto& fields) { fields.erase(field); }), 400) << field;
        EXPECT_EQ(
            submit([&](auto& fields) { fields[field] = packed([](Packer& packer) { packer.list(0); }); }),
            400)
            << field;
    }
    for (double bad : {-1.0, static_cast<double>(INFINITY), static_cast<double>(NAN)})
        for (const char* field : {"pieces", "vcpus", "memory_gb", "size_gb", "expect_s", "due_s"})
            EXPECT_EQ(submit([&](auto& fields) {
                          fields[field] = packed([&](Packer& packer) { packer.number(bad); });
                      }),
                      400)
                << field << bad;
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["pieces"] = packed([](Packer& packer) { packer.count(100'001); });
              }),
              400);
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["owner"] = packed([](Packer& packer) { packer.text("nobody"); });
              }),
              422);
    EXPECT_EQ(
        submit([&](auto& fields) { fields["cards"] = packed([](Packer& packer) { packer.number(3); }); }),
        422);
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["shape"] = packed([](Packer& packer) { packer.text("ensemble"); });
                  fields["pieces"] = packed([](Packer& packer) { packer.count(9); });
              }),
              422);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs").status, 405);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-1").status, 405);
    EXPECT_EQ(deployment.call(0, "GET", "/nothing").status, 404);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404) << "nothing of all this was accepted";
    EXPECT_EQ(deployment.call(0, "POST", "/hello", "\x81").status, 400);
    EXPECT_EQ(submit({}), 201) << "and the connection and the process are unharmed";
}

// Whoever asks again about an accepted job is told so, whatever else has changed; what is new waits until the
// machine types are known.
TEST(Controller, KnowsAnAcceptedJobWhateverHasChangedSince) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.kill(0);
    deployment.store.rows.erase("flavors");
    deployment.cloud.down = true;
    deployment.start(0);
    deployment.run(3);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-2")).status, 503);
    EXPECT_EQ(
        deployment.call(0, "POST", "/v2/runs", job_body("job-3", [](auto& fields) { fields.erase("owner"); }))
            .status,
        400);
    deployment.kill(0);
    deployment.cloud.down = false;
    deployment.configs[0].teams[0].gpus_max = 0.5;
    deployment.start(0);
    deployment.run(3);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200)
        << "its team's limit is lower now";
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-2")).status, 422);
}

TEST(Controller, TellsUsersAtOnceWhenToComeBackInAnOutage) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    deployment.store.down = true;
    Seconds began = deployment.loop.now();
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-1/withdraw").status, 503);
    EXPECT_LT(deployment.loop.now() - began, 0.5);
    deployment.store.down = false;
    deployment.run(3);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

TEST(Controller, AnotherTakesOverAndKeepsWhatRuns) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader(), second = 1 - first;
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    uint64_t fencing_token = worker.fencing_token;
    ASSERT_EQ(deployment.call(second, "POST", "/v2/runs", job_body("job-1")).status, 201)
        << "any node serves users";
    deployment.send_report(worker, first);
    deployment.send_report(worker, first);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(deployment.send_report(worker, second), 421);
    deployment.kill(first);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == second; }, 15));
    deployment.settle(worker);
    EXPECT_GT(worker.fencing_token, fencing_token);
    deployment.send_report(worker, second);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(worker.find("job-1/0")->attempt, 1u);
    EXPECT_EQ(worker.find("job-1/0")->phase, TaskPhase::kRunning);
}

// A report from before a launch comes late, and to a new leader. Its epoch is old: the answer with the launch
// may have come after it, so that what it lacks may be there all the same.
TEST(Controller, AnOldReportProvesNoAbsenceToANewLeader) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(3);
    FakeWorker worker;
    deployment.settle(worker);
    auto gang = [](auto& fields) { make_gang(fields); };
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1", gang)).status, 201);
    FakeWorker before = worker;
    deployment.send_report(worker, first);
    deployment.send_report(worker, first);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.kill(first);
    deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }));
    int second = deployment.leader();
    deployment.run(1);
    before.deaf = true;
    deployment.send_report(before, second);
    FakeWorker other;
    other.name = "vm-000002";
    deployment.settle(other);
    deployment.send_report(other, second);
    EXPECT_FALSE(other.find("job-1/0")) << "it runs where it was";
    EXPECT_EQ(deployment.node(second).leader()->jobs().find("job-1")->live.size(), 1u);
}

// A node that restarts finds its own last leadership in the store and ends it, rather than believing that
// it still leads or waiting for the lease. The epoch is never used again.
TEST(Controller, ARestartDuringItsOwnLeadershipTakesANewEpoch) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    uint64_t fencing_token = deployment.node(0).election().fencing_token();
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }, 3))
        << "well before the lease ends";
    EXPECT_GT(deployment.node(0).election().fencing_token(), fencing_token);
}

// A leader's transaction is held up, the leader is deposed, and the transaction arrives after all.
TEST(Controller, ADeposedLeadersLateTransactionChangesNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    bool hold = false;
    deployment.store.let_through = [&](const std::string& body) {
        // The leader's only write of this job: its placement.
        return !(hold && body.find("j/job-1") != std::string::npos &&
                 body.find("leader") != std::string::npos);
    };
    hold = true;
    ASSERT_EQ(deployment.call(1 - first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, first);
    ASSERT_FALSE(deployment.store.held_transactions.empty()) << "the placement's transaction is on its way";
    EXPECT_FALSE(worker.find("job-1/0")) << "nothing is launched before its commit";
    deployment.kill(first);
    hold = false;
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 1 - first; }, 15));
    std::string before = deployment.store.rows.at("j/job-1").data;
    for (const auto& body : deployment.store.held_transactions)
        EXPECT_EQ(deployment.store.apply(body).status, 409);
    EXPECT_EQ(deployment.store.rows.at("j/job-1").data, before);
    deployment.settle(worker);
    deployment.send_report(worker, deployment.leader());
    EXPECT_TRUE(worker.find("job-1/0")) << "the new leader starts it";
}

// The user cancels while the machine reports the last task done: one of the two wins, and it stays so.
TEST(Controller, ACancellationRacingTheEndGetsOneLastingAnswer) {
    for (bool cancel_first : {true, false}) {
        Deployment deployment;
        ASSERT_TRUE(deployment.start_and_elect());
        deployment.run(1);
        FakeWorker worker;
        deployment.settle(worker);
        ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
        deployment.send_report(worker, 0);
        deployment.send_report(worker, 0);
        ASSERT_TRUE(worker.find("job-1/0"));
        exit_task(*worker.find("job-1/0"), ExitCause::kDone);
        // The leader's transaction is lost on its way, and carried out late.
        bool lose = cancel_first;
        deployment.store.let_through = [&](const std::string& body) {
            return !(lose && body.find("leader") != std::string::npos);
        };
        deployment.send_report(worker, 0);
        std::string announced = phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw"));
        EXPECT_EQ(announced, cancel_first ? "withdrawn" : "done");
        lose = false;
        for (const auto& body : deployment.store.held_transactions) deployment.store.apply(body);
        for (int i = 0; i < 5; ++i) {
            deployment.run(1);
            EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), announced);
        }
        EXPECT_TRUE(deployment.store.rows.count("f/job-1"));
        EXPECT_FALSE(deployment.store.rows.count("j/job-1"));
    }
}

// Without the state service a leader cannot learn of cancellations. It renews workers' leases only while none
// older than cancel_s - lease_s can be missing, and longer only while all peers confirm that none was told.
TEST(Controller, RenewsWithoutTheStateServiceOnlyAsLongAsItMay) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.settle(worker);
    deployment.store.down = true;
    // Reports every 3 s for so long; the last status.
    auto report = [&](Seconds time) {
        int status = 0;
        for (Seconds end = deployment.loop.now() + time; deployment.loop.now() < end;) {
            deployment.run(3);
            status = deployment.send_report(worker, first);
        }
        return status;
    };
    EXPECT_EQ(report(60), 200) << "the sibling vouches";
    deployment.kill(1 - first);
    EXPECT_EQ(report(12), 200) << "within the span";
    EXPECT_EQ(report(21), 503) << "nobody vouches any more";
    deployment.start(1 - first);
    EXPECT_EQ(report(6), 503) << "a restarted sibling does not know what it told before";
    deployment.store.down = false;
    EXPECT_EQ(report(9), 200);
}

// A worker that was pointed to the leader and comes back could not reach it: its report is passed on.
TEST(Controller, RelaysReportsOfWorkersThatCannotReachTheLeader) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int other = 1 - deployment.leader();
    deployment.run(3);
    FakeWorker worker;
    EXPECT_EQ(deployment.send_report(worker, other), 421);
    deployment.run(5);
    EXPECT_EQ(deployment.send_report(worker, other), 200);
    EXPECT_EQ(worker.fencing_token, deployment.node(deployment.leader()).election().fencing_token());
}

// A leader that keeps the state service but that no worker reaches gives way to one that they reach.
TEST(Controller, ALeaderCutOffFromTheWorkersResigns) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    auto workers = deployment.settled_workers(4);
    // Busy machines are answered at once.
    ASSERT_EQ(
        deployment
            .call(first, "POST", "/v2/runs", job_body("job-1", [](auto& fields) { set_tasks(fields, 8); }))
            .status,
        201);
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) deployment.send_report(worker, first);
    ASSERT_EQ(workers[3].tasks.size(), 2u);
    auto report = [&](int node, Seconds time) {
        for (Seconds t = 0; t < time && deployment.leader() == first; t += 1) {
            deployment.run(1);
            for (auto& worker : workers) deployment.send_report(worker, node);
        }
    };
    report(first, 10);
    EXPECT_EQ(deployment.leader(), first);
    report(1 - first, 15);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 1 - first; }, 5));
    EXPECT_TRUE(deployment.cloud.deleted.empty()) << "its machines were not given up";
}

TEST(Controller, DeletesAnUnreachableMachineBeforeItsTasksStartElsewhere) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(first, 0);
    deployment.send_report(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    deployment.cloud.down = true;
    for (int i = 0; i < 10; ++i) {
        deployment.run(3);
        deployment.send_report(second, 0);
        EXPECT_FALSE(second.find("job-1/0")) << "the first machine may still run it";
    }
    deployment.cloud.down = false;
    for (int i = 0; i < 4; ++i) {
        deployment.run(3);
        deployment.send_report(second, 0);
    }
    EXPECT_EQ(std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), "vm-000001"), 1);
    EXPECT_TRUE(second.find("job-1/0"));
}

// The service has forgotten the changes that a watch asks for: the leader reads all records again, page by
// page, and misses neither a new job nor a cancellation.
TEST(Controller, ReadsAllRecordsAgainWhenAWatchComesTooLate) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(1);
    deployment.store.list_page_size = 2;
    deployment.store.compacted_revision = 1000;
    for (int i = 1; i <= 5; ++i)
        ASSERT_EQ(deployment.call(1 - first, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status,
                  201);
    ASSERT_EQ(deployment.call(1 - first, "POST", "/v2/runs/job-5/withdraw").status, 200);
    deployment.run(5);
    const auto& jobs = deployment.node(first).leader()->jobs();
    EXPECT_EQ(jobs.size(), 4u) << "the withdrawn one is over and moved";
    for (int i = 1; i <= 4; ++i) EXPECT_TRUE(jobs.find("job-" + std::to_string(i)));
    EXPECT_TRUE(deployment.store.rows.count("f/job-5"));
}

// A watch's answer has no size limit. One that is larger than is taken must lead to reading the records in
// pages, not to asking for the same answer for ever.
TEST(Controller, ReadsInPagesWhatIsTooLargeForOneAnswer) {
    Deployment deployment;
    deployment.configs[0].ram_bytes = 8 * 1024 * 1024;
    deployment.store.list_page_size = 50;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    deployment.store.down = true;  // open watches wait
    for (int i = 0; i < 300; ++i) {
        JobRecord record;
        record.spec.id = "job-" + std::to_string(i);
        record.spec.team = "team";
        record.spec.tasks = 1;
        record.spec.image = std::string(5000, 'x');
        Transaction transaction;
        transaction.expect(live_key(record.spec.id), 0).put(live_key(record.spec.id), record.pack(1));
        ASSERT_EQ(deployment.store.apply(transaction.pack()).status, 200);
    }
    deployment.store.down = false;
    deployment.run(10);
    EXPECT_EQ(deployment.node(0).leader()->jobs().size(), 300u);
}

TEST(Controller, StartsFromKeptMachineTypesWhileTheCloudIsAway) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(3);
    deployment.kill(0);
    deployment.cloud.down = true;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.call(0, "GET", "/ready").status == 200; }, 10));
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// A copy of a report that comes late shows neither that its machine came back nor that it is alive, and
// takes the place of no report.
TEST(Controller, LateCopiesOfReportsShowNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader(), other = 1 - leader;
    deployment.run(3);
    FakeWorker worker;
    std::string pointed = worker.report();
    EXPECT_EQ(deployment.call(other, "POST", "/hello", pointed).status, 421);
    deployment.run(5);
    EXPECT_EQ(deployment.call(other, "POST", "/hello", pointed).status, 421) << "not passed on to the leader";
    deployment.settle(worker);
    std::string idle = worker.report();
    EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle).status, 200);
    ASSERT_EQ(deployment.call(leader, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.send_report(worker, leader);
    const auto& jobs = deployment.node(leader).leader()->jobs();
    ASSERT_EQ(jobs.find("job-1")->live.size(), 1u);
    EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle).status, 503) << "older than what is known";
    EXPECT_EQ(jobs.find("job-1")->live.size(), 1u) << "it proves no absence";
    Seconds heard = deployment.node(leader).leader()->cluster().machines.at(worker.name)->last_heartbeat;
    for (int i = 0; i < 3; ++i) {
        deployment.run(deployment.configs[0].lease_s);
        EXPECT_EQ(deployment.call(leader, "POST", "/hello", idle).status, 503);
    }
    auto l = deployment.node(leader).leader();
    auto it = l->cluster().machines.find(worker.name);
    EXPECT_TRUE(it == l->cluster().machines.end() || it->second->last_heartbeat == heard)
        << "it was not taken for alive";
    EXPECT_FALSE(deployment.cloud.deleted.empty()) << "but replaced";
}

// A controller without the state service and its peers: users hear so at once, the load balancer is told
// to go elsewhere, and workers are answered as long as that is safe and then sent on.
TEST(Controller, ALoneControllerIsHonestAndLetsGo) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, first);
    deployment.store.silent = true;
    deployment.kill(1 - first);
    Seconds began = deployment.loop.now();
    deployment.run(8);
    EXPECT_EQ(deployment.send_report(worker, first), 200) << "what runs goes on";
    for (const char* path : {"/v2/runs/job-1", "/v2/runs/job-2"}) {
        Seconds asked = deployment.loop.now();
        EXPECT_EQ(deployment.call(first, "GET", path).status, 503) << "it can say neither";
        EXPECT_LT(deployment.loop.now() - asked, 0.5);
    }
    EXPECT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-3")).status, 503);
    EXPECT_EQ(deployment.call(first, "POST", "/v2/runs", "\xc1").status, 400)
        << "bad input is told all the same";
    deployment.run(5);
    EXPECT_EQ(deployment.call(first, "GET", "/ready").status, 503);
    const Config& config = deployment.configs[0];
    deployment.run(config.cancel_s - config.lease_s - (deployment.loop.now() - began));
    EXPECT_EQ(deployment.send_report(worker, first), 503);
    deployment.store.silent = false;
    deployment.start(1 - first);
    deployment.run(10);
    EXPECT_EQ(deployment.call(first, "GET", "/v2/runs/job-1").status, 200);
    EXPECT_EQ(deployment.call(first, "GET", "/ready").status, 200);
}

// A process is killed while its election is on its way, is back at once, and the old transaction arrives
// in the midst of the new election, before or after it. One leads, in an epoch that nobody had.
TEST(Controller, AProcessBackInTheMidstOfItsElectionLeadsOnlyInANewEpoch) {
    for (bool late_first : {true, false}) {
        Deployment deployment;
        deployment.store.let_through = [&](const std::string& body) {
            return body.find("term") == std::string::npos || !deployment.store.held_transactions.empty();
        };
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return !deployment.store.held_transactions.empty(); }));
        std::string old = deployment.store.held_transactions.at(0);
        deployment.kill(0);
        if (late_first) {
            EXPECT_EQ(deployment.store.apply(old).status, 200);
        }
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }, 5));
        uint64_t fencing_token = deployment.node(0).election().fencing_token();
        EXPECT_EQ(fencing_token, late_first ? 2u : 1u) << "the old transaction took effect, or never will";
        EXPECT_NE(deployment.store.apply(old).status, 200) << "its conditions or its lease are gone";
        deployment.run(5);
        EXPECT_EQ(deployment.node(0).election().fencing_token(), fencing_token);
        EXPECT_EQ(deployment.leader(), 0);
    }
}

// After a take-over all workers report at once. What comes together is decided together: the work grows with
// the reports, not with reports times machines.
TEST(Controller, ACrowdOfReportsSharesItsPasses) {
    Deployment deployment;
    // Each worker takes two descriptors of this process.
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    ASSERT_GE(files.rlim_cur, 2500u);
    deployment.configs[0].sockets = 2000;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    ASSERT_EQ(
        deployment.call(0, "POST", "/v2/runs", job_body("job-1", [](auto& fields) { set_tasks(fields, 8); }))
            .status,
        201);
    std::vector<FakeWorker> workers(1000);
    int answered = 0;
    Scope scope(deployment.loop);
    auto go = [](Loop& l, Address at, FakeWorker& worker, int& n) -> Task<void> {
        n += co_await worker.send_report(l, at) == 200;
    };
    for (size_t i = 0; i < workers.size(); ++i) {
        workers[i].name = "vm-" + std::to_string(10000 + i);
        scope.spawn(go(deployment.loop, deployment.configs[0].listen, workers[i], answered), "hello");
    }
    uint64_t before = deployment.node(0).leader()->passes_done();
    Seconds began = deployment.loop.now();
    ASSERT_TRUE(deployment.until([&] { return answered == 1000; }, 10));
    uint64_t run_passes = deployment.node(0).leader()->passes_done() - before;
    EXPECT_LE(static_cast<double>(run_passes),
              2 + (deployment.loop.now() - began) / constants::kPassInterval_s);
    EXPECT_LT(run_passes, 50u) << "far fewer than reports";
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 1000u);
}

// Controllers that start in an outage of the state service are open for users all the same, and tell them
// when to come back; but not one that alone is refused.
TEST(Controller, IsReadyWhenStartedInAnOutageForAll) {
    Deployment deployment(2);
    deployment.store.down = true;
    deployment.start(0);
    deployment.start(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    deployment.store.down = false;
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }, 10));
    deployment.run(3);
    deployment.kill(1);
    deployment.configs[1].state = address(1, 2);  // nobody is there
    deployment.start(1);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(1, "GET", "/ready").status, 503);
}

// Once all troubles are over no job may be refused again and again: not for the load of other questions,
// and not by a node that was cut off.
TEST(Controller, AnswersEveryQuestionOnceTheTroublesAreOver) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    for (int i = 1; i <= 20; ++i)
        ASSERT_EQ(deployment.call(i % 2, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status,
                  201);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs/job-20/withdraw").status, 200);
    deployment.store.silent = true;
    deployment.run(20);
    deployment.kill(0);
    deployment.kill(1);
    deployment.start(0);
    deployment.run(1);
    deployment.start(1);
    deployment.store.silent = false;
    deployment.run(8);
    for (int node : {0, 1})
        for (int i = 1; i <= 20; ++i)
            EXPECT_EQ(deployment.call(node, "GET", "/v2/runs/job-" + std::to_string(i)).status, 200) << i;
}

// A leader that has lost the state service may have been followed by another without knowing. It goes on to
// answer workers as long as it may, but asks the cloud for nothing: cut off for 120 s, one returned the whole
// fleet, which by then was another's.
TEST(Controller, ALeaderThatIsNotConfirmedReturnsNothing) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.settle(worker);
    deployment.store.silent = true;
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
    deployment.store.silent = false;
    deployment.run(60);
    EXPECT_EQ(deployment.cloud.deleted.size(), 1u) << "once it is confirmed, or leads anew";
}

// A command may be lost, and a machine that does not report hears nothing else.
TEST(Controller, RepeatsTheStopOfCancelledWork) {
    Deployment deployment;
    int commands = 0;
    Address at = address(60, 9000);
    HttpServer machine(deployment.loop, at, 20, [&](Request) -> Task<Response> {
        ++commands;
        co_return Response{500, "", 0, ""};
    });
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.addr = text_of(at);
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, 0);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(11);
    EXPECT_GE(commands, 3);
    machine.stop();
    unwind(deployment.loop);
}

// Nor what holds cancelled work, if a peer does not answer: it may lead by now.
TEST(Controller, ALeaderThatMayHaveBeenFollowedReturnsNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, first);
    deployment.send_report(worker, first);
    ASSERT_TRUE(worker.find("job-1/0"));
    ASSERT_EQ(phase_of(deployment.call(first, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.store.silent = true;
    deployment.kill(1 - first);
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
}

// The cloud is away when a silent machine is given up, and the machine is heard again before it is back.
TEST(Controller, KeepsAMachineThatIsHeardBeforeItCouldBeReturned) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    deployment.settle(second);
    deployment.cloud.down = true;
    deployment.run(20);
    EXPECT_EQ(deployment.send_report(first, 0), 200);
    deployment.cloud.down = false;
    deployment.run(4);
    EXPECT_EQ(deployment.cloud.deleted, std::vector<std::string>{"vm-000002"});
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(first, 0);
    EXPECT_TRUE(first.find("job-1/0")) << "it is of use again";
}

// A process stands still for 30 s while its clocks run on. What it believed before does not count: it does
// not take its machines for silent, answers no worker on an old right, and leads only if the state service
// says so.
TEST(Controller, AfterStandingStillNothingCountsUntilConfirmed) {
    for (bool followed : {false, true}) {
        Deployment deployment(2);
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(6);
        auto workers = deployment.settled_workers(2);
        deployment.run(3);
        // The clock jumps between two turns of the loop, wherever its routines are.
        for (int steps : {0, 1, 2, 5}) {
            for (int i = 0; i < steps; ++i) deployment.loop.turn(0);
            if (followed) {
                Packer packer;
                packer.map(2).key("node").text("node-1").key("epoch").count(9);
                deployment.store.rows["leader"] = {packer.take(), ++deployment.store.revision, 0};
            }
            deployment.clock.advance(30);
            if (!followed) deployment.store.restart_leases();  // so that the lease is still there
            for (int i = 0; i < 3; ++i) deployment.loop.turn(0);
            if (followed) {
                deployment.run(5);
                EXPECT_EQ(deployment.leader(), -1) << steps;
                EXPECT_EQ(deployment.send_report(workers[0], 0), 421) << steps;
            }
            EXPECT_TRUE(deployment.cloud.deleted.empty()) << steps;
            if (followed) break;
            deployment.run(2.5);
            EXPECT_EQ(deployment.node(0).election().fencing_token(), 1u) << "it leads still";
            for (auto& worker : workers) deployment.settle(worker);
            deployment.run(3);
        }
        EXPECT_TRUE(deployment.cloud.deleted.empty());
    }
}

// Late copies of what controllers said to each other: a heartbeat of a process that is gone, and answers that
// belong to no request of this process, change nothing.
TEST(Controller, LateCopiesOfFramesShowNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader();
    int other = 1 - leader;
    deployment.run(4);
    uint64_t fencing_token = deployment.node(leader).election().fencing_token();
    peer::Heartbeat b{};
    peer::set_label(b, deployment.config(other).label);
    b.incarnation = 7;
    b.fencing_token = 50;
    b.leads = 1;
    b.asked_us = static_cast<uint64_t>((deployment.loop.now() + 100) * 1e6);
    std::string frames = peer::pack(peer::Kind::kHeartbeat, 1000, 7, b) +
                         peer::pack(peer::Kind::kHeartbeatAnswer, 1, 7, b) +
                         peer::pack(peer::Kind::kRelayAnswer, 1, 7, std::string("\xc8\0", 2));
    Scope scope(deployment.loop);
    auto send = [](Loop& l, Address to, std::string bytes) -> Task<void> {
        auto stream = co_await connect_to(l, to, l.now() + 1);
        for (int i = 0; stream && i < 100; ++i) {
            co_await stream->write(bytes, l.now() + 1);
            co_await l.sleep(0.037);
        }
    };
    scope.spawn(send(deployment.loop, deployment.config(leader).peer_listen, frames), "copies");
    deployment.run(4);
    EXPECT_EQ(deployment.leader(), leader);
    EXPECT_EQ(deployment.node(leader).election().fencing_token(), fencing_token);
}

// Requests that were carried out come again, late: every transaction of the controllers and all that users
// asked. None changes a job, a leadership or an answer.
TEST(Controller, RepeatsOfWhatWasCarriedOutChangeNothing) {
    Deployment deployment;
    std::vector<std::string> transactions;
    deployment.store.let_through = [&](const std::string& body) {
        transactions.push_back(body);
        return true;
    };
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    for (const char* id : {"job-1", "job-2", "job-3"}) {
        ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body(id)).status, 201);
        deployment.send_report(worker, 0);
        deployment.send_report(worker, 0);
        TaskStatus* task = worker.find(std::string(id) + "/0");
        ASSERT_TRUE(task) << id;
        if (std::string(id) == "job-1") {
            exit_task(*task, ExitCause::kDone);
        } else if (std::string(id) == "job-2") {
            ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        }
        deployment.send_report(worker, 0);
        deployment.send_report(worker, 0);
    }
    auto kept = [&] {
        std::map<std::string, std::string> rows;
        for (const auto& [key, row] : deployment.store.rows) rows[key] = row.data;
        return rows;
    };
    auto before = kept();
    ASSERT_TRUE(before.count("f/job-1") && before.count("f/job-2") && before.count("j/job-3"));
    auto repeated = transactions;
    ASSERT_GT(repeated.size(), 8u);
    uint64_t fencing_token = deployment.node(0).election().fencing_token();
    for (int round = 0; round < 2; ++round) {
        for (const auto& body : repeated) deployment.store.apply(body);
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-2"))), "withdrawn");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-3"))), "running");
        deployment.run(3);
        deployment.send_report(worker, 0);
        EXPECT_EQ(kept(), before);
        EXPECT_EQ(worker.tasks.size(), 1u) << "nothing was started again";
        EXPECT_EQ(deployment.node(0).election().fencing_token(), fencing_token);
    }
}
