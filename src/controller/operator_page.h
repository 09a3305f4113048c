// Read-only text pages for operators.
#pragma once
#include <cstdint>
#include <string>

#include "http/message.h"
#include "leader/leader.h"

namespace hareshore {

enum class OperatorPage : uint8_t { kStatus, kJobs, kMachines };

// The contents of the status page.
struct ControllerStatus {
    std::string label;
    std::string leader;          // the label of the last known leader; empty if unknown
    uint64_t fencing_token = 0;  // the highest that this controller has seen
};

// `leader` is null if this controller is not the leader; every page then shows the status of this controller.
[[nodiscard]] Response operator_page(OperatorPage page, const Leader* leader, const ControllerStatus& status);

}  // namespace hareshore
