#include "workers/command.h"

namespace hareshore {

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
