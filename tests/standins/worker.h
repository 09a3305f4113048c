// A stand-in for a worker: it reports, and carries out the commands in the answers. Its tasks run until a
// test changes their phase.
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
    bool loses_responses = false;    // its reports arrive, the answers to them do not

    // The body of its next report.
    std::string next_heartbeat();
    // Sends a report to a controller and carries out what that answers; the status.
    Task<int> send_heartbeat(Loop& loop, Address node);
    // Carries out the commands of an answer or of a direct command, unless they are of an earlier epoch.
    void execute_commands(const std::string& body);
    // The task "JOB/NUMBER"; null if it is not here.
    TaskStatus* find(const std::string& task);
    // Tasks that have not exited.
    [[nodiscard]] size_t live_tasks() const;
};

void exit_task(TaskStatus& task, ExitCause cause);

}  // namespace hareshore::test
