// A deployment whose machines, controllers and links can be cut, slowed, refused, held up, repeated and
// frozen. Scripts of faults play in it; it checks the protocol's rules throughout.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "scenario/job_ledger.h"
#include "scenario/peer_link.h"
#include "scenario/simulated_fleet.h"
#include "scenario/store_proxy.h"
#include "standins/deployment.h"

namespace hareshore::test {

constexpr int kNoOldNode = -1;

// What scripts reach of a scenario.
struct ScenarioParts {
    explicit ScenarioParts(int controllers);

    Deployment deployment;
    JobLedger jobs;
    std::vector<std::unique_ptr<StoreProxy>> store_proxies;  // by controller
    std::map<std::pair<int, int>, std::unique_ptr<PeerLink>>
        links;  // by the controllers that dial and listen
    SimulatedFleet fleet;
};

class FaultScenario : public ScenarioParts {
  public:
    // `old_node`: a controller of the older version until the faults end, or kNoOldNode.
    FaultScenario(int controllers, int machines, int old_node = kNoOldNode);
    ~FaultScenario();

    // --- users ----------------------------------------------------------------------------------------

    // Asks every living controller in turn until one answers as users expect; the phase in its answer, empty
    // if none answers within `most`.
    std::string ask(const std::string& method, const std::string& path, const std::string& body = "",
                    Seconds most = 60);
    std::string submit(const std::string& id, uint32_t tasks, Seconds run_s,
                       const JobFieldsChange& change = {});
    void submit_service(const std::string& id, uint32_t replicas);
    void cancel(const std::string& id, Seconds most = 60);
    void poll(const std::string& id);
    // The next question goes to this controller first.
    void ask_first(int node) { next_node_ = static_cast<size_t>(node); }

    // --- what scripts look at and do ------------------------------------------------------------------

    // Waits for a leader.
    int await_leader();
    // Waits until a task of the job is on a machine; whether one is within `most`.
    bool starts(const std::string& job, Seconds most = 20);
    void start_all_killed();
    void kill_leader();
    void begin_store_outage();
    void end_store_outage();
    // The store refuses this controller alone.
    void refuse_store(int node);
    void allow_store(int node);
    // Cuts the controller off from all its peers.
    void cut_peer_links(int node) { set_peer_links(node, true); }
    void restore_peer_links(int node) { set_peer_links(node, false); }
    // The store carries out the transactions that were held up.
    void apply_held_transactions();

    // Ends all faults, waits until every job is over, and checks that nothing was lost or invented.
    void end_faults_and_check(Seconds most = 150);

  private:
    void set_peer_links(int node, bool cut);
    void place_proxies(int node);
    void end_all_faults();
    // Checks that each accepted job has ended and that users are told so.
    void check_jobs_are_over();
    void check_and_cancel_services();
    // Lets the fleet advance, and checks the rules.
    Task<void> watch_rules();
    void check_rules();

    int old_node_;
    size_t next_node_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test
