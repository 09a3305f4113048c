// Beside the production version and under the state service's later limits: what is written when, that it
// fits, and that no task is lost on the way.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "base/constants.h"
#include "jobs/compact_wire.h"
#include "standins/records.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Packed by JobRecord::pack() and FinalRecord::pack() of commit 64db79f, the version in production, built and
// run for this purpose with the record that production_record() describes.
const char* kRecordBytes =
    "de001aa26964aa6a6f622d303030343132a5636c617373a5747261696ea47465616da6766973696f6ea5736861706500a472616e"
    "6b02a57461736b7310a46370757308a46770757301a36d656d40a5696d616765a6696d672d3037a8696d6167655f6762cb4018cc"
    "cccccccccda7666c61766f727392a26738a26732a47a6f6e65a67a6f6e652061a86f6e655f7a6f6e65c3a56170617274c2a47370"
    "6f74c3aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a56475655f73cd0384a26174cb41"
    "dac3e33c880000a977697468647261776ec2a4646f6e65aa302d322c352c392d3130a46e65787415a46c69766592b43320382076"
    "6d2d303030303033207a6f6e652061b53420323020766d2d303030323331207a6f6e652061a17601";
const char* kFinalBytes = "84a26964aa6a6f622d303030343132a977697468647261776ec3a57461736b7310a4646f6e6506";

JobRecord production_record() {
    JobRecord record;
    record.spec.id = "job-000412";
    record.spec.job_class = "train";
    record.spec.team = "vision";
    record.spec.priority = PriorityClass::kHigh;
    record.spec.tasks = 16;
    record.spec.cpus = 8;
    record.spec.gpus = 1;
    record.spec.memory_gb = 64;
    record.spec.image = "img-07";
    record.spec.image_gb = 6.2;
    record.spec.machine_types = {"g8", "g2"};
    record.spec.zone = "zone a";
    record.spec.single_zone = true;
    record.spec.spot = true;
    record.spec.estimate_s = 240;
    record.spec.checkpoint_s = 30;
    record.spec.save_s = 4;
    record.spec.due_s = 900;
    record.accepted_wall = {1796181234.125};
    for (uint32_t n : {0u, 1u, 2u, 5u, 9u, 10u}) record.done.add(n);
    record.next_attempt = 21;
    record.live[3] = {8, "vm-000003", "zone a"};
    record.live[4] = {20, "vm-000231", "zone a"};
    return record;
}

bool same(const JobRecord& left, const JobRecord& right) {
    auto bound = [](const auto& x, const auto& y) {
        return x.first == y.first && x.second.attempt == y.second.attempt &&
               x.second.machine == y.second.machine && x.second.zone == y.second.zone;
    };
    return left.spec == right.spec && left.done == right.done && left.cancelled == right.cancelled &&
           left.next_attempt == right.next_attempt && left.accepted_wall == right.accepted_wall &&
           std::equal(left.live.begin(), left.live.end(), right.live.begin(), right.live.end(), bound);
}

// An array whose tasks are all on machines, as the production version wrote it before the upgrade.
JobRecord large_record(const std::string& id, uint32_t tasks, uint32_t machines) {
    JobRecord record = production_record();
    record.spec.id = id;
    record.spec.team = "team";
    record.spec.zone = "";
    record.spec.single_zone = false;
    record.spec.machine_types = {};
    record.spec.cpus = record.spec.memory_gb = 0.01;
    record.spec.gpus = 0;
    record.spec.tasks = tasks;
    record.done = {};
    record.live.clear();
    record.next_attempt = tasks + 1;
    for (uint32_t n = 0; n < tasks; ++n)
        record.live[n] = {n + 1, machine_name(231 + n % machines), n % machines % 2 ? "b" : "a"};
    return record;
}

// A deployment under the limits that the state service will have: the service enforces them at once.
void lower_limits(Deployment& deployment, size_t value_bytes, size_t txn_ops) {
    for (auto& config : deployment.configs) {
        config.next_value_bytes = value_bytes;
        config.txn_ops = std::min(config.txn_ops, txn_ops);
        config.write_rps = std::min(config.write_rps, 15.0);
    }
    deployment.store.value_bytes = value_bytes;
    deployment.store.txn_ops = txn_ops;
}

}  // namespace

