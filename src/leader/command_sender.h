// Direct commands to workers. Launches go out only with the answers to heartbeats; stops are sent at once,
// since a gang's other tasks must end within gang_peer_s.
#pragma once
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
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        uint64_t fencing_token;
        TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        WorkerConnections& connections;
        PassRequests& pass_requests;
    };
    explicit CommandSender(const Parts& parts) : parts_(parts) {}

    // Sends the stops that the job table has marked as urgent. To each machine one command is on its way at a
    // time; a stop that comes meanwhile is sent after it.
    void send_urgent_stops();

  private:
    Task<void> send_stops(std::string machine_name);
    std::vector<Command> stops_for(Machine& machine);

    const Parts parts_;
};

}  // namespace hareshore
