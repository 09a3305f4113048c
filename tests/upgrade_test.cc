// Beside the production version and under the state service's later limits: what is written when, that it
// fits, and that no task is lost on the way.
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>

#include "base/constants.h"
#include "jobs/compact.h"
#include "standins.h"

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

std::string from_hex(std::string_view hex) {
    std::string out;
    for (size_t i = 0; i + 1 < hex.size(); i += 2)
        out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
    return out;
}

JobRecord production_record() {
    JobRecord r;
    r.spec.id = "job-000412";
    r.spec.job_class = "train";
    r.spec.team = "vision";
    r.spec.priority = PriorityClass::kHigh;
    r.spec.tasks = 16;
    r.spec.cpus = 8;
    r.spec.gpus = 1;
    r.spec.memory_gb = 64;
    r.spec.image = "img-07";
    r.spec.image_gb = 6.2;
    r.spec.machine_types = {"g8", "g2"};
    r.spec.zone = "zone a";
    r.spec.single_zone = true;
    r.spec.spot = true;
    r.spec.estimate_s = 240;
    r.spec.checkpoint_s = 30;
    r.spec.save_s = 4;
    r.spec.due_s = 900;
    r.accepted_wall = {1796181234.125};
    for (uint32_t n : {0u, 1u, 2u, 5u, 9u, 10u}) r.done.add(n);
    r.next_attempt = 21;
    r.live[3] = {8, "vm-000003", "zone a"};
    r.live[4] = {20, "vm-000231", "zone a"};
    return r;
}

bool same(const JobRecord& a, const JobRecord& b) {
    auto bound = [](const auto& x, const auto& y) {
        return x.first == y.first && x.second.attempt == y.second.attempt &&
               x.second.machine == y.second.machine && x.second.zone == y.second.zone;
    };
    return a.spec == b.spec && a.done == b.done && a.cancelled == b.cancelled &&
           a.next_attempt == b.next_attempt && a.accepted_wall == b.accepted_wall &&
           std::equal(a.live.begin(), a.live.end(), b.live.begin(), b.live.end(), bound);
}

std::string machine_name(uint32_t n) {
    return fmt::format("vm-{:06}", n);
}

// An array whose tasks are all on machines, as the production version wrote it before the upgrade.
JobRecord large_record(const std::string& id, uint32_t tasks, uint32_t machines) {
    JobRecord r = production_record();
    r.spec.id = id;
    r.spec.team = "team";
    r.spec.zone = "";
    r.spec.single_zone = false;
    r.spec.machine_types = {};
    r.spec.cpus = r.spec.memory_gb = 0.01;
    r.spec.gpus = 0;
    r.spec.tasks = tasks;
    r.done = {};
    r.live.clear();
    r.next_attempt = tasks + 1;
    for (uint32_t n = 0; n < tasks; ++n)
        r.live[n] = {n + 1, machine_name(231 + n % machines), n % machines % 2 ? "b" : "a"};
    return r;
}

void keep(Site& s, const std::string& key, std::string data) {
    Transaction t;
    t.expect(key, 0).put(key, std::move(data));
    ASSERT_EQ(s.state.apply(t.pack()).status, 200);
}

std::vector<FakeWorker> workers_of(const JobRecord& r) {
    std::map<std::string, FakeWorker> by_name;
    for (const auto& [task, b] : r.live) {
        FakeWorker& w = by_name[b.machine];
        w.name = b.machine;
        w.zone = b.zone;
        w.tasks.push_back({{r.spec.id, task}, b.attempt, TaskPhase::kRunning, ExitCause::kNone, false});
    }
    std::vector<FakeWorker> out;
    for (auto& [name, w] : by_name) out.push_back(std::move(w));
    return out;
}

uint64_t form_of(Site& s, const std::string& key) {
    return Message::parse(s.state.rows.at(key).data)->root()["v"].count_or(0);
}

std::string phase_of(const Answer& a) {
    auto m = Message::parse(a.body);
    return m ? m->root()["phase"].text_or("") : "";
}