TEST(Format1, IsWhatTheProductionVersionWritesAndReads) {
    std::string bytes = from_hex(kRecordBytes);
    auto read = JobRecord::unpack(bytes);
    ASSERT_TRUE(read);
    EXPECT_TRUE(same(*read, production_record()));
    EXPECT_EQ(read->pack(1), bytes);
    std::string final = from_hex(kFinalBytes);
    auto end = FinalRecord::unpack(final);
    ASSERT_TRUE(end);
    EXPECT_TRUE(end->cancelled);
    EXPECT_EQ(end->done, 6u);
    EXPECT_EQ(end->pack(), final);
}

TEST(Format2, HoldsWhatFormat1Holds) {
    std::mt19937 rng(5);
    auto below = [&](uint32_t n) { return static_cast<uint32_t>(rng() % n); };
    for (int i = 0; i < 400; ++i) {
        JobRecord record = production_record();
        record.spec.tasks = 1 + below(i % 3 ? 300 : 100'000);
        record.done = {};
        record.live.clear();
        record.next_attempt = 1 + below(1'000'000);
        uint32_t density = 1 + below(9);
        for (uint32_t n = 0; n < std::min(record.spec.tasks, 200u); ++n) {
            if (below(10) < density) record.done.add(below(record.spec.tasks));
            uint32_t task = below(record.spec.tasks);
            std::string machine = machine_name(below(2000));
            if (below(20) == 0) machine = i % 2 ? "metal" : "rack-" + std::to_string(below(40)) + "-x";
            if (below(30) == 0) machine = "vm-" + std::to_string(1u << below(31)) + "0000000";
            if (below(3) == 0 && !record.done.has(task))
                record.live[task] = {1 + below(static_cast<uint32_t>(record.next_attempt)), machine,
                                     below(2) ? "a" : "é\"b"};
        }
        std::string packed = record.pack(2);
        auto again = JobRecord::unpack(packed);
        ASSERT_TRUE(again);
        EXPECT_TRUE(same(*again, record));
        EXPECT_FALSE(newer_record_format(packed));
        EXPECT_GE(json_size(packed), json_text(packed).size()) << "counted at most, never at least";
        EXPECT_GE(json_size(record.pack(1)), json_text(record.pack(1)).size());
        // A reader of format 1 must not take its tasks for free: it cannot read the done ranges.
        auto text = Message::parse(packed)->root()["done"].text();
        EXPECT_FALSE(Ranges::parse(*text, record.spec.tasks));
    }
}

TEST(Format2, HoldsAnArraySpreadOverAFleetInTwoKibibytes) {
    std::mt19937 rng(6);
    size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        JobRecord record = large_record("job-738642", 150, 1);
        record.spec.job_class = "etiqueta-scan";
        record.spec.team = "equipo-vision";
        record.spec.image = "img-etiqueta-scan-07";
        record.spec.image_gb = 5.123456789012345;
        record.next_attempt = 2000;
        for (auto& [task, b] : record.live)
            b = {1 + rng() % 2000, machine_name(static_cast<uint32_t>(rng() % 3000)),
                 rng() % 2 ? "lujan-zone" : "uco-zone"};
        most = std::max(most, json_size(record.pack(2)));
    }
    EXPECT_LE(most, 2048u);
}

