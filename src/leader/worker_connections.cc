#include "leader/worker_connections.h"

namespace hareshore {

WorkerConnection& WorkerConnections::of(const std::string& machine) {
    auto& connection = connections_[machine];
    if (!connection) connection = std::make_unique<WorkerConnection>(loop_);
    return *connection;
}

void WorkerConnections::wake(const std::string& machine) {
    auto it = connections_.find(machine);
    if (it != connections_.end()) it->second->wake.notify();
}

void WorkerConnections::wake_all() {
    for (auto& [machine, connection] : connections_) connection->wake.notify();
}

}  // namespace hareshore
