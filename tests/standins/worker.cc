#include "standins/worker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "http/client.h"
#include "http/msgpack.h"

namespace hareshore::test {

namespace {

constexpr Seconds kHeartbeatTimeout_s = 4;

// Wire names, in the order of TaskPhase and of ExitCause.
constexpr std::array kPhases{"pulling", "gathering", "running", "saving", "exited"};
constexpr std::array kCauses{"",      "done",    "stopped", "mates_gone", "incomplete",
                             "error", "no_room", "busy",    "unknown"};

}  // namespace

std::string FakeWorker::next_heartbeat() {
    MsgpackWriter packer;
    packer.map(10).key("host").text(name).key("addr").text(addr);
    packer.key("flavor").text(machine_type).key("cove").text(zone).key("driftwood").flag(spot);
    packer.key("tenure").count(incarnation).key("tick").count(++sequence).key("epoch").count(fencing_token);
    packer.key("warning_s");
    if (notice_s) {
        packer.number(*notice_s);
    } else {
        packer.null();
    }
    packer.key("pieces").list(tasks.size());
    for (const auto& task : tasks) {
        packer.map(4).key("piece").text(task.name.text()).key("try").count(task.attempt);
        packer.key("phase").text(kPhases.at(static_cast<size_t>(task.phase)));
        packer.key("cause").text(kCauses.at(static_cast<size_t>(task.cause)));
    }
    return packer.take();
}

void FakeWorker::execute_commands(const std::string& body) {
    auto message = MsgpackDocument::parse(body);
    ASSERT_TRUE(message);
    uint64_t command_fencing_token = message->root()["epoch"].count_or(0);
    if (command_fencing_token < fencing_token) return;  // from a former leader
    fencing_token = command_fencing_token;
    MsgpackValue commands = message->root()["orders"];
    for (size_t i = 0; i < commands.size(); ++i) {
        std::string verb = *commands.at(i)["verb"].text();
        auto task_name = *TaskName::parse(*commands.at(i)["piece"].text());
        uint64_t attempt = *commands.at(i)["try"].count();
        auto task = std::find_if(tasks.begin(), tasks.end(), [&](const TaskStatus& status) {
            return status.name == task_name && status.attempt == attempt;
        });
        bool present = task != tasks.end();
        if (verb == "launch" && !present)
            tasks.push_back({task_name, attempt, TaskPhase::kRunning, ExitCause::kNone, false});
        if (verb == "halt" && present) exit_task(*task, ExitCause::kStopped);
        if (verb == "forget" && present && task->phase == TaskPhase::kExited) tasks.erase(task);
    }
}

Task<int> FakeWorker::send_heartbeat(Loop& loop, Address node) {
    HttpClient http(loop, node, 1);
    CallResult response = co_await http.call("POST", "/hello", next_heartbeat(), kHeartbeatTimeout_s);
    if (response.status == 200 && !loses_responses) execute_commands(response.body);
    co_return response.status;
}

TaskStatus* FakeWorker::find(const std::string& task) {
    for (auto& status : tasks)
        if (status.name.text() == task) return &status;
    return nullptr;
}

size_t FakeWorker::live_tasks() const {
    return static_cast<size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const TaskStatus& task) { return task.phase != TaskPhase::kExited; }));
}

void exit_task(TaskStatus& task, ExitCause cause) {
    task.phase = TaskPhase::kExited;
    task.cause = cause;
}

}  // namespace hareshore::test