TEST(Format2, RefusesWhatItWouldNotWrite) {
    for (const char* bad : {"", "A", "=A", "=AAAA", "=gA", "=gAA", "=*A", "=_", "=AAAAB", "=9999999999999A"})
        EXPECT_FALSE(parse_compact_ranges(bad, 60)) << bad;
    EXPECT_TRUE(parse_compact_ranges("=", 60));
    auto live = [](std::string text, std::vector<std::string> zones = {"a"},
                   std::vector<std::string> names = {"6vm-"}) {
        return parse_compact_live({std::move(zones), std::move(names), std::move(text)}, 8).has_value();
    };
    EXPECT_TRUE(live("BAAC"));
    EXPECT_FALSE(live("BAAC", {})) << "no zone";
    EXPECT_FALSE(live("BAAC", {"a"}, {})) << "left over";
    EXPECT_FALSE(live("BAA")) << "cut short";
    EXPECT_FALSE(live("CAACBAA")) << "the same task twice";
    EXPECT_FALSE(live("BAgBC")) << "no such task";
    EXPECT_FALSE(live("BABC")) << "a negative task";
    EXPECT_FALSE(live("BAAB")) << "a negative attempt";
    EXPECT_FALSE(live("BBAC", {"a"}, {"0metal"})) << "a number where the name has none";
    EXPECT_FALSE(live("B-----BAC", {"a"}, {"2vm-"})) << "more digits than the name has";
    EXPECT_FALSE(live("A", {"a"}, {"6vm-"})) << "an entry without placements";
}

// However large a job is and however its tasks come and go, its record fits, and it goes on until it is done.
TEST(Format2, AJobOfAnySizeFitsItsRecordAndIsDoneInTheEnd) {
    for (uint32_t tasks : {30u, 1000u, 1025u, 100'000u}) {
        std::mt19937 rng(tasks);
        Config config;
        config.value_bytes =
            32 * 1024;  // as long as format 1 is written, starts are bounded for format 2, too
        config.next_value_bytes = 2048;
        JobTable jobs;
        Cluster cluster;
        JobRecord record = large_record("job-1", 1, 1);
        record.spec.tasks = tasks;
        record.live.clear();
        record.next_attempt = 1;
        // Of the largest, the last part; what came before is one range.
        for (uint32_t n = 0; n + 10'000 < tasks; ++n) record.done.add(n);
        Job& job = jobs.load(record, 5, 0, {0});
        size_t most_live = 0, steps = 0;
        std::vector<Machine> machines(600);
        for (auto& h : machines) {
            h.name = machine_name(static_cast<uint32_t>(rng() % 100'000));
            h.zone = rng() % 2 ? "lujan-zone" : "uco-zone";
        }
        machines[0].name = "a machine whose name follows no pattern at all";
        uint64_t record_format = 1;
        while (!job.finished() && steps < 400'000) {
            ++steps;
            if (steps == 3000) record_format = 2;
            auto choice = rng() % 10;
            const Machine* machine = &machines[rng() % machines.size()];
            const Machine* on[] = {machine};
            if (choice < 7 && !job.pending.empty() && job.room_in_record(config, record_format, on)) {
                jobs.bind(job, *job.pending.first(), *machine, job.next_attempt++, 0);
            } else if (job.live.empty()) {
                // Nothing runs: then one task at least may start, wherever.
                ASSERT_TRUE(job.room_in_record(config, record_format, on))
                    << steps << ' ' << job.record_bytes(2);
                continue;
            } else {
                // One ends, done more often than not, or a machine goes with all that is on it.
                auto it = std::next(job.live.begin(), static_cast<long>(rng() % job.live.size()));
                std::string name = it->second.machine;
                if (choice < 9 && (tasks < 2000 || steps % 400 != 0)) {
                    Machine& holder = cluster.ensure(name, 0);
                    WorkerHeartbeat report;
                    report.machine = name;
                    report.sequence = holder.sequence + 1;
                    report.tasks = {{{"job-1", it->first},
                                     it->second.attempt,
                                     TaskPhase::kExited,
                                     rng() % 4 ? ExitCause::kDone : ExitCause::kStopped,
                                     false}};
                    jobs.apply_heartbeat(cluster, holder, report, Absence::kUnproven, 0);
                } else {
                    jobs.machine_deleted(name, 0);
                }
            }
            most_live = std::max(most_live, job.live.size());
            if (tasks > 2000 && steps % 97 != 0) continue;  // each step costs as long as the record
            JobRecord now = job.to_record();
            ASSERT_LE(json_text(now.pack(2)).size(), 2048u) << steps;
            if (record_format == 1) {
                ASSERT_LE(json_text(now.pack(1)).size(), 32u * 1024);
            }
            ASSERT_LE(json_size(now.pack(2)), job.record_bytes(2) + 16);
        }
        EXPECT_TRUE(job.finished()) << tasks << " tasks, " << job.done.size() << " done";
        if (tasks > 200) {
            EXPECT_GE(most_live, 100u) << tasks;
        }
    }
}

// Until every peer is known to run this version, records are written as the production version reads them.
TEST(Upgrade, WritesTheOldRecordFormatWhileAPeerMayBeOld) {
    Deployment deployment(2);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(10);
    EXPECT_EQ(deployment.store.rows.count("form"), 0u);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1u);
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(stored_format(deployment, "job-1"), 1u);
    EXPECT_TRUE(Message::parse(deployment.store.rows.at("j/job-1").data)->root()["live"].is_list());
    // The peer runs this version: then format 2 is in force for both, and each change is written in it.
    deployment.start(1);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(3);
    ASSERT_EQ(deployment.leader(), 0);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1u);
    ASSERT_EQ(deployment.call(1, "POST", "/v2/runs/job-1/withdraw").status, 200);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2u)
        << "also by a follower, which asks for the form until it is there";
    auto record = JobRecord::unpack(deployment.store.rows.at("j/job-1").data);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->live.size(), 1u) << "it is still on its machine";
}

