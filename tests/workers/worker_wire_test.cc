// The workers' wire format: decodes valid and malformed heartbeats, and checks the bytes of responses and
// commands.
#include "workers/worker_wire.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "base/constants.h"
#include "http/msgpack.h"
#include "workers/command.h"

namespace hareshore {
namespace {

std::string packed_text(const std::string& text) {
    MsgpackWriter packer;
    return packer.text(text).take();
}

std::string packed_count(uint64_t count) {
    MsgpackWriter packer;
    return packer.count(count).take();
}

// The packed values of a message's fields, by field name.
using Fields = std::map<std::string, std::string>;

std::string pack_fields(const Fields& fields) {
    MsgpackWriter packer;
    packer.map(fields.size());
    for (const auto& [name, value] : fields) packer.key(name).raw(value);
    return packer.take();
}

std::string pack_list(const std::vector<Fields>& items) {
    MsgpackWriter packer;
    packer.list(items.size());
    for (const auto& item : items) packer.raw(pack_fields(item));
    return packer.take();
}

Fields header_fields() {
    return {{"host", packed_text("vm-000231")},
            {"tenure", packed_count(2)},
            {"tick", packed_count(88)},
            {"epoch", packed_count(41)}};
}

Fields task_fields(const std::string& phase) {
    return {{"piece", packed_text("job-000412/3")}, {"try", packed_count(2)}, {"phase", packed_text(phase)}};
}

// A heartbeat with one task.
std::string heartbeat_with(const Fields& task) {
    Fields fields = header_fields();
    fields["pieces"] = pack_list({task});
    return pack_fields(fields);
}

TEST(WorkerWire, DecodesHeartbeatHeader) {
    Fields fields = header_fields();
    fields["addr"] = packed_text("10.1.0.232:9000");
    fields["flavor"] = packed_text("g8");
    fields["cove"] = packed_text("a");
    fields["driftwood"] = MsgpackWriter().flag(true).take();
    fields["warning_s"] = MsgpackWriter().number(20.5).take();
    auto heartbeat = decode_heartbeat(pack_fields(fields));
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->machine, "vm-000231");
    EXPECT_EQ(heartbeat->incarnation, 2U);
    EXPECT_EQ(heartbeat->sequence, 88U);
    EXPECT_EQ(heartbeat->fencing_token, 41U);
    EXPECT_EQ(heartbeat->addr, "10.1.0.232:9000");
    EXPECT_EQ(heartbeat->machine_type, "g8");
    EXPECT_EQ(heartbeat->zone, "a");
    EXPECT_TRUE(heartbeat->spot);
    EXPECT_EQ(heartbeat->notice_s, std::optional<Seconds>(20.5));
    EXPECT_TRUE(heartbeat->tasks.empty());
}

TEST(WorkerWire, OptionalHeartbeatFields) {
    Fields fields = header_fields();
    fields["warning_s"] = MsgpackWriter().null().take();
    fields["pieces"] = MsgpackWriter().null().take();
    auto heartbeat = decode_heartbeat(pack_fields(fields));
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->addr, "");
    EXPECT_FALSE(heartbeat->spot);
    EXPECT_EQ(heartbeat->notice_s, std::nullopt);
    EXPECT_TRUE(heartbeat->tasks.empty());
    EXPECT_TRUE(decode_heartbeat(pack_fields(header_fields())));
}

TEST(WorkerWire, DecodesTaskPhases) {
    const std::map<std::string, TaskPhase> phases = {{"pulling", TaskPhase::kFetching},
                                                     {"gathering", TaskPhase::kWaiting},
                                                     {"running", TaskPhase::kRunning},
                                                     {"saving", TaskPhase::kSaving},
                                                     {"exited", TaskPhase::kExited}};
    for (const auto& [text, phase] : phases) {
        auto heartbeat = decode_heartbeat(heartbeat_with(task_fields(text)));
        ASSERT_TRUE(heartbeat) << text;
        ASSERT_EQ(heartbeat->tasks.size(), 1U);
        EXPECT_EQ(heartbeat->tasks[0].name.text(), "job-000412/3");
        EXPECT_EQ(heartbeat->tasks[0].attempt, 2U);
        EXPECT_EQ(heartbeat->tasks[0].phase, phase) << text;
        EXPECT_FALSE(heartbeat->tasks[0].checkpoint_saved);
    }
    EXPECT_FALSE(decode_heartbeat(heartbeat_with(task_fields("sleeping"))));
}

TEST(WorkerWire, DecodesExitCauses) {
    const std::map<std::string, ExitCause> causes = {{"done", ExitCause::kDone},
                                                     {"stopped", ExitCause::kStopped},
                                                     {"mates_gone", ExitCause::kPeersGone},
                                                     {"incomplete", ExitCause::kIncomplete},
                                                     {"error", ExitCause::kError},
                                                     {"no_room", ExitCause::kNoRoom},
                                                     {"busy", ExitCause::kBusy},
                                                     {"unknown", ExitCause::kUnknownJob},
                                                     {"of a later version", ExitCause::kError}};
    for (const auto& [text, cause] : causes) {
        Fields task = task_fields("exited");
        task["cause"] = packed_text(text);
        task["kept"] = MsgpackWriter().flag(true).take();
        auto heartbeat = decode_heartbeat(heartbeat_with(task));
        ASSERT_TRUE(heartbeat) << text;
        EXPECT_EQ(heartbeat->tasks.at(0).cause, cause) << text;
        EXPECT_TRUE(heartbeat->tasks.at(0).checkpoint_saved);
    }
}

