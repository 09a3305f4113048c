// Room in a job's record: starts are bounded so that it fits whatever becomes of its tasks, and so that a job
// whose record is full goes on.
#include <algorithm>

#include "base/constants.h"
#include "jobs/job_table.h"
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct RecordRoom : testing::Test {
    Config config;
    JobTable jobs;
    Cluster cluster;

    RecordRoom() { config.value_bytes = 32 * 1024; }
    static JobRecord record(uint32_t tasks) {
        JobRecord r;
        r.spec.id = std::string("job-1");
        r.spec.job_class = std::string("c");
        r.spec.team = std::string("team");
        r.spec.tasks = tasks;
        r.spec.cpus = 1;
        r.spec.image = std::string("img-1");
        return r;
    }
    static Machine machine(const std::string& name, const std::string& zone = "a") {
        Machine h;
        h.name = name;
        h.zone = zone;
        return h;
    }
    bool room(const Job& j, const Machine& on, uint64_t record_format = kNewestRecordFormat) const {
        const Machine* one[] = {&on};
        return j.room_in_record(config, record_format, one);
    }
    // Binds waiting tasks until the record is full, or so many; how many.
    uint32_t fill(Job& j, const Machine& on, uint32_t most, uint64_t record_format = kNewestRecordFormat) {
        uint32_t n = 0;
        while (n < most && !j.pending.empty() && room(j, on, record_format)) {
            jobs.bind(j, *j.pending.first(), on, j.next_attempt++, 0);
            ++n;
        }
        return n;
    }
    void ends(const Job& j, uint32_t task, ExitCause cause) {
        const Placement p = j.live.at(task);
        Machine& h = cluster.ensure(p.machine, 0);
        WorkerHeartbeat r;
        r.machine = h.name;
        r.zone = p.zone;
        r.sequence = h.sequence + 1;
        r.tasks = {{{j.spec.id, task}, p.attempt, TaskPhase::kExited, cause, false}};
        jobs.apply_heartbeat(cluster, h, r, Absence::kUnproven, 0);
    }
    static size_t bytes(const Job& j, uint64_t record_format) {
        return json_text(j.to_record().pack(record_format)).size();
    }
};

}  // namespace

// A job whose description just leaves the room that a submission must: its tasks run on machines with short
// names, and half of them end. Then only a machine with a long name and in another zone has room.
TEST_F(RecordRoom, LeavesAPlacementFreeForAMachineOfAnyName) {
    const Machine near = machine("m-1"), far = machine(std::string(110, 'x') + "-000001", "another-zone");
    JobRecord r = record(600);
    Job& j = jobs.load(r, 5, 0, {0});
    config.next_value_bytes = j.record_bytes(kNewestRecordFormat) + constants::kRecordReserve;
    for (int round = 0; round < 4; ++round) {
        ASSERT_TRUE(room(j, far)) << "round " << round << ", record of "
                                  << j.record_bytes(kNewestRecordFormat);
        fill(j, near, 600);
        ASSERT_FALSE(j.live.empty());
        std::vector<uint32_t> live;
        for (const auto& [task, p] : j.live) live.push_back(task);
        // The gaps in the done ranges are as many as can be.
        for (size_t i = 0; i < live.size(); ++i)
            ends(j, live[i], i % 2 ? ExitCause::kDone : ExitCause::kStopped);
        ASSERT_TRUE(j.live.empty());
    }
    EXPECT_TRUE(room(j, far));
}

// What is started while format 1 is written must fit format 2 under the later limit, which may be in force by
// its next change.
TEST_F(RecordRoom, IsBoundedByRecordFormatTwoWhileRecordFormatOneIsWritten) {
    config.next_value_bytes = 2048;
    JobRecord r = record(1000);
    Job& j = jobs.load(r, 5, 0, {0});
    const Machine on = machine("vm-000001");
    fill(j, on, 1000, 1);
    EXPECT_GT(j.live.size(), 100u);
    EXPECT_LT(j.live.size(), 1000u);
    EXPECT_LE(bytes(j, 2), config.next_value_bytes);
    EXPECT_LT(bytes(j, 1), config.value_bytes) << "today's limit allows more";
    // And by format 1 under today's: the smaller of both counts.
    JobRecord s = record(1000);
    s.spec.id = "job-2";
    Job& k = jobs.load(s, 5, 0, {0});
    config.next_value_bytes = 32 * 1024;
    config.value_bytes = 4096;
    fill(k, on, 1000, 1);
    EXPECT_GT(k.live.size(), 50u);
    EXPECT_LE(bytes(k, 1), config.value_bytes);
}

// A description that format 2 could not hold under the later limit is refused while format 1 is written, too.
TEST(RecordRoomUsers, ASubmissionThatOnlyTodaysLimitHoldsIsRefused) {
    Site s(2);
    s.configs[0].next_value_bytes = 2048;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    auto with_types = [](int n) {
        return job_body("job-1", [n](auto& f) {
            Packer p;
            p.list(static_cast<size_t>(n)).text("g2");
            for (int i = 1; i < n; ++i) p.text(std::string(98, 'x') + std::to_string(10 + i));
            f["flavors"] = p.take();
        });
    };
    ASSERT_EQ(s.state.rows.count("form"), 0u) << "the other controller may be of an earlier version";
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", with_types(20)).status, 400);
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(s.call(0, "POST", "/v2/runs", with_types(8)).status, 201);
}