// A deployment under the limits that the state service will have: the service enforces them at once.
void lower_limits(Site& s, size_t value_bytes, size_t txn_ops) {
    for (auto& c : s.configs) {
        c.next_value_bytes = value_bytes;
        c.txn_ops = std::min(c.txn_ops, txn_ops);
        c.write_rps = std::min(c.write_rps, 15.0);
    }
    s.state.value_bytes = value_bytes;
    s.state.txn_ops = txn_ops;
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
        JobRecord r = production_record();
        r.spec.tasks = 1 + below(i % 3 ? 300 : 100'000);
        r.done = {};
        r.live.clear();
        r.next_attempt = 1 + below(1'000'000);
        uint32_t density = 1 + below(9);
        for (uint32_t n = 0; n < std::min(r.spec.tasks, 200u); ++n) {
            if (below(10) < density) r.done.add(below(r.spec.tasks));
            uint32_t task = below(r.spec.tasks);
            std::string machine = machine_name(below(2000));
            if (below(20) == 0) machine = i % 2 ? "metal" : "rack-" + std::to_string(below(40)) + "-x";
            if (below(30) == 0) machine = "vm-" + std::to_string(1u << below(31)) + "0000000";
            if (below(3) == 0 && !r.done.has(task))
                r.live[task] = {1 + below(static_cast<uint32_t>(r.next_attempt)), machine,
                                below(2) ? "a" : "é\"b"};
        }
        std::string packed = r.pack(2);
        auto again = JobRecord::unpack(packed);
        ASSERT_TRUE(again);
        EXPECT_TRUE(same(*again, r));
        EXPECT_FALSE(newer_record_format(packed));
        EXPECT_GE(json_size(packed), json_text(packed).size()) << "counted at most, never at least";
        EXPECT_GE(json_size(r.pack(1)), json_text(r.pack(1)).size());
        // A reader of format 1 must not take its tasks for free: it cannot read the done ranges.
        auto text = Message::parse(packed)->root()["done"].text();
        EXPECT_FALSE(Ranges::parse(*text, r.spec.tasks));
    }
}

TEST(Format2, HoldsAnArraySpreadOverAFleetInTwoKibibytes) {
    std::mt19937 rng(6);
    size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        JobRecord r = large_record("job-738642", 150, 1);
        r.spec.job_class = "etiqueta-scan";
        r.spec.team = "equipo-vision";
        r.spec.image = "img-etiqueta-scan-07";
        r.spec.image_gb = 5.123456789012345;
        r.next_attempt = 2000;
        for (auto& [task, b] : r.live)
            b = {1 + rng() % 2000, machine_name(static_cast<uint32_t>(rng() % 3000)),
                 rng() % 2 ? "lujan-zone" : "uco-zone"};
        most = std::max(most, json_size(r.pack(2)));
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
        JobRecord r = large_record("job-1", 1, 1);
        r.spec.tasks = tasks;
        r.live.clear();
        r.next_attempt = 1;
        // Of the largest, the last part; what came before is one range.
        for (uint32_t n = 0; n + 10'000 < tasks; ++n) r.done.add(n);
        Job& j = jobs.load(r, 5, 0, {0});
        size_t most_live = 0, steps = 0;
        std::vector<Machine> machines(600);
        for (auto& h : machines) {
            h.name = machine_name(static_cast<uint32_t>(rng() % 100'000));
            h.zone = rng() % 2 ? "lujan-zone" : "uco-zone";
        }
        machines[0].name = "a machine whose name follows no pattern at all";
        uint64_t record_format = 1;
        while (!j.finished() && steps < 400'000) {
            ++steps;
            if (steps == 3000) record_format = 2;
            auto choice = rng() % 10;
            const Machine* h = &machines[rng() % machines.size()];
            const Machine* on[] = {h};
            if (choice < 7 && !j.pending.empty() && j.room_in_record(config, record_format, on)) {
                jobs.bind(j, *j.pending.first(), *h, j.next_attempt++, 0);
            } else if (j.live.empty()) {
                // Nothing runs: then one task at least may start, wherever.
                ASSERT_TRUE(j.room_in_record(config, record_format, on)) << steps << ' ' << j.record_bytes(2);
                continue;
            } else {
                // One ends, done more often than not, or a machine goes with all that is on it.
                auto it = std::next(j.live.begin(), static_cast<long>(rng() % j.live.size()));
                std::string machine = it->second.machine;
                if (choice < 9 && (tasks < 2000 || steps % 400 != 0)) {
                    Machine& x = cluster.ensure(machine, 0);
                    WorkerHeartbeat report;
                    report.machine = machine;
                    report.sequence = x.sequence + 1;
                    report.tasks = {{{"job-1", it->first},
                                     it->second.attempt,
                                     TaskPhase::kExited,
                                     rng() % 4 ? ExitCause::kDone : ExitCause::kStopped,
                                     false}};
                    jobs.apply_heartbeat(cluster, x, report, Absence::kUnproven, 0);
                } else {
                    jobs.machine_deleted(machine, 0);
                }
            }
            most_live = std::max(most_live, j.live.size());
            if (tasks > 2000 && steps % 97 != 0) continue;  // each step costs as long as the record
            JobRecord now = j.to_record();
            ASSERT_LE(json_text(now.pack(2)).size(), 2048u) << steps;
            if (record_format == 1) {
                ASSERT_LE(json_text(now.pack(1)).size(), 32u * 1024);
            }
            ASSERT_LE(json_size(now.pack(2)), j.record_bytes(2) + 16);
        }
        EXPECT_TRUE(j.finished()) << tasks << " tasks, " << j.done.size() << " done";
        if (tasks > 200) {
            EXPECT_GE(most_live, 100u) << tasks;
        }
    }
}

// Until every peer is known to run this version, records are written as the production version reads them.
TEST(Upgrade, WritesTheOldRecordFormatWhileAPeerMayBeOld) {
    Site s(2);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(10);
    EXPECT_EQ(s.state.rows.count("form"), 0u);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(form_of(s, "j/job-1"), 1u);
    FakeWorker w;
    s.settle(w);
    s.send_report(w, 0);
    ASSERT_TRUE(w.find("job-1/0"));
    EXPECT_EQ(form_of(s, "j/job-1"), 1u);
    EXPECT_TRUE(Message::parse(s.state.rows.at("j/job-1").data)->root()["live"].is_list());
    // The peer runs this version: then format 2 is in force for both, and each change is written in it.
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
    s.run(3);
    ASSERT_EQ(s.leader(), 0);
    EXPECT_EQ(form_of(s, "j/job-1"), 1u);
    ASSERT_EQ(s.call(1, "POST", "/v2/runs/job-1/withdraw").status, 200);
    EXPECT_EQ(form_of(s, "j/job-1"), 2u) << "also by a follower, which asks for the form until it is there";
    auto record = JobRecord::unpack(s.state.rows.at("j/job-1").data);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->live.size(), 1u) << "it is still on its machine";
}

TEST(Upgrade, ALeaderWithoutOldPeersPutsTheRecordFormatOnceAndStaysWithIt) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
    uint64_t mod_revision = s.state.rows.at("form").mod_revision;
    EXPECT_EQ(unpack_record_format(s.state.rows.at("form").data), 2u);
    s.run(1);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(form_of(s, "j/job-1"), 2u);
    s.kill(0);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(5);
    EXPECT_EQ(s.state.rows.at("form").mod_revision, mod_revision);
}