TEST(WorkerWire, UnfinishedTaskHasNoExitCause) {
    Fields task = task_fields("running");
    task["cause"] = packed_text("done");
    auto heartbeat = decode_heartbeat(heartbeat_with(task));
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->tasks.at(0).cause, ExitCause::kNone);
}

TEST(WorkerWire, RejectsIncompleteHeader) {
    for (const auto& [name, value] : header_fields()) {
        Fields fields = header_fields();
        fields.erase(name);
        EXPECT_FALSE(decode_heartbeat(pack_fields(fields))) << "without " << name;
        fields[name] = MsgpackWriter().flag(true).take();
        EXPECT_FALSE(decode_heartbeat(pack_fields(fields))) << name << " of another type";
    }
}

TEST(WorkerWire, ValidatesMachineName) {
    auto accepted = [](const std::string& name) {
        Fields fields = header_fields();
        fields["host"] = packed_text(name);
        return decode_heartbeat(pack_fields(fields)).has_value();
    };
    EXPECT_TRUE(accepted(std::string(128, 'm')));
    EXPECT_FALSE(accepted(std::string(129, 'm')));
    EXPECT_FALSE(accepted(""));
    EXPECT_FALSE(accepted("vm 1"));
}

TEST(WorkerWire, RejectsMalformedTask) {
    for (const auto& [name, value] : task_fields("running")) {
        Fields task = task_fields("running");
        task.erase(name);
        EXPECT_FALSE(decode_heartbeat(heartbeat_with(task))) << "without " << name;
    }
    for (const char* piece : {"", "job-1", "/3", "job-1/", "job-1/x", "job-1/-1"}) {
        Fields task = task_fields("running");
        task["piece"] = packed_text(piece);
        EXPECT_FALSE(decode_heartbeat(heartbeat_with(task))) << piece;
    }
    Fields fields = header_fields();
    fields["pieces"] = packed_text("none");
    EXPECT_FALSE(decode_heartbeat(pack_fields(fields)));
}

// Guards against healthy machines that are deleted because their heartbeats are refused: a heartbeat may list
// as many tasks as a body holds.
TEST(WorkerWire, AcceptsAsManyTasksAsABodyHolds) {
    Fields fields = header_fields();
    std::vector<Fields> tasks;
    auto packed = [&] {
        fields["pieces"] = pack_list(tasks);
        return pack_fields(fields);
    };
    const size_t task_bytes = pack_fields(task_fields("running")).size();
    while (packed().size() + task_bytes <= constants::kBodyLimit) tasks.push_back(task_fields("running"));
    ASSERT_GT(tasks.size(), 1000U);
    auto heartbeat = decode_heartbeat(packed());
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->tasks.size(), tasks.size());
    tasks.back().erase("phase");
    EXPECT_FALSE(decode_heartbeat(packed())) << "the last task is malformed";
}

TEST(WorkerWire, RejectsMalformedBytes) {
    std::string whole = pack_fields(header_fields());
    for (size_t size = 0; size < whole.size(); ++size)
        EXPECT_FALSE(decode_heartbeat(whole.substr(0, size))) << size;
    EXPECT_FALSE(decode_heartbeat(whole + "x"));
    EXPECT_FALSE(decode_heartbeat(packed_text("heartbeat")));
}

TEST(WorkerWire, OrdersHeartbeatsByIncarnationAndSequence) {
    HeartbeatHeader header;
    header.incarnation = 2;
    header.sequence = 88;
    EXPECT_TRUE(header.newer_than(2, 87));
    EXPECT_FALSE(header.newer_than(2, 88));
    EXPECT_TRUE(header.newer_than(1, 99));
    EXPECT_FALSE(header.newer_than(3, 1));
}

// The encoded form of one_command_of_each_kind().
void pack_expected_commands(MsgpackWriter& packer) {
    packer.key("orders").list(3);
    packer.map(3).key("verb").text("launch").key("piece").text("job-1/4").key("try").count(2);
    packer.map(4).key("verb").text("halt").key("piece").text("job-2/1").key("try").count(1);
    packer.key("linger_s").number(10);
    packer.map(3).key("verb").text("forget").key("piece").text("job-3/0").key("try").count(3);
}

const std::vector<Command>& one_command_of_each_kind() {
    static const std::vector<Command> commands = {{CommandKind::kLaunch, {"job-1", 4}, 2, 0},
                                                  {CommandKind::kStop, {"job-2", 1}, 1, 10},
                                                  {CommandKind::kForget, {"job-3", 0}, 3, 0}};
    return commands;
}

TEST(WorkerWire, HeartbeatResponseContainsTokenAndCommands) {
    MsgpackWriter expected;
    expected.map(2).key("epoch").count(41);
    pack_expected_commands(expected);
    EXPECT_EQ(encode_heartbeat_response(41, one_command_of_each_kind()), expected.take());

    MsgpackWriter empty;
    empty.map(2).key("epoch").count(41).key("orders").list(0);
    EXPECT_EQ(encode_heartbeat_response(41, {}), empty.take());
}

TEST(WorkerWire, DirectCommandsContainIncarnation) {
    EXPECT_EQ(commands_path(), "/orders");
    MsgpackWriter expected;
    expected.map(3).key("epoch").count(41).key("tenure").count(2);
    pack_expected_commands(expected);
    EXPECT_EQ(encode_commands(41, 2, one_command_of_each_kind()), expected.take());
}

TEST(WorkerWire, EncodesRedirectWithAndWithoutLeader) {
    EXPECT_EQ(encode_redirect("node-2"), MsgpackWriter().map(1).key("harbor").text("node-2").take());
    EXPECT_EQ(encode_redirect(std::nullopt), MsgpackWriter().map(0).take());
}

}  // namespace
}  // namespace hareshore