TEST(Upgrade, ALeaderWithoutOldPeersPutsTheRecordFormatOnceAndStaysWithIt) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    uint64_t mod_revision = deployment.store.rows.at("form").mod_revision;
    EXPECT_EQ(unpack_record_format(deployment.store.rows.at("form").data), 2u);
    deployment.run(1);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2u);
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(5);
    EXPECT_EQ(deployment.store.rows.at("form").mod_revision, mod_revision);
}

// What the production version kept in more than the later limits allow is read, and each change of it fits:
// ends of tasks, a cancellation, and its end in one transaction.
TEST(Upgrade, TakesOverLargeRecordsUnderTheLowerLimits) {
    for (size_t ops : {2u, 4u}) {
        Deployment deployment;
        JobRecord ended = large_record("job-1", 150, 12), cancelled = large_record("job-2", 150, 10);
        for (auto& [task, b] : cancelled.live) b.machine = "vm-0009" + b.machine.substr(7);
        ASSERT_GT(json_text(ended.pack(1)).size(), 2048u);
        store_value(deployment, "j/job-1", ended.pack(1));
        store_value(deployment, "j/job-2", cancelled.pack(1));
        lower_limits(deployment, 2048, ops);
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(2);
        EXPECT_EQ(stored_format(deployment, "job-1"), 1u) << "its next change replaces it, nothing before";
        auto one = workers_of(ended), two = workers_of(cancelled);
        for (auto& worker : one) deployment.settle(worker);
        for (auto& worker : two) deployment.settle(worker);
        for (const auto& worker : one)
            for (const auto& task : worker.tasks)
                EXPECT_EQ(task.phase, TaskPhase::kRunning) << task.name.text();
        ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(stored_format(deployment, "job-2"), 2u);
        EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(), 150u)
            << "none is free yet";
        // Every second task ends first: the done ranges are as long as they can be.
        for (uint32_t odd : {1u, 0u}) {
            for (auto& worker : one) {
                for (auto& task : worker.tasks) {
                    if (task.name.task % 2 != odd) continue;
                    exit_task(task, ExitCause::kDone);
                }
                deployment.send_report(worker, 0);
            }
            deployment.run(2);
            if (odd) {
                EXPECT_EQ(stored_format(deployment, "job-1"), 2u);
                EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-1").data)->done.size(), 75u);
            }
        }
        for (int i = 0; i < 3; ++i)
            for (auto& worker : two) deployment.send_report(worker, 0);
        deployment.run(2);
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "withdrawn");
        EXPECT_EQ(deployment.store.rows.count("j/job-1") + deployment.store.rows.count("j/job-2"), 0u);
        EXPECT_EQ(deployment.store.invalid_transactions, 0) << "nothing was sent that exceeds a limit";
    }
}

