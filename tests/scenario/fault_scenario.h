// A simulated deployment with fault injection: network partitions, delays, refused requests, duplicated
// messages, hung machines and killed controllers. Fault scripts run in it while it checks the scheduler's
// invariants.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "scenario/job_ledger.h"
#include "scenario/peer_proxy.h"
#include "scenario/simulated_fleet.h"
#include "scenario/store_proxy.h"
#include "standins/deployment.h"

namespace hareshore::test {

constexpr int kNoOldVersionNode = -1;

// The components of a scenario; fault scripts use them directly.
struct ScenarioParts {
    explicit ScenarioParts(int controllers);

    Deployment deployment;
    JobLedger jobs;
    std::vector<std::unique_ptr<StoreProxy>> store_proxies;  // by controller
    // By the connecting and the listening controller.
    std::map<std::pair<int, int>, std::unique_ptr<PeerProxy>> peer_proxies;
    SimulatedFleet fleet;
};

class FaultScenario : public ScenarioParts {
  public:
    // `old_version_node`: the controller that runs the previous version until the faults end, or
    // kNoOldVersionNode.
    FaultScenario(int controllers, int machines, int old_version_node = kNoOldVersionNode);
    ~FaultScenario();

    // --- users ----------------------------------------------------------------------------------------

    // Sends the request to the running controllers in turn until one responds 200 or 201. Returns the phase
    // in the response, or an empty string after `timeout`.
    std::string call_any_controller(const std::string& method, const std::string& path,
                                    const std::string& body = "", Seconds timeout = 60);
    std::string submit(const std::string& id, uint32_t tasks, Seconds run_s,
                       const JobFieldsChange& change = {});
    void submit_service(const std::string& id, uint32_t replicas);
    void cancel(const std::string& id, Seconds timeout = 60);
    void poll(const std::string& id);
    // The next request goes to this controller first.
    void start_requests_at(int node) { next_node_ = static_cast<size_t>(node); }

    // --- faults and waiting for state -----------------------------------------------------------------

    // Waits for a leader and returns its number.
    int await_leader();
    // Waits until a machine runs a task of the job; false after `timeout`.
    bool await_start(const std::string& job, Seconds timeout = 20);
    // Submits a job and lets it run for a few seconds; false if none of its tasks has started.
    [[nodiscard]] bool start_job(const std::string& id, uint32_t tasks, Seconds run_s);
    void start_all_killed();
    void kill_leader();
    void begin_store_outage();
    void end_store_outage();
    // The store refuses the requests of this controller only.
    void deny_store_access(int node);
    void restore_store_access(int node);
    // Blocks all connections between the controller and its peers.
    void block_peer_connections(int node) { set_peer_proxies_blocked(node, true); }
    void unblock_peer_connections(int node) { set_peer_proxies_blocked(node, false); }
    // The store applies the transactions that it had held back.
    void apply_held_transactions();

    // Ends all faults, waits up to `timeout` until every job has finished, and checks that no job was lost
    // and that unknown jobs stay unknown.
    void end_faults_and_check(Seconds timeout = 150);

  private:
    void set_peer_proxies_blocked(int node, bool blocked);
    void place_proxies(int node);
    void end_all_faults();
    // Checks that each accepted job has finished and that responses to users say so.
    void check_jobs_finished();
    void check_and_cancel_services();
    // Periodically advances the fleet and checks the invariants.
    Task<void> watch_invariants();
    // Each task runs at most once, single-zone jobs stay in one zone, cancelled work stops within the allowed
    // time, and the team stays within its GPU limit.
    void check_invariants();

    int old_version_node_;
    size_t next_node_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test
