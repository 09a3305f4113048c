// Input that is refused: settings, by the program itself, and submissions.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "standins/deployment.h"
#include "standins/settings_text.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Checked {
    int status = -1;
    std::string output;  // both streams
};

// What `hareshore --check` says of settings with these later limits in [facts.state].
Checked check(const std::string& next) {
    std::string path = testing::TempDir() + "/settings-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << settings_with_store_limits(next);
    Checked out;
    std::string command = std::string(HARESHORE_PROGRAM) + " --check --config '" + path + "' 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    char chunk[512];
    while (pipe && std::fgets(chunk, sizeof chunk, pipe)) out.output += chunk;
    int ended = pipe ? pclose(pipe) : -1;
    if (ended >= 0 && WIFEXITED(ended)) out.status = WEXITSTATUS(ended);
    std::remove(path.c_str());
    return out;
}

}  // namespace

TEST(BadInput, LaterLimitsThatAreGivenInPartAreTaken) {
    for (const char* next :
         {"", "next = {}", "next = {value_kb = 2}", "next = {txn_ops = 4}", "next = {write_rps = 9.5}",
          "next = {value_kb = 2.0, write_rps = 9}", "[facts.state.next]\ntxn_ops = 4\nanother = \"field\""}) {
        Checked checked = check(next);
        EXPECT_EQ(checked.status, 0) << next << ": " << checked.output;
    }
}

// One line that names the field, and a status that says so.
TEST(BadInput, LaterLimitsThatAreInvalidEndTheProgram) {
    for (const char* field : {"value_kb", "txn_ops", "write_rps"})
        for (const char* bad : {"0", "0.0", "-1", "\"4\"", "true", "[4]", "{}", "nan", "inf", "2026-01-01"}) {
            Checked checked = check(std::string("next = {") + field + " = " + bad + "}");
            EXPECT_GT(checked.status, 0) << field << ' ' << bad;
            EXPECT_NE(checked.output.find(std::string("facts.state.next.") + field), std::string::npos)
                << checked.output;
            EXPECT_EQ(std::count(checked.output.begin(), checked.output.end(), '\n'), 1) << checked.output;
        }
    for (const char* bad : {"3", "0", "\"later\"", "true", "[]", "[[]]"}) {
        Checked checked = check(std::string("next = ") + bad);
        EXPECT_GT(checked.status, 0) << bad;
        EXPECT_NE(checked.output.find("facts.state.next"), std::string::npos) << checked.output;
        EXPECT_EQ(std::count(checked.output.begin(), checked.output.end(), '\n'), 1) << checked.output;
    }
}

namespace {

using FieldChange = JobFieldsChange;

const char* const kNeeded[] = {"ref",   "jobclass",  "owner",     "shape",      "rank",    "pieces",
                               "vcpus", "cards",     "memory_gb", "bundle",     "size_gb", "one_zone",
                               "apart", "driftwood", "expect_s",  "snapshot_s", "flush_s"};
const char* const kOptional[] = {"flavors", "cove", "due_s"};

void shape(JobFields& fields, const char* name) {
    fields["shape"] = packed_text(name);
}

}  // namespace

// Whatever its shape: no field that is needed may be missing, null or of another type; those that may be null
// may be missing.
TEST(BadInput, SubmissionsNeedAllTheirFields) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    auto submit = [&](const std::string& id, const FieldChange& change) {
        return deployment.call(0, "POST", "/v2/runs", job_body(id, change)).status;
    };
    int accepted = 0;
    for (const char* name : {"sweep", "ensemble", "standing"}) {
        for (const char* field : kNeeded) {
            auto with = [&](std::string value) {
                return submit("job-1", [&](auto& fields) {
                    shape(fields, name);
                    fields[field] = std::move(value);
                });
            };
            EXPECT_EQ(submit("job-1",
                             [&](auto& fields) {
                                 shape(fields, name);
                                 fields.erase(field);
                             }),
                      400)
                << name << ' ' << field;
            EXPECT_EQ(with(packed_null()), 400) << name << ' ' << field;
            EXPECT_EQ(with(Packer().list(0).take()), 400) << name << ' ' << field;
        }
        for (const char* field : kOptional) {
            EXPECT_EQ(submit("job-1",
                             [&](auto& fields) {
                                 shape(fields, name);
                                 fields[field] = packed_flag(true);
                             }),
                      400)
                << name << ' ' << field;
            EXPECT_EQ(submit("job-" + std::to_string(100 + accepted++),
                             [&](auto& fields) {
                                 shape(fields, name);
                                 fields[field] = packed_null();
                             }),
                      201)
                << name << ' ' << field;
        }
    }
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
}

// One task that is too large for each machine that its job allows.
TEST(BadInput, SubmissionsThatFitNoMachineAreRefusedForGood) {
    Deployment deployment;
    MachineType large = small_machine_type();
    large.name = "g8";
    large.gpus = 8;
    large.cpus = 64;
    deployment.cloud.machine_types = {small_machine_type(), large};
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto submit = [&](const std::string& id, const char* field, double amount,
                      const char* machine_type = nullptr) {
        return deployment
            .call(0, "POST", "/v2/runs",
                  job_body(id,
                           [&](auto& fields) {
                               fields[field] = packed_number(amount);
                               if (machine_type)
                                   fields["flavors"] = Packer().list(1).text(machine_type).take();
                           }))
            .status;
    };
    EXPECT_EQ(submit("job-1", "vcpus", 65), 422);
    EXPECT_EQ(submit("job-1", "cards", 9), 422);
    EXPECT_EQ(submit("job-1", "memory_gb", 65), 422);
    EXPECT_EQ(submit("job-1", "cards", 3, "g2"), 422) << "only the larger type has as many";
    EXPECT_EQ(submit("job-1", "cards", 1, "g99"), 422) << "no such type";
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit("job-2", "cards", 3, "g8"), 201);
    EXPECT_EQ(submit("job-3", "cards", 3), 201);
    EXPECT_EQ(submit("job-2", "cards", 3, "g2"), 200) << "known already";
    // Types that are not known yet decide nothing; what is malformed stays so.
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
    // The fake clock stands still while requests are under way, so that time has to pass between them.
    for (Seconds end = deployment.loop.now() + 10; status != 422 && deployment.loop.now() < end;
         deployment.run(0.5))
        status = submit("job-4", "cards", 9);
    EXPECT_EQ(status, 422);
}
