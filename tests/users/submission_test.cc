// Submissions: which are refused and with which status, and when an accepted job is recognized.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

const char* const kRequiredFields[] = {"ref",   "jobclass",  "owner",     "shape",      "rank",    "pieces",
                                       "vcpus", "cards",     "memory_gb", "bundle",     "size_gb", "one_zone",
                                       "apart", "driftwood", "expect_s",  "snapshot_s", "flush_s"};
const char* const kOptionalFields[] = {"flavors", "cove", "due_s"};

void set_shape(JobFields& fields, const char* name) {
    fields["shape"] = packed_text(name);
}

}  // namespace

// For every kind of job, required fields must not be missing, null or of another type; optional fields may be
// null but must not be of another type.
TEST(Submissions, RequiredFieldsMustBePresentAndValid) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    auto submit = [&](const std::string& id, const JobFieldsChange& change) {
        return deployment.call(0, "POST", "/v2/runs", job_body(id, change)).status;
    };
    int accepted = 0;
    for (const char* name : {"sweep", "ensemble", "standing"}) {
        for (const char* field : kRequiredFields) {
            auto submit_with = [&](std::string value) {
                return submit("job-1", [&](auto& fields) {
                    set_shape(fields, name);
                    fields[field] = std::move(value);
                });
            };
            EXPECT_EQ(submit("job-1",
                             [&](auto& fields) {
                                 set_shape(fields, name);
                                 fields.erase(field);
                             }),
                      400)
                << name << ' ' << field;
            EXPECT_EQ(submit_with(packed_null()), 400) << name << ' ' << field;
            EXPECT_EQ(submit_with(MsgpackWriter().list(0).take()), 400) << name << ' ' << field;
        }
        for (const char* field : kOptionalFields) {
            EXPECT_EQ(submit("job-1",
                             [&](auto& fields) {
                                 set_shape(fields, name);
                                 fields[field] = packed_flag(true);
                             }),
                      400)
                << name << ' ' << field;
            EXPECT_EQ(submit("job-" + std::to_string(100 + accepted++),
                             [&](auto& fields) {
                                 set_shape(fields, name);
                                 fields[field] = packed_null();
                             }),
                      201)
                << name << ' ' << field;
        }
    }
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
}

// A task is too large for every machine type that its job allows.
TEST(Submissions, TaskThatFitsNoMachineTypeIsRefused) {
    Deployment deployment;
    MachineType large = small_machine_type();
    large.name = "g8";
    large.gpus = 8;
    large.cpus = 64;
    deployment.cloud.machine_types = {small_machine_type(), large};
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto submit = [&](const std::string& id, const char* field, double amount,
                      const char* machine_type = nullptr) {
        return deployment
            .call(0, "POST", "/v2/runs",
                  job_body(id,
                           [&](auto& fields) {
                               fields[field] = packed_number(amount);
                               if (machine_type)
                                   fields["flavors"] = MsgpackWriter().list(1).text(machine_type).take();
                           }))
            .status;
    };
    EXPECT_EQ(submit("job-1", "vcpus", 65), 422);
    EXPECT_EQ(submit("job-1", "cards", 9), 422);
    EXPECT_EQ(submit("job-1", "memory_gb", 65), 422);
    EXPECT_EQ(submit("job-1", "cards", 3, "g2"), 422) << "only the larger type has 3 GPUs";
    EXPECT_EQ(submit("job-1", "cards", 1, "g99"), 422) << "no such type";
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit("job-2", "cards", 3, "g8"), 201);
    EXPECT_EQ(submit("job-3", "cards", 3), 201);
    EXPECT_EQ(submit("job-2", "cards", 3, "g2"), 200) << "already accepted";
    // While the machine types are unknown, a job is not refused because of them, but a malformed one is.
    deployment.kill(0);
    deployment.store.rows.erase("flavors");
    deployment.cloud.down = true;
    deployment.start(0);
    deployment.run(3);
    EXPECT_EQ(submit("job-4", "cards", 9), 503);
    EXPECT_EQ(submit("job-4", "cards", -1), 400);
    EXPECT_EQ(submit("job-2", "cards", 9), 200);
    deployment.cloud.down = false;
    int status = 0;
    // The fake clock does not advance during requests, so it has to advance between them.
    for (Seconds end = deployment.loop.now() + 10; status != 422 && deployment.loop.now() < end;
         deployment.run(0.5))
        status = submit("job-4", "cards", 9);
    EXPECT_EQ(status, 422);
}

TEST(Submissions, InvalidRequestsAreRefusedWithTheirStatus) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    auto submit = [&](const JobFieldsChange& change) {
        return deployment.call(0, "POST", "/v2/runs", job_body("job-1", change)).status;
    };
    auto packed = [](auto fields) {
        MsgpackWriter packer;
        fields(packer);
        return packer.take();
    };
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", "\xc1").status, 400);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", "\x93\x01\x02\x03").status, 400);
    for (const char* field :
         {"ref", "owner", "pieces", "vcpus", "bundle", "one_zone", "snapshot_s", "rank"}) {
        EXPECT_EQ(submit([&](auto& fields) { fields.erase(field); }), 400) << field;
        EXPECT_EQ(submit([&](auto& fields) {
                      fields[field] = packed([](MsgpackWriter& packer) { packer.list(0); });
                  }),
                  400)
            << field;
    }
    for (double bad : {-1.0, static_cast<double>(INFINITY), static_cast<double>(NAN)})
        for (const char* field : {"pieces", "vcpus", "memory_gb", "size_gb", "expect_s", "due_s"})
            EXPECT_EQ(submit([&](auto& fields) {
                          fields[field] = packed([&](MsgpackWriter& packer) { packer.number(bad); });
                      }),
                      400)
                << field << bad;
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["pieces"] = packed([](MsgpackWriter& packer) { packer.count(100'001); });
              }),
              400);
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["owner"] = packed([](MsgpackWriter& packer) { packer.text("nobody"); });
              }),
              422);
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["cards"] = packed([](MsgpackWriter& packer) { packer.number(3); });
              }),
              422);
    EXPECT_EQ(submit([&](auto& fields) {
                  fields["shape"] = packed([](MsgpackWriter& packer) { packer.text("ensemble"); });
                  fields["pieces"] = packed([](MsgpackWriter& packer) { packer.count(9); });
              }),
              422);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs").status, 405);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-1").status, 405);
    EXPECT_EQ(deployment.call(0, "GET", "/nothing").status, 404);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404)
        << "no invalid submission was accepted";
    EXPECT_EQ(deployment.call(0, "POST", "/hello", "\x81").status, 400);
    EXPECT_EQ(submit({}), 201) << "a valid submission is still accepted";
}

// Repeated submissions of an accepted job get status 200 even if limits or machine types have changed since;
// new jobs get 503 until the machine types are known.
TEST(Submissions, AcceptedJobIsRecognizedAfterLimitsChange) {
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
        << "the limit of its team is lower now";
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-2")).status, 422);
}
