// The formats of a job's record: the bytes of the production version, the encoding of format 2, and the size
// limit, which the record must meet however the job's tasks start and end.
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

// Packed by JobRecord::pack() and FinalRecord::pack() of commit 64db79f, the version in production, from the
// record of production_record().
const char* kRecordBytes =
    "de001aa26964aa6a6f622d303030343132a5636c617373a5747261696ea47465616da6766973696f6ea5736861706500a472616e"
    "6b02a57461736b7310a46370757308a46770757301a36d656d40a5696d616765a6696d672d3037a8696d6167655f6762cb4018cc"
    "cccccccccda7666c61766f727392a26738a26732a47a6f6e65a67a6f6e652061a86f6e655f7a6f6e65c3a56170617274c2a47370"
    "6f74c3aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a56475655f73cd0384a26174cb41"
    "dac3e33c880000a977697468647261776ec2a4646f6e65aa302d322c352c392d3130a46e65787415a46c69766592b43320382076"
    "6d2d303030303033207a6f6e652061b53420323020766d2d303030323331207a6f6e652061a17601";

const char* kFinalBytes = "84a26964aa6a6f622d303030343132a977697468647261776ec3a57461736b7310a4646f6e6506";

bool equal_records(const JobRecord& left, const JobRecord& right) {
    auto equal_placements = [](const auto& x, const auto& y) {
        return x.first == y.first && x.second.attempt == y.second.attempt &&
               x.second.machine == y.second.machine && x.second.zone == y.second.zone;
    };
    return left.spec == right.spec && left.done == right.done && left.cancelled == right.cancelled &&
           left.next_attempt == right.next_attempt && left.accepted_wall == right.accepted_wall &&
           std::equal(left.live.begin(), left.live.end(), right.live.begin(), right.live.end(),
                      equal_placements);
}

}  // namespace

TEST(Format1, MatchesBytesOfProductionVersion) {
    std::string bytes = from_hex(kRecordBytes);
    auto record = JobRecord::unpack(bytes);
    ASSERT_TRUE(record);
    EXPECT_TRUE(equal_records(*record, production_record()));
    EXPECT_EQ(record->pack(1), bytes);
    std::string final_bytes = from_hex(kFinalBytes);
    auto final_record = FinalRecord::unpack(final_bytes);
    ASSERT_TRUE(final_record);
    EXPECT_TRUE(final_record->cancelled);
    EXPECT_EQ(final_record->done, 6U);
    EXPECT_EQ(final_record->pack(), final_bytes);
}

