// The program's --check of settings files: exit status and error output.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "standins/settings_text.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct CheckResult {
    int status = -1;     // exit status
    std::string output;  // stdout and stderr
};

// Runs `hareshore --check` on settings with the given announced limits in [facts.state].
CheckResult check(const std::string& next) {
    std::string path = testing::TempDir() + "/settings-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << settings_with_store_limits(next);
    CheckResult result;
    std::string command = std::string(HARESHORE_PROGRAM) + " --check --config '" + path + "' 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    char chunk[512];
    while (pipe && std::fgets(chunk, sizeof chunk, pipe)) result.output += chunk;
    int wait_status = pipe ? pclose(pipe) : -1;
    if (wait_status >= 0 && WIFEXITED(wait_status)) result.status = WEXITSTATUS(wait_status);
    std::remove(path.c_str());
    return result;
}

}  // namespace

TEST(CheckProgram, AcceptsPartiallyAnnouncedLimits) {
    for (const char* next :
         {"", "next = {}", "next = {value_kb = 2}", "next = {txn_ops = 4}", "next = {write_rps = 9.5}",
          "next = {value_kb = 2.0, write_rps = 9}", "[facts.state.next]\ntxn_ops = 4\nanother = \"field\""}) {
        CheckResult result = check(next);
        EXPECT_EQ(result.status, 0) << next << ": " << result.output;
    }
}

// The program must exit with an error status and print one line that names the field.
TEST(CheckProgram, RejectsInvalidAnnouncedLimits) {
    for (const char* field : {"value_kb", "txn_ops", "write_rps"})
        for (const char* invalid :
             {"0", "0.0", "-1", "\"4\"", "true", "[4]", "{}", "nan", "inf", "2026-01-01"}) {
            CheckResult result = check(std::string("next = {") + field + " = " + invalid + "}");
            EXPECT_GT(result.status, 0) << field << ' ' << invalid;
            EXPECT_NE(result.output.find(std::string("facts.state.next.") + field), std::string::npos)
                << result.output;
            EXPECT_EQ(std::count(result.output.begin(), result.output.end(), '\n'), 1) << result.output;
        }
    for (const char* invalid : {"3", "0", "\"later\"", "true", "[]", "[[]]"}) {
        CheckResult result = check(std::string("next = ") + invalid);
        EXPECT_GT(result.status, 0) << invalid;
        EXPECT_NE(result.output.find("facts.state.next"), std::string::npos) << result.output;
        EXPECT_EQ(std::count(result.output.begin(), result.output.end(), '\n'), 1) << result.output;
    }
}