// What the production version kept in more than the later limits allow is read, and each change of it fits:
// ends of tasks, a cancellation, and its end in one transaction.
TEST(Upgrade, TakesOverLargeRecordsUnderTheLowerLimits) {
    for (size_t ops : {2u, 4u}) {
        Site s;
        JobRecord ended = large_record("job-1", 150, 12), cancelled = large_record("job-2", 150, 10);
        for (auto& [task, b] : cancelled.live) b.machine = "vm-0009" + b.machine.substr(7);
        ASSERT_GT(json_text(ended.pack(1)).size(), 2048u);
        keep(s, "j/job-1", ended.pack(1));
        keep(s, "j/job-2", cancelled.pack(1));
        lower_limits(s, 2048, ops);
        s.start(0);
        ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
        s.run(2);
        EXPECT_EQ(form_of(s, "j/job-1"), 1u) << "its next change replaces it, nothing before";
        auto one = workers_of(ended), two = workers_of(cancelled);
        for (auto& w : one) s.settle(w);
        for (auto& w : two) s.settle(w);
        for (const auto& w : one)
            for (const auto& t : w.tasks) EXPECT_EQ(t.phase, TaskPhase::kRunning) << t.name.text();
        ASSERT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(form_of(s, "j/job-2"), 2u);
        EXPECT_EQ(JobRecord::unpack(s.state.rows.at("j/job-2").data)->live.size(), 150u)
            << "none is free yet";
        // Every second task ends first: the done ranges are as long as they can be.
        for (uint32_t odd : {1u, 0u}) {
            for (auto& w : one) {
                for (auto& t : w.tasks) {
                    if (t.name.task % 2 != odd) continue;
                    t.phase = TaskPhase::kExited;
                    t.cause = ExitCause::kDone;
                }
                s.send_report(w, 0);
            }
            s.run(2);
            if (odd) {
                EXPECT_EQ(form_of(s, "j/job-1"), 2u);
                EXPECT_EQ(JobRecord::unpack(s.state.rows.at("j/job-1").data)->done.size(), 75u);
            }
        }
        for (int i = 0; i < 3; ++i)
            for (auto& w : two) s.send_report(w, 0);
        s.run(2);
        EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-1")), "done");
        EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-2")), "withdrawn");
        EXPECT_EQ(s.state.rows.count("j/job-1") + s.state.rows.count("j/job-2"), 0u);
        EXPECT_EQ(s.state.invalid, 0) << "nothing was sent that exceeds a limit";
    }
}

