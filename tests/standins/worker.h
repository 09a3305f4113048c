// A stand-in for a worker, which sends heartbeats and executes the commands in the responses. Its tasks run
// until a test changes their phase.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"
#include "workers/worker_heartbeat.h"

namespace hareshore::test {

struct FakeWorker {
    std::string name = "vm-000001", addr = "127.0.0.1:9", machine_type = "g2", zone = "a";
    bool spot = false;
    uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::vector<TaskStatus> tasks;
    std::optional<double> notice_s;  // spot notice
    bool loses_responses = false;    // heartbeats arrive, but their responses are lost

    // Returns the body of the next heartbeat.
    std::string next_heartbeat();
    // Sends a heartbeat to a controller and executes the commands in the response. Returns its status.
    Task<int> send_heartbeat(Loop& loop, Address node);
    // Executes the commands in a response or in a direct request, unless their fencing token is out of date.
    void execute_commands(const std::string& body);
    // Returns the task named "JOB/NUMBER", or null if the worker does not have it.
    TaskStatus* find(const std::string& task);
    // Returns the number of tasks that have not exited.
    [[nodiscard]] size_t live_tasks() const;
};

void exit_task(TaskStatus& task, ExitCause cause);

}  // namespace hareshore::test
