// The only file with the field names of the workers' wire format.
#include "workers/worker_wire.h"

#include <utility>

#include "base/constants.h"
#include "http/msgpack.h"
#include "workers/command.h"

namespace hareshore {

namespace {

constexpr size_t kMachineNameLimit = 128;  // bytes, the limit of the protocol

std::optional<TaskPhase> decode_phase(const std::string& text) {
    if (text == "pulling") return TaskPhase::kFetching;
    if (text == "gathering") return TaskPhase::kWaiting;
    if (text == "running") return TaskPhase::kRunning;
    if (text == "saving") return TaskPhase::kSaving;
    if (text == "exited") return TaskPhase::kExited;
    return std::nullopt;
}

ExitCause decode_cause(const std::string& text) {
    if (text == "done") return ExitCause::kDone;
    if (text == "stopped") return ExitCause::kStopped;
    if (text == "mates_gone") return ExitCause::kPeersGone;
    if (text == "incomplete") return ExitCause::kIncomplete;
    if (text == "no_room") return ExitCause::kNoRoom;
    if (text == "busy") return ExitCause::kBusy;
    if (text == "unknown") return ExitCause::kUnknownJob;
    return ExitCause::kError;
}

// Spaces are not allowed since names become fields of records and text lines that are separated by spaces.
bool valid_machine_name(const std::string& name) {
    return !name.empty() && name.size() <= kMachineNameLimit && name.find(' ') == std::string::npos;
}

// Decodes the header; false if it is malformed.
bool decode_header(const MsgpackValue& root, HeartbeatHeader& header) {
    auto machine = root["host"].text();
    auto incarnation = root["tenure"].count();
    auto sequence = root["tick"].count();
    auto fencing_token = root["epoch"].count();
    if (!machine || !valid_machine_name(*machine)) return false;
    if (!incarnation || !sequence || !fencing_token) return false;
    header.machine = std::move(*machine);
    header.incarnation = *incarnation;
    header.sequence = *sequence;
    header.fencing_token = *fencing_token;
    header.addr = root["addr"].text_or("");
    header.machine_type = root["flavor"].text_or("");
    header.zone = root["cove"].text_or("");
    header.spot = root["driftwood"].flag_or(false);
    header.notice_s = root["warning_s"].number();
    return true;
}

// Decodes the status of a task; false if it is malformed.
bool decode_task(const MsgpackValue& task, TaskStatus& status) {
    auto name = TaskName::parse(task["piece"].text_or(""));
    auto attempt = task["try"].count();
    auto phase = decode_phase(task["phase"].text_or(""));
    if (!name || !attempt || !phase) return false;
    status.name = std::move(*name);
    status.attempt = *attempt;
    status.phase = *phase;
    if (status.phase == TaskPhase::kExited) status.cause = decode_cause(task["cause"].text_or(""));
    status.checkpoint_saved = task["kept"].flag_or(false);
    return true;
}

std::string_view encode_kind(CommandKind kind) {
    switch (kind) {
        case CommandKind::kLaunch:
            return "launch";
        case CommandKind::kStop:
            return "halt";
        case CommandKind::kForget:
            return "forget";
    }
    return "";
}

void pack_commands(MsgpackWriter& packer, const std::vector<Command>& commands) {
    packer.key("orders").list(commands.size());
    for (const auto& command : commands) {
        bool stop = command.kind == CommandKind::kStop;
        packer.map(stop ? 4 : 3).key("verb").text(encode_kind(command.kind));
        packer.key("piece").text(command.name.text()).key("try").count(command.attempt);
        if (stop) packer.key("linger_s").number(command.grace_s);
    }
}

}  // namespace

std::optional<WorkerHeartbeat> decode_heartbeat(std::string_view body) {
    auto message = MsgpackDocument::parse(body);
    if (!message || !message->root().is_map()) return std::nullopt;
    MsgpackValue root = message->root();
    std::optional<WorkerHeartbeat> heartbeat(std::in_place);  // filled in place to avoid a copy
    if (!decode_header(root, *heartbeat)) return std::nullopt;
    MsgpackValue tasks = root["pieces"];
    if (!tasks.null() && !tasks.is_list()) return std::nullopt;
    // The size of the body limits their number.
    for (size_t i = 0; i < tasks.size(); ++i)
        if (!decode_task(tasks.at(i), heartbeat->tasks.emplace_back())) return std::nullopt;
    return heartbeat;
}

std::string encode_heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands) {
    MsgpackWriter packer;
    packer.map(2).key("epoch").count(fencing_token);
    pack_commands(packer, commands);
    return packer.take();
}

std::string encode_redirect(std::optional<std::string_view> leader) {
    MsgpackWriter packer;
    packer.map(leader ? 1 : 0);
    if (leader) packer.key("harbor").text(*leader);
    return packer.take();
}

std::string commands_path() {
    return "/orders";
}

std::string encode_commands(uint64_t fencing_token, uint64_t incarnation,
                            const std::vector<Command>& commands) {
    MsgpackWriter packer;
    packer.map(3).key("epoch").count(fencing_token).key("tenure").count(incarnation);
    pack_commands(packer, commands);
    return packer.take();
}

}  // namespace hareshore