// What an earlier version let grow beyond even format 2's room is not sent. Until it fits, the record says of
// ended tasks that they are live, which is safe; a cancellation leaves out what it does not need.
TEST(Upgrade, AChangeThatDoesNotFitIsKeptUntilItDoes) {
    Site s;
    JobRecord r = large_record("job-1", 150, 12), w = large_record("job-2", 400, 12);
    for (uint32_t n = 0; n < 400; n += 2) w.done.add(n);
    std::erase_if(w.live, [&](const auto& l) { return l.first % 4 != 1; });
    keep(s, "j/job-1", r.pack(1));
    keep(s, "j/job-2", w.pack(1));
    lower_limits(s, 780, 4);
    ASSERT_GT(json_text(r.pack(2)).size(), 780u);
    ASSERT_GT(json_text(w.pack(2)).size(), 780u);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(2);
    EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(JobRecord::unpack(s.state.rows.at("j/job-2").data)->live.size(), w.live.size());
    auto workers = workers_of(r);
    for (auto& x : workers) s.settle(x);
    for (size_t i = 0; i < workers.size(); ++i) {
        for (auto& t : workers[i].tasks) {
            t.phase = TaskPhase::kExited;
            t.cause = ExitCause::kDone;
        }
        s.send_report(workers[i], 0);
        s.run(1);
        s.send_report(workers[i], 0);
        bool written = form_of(s, "j/job-1") == 2;
        EXPECT_EQ(written, workers[i].tasks.empty()) << "an exit is forgotten once it is kept";
        if (i == 0) {
            EXPECT_FALSE(written);
        }
        if (i + 1 < workers.size() && !s.state.rows.count("j/job-1")) FAIL() << "not over yet";
        if (written) break;
    }
    EXPECT_EQ(form_of(s, "j/job-1"), 2u);
    EXPECT_EQ(s.state.invalid, 0);
}

// A refusal for what a transaction is: sent once, not again until the record has changed, and no other job
// waits.
TEST(Upgrade, ARefusedRecordIsNotSentAgainAndHoldsUpNoOther) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
    s.run(1);
    std::string team(100, 't');
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto text = [](const std::string& x) { return Packer().text(x).take(); };
    ASSERT_EQ(
        s.call(0, "POST", "/v2/runs", job_body("job-2", [&](auto& f) { f["jobclass"] = text(team); })).status,
        201);
    s.run(1);
    // The service is stricter than any settings said.
    s.state.value_bytes = json_text(s.state.rows.at("j/job-2").data).size();
    FakeWorker w;
    s.settle(w);
    s.send_report(w, 0);
    s.send_report(w, 0);
    s.run(10);
    EXPECT_TRUE(w.find("job-1/0"));
    EXPECT_FALSE(w.find("job-2/0")) << "not committed, so not launched";
    EXPECT_GE(s.state.invalid, 1);
    EXPECT_LE(s.state.invalid, 2) << "in a batch, and once by itself";
    int before = s.state.invalid;
    s.run(20);
    EXPECT_EQ(s.state.invalid, before);
    EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-2")), "pending");
}

