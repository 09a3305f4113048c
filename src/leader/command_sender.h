// Sends stop commands directly to workers. Launches are sent only in responses to heartbeats, but stops are
// urgent, since a gang's other tasks must end within gang_peer_s.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "leader/pass_requests.h"
#include "leader/term_lifecycle.h"
#include "leader/worker_connections.h"
#include "workers/command.h"

namespace hareshore {

class CommandSender {
  public:
    // All must outlive the sender.
    struct Dependencies {
        Loop& loop;
        uint64_t fencing_token;
        TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        WorkerConnections& connections;
        PassRequests& pass_requests;
    };
    explicit CommandSender(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Sends the new stops of the job table, to each machine as soon as its address is known. Each machine has
    // at most one request in flight; stops added while it is in flight are sent after it.
    void send_urgent_stops();

  private:
    void start_sending(const std::string& machine_name);
    Task<void> send_stops(std::string machine_name);
    std::vector<Command> stops_for(Machine& machine);

    const Dependencies dependencies_;
    std::set<std::string> machines_to_stop_;  // whose addresses are not known yet
};

}  // namespace hareshore
