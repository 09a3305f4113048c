#include "workers/command.h"

#include "base/constants.h"
#include "model/resources.h"

namespace hareshore {

bool CommandList::add(Command command) {
    const double bytes = task_list_bytes(command.name.job);
    if (bytes_ + bytes > static_cast<double>(constants::kTaskListBytes)) return false;
    bytes_ += bytes;
    commands_.push_back(std::move(command));
    return true;
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

}  // namespace hareshore
