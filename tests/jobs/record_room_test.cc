// Room in a job's record: starts are bounded so that it fits whatever becomes of its tasks, and so that a job
// whose record is full goes on.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/constants.h"
#include "jobs/job_table.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct RecordRoom : testing::Test {
    Config config;
    JobTable jobs;
    Cluster cluster;

    RecordRoom() { config.value_bytes = 32 * 1024; }
    static JobRecord array_record(const std::string& id, uint32_t tasks) {
        JobRecord record;
        record.spec.id = id;
        record.spec.job_class = std::string("c");
        record.spec.team = std::string("team");
        record.spec.tasks = tasks;
        record.spec.cpus = 1;
        record.spec.image = std::string("img-1");
        return record;
    }
    static Machine machine(const std::string& name, const std::string& zone = "a") {
        Machine machine;
        machine.name = name;
        machine.zone = zone;
        return machine;
    }
    bool room(const Job& job, const Machine& on, uint64_t record_format = kNewestRecordFormat) const {
        const Machine* one[] = {&on};
        return job.room_in_record(config, record_format, one);
    }
    // Binds waiting tasks until the record is full, or so many; how many.
    uint32_t fill(Job& job, const Machine& on, uint32_t most, uint64_t record_format = kNewestRecordFormat) {
        uint32_t n = 0;
        while (n < most && !job.pending.empty() && room(job, on, record_format)) {
            jobs.bind(job, *job.pending.first(), on, job.next_attempt++, 0);
            ++n;
        }
        return n;
    }
    void ends(const Job& job, uint32_t task, ExitCause cause) {
        const Placement p = job.live.at(task);
        Machine& machine = cluster.ensure(p.machine, 0);
        WorkerHeartbeat heartbeat;
        heartbeat.machine = machine.name;
        heartbeat.zone = p.zone;
        heartbeat.sequence = machine.sequence + 1;
        heartbeat.tasks = {{{job.spec.id, task}, p.attempt, TaskPhase::kExited, cause, false}};
        jobs.apply_heartbeat(cluster, machine, heartbeat, Absence::kUnproven, 0);
    }
    static size_t bytes(const Job& job, uint64_t record_format) {
        return json_text(job.to_record().pack(record_format)).size();
    }
};

}  // namespace

// A job whose description just leaves the room that a submission must: its tasks run on machines with short
// names, and half of them end. Then only a machine with a long name and in another zone has room.
TEST_F(RecordRoom, LeavesAPlacementFreeForAMachineOfAnyName) {
    const Machine near = machine("m-1"), far = machine(std::string(110, 'x') + "-000001", "another-zone");
    Job& job = jobs.load(array_record("job-1", 600), 5, 0, {0});
    config.next_value_bytes = job.record_bytes(kNewestRecordFormat) + constants::kRecordReserveBytes;
    for (int round = 0; round < 4; ++round) {
        ASSERT_TRUE(room(job, far)) << "round " << round << ", record of "
                                    << job.record_bytes(kNewestRecordFormat);
        fill(job, near, 600);
        ASSERT_FALSE(job.live.empty());
        std::vector<uint32_t> live;
        for (const auto& [task, placement] : job.live) live.push_back(task);
        // The gaps in the done ranges are as many as can be.
        for (size_t i = 0; i < live.size(); ++i)
            ends(job, live[i], i % 2 ? ExitCause::kDone : ExitCause::kStopped);
        ASSERT_TRUE(job.live.empty());
    }
    EXPECT_TRUE(room(job, far));
}

// What is started while format 1 is written must fit format 2 under the later limit, which may be in force by
// its next change.
TEST_F(RecordRoom, IsBoundedByRecordFormatTwoWhileRecordFormatOneIsWritten) {
    config.next_value_bytes = 2048;
    Job& job = jobs.load(array_record("job-1", 1000), 5, 0, {0});
    const Machine on = machine("vm-000001");
    fill(job, on, 1000, 1);
    EXPECT_GT(job.live.size(), 100U);
    EXPECT_LT(job.live.size(), 1000U);
    EXPECT_LE(bytes(job, 2), config.next_value_bytes);
    EXPECT_LT(bytes(job, 1), config.value_bytes) << "today's limit allows more";
    // And by format 1 under today's: the smaller of both counts.
    Job& other_job = jobs.load(array_record("job-2", 1000), 5, 0, {0});
    config.next_value_bytes = 32 * 1024;
    config.value_bytes = 4096;
    fill(other_job, on, 1000, 1);
    EXPECT_GT(other_job.live.size(), 50U);
    EXPECT_LE(bytes(other_job, 1), config.value_bytes);
}

// A description that format 2 could not hold under the later limit is refused while format 1 is written, too.
TEST(RecordRoomUsers, ASubmissionThatOnlyTodaysLimitHoldsIsRefused) {
    Deployment deployment(2);
    deployment.configs[0].next_value_bytes = 2048;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto with_types = [](int n) {
        return job_body("job-1", [n](auto& fields) {
            MsgpackWriter packer;
            packer.list(static_cast<size_t>(n)).text("g2");
            for (int i = 1; i < n; ++i) packer.text(std::string(98, 'x') + std::to_string(10 + i));
            fields["flavors"] = packer.take();
        });
    };
    ASSERT_EQ(deployment.store.rows.count("form"), 0U) << "the other controller may be of an earlier version";
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", with_types(20)).status, 400);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", with_types(8)).status, 201);
}
