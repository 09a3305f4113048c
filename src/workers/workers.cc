#include "workers/workers.h"

#include "base/constants.h"

namespace hareshore {

namespace {

std::optional<TaskPhase> parse_phase(const std::string& s) {
    if (s == "pulling") return TaskPhase::kFetching;
    if (s == "gathering") return TaskPhase::kWaiting;
    if (s == "running") return TaskPhase::kRunning;
    if (s == "saving") return TaskPhase::kSaving;
    if (s == "exited") return TaskPhase::kExited;
    return std::nullopt;
}

ExitCause parse_cause(const std::string& s) {
    if (s == "done") return ExitCause::kDone;
    if (s == "stopped") return ExitCause::kStopped;
    if (s == "mates_gone") return ExitCause::kPeersGone;
    if (s == "incomplete") return ExitCause::kIncomplete;
    if (s == "no_room") return ExitCause::kNoRoom;
    if (s == "busy") return ExitCause::kBusy;
    if (s == "unknown") return ExitCause::kUnknownJob;
    return ExitCause::kError;
}

void pack_commands(MsgpackWriter& p, const std::vector<Command>& commands) {
    p.key("orders").list(commands.size());
    for (const auto& o : commands) {
        p.map(o.verb == CommandKind::kStop ? 4 : 3).key("verb");
        p.text(o.verb == CommandKind::kLaunch ? "launch" : o.verb == CommandKind::kStop ? "halt" : "forget");
        p.key("piece").text(o.name.text()).key("try").count(o.attempt);
        if (o.verb == CommandKind::kStop) p.key("linger_s").number(o.grace_s);
    }
}

}  // namespace

std::string_view task_phase_name(TaskPhase phase) {
    switch (phase) {
        case TaskPhase::kFetching:
            return "fetching";
        case TaskPhase::kWaiting:
            return "waiting";
        case TaskPhase::kRunning:
            return "running";
        case TaskPhase::kSaving:
            return "saving";
        case TaskPhase::kExited:
            return "exited";
    }
    return "";
}

std::string_view exit_cause_name(ExitCause cause) {
    switch (cause) {
        case ExitCause::kNone:
            return "none";
        case ExitCause::kDone:
            return "done";
        case ExitCause::kStopped:
            return "stopped";
        case ExitCause::kPeersGone:
            return "peers_gone";
        case ExitCause::kIncomplete:
            return "incomplete";
        case ExitCause::kError:
            return "error";
        case ExitCause::kNoRoom:
            return "no_room";
        case ExitCause::kBusy:
            return "busy";
        case ExitCause::kUnknownJob:
            return "unknown_job";
    }
    return "";
}

std::string_view command_name(CommandKind kind) {
    switch (kind) {
        case CommandKind::kLaunch:
            return "launch";
        case CommandKind::kStop:
            return "stop";
        case CommandKind::kForget:
            return "forget";
    }
    return "";
}

std::optional<WorkerHeartbeat> WorkerHeartbeat::parse(std::string_view body) {
    auto m = MsgpackDocument::parse(body);
    if (!m || !m->root().is_map()) return std::nullopt;
    MsgpackValue n = m->root();
    WorkerHeartbeat r;
    auto machine = n["host"].text();
    auto incarnation = n["tenure"].count();
    auto sequence = n["tick"].count();
    auto fencing_token = n["epoch"].count();
    if (!machine || machine->empty() || machine->size() > 128 || machine->find(' ') != std::string::npos)
        return std::nullopt;
    if (!incarnation || !sequence || !fencing_token) return std::nullopt;
    r.machine = *machine;
    r.incarnation = *incarnation;
    r.sequence = *sequence;
    r.fencing_token = *fencing_token;
    r.addr = n["addr"].text_or("");
    r.machine_type = n["flavor"].text_or("");
    r.zone = n["cove"].text_or("");
    r.spot = n["driftwood"].flag_or(false);
    r.notice_s = n["warning_s"].number();
    MsgpackValue tasks = n["pieces"];
    if (!tasks.null() && !tasks.is_list()) return std::nullopt;
    if (tasks.size() > constants::kMaxTasksPerHeartbeat) return std::nullopt;
    for (size_t i = 0; i < tasks.size(); ++i) {
        MsgpackValue t = tasks.at(i);
        auto name = TaskName::parse(t["piece"].text_or(""));
        auto attempt = t["try"].count();
        auto phase = parse_phase(t["phase"].text_or(""));
        if (!name || !attempt || !phase) return std::nullopt;
        TaskStatus x;
        x.name = *name;
        x.attempt = *attempt;
        x.phase = *phase;
        if (x.phase == TaskPhase::kExited) x.cause = parse_cause(t["cause"].text_or(""));
        x.saved = t["kept"].flag_or(false);
        r.tasks.push_back(std::move(x));
    }
    return r;
}

std::string pack_report_answer(uint64_t fencing_token, const std::vector<Command>& commands) {
    MsgpackWriter p;
    p.map(2).key("epoch").count(fencing_token);
    pack_commands(p, commands);
    return p.take();
}

std::string pack_redirect(const std::string& node) {
    MsgpackWriter p;
    if (node.empty()) {
        p.map(0);
    } else {
        p.map(1).key("harbor").text(node);
    }
    return p.take();
}

Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address to, uint64_t fencing_token,
                                                   uint64_t incarnation, std::vector<Command> commands) {
    MsgpackWriter p;
    p.map(3).key("epoch").count(fencing_token).key("tenure").count(incarnation);
    pack_commands(p, commands);
    HttpClient http(loop, to, 1);
    CallResult a = co_await http.call("POST", "/orders", p.take(), constants::kWorkerCommandTimeout_s);
    if (a.status != 200 && a.status != 409) co_return std::nullopt;
    co_return WorkerHeartbeat::parse(a.body);
}

}  // namespace hareshore
