// The workers' protocol: reports, the answers to them, and direct commands.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"
#include "model/task_name.h"

namespace hareshore {

enum class TaskPhase : uint8_t { kFetching, kWaiting, kRunning, kSaving, kExited };
enum class ExitCause : uint8_t {
    kNone,
    kDone,
    kStopped,
    kPeersGone,
    kIncomplete,
    kError,
    kNoRoom,
    kBusy,
    kUnknownJob,
};

// Their names in logs and on operator pages.
std::string_view task_phase_name(TaskPhase phase);
std::string_view exit_cause_name(ExitCause cause);

struct TaskStatus {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    bool saved = false;
};

// What a report says of the machine itself.
struct HeartbeatHeader {
    std::string machine, addr, machine_type, zone;
    bool spot = false;
    uint64_t incarnation = 0, sequence = 0, fencing_token = 0;
    std::optional<Seconds> notice_s;

    bool newer_than(uint64_t other_incarnation, uint64_t other_sequence) const {
        return incarnation > other_incarnation ||
               (incarnation == other_incarnation && sequence > other_sequence);
    }
};

struct WorkerHeartbeat : HeartbeatHeader {
    std::vector<TaskStatus> tasks;

    const HeartbeatHeader& head() const { return *this; }
    // Nothing if the report is malformed.
    static std::optional<WorkerHeartbeat> parse(std::string_view body);
};

enum class CommandKind : uint8_t { kLaunch, kStop, kForget };

// Its name in logs.
std::string_view command_name(CommandKind kind);

struct Command {
    CommandKind verb = CommandKind::kLaunch;
    TaskName name;
    uint64_t attempt = 0;
    Seconds grace_s = 0;  // with kHalt
};

std::string pack_report_answer(uint64_t fencing_token, const std::vector<Command>& commands);
std::string pack_redirect(const std::string& node);  // empty: no hint

// Sends commands to a worker; the answer is its report after them, if they were executed.
Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address to, uint64_t fencing_token,
                                                   uint64_t incarnation, std::vector<Command> commands);

}  // namespace hareshore
