// The read-only text pages for operators.
#pragma once
#include <cstdint>
#include <string>

#include "http/message.h"
#include "leader/leader.h"

namespace hareshore {

enum class OperatorPage : uint8_t { kStatus, kJobs, kMachines };

// What the status page shows of this controller.
struct ControllerStatus {
    std::string label;
    std::string leader;          // the label of the controller that is thought to lead; empty if unknown
    uint64_t fencing_token = 0;  // the highest that this controller has seen
};

// `leader` is null if this controller does not lead; all pages then show its status.
[[nodiscard]] Response operator_page(OperatorPage page, const Leader* leader, const ControllerStatus& status);

}  // namespace hareshore