TEST(Format2, RoundTripsRandomRecords) {
    std::mt19937 rng(5);
    auto random_below = [&](uint32_t limit) { return static_cast<uint32_t>(rng() % limit); };
    for (int i = 0; i < 400; ++i) {
        JobRecord record = production_record();
        record.spec.tasks = 1 + random_below(i % 3 ? 300 : 100'000);
        record.done = {};
        record.live.clear();
        record.next_attempt = 1 + random_below(1'000'000);
        uint32_t density = 1 + random_below(9);
        for (uint32_t draw = 0; draw < std::min(record.spec.tasks, 200U); ++draw) {
            if (random_below(10) < density) record.done.add(random_below(record.spec.tasks));
            uint32_t task = random_below(record.spec.tasks);
            std::string machine = machine_name(random_below(2000));
            if (random_below(20) == 0)
                machine = i % 2 ? "metal" : "rack-" + std::to_string(random_below(40)) + "-x";
            if (random_below(30) == 0) machine = "vm-" + std::to_string(1U << random_below(31)) + "0000000";
            if (random_below(3) == 0 && !record.done.has(task))
                record.live[task] = {1 + random_below(static_cast<uint32_t>(record.next_attempt)), machine,
                                     random_below(2) ? "a" : "é\"b"};
        }
        std::string packed = record.pack(2);
        auto unpacked = JobRecord::unpack(packed);
        ASSERT_TRUE(unpacked);
        EXPECT_TRUE(equal_records(*unpacked, record));
        EXPECT_FALSE(newer_record_format(packed));
        EXPECT_GE(json_size(packed), json_text(packed).size()) << "json_size must be an upper bound";
        EXPECT_GE(json_size(record.pack(1)), json_text(record.pack(1)).size());
        // A reader of format 1 must reject the done ranges, or it would start tasks that are already placed.
        auto text = MsgpackDocument::parse(packed)->root()["done"].text();
        EXPECT_FALSE(Ranges::parse(*text, record.spec.tasks));
    }
}

TEST(Format2, FitsLargeArrayIntoTwoKibibytes) {
    std::mt19937 rng(6);
    size_t max_bytes = 0;
    for (int i = 0; i < 200; ++i) {
        JobRecord record = large_record("job-738642", 150, 1);
        record.spec.job_class = "etiqueta-scan";
        record.spec.team = "equipo-vision";
        record.spec.image = "img-etiqueta-scan-07";
        record.spec.image_gb = 5.123456789012345;
        record.next_attempt = 2000;
        for (auto& [task, placement] : record.live)
            placement = {1 + rng() % 2000, machine_name(static_cast<uint32_t>(rng() % 3000)),
                         rng() % 2 ? "lujan-zone" : "uco-zone"};
        max_bytes = std::max(max_bytes, json_size(record.pack(2)));
    }
    EXPECT_LE(max_bytes, 2048U);
}

TEST(Format2, RejectsMalformedText) {
    for (const char* malformed :
         {"", "A", "=A", "=AAAA", "=gA", "=gAA", "=*A", "=_", "=AAAAB", "=9999999999999A"})
        EXPECT_FALSE(parse_compact_ranges(malformed, 60)) << malformed;
    EXPECT_TRUE(parse_compact_ranges("=", 60));
    auto parses = [](std::string text, std::vector<std::string> zones = {"a"},
                     std::vector<std::string> names = {"6vm-"}) {
        return parse_compact_live({std::move(zones), std::move(names), std::move(text)}, 8).has_value();
    };
    EXPECT_TRUE(parses("BAAC"));
    EXPECT_FALSE(parses("BAAC", {})) << "no zone";
    EXPECT_FALSE(parses("BAAC", {"a"}, {})) << "text remains after the last entry";
    EXPECT_FALSE(parses("BAA")) << "truncated";
    EXPECT_FALSE(parses("CAACBAA")) << "the same task twice";
    EXPECT_FALSE(parses("BAgBC")) << "task out of range";
    EXPECT_FALSE(parses("BABC")) << "a negative task";
    EXPECT_FALSE(parses("BAAB")) << "a negative attempt";
    EXPECT_FALSE(parses("BBAC", {"a"}, {"0metal"})) << "a number where the name has none";
    EXPECT_FALSE(parses("B-----BAC", {"a"}, {"2vm-"})) << "more digits than the name has";
    EXPECT_FALSE(parses("A", {"a"}, {"6vm-"})) << "an entry without placements";
}

// A job of any size, whose tasks start and end in random order, must always fit its record and still finish.
TEST(Format2, JobOfAnySizeFitsItsRecordAndFinishes) {
    for (uint32_t tasks : {30U, 1000U, 1025U, 100'000U}) {
        std::mt19937 rng(tasks);
        Config config;
        config.value_bytes = 32 * 1024;
        config.next_value_bytes = 2048;  // applies to format 2, and limits starts already under format 1
        JobTable jobs;
        Cluster cluster;
        JobRecord record = large_record("job-1", 1, 1);
        record.spec.tasks = tasks;
        record.live.clear();
        record.next_attempt = 1;
        // Of the largest job only the last 10,000 tasks are left; the others are done, in one range.
        for (uint32_t task = 0; task + 10'000 < tasks; ++task) record.done.add(task);
        Job& job = jobs.load(record, 5, 0, {0});
        size_t max_live = 0, steps = 0;
        std::vector<Machine> machines(600);
        for (auto& machine : machines) {
            machine.name = machine_name(static_cast<uint32_t>(rng() % 100'000));
            machine.zone = rng() % 2 ? "lujan-zone" : "uco-zone";
        }
        machines[0].name = "a machine whose name follows no pattern at all";
        uint64_t record_format = 1;
        while (!job.finished() && steps < 400'000) {
            ++steps;
            if (steps == 3000) record_format = 2;
            auto choice = rng() % 10;
            const Machine* machine = &machines[rng() % machines.size()];
            const Machine* target[] = {machine};
            if (choice < 7 && !job.pending.empty() && job.record_has_room(config, record_format, target)) {
                jobs.bind(job, *job.pending.first(), *machine, job.next_attempt++, 0);
            } else if (job.live.empty()) {
                // While no task is placed, at least one may start, on any machine.
                ASSERT_TRUE(job.record_has_room(config, record_format, target))
                    << steps << ' ' << job.record_bytes(2);
                continue;
            } else {
                // A task exits, usually as done, or a machine is deleted with all its tasks.
                auto it = std::next(job.live.begin(), static_cast<long>(rng() % job.live.size()));
                std::string name = it->second.machine;
                if (choice < 9 && (tasks < 2000 || steps % 400 != 0)) {
                    Machine& task_machine = cluster.find_or_add(name, 0);
                    WorkerHeartbeat heartbeat;
                    heartbeat.machine = name;
                    heartbeat.sequence = task_machine.sequence + 1;
                    heartbeat.tasks = {{{"job-1", it->first},
                                        it->second.attempt,
                                        TaskPhase::kExited,
                                        rng() % 4 ? ExitCause::kDone : ExitCause::kStopped,
                                        false}};
                    jobs.apply_heartbeat(cluster, task_machine, heartbeat, Absence::kUnproven, 0);
                } else {
                    jobs.on_machine_deleted(name, 0);
                }
            }
            max_live = std::max(max_live, job.live.size());
            if (tasks > 2000 && steps % 97 != 0) continue;  // packing the record is slow for large jobs
            JobRecord current = job.to_record();
            ASSERT_LE(json_text(current.pack(2)).size(), 2048U) << steps;
            if (record_format == 1) {
                ASSERT_LE(json_text(current.pack(1)).size(), 32U * 1024);
            }
            ASSERT_LE(json_size(current.pack(2)), job.record_bytes(2) + 16);
        }
        EXPECT_TRUE(job.finished()) << tasks << " tasks, " << job.done.size() << " done";
        if (tasks > 200) {
            EXPECT_GE(max_live, 100U) << tasks;
        }
    }
}
