// The program's check of settings files: its status and its one line of output.
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

TEST(CheckProgram, LaterLimitsThatAreGivenInPartAreTaken) {
    for (const char* next :
         {"", "next = {}", "next = {value_kb = 2}", "next = {txn_ops = 4}", "next = {write_rps = 9.5}",
          "next = {value_kb = 2.0, write_rps = 9}", "[facts.state.next]\ntxn_ops = 4\nanother = \"field\""}) {
        Checked checked = check(next);
        EXPECT_EQ(checked.status, 0) << next << ": " << checked.output;
    }
}

// One line that names the field, and a status that says so.
TEST(CheckProgram, LaterLimitsThatAreInvalidEndTheProgram) {
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
