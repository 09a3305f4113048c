#include "controller/operator_page.h"

#include <fmt/format.h>

namespace hareshore {

namespace {

std::string status_text(const ControllerStatus& status) {
    return fmt::format("{} leader {} fencing_token {}\n", status.label,
                       status.leader.empty() ? "unknown" : status.leader, status.fencing_token);
}

std::string page_text(OperatorPage page, const Leader* leader, const ControllerStatus& status) {
    if (leader && page == OperatorPage::kJobs) return leader->jobs_page();
    if (leader && page == OperatorPage::kMachines) return leader->machines_page();
    return status_text(status);
}

}  // namespace

Response operator_page(OperatorPage page, const Leader* leader, const ControllerStatus& status) {
    Response response;
    response.type = "text/plain; charset=utf-8";
    response.body = page_text(page, leader, status);
    return response;
}

}  // namespace hareshore
