// The formats of a job's record: what the production version wrote, what format 2 holds, and that a record
// fits whatever becomes of its job.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "http/json_size.h"
#include "jobs/compact_wire.h"
#include "jobs/job_table.h"
#include "standins/production_records.h"
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

bool same(const JobRecord& left, const JobRecord& right) {
    auto bound = [](const auto& x, const auto& y) {
        return x.first == y.first && x.second.attempt == y.second.attempt &&
               x.second.machine == y.second.machine && x.second.zone == y.second.zone;
    };
    return left.spec == right.spec && left.done == right.done && left.cancelled == right.cancelled &&
           left.next_attempt == right.next_attempt && left.accepted_wall == right.accepted_wall &&
           std::equal(left.live.begin(), left.live.end(), right.live.begin(), right.live.end(), bound);
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
    EXPECT_EQ(end->done, 6U);
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
        for (uint32_t n = 0; n < std::min(record.spec.tasks, 200U); ++n) {
            if (below(10) < density) record.done.add(below(record.spec.tasks));
            uint32_t task = below(record.spec.tasks);
            std::string machine = machine_name(below(2000));
            if (below(20) == 0) machine = i % 2 ? "metal" : "rack-" + std::to_string(below(40)) + "-x";
            if (below(30) == 0) machine = "vm-" + std::to_string(1U << below(31)) + "0000000";
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
        auto text = MsgpackDocument::parse(packed)->root()["done"].text();
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
    EXPECT_LE(most, 2048U);
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
    for (uint32_t tasks : {30U, 1000U, 1025U, 100'000U}) {
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
            ASSERT_LE(json_text(now.pack(2)).size(), 2048U) << steps;
            if (record_format == 1) {
                ASSERT_LE(json_text(now.pack(1)).size(), 32U * 1024);
            }
            ASSERT_LE(json_size(now.pack(2)), job.record_bytes(2) + 16);
        }
        EXPECT_TRUE(job.finished()) << tasks << " tasks, " << job.done.size() << " done";
        if (tasks > 200) {
            EXPECT_GE(most_live, 100U) << tasks;
        }
    }
}