// What an earlier version let grow beyond even format 2's room is not sent. Until it fits, the record says of
// ended tasks that they are live, which is safe; a cancellation leaves out what it does not need.
TEST(Upgrade, AChangeThatDoesNotFitIsKeptUntilItDoes) {
    Deployment deployment;
    JobRecord record = large_record("job-1", 150, 12), w = large_record("job-2", 400, 12);
    for (uint32_t n = 0; n < 400; n += 2) w.done.add(n);
    std::erase_if(w.live, [&](const auto& l) { return l.first % 4 != 1; });
    store_value(deployment, "j/job-1", record.pack(1));
    store_value(deployment, "j/job-2", w.pack(1));
    lower_limits(deployment, 780, 4);
    ASSERT_GT(json_text(record.pack(2)).size(), 780u);
    ASSERT_GT(json_text(w.pack(2)).size(), 780u);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(2);
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(), w.live.size());
    auto workers = workers_of(record);
    for (auto& x : workers) deployment.settle(x);
    for (size_t i = 0; i < workers.size(); ++i) {
        for (auto& task : workers[i].tasks) {
            exit_task(task, ExitCause::kDone);
        }
        deployment.send_report(workers[i], 0);
        deployment.run(1);
        deployment.send_report(workers[i], 0);
        bool written = stored_format(deployment, "job-1") == 2;
        EXPECT_EQ(written, workers[i].tasks.empty()) << "an exit is forgotten once it is kept";
        if (i == 0) {
            EXPECT_FALSE(written);
        }
        if (i + 1 < workers.size() && !deployment.store.rows.count("j/job-1")) FAIL() << "not over yet";
        if (written) break;
    }
    EXPECT_EQ(stored_format(deployment, "job-1"), 2u);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// A refusal for what a transaction is: sent once, not again until the record has changed, and no other job
// waits.
TEST(Upgrade, ARefusedRecordIsNotSentAgainAndHoldsUpNoOther) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    std::string team(100, 't');
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto text = [](const std::string& x) { return packed_text(x); };
    ASSERT_EQ(deployment
                  .call(0, "POST", "/v2/runs",
                        job_body("job-2", [&](auto& fields) { fields["jobclass"] = text(team); }))
                  .status,
              201);
    deployment.run(1);
    // The service is stricter than any settings said.
    deployment.store.value_bytes = json_text(deployment.store.rows.at("j/job-2").data).size();
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    deployment.send_report(worker, 0);
    deployment.run(10);
    EXPECT_TRUE(worker.find("job-1/0"));
    EXPECT_FALSE(worker.find("job-2/0")) << "not committed, so not launched";
    EXPECT_GE(deployment.store.invalid_transactions, 1);
    EXPECT_LE(deployment.store.invalid_transactions, 2) << "in a batch, and once by itself";
    int before = deployment.store.invalid_transactions;
    deployment.run(20);
    EXPECT_EQ(deployment.store.invalid_transactions, before);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "pending");
}

// Ten tasks are bound in one scheduling pass: their records go out in as many transactions as it takes.
TEST(Upgrade, SendsNoMoreChangesAtOnceThanTheLaterLimitAllows) {
    for (size_t ops : {2u, 4u}) {
        Deployment deployment;
        lower_limits(deployment, 2048, ops);
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
        deployment.run(1);
        auto number = [](double d) { return packed_number(d); };
        FakeWorker worker;
        deployment.settle(worker);
        for (int i = 0; i < 10; ++i)
            ASSERT_EQ(deployment
                          .call(0, "POST", "/v2/runs",
                                job_body("job-" + std::to_string(i),
                                         [&](auto& fields) {
                                             fields["vcpus"] = fields["cards"] = fields["memory_gb"] =
                                                 number(0.1);
                                         }))
                          .status,
                      201);
        deployment.run(1);
        for (int i = 0; i < 4; ++i) deployment.send_report(worker, 0);
        EXPECT_EQ(worker.tasks.size(), 10u);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
        for (int i = 0; i < 4; ++i) deployment.send_report(worker, 0);
        deployment.run(3);
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(deployment.store.rows.count("f/job-" + std::to_string(i)), 1u)
                << "ends, two changes each";
        EXPECT_EQ(deployment.store.invalid_transactions, 0);
    }
}

