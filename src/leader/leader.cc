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

Leader::Leader(const LeaderEnvironment& environment, LeaderTerm term, std::unique_ptr<Leadership> leadership,
               std::vector<MachineType> machine_types)
    : loop_(environment.loop),
      config_(environment.config),
      settings_(environment.settings),
      state_(environment.store),
      cloud_(environment.cloud),
      record_format_(environment.record_format),
      term_(std::move(term)),
      leadership_(std::move(leadership)),
      writes_(config_.write_rps * constants::kLeaderWriteShare,
              std::max(2.0, config_.write_rps * constants::kLeaderWriteShare)),
      ready_(loop_),
      dirty_(loop_),
      ask_(loop_),
      pass_done_(loop_),
      scope_(loop_) {
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
