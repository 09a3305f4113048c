// The workers' protocol: reports, the answers to them, and direct commands.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "jobs/record.h"

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

struct ReportedTask {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    bool saved = false;
};

// What a report says of the machine itself.
struct ReportHead {
    std::string machine, addr, machine_type, zone;
    bool spot = false;
    uint64_t session = 0, seq = 0, epoch = 0;
    std::optional<Seconds> notice_s;

    bool newer_than(uint64_t other_session, uint64_t other_seq) const {
        return session > other_session || (session == other_session && seq > other_seq);
    }
};

struct Report : ReportHead {
    std::vector<ReportedTask> tasks;

    const ReportHead& head() const { return *this; }
    // Nothing if the report is malformed.
    static std::optional<Report> parse(std::string_view body);
};

enum class CommandKind : uint8_t { kLaunch, kStop, kForget };

struct Command {
    CommandKind verb = CommandKind::kLaunch;
    TaskName name;
    uint64_t attempt = 0;
    Seconds grace_s = 0;  // with kHalt
};

std::string pack_report_answer(uint64_t epoch, const std::vector<Command>& commands);
std::string pack_redirect(const std::string& node);  // empty: no hint

// Sends commands to a worker; the answer is its report after them, if they were executed.
Task<std::optional<Report>> send_commands(Loop& loop, Address to, uint64_t epoch, uint64_t session,
                                          std::vector<Command> commands);

}  // namespace hareshore
