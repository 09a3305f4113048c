#include "leader/leader.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

// Keeps the leader alive while one of its routines runs.
Task<void> holding(std::shared_ptr<Leader> self, Task<void> task) {
    (void)self;
    co_await task;
}

}  // namespace

Leader::Leader(Loop& loop, const Config& config, const Settings& settings, StoreClient& state, Cloud& cloud,
               Term term, std::vector<MachineType> machine_types, RenewalBound renewal_bound,
               Confirmed confirmed, NoOtherLeader no_other_leader, Deposed deposed,
               RecordFormat& record_format, AllUpgraded all_upgraded)
    : loop_(loop),
      config_(config),
      settings_(settings),
      state_(state),
      cloud_(cloud),
      term_(std::move(term)),
      renewal_bound_(std::move(renewal_bound)),
      confirmed_(std::move(confirmed)),
      no_other_leader_(std::move(no_other_leader)),
      deposed_(std::move(deposed)),
      record_format_(record_format),
      all_upgraded_(std::move(all_upgraded)),
      writes_(config.write_rps * constants::kLeaderWriteShare,
              std::max(2.0, config.write_rps * constants::kLeaderWriteShare)),
      ready_(loop),
      dirty_(loop),
      ask_(loop),
      pass_done_(loop),
      scope_(loop) {
    cluster_.machine_types = std::move(machine_types);
}

void Leader::spawn(Task<void> task, const char* name, Priority priority) {
    scope_.spawn(holding(shared_from_this(), std::move(task)), name, priority);
}

void Leader::start() {
    spawn(load(), "load", Priority::kUrgent);
}

void Leader::stop() {
    stopped_ = true;
    scope_.cancel();
    ready_.notify();
    pass_done_.notify();
    for (auto& [name, l] : worker_connections_) l->wake.notify();
}

Leader::WorkerConnection& Leader::worker_connection(const std::string& machine) {
    auto& l = worker_connections_[machine];
    if (!l) l = std::make_unique<WorkerConnection>(loop_);
    return *l;
}

void Leader::wake(const std::string& machine) {
    auto it = worker_connections_.find(machine);
    if (it != worker_connections_.end()) it->second->wake.notify();
}

}  // namespace hareshore