// Ten tasks are bound in one scheduling pass: their records go out in as many transactions as it takes.
TEST(Upgrade, SendsNoMoreChangesAtOnceThanTheLaterLimitAllows) {
    for (size_t ops : {2u, 4u}) {
        Site s;
        lower_limits(s, 2048, ops);
        s.start(0);
        ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
        s.run(1);
        auto number = [](double d) { return Packer().number(d).take(); };
        FakeWorker w;
        s.settle(w);
        for (int i = 0; i < 10; ++i)
            ASSERT_EQ(
                s.call(0, "POST", "/v2/runs",
                       job_body("job-" + std::to_string(i),
                                [&](auto& f) { f["vcpus"] = f["cards"] = f["memory_gb"] = number(0.1); }))
                    .status,
                201);
        s.run(1);
        for (int i = 0; i < 4; ++i) s.send_report(w, 0);
        EXPECT_EQ(w.tasks.size(), 10u);
        for (auto& t : w.tasks) {
            t.phase = TaskPhase::kExited;
            t.cause = ExitCause::kDone;
        }
        for (int i = 0; i < 4; ++i) s.send_report(w, 0);
        s.run(3);
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(s.state.rows.count("f/job-" + std::to_string(i)), 1u) << "ends, two changes each";
        EXPECT_EQ(s.state.invalid, 0);
    }
}

TEST(Upgrade, RefusesADescriptionThatNoRecordCouldHold) {
    Site s;
    // Accepted by an earlier version: it stays known.
    JobRecord known = production_record();
    known.spec.id = "job-9";
    known.spec.machine_types.assign(40, std::string(100, 'x'));
    keep(s, "j/job-9", known.pack(1));
    lower_limits(s, 2048, 4);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
    s.run(1);
    auto long_list = [](auto& f) {
        Packer p;
        p.list(64).text("g2");
        for (int i = 1; i < 64; ++i) p.text(std::string(126, 'x') + std::to_string(10 + i));
        f["flavors"] = p.take();
    };
    Answer a = s.call(0, "POST", "/v2/runs", job_body("job-1", long_list));
    EXPECT_EQ(a.status, 400);
    EXPECT_NE(a.body.find("description"), std::string::npos);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-9", long_list)).status, 200);
    EXPECT_EQ(s.state.invalid, 0);
}

// Users' writes and the leader's share the rate. A submission that can't be taken now is answered at once,
// never held until its user gives up.
TEST(Upgrade, AUsersWriteBeyondTheRateIsAnsweredAtOnce) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.state.rows.count("form") == 1; }));
    s.run(1);
    auto refused = [&](const std::string& path, const std::string& body) {
        s.state.limited = 1;
        Seconds began = s.loop.now();
        Answer a = s.call(0, "POST", path, body);
        EXPECT_EQ(a.status, 429) << path;
        EXPECT_LT(s.loop.now() - began, 0.3) << path;
        EXPECT_EQ(s.state.limited, 0) << "sent once";
    };
    refused("/v2/runs", job_body("job-1"));
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    refused("/v2/runs/job-1/withdraw", "");
    EXPECT_EQ(phase_of(s.call(0, "GET", "/v2/runs/job-1")), "pending");
    EXPECT_EQ(phase_of(s.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// A record of a later version: its tasks are left alone, its machine gets nothing, its user is asked to come
// again.
TEST(Upgrade, DecidesNothingOnARecordOfANewerRecordFormat) {
    Site s;
    JobRecord r = large_record("job-7", 1, 1);
    std::string packed = r.pack(2);
    packed.back() = 3;  // "v", packed last
    ASSERT_TRUE(newer_record_format(packed));
    keep(s, "j/job-7", packed);
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w;
    w.name = r.live.at(0).machine;
    w.tasks = {{{"job-7", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false},
               {{"job-7", 5}, 9, TaskPhase::kExited, ExitCause::kDone, false}};
    s.settle(w);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-7").status, 503);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs/job-7/withdraw").status, 503);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-7")).status, 503);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-8")).status, 201);
    for (int i = 0; i < 3; ++i) s.send_report(w, 0);
    ASSERT_EQ(w.tasks.size(), 2u) << "neither forgotten";
    ASSERT_TRUE(w.find("job-7/0"));
    EXPECT_EQ(w.find("job-7/0")->phase, TaskPhase::kRunning) << "nor halted";
    EXPECT_EQ(s.state.rows.at("j/job-7").data, packed);
    FakeWorker other;
    s.settle(other);
    s.send_report(other, 0);
    EXPECT_TRUE(other.find("job-8/0")) << "the others are served";
}

TEST(Upgrade, DoesNotLeadOverANewerRecordFormat) {
    for (const std::string& kept : {pack_record_format(3), Packer().text("not a form").take()}) {
        Site s;
        keep(s, "form", kept);
        s.start(0);
        s.run(10);
        EXPECT_EQ(s.leader(), -1);
        EXPECT_EQ(s.state.rows.count("leader"), 0u);
        EXPECT_EQ(s.call(0, "GET", "/ready").status, 503);
        EXPECT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    }
}