TEST(Upgrade, RefusesADescriptionThatNoRecordCouldHold) {
    Deployment deployment;
    // Accepted by an earlier version: it stays known.
    JobRecord known = production_record();
    known.spec.id = "job-9";
    known.spec.machine_types.assign(40, std::string(100, 'x'));
    store_value(deployment, "j/job-9", known.pack(1));
    lower_limits(deployment, 2048, 4);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto long_list = [](auto& fields) {
        Packer packer;
        packer.list(64).text("g2");
        for (int i = 1; i < 64; ++i) packer.text(std::string(126, 'x') + std::to_string(10 + i));
        fields["flavors"] = packer.take();
    };
    Answer answer = deployment.call(0, "POST", "/v2/runs", job_body("job-1", long_list));
    EXPECT_EQ(answer.status, 400);
    EXPECT_NE(answer.body.find("description"), std::string::npos);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-9", long_list)).status, 200);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// Users' writes and the leader's share the rate. A submission that can't be taken now is answered at once,
// never held until its user gives up.
TEST(Upgrade, AUsersWriteBeyondTheRateIsAnsweredAtOnce) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto refused = [&](const std::string& path, const std::string& body) {
        deployment.store.transactions_to_limit = 1;
        Seconds began = deployment.loop.now();
        Answer answer = deployment.call(0, "POST", path, body);
        EXPECT_EQ(answer.status, 429) << path;
        EXPECT_LT(deployment.loop.now() - began, 0.3) << path;
        EXPECT_EQ(deployment.store.transactions_to_limit, 0) << "sent once";
    };
    refused("/v2/runs", job_body("job-1"));
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    refused("/v2/runs/job-1/withdraw", "");
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "pending");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// A record of a later version: its tasks are left alone, its machine gets nothing, its user is asked to come
// again.
TEST(Upgrade, DecidesNothingOnARecordOfANewerRecordFormat) {
    Deployment deployment;
    JobRecord record = large_record("job-7", 1, 1);
    std::string packed = record.pack(2);
    packed.back() = 3;  // "v", packed last
    ASSERT_TRUE(newer_record_format(packed));
    store_value(deployment, "j/job-7", packed);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.name = record.live.at(0).machine;
    worker.tasks = {{{"job-7", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false},
                    {{"job-7", 5}, 9, TaskPhase::kExited, ExitCause::kDone, false}};
    deployment.settle(worker);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-7").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-7/withdraw").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-7")).status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-8")).status, 201);
    for (int i = 0; i < 3; ++i) deployment.send_report(worker, 0);
    ASSERT_EQ(worker.tasks.size(), 2u) << "neither forgotten";
    ASSERT_TRUE(worker.find("job-7/0"));
    EXPECT_EQ(worker.find("job-7/0")->phase, TaskPhase::kRunning) << "nor halted";
    EXPECT_EQ(deployment.store.rows.at("j/job-7").data, packed);
    FakeWorker other;
    deployment.settle(other);
    deployment.send_report(other, 0);
    EXPECT_TRUE(other.find("job-8/0")) << "the others are served";
}

TEST(Upgrade, DoesNotLeadOverANewerRecordFormat) {
    for (const std::string& kept : {pack_record_format(3), packed_text("not a form")}) {
        Deployment deployment;
        store_value(deployment, "form", kept);
        deployment.start(0);
        deployment.run(10);
        EXPECT_EQ(deployment.leader(), -1);
        EXPECT_EQ(deployment.store.rows.count("leader"), 0u);
        EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
        EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    }
}
