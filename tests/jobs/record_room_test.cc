// The room in a job's record: task starts are limited so that the record fits however the tasks end, and so
// that a job whose record is full still makes progress.
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
    bool has_room(const Job& job, const Machine& target, uint64_t record_format = kNewestRecordFormat) const {
        const Machine* targets[] = {&target};
        return job.record_has_room(config, record_format, targets);
    }
    // Binds at most `limit` pending tasks until the record is full. Returns the number of tasks bound.
    uint32_t bind_while_room(Job& job, const Machine& target, uint32_t limit,
                             uint64_t record_format = kNewestRecordFormat) {
        uint32_t bound = 0;
        while (bound < limit && !job.pending.empty() && has_room(job, target, record_format)) {
            jobs.bind(job, *job.pending.first(), target, job.next_attempt++, 0);
            ++bound;
        }
        return bound;
    }
    void exit_task(const Job& job, uint32_t task, ExitCause cause) {
        const Placement placement = job.live.at(task);
        Machine& machine = cluster.find_or_add(placement.machine, 0);
        WorkerHeartbeat heartbeat;
        heartbeat.machine = machine.name;
        heartbeat.zone = placement.zone;
        heartbeat.sequence = machine.sequence + 1;
        heartbeat.tasks = {{{job.spec.id, task}, placement.attempt, TaskPhase::kExited, cause, false}};
        jobs.apply_heartbeat(cluster, machine, heartbeat, Absence::kUnproven, 0);
    }
    static size_t packed_json_bytes(const Job& job, uint64_t record_format) {
        return json_text(job.to_record().pack(record_format)).size();
    }
};

}  // namespace

// The job's specification leaves exactly the room that a submission must leave. Its tasks run on a machine
// with a short name and all exit, half of them as done. The record must then still have room for a machine
// with a long name in another zone, or the job could not continue if only such a machine is free.
TEST_F(RecordRoom, KeepsRoomForPlacementOnAnyMachine) {
    const Machine short_name = machine("m-1");
    const Machine long_name = machine(std::string(110, 'x') + "-000001", "another-zone");
    Job& job = jobs.load(array_record("job-1", 600), 5, 0, {0});
    config.next_value_bytes = job.record_bytes(kNewestRecordFormat) + constants::kRecordReserveBytes;
    for (int round = 0; round < 4; ++round) {
        ASSERT_TRUE(has_room(job, long_name))
            << "round " << round << ", record of " << job.record_bytes(kNewestRecordFormat);
        bind_while_room(job, short_name, 600);
        ASSERT_FALSE(job.live.empty());
        std::vector<uint32_t> live;
        for (const auto& [task, placement] : job.live) live.push_back(task);
        // Every second task is done, which gives the largest number of done ranges.
        for (size_t i = 0; i < live.size(); ++i)
            exit_task(job, live[i], i % 2 ? ExitCause::kDone : ExitCause::kStopped);
        ASSERT_TRUE(job.live.empty());
    }
    EXPECT_TRUE(has_room(job, long_name));
}

// Tasks started while format 1 is written must fit format 2 under its own limit too, since both may be in
// force when the record is written next.
TEST_F(RecordRoom, MustFitBothFormatsWhileFormat1IsWritten) {
    config.next_value_bytes = 2048;
    Job& job = jobs.load(array_record("job-1", 1000), 5, 0, {0});
    const Machine target = machine("vm-000001");
    bind_while_room(job, target, 1000, 1);
    EXPECT_GT(job.live.size(), 100U);
    EXPECT_LT(job.live.size(), 1000U);
    EXPECT_LE(packed_json_bytes(job, 2), config.next_value_bytes);
    EXPECT_LT(packed_json_bytes(job, 1), config.value_bytes) << "the present limit allows more";
    // With the limits the other way round, format 1 is the tighter one.
    Job& other_job = jobs.load(array_record("job-2", 1000), 5, 0, {0});
    config.next_value_bytes = 32 * 1024;
    config.value_bytes = 4096;
    bind_while_room(other_job, target, 1000, 1);
    EXPECT_GT(other_job.live.size(), 50U);
    EXPECT_LE(packed_json_bytes(other_job, 1), config.value_bytes);
}

// A submission whose specification would not fit format 2 under its limit is rejected even while format 1 is
// written.
TEST(RecordRoomUsers, RejectsSubmissionThatFitsOnlyPresentLimit) {
    Deployment deployment(2);
    deployment.configs[0].next_value_bytes = 2048;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto with_types = [](int count) {
        return job_body("job-1", [count](auto& fields) {
            MsgpackWriter packer;
            packer.list(static_cast<size_t>(count)).text("g2");
            for (int i = 1; i < count; ++i) packer.text(std::string(98, 'x') + std::to_string(10 + i));
            fields["flavors"] = packer.take();
        });
    };
    ASSERT_EQ(deployment.store.rows.count("form"), 0U) << "the other controller may run an earlier version";
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", with_types(20)).status, 400);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", with_types(8)).status, 201);
}
