// One controller process. Every controller serves users and takes part in elections; the elected one leads,
// and the others redirect or relay workers to it.
//
// The decisions stand in files of their own, as functions of time and plain inputs: readiness.h,
// heartbeat_router.h, resignation.h, peer_confirmations.h. This class joins them to the network.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "config/config.h"
#include "controller/heartbeat_router.h"
#include "controller/heartbeat_window.h"
#include "controller/leader_runner.h"
#include "controller/operator_page.h"
#include "controller/readiness.h"
#include "http/server.h"
#include "leader/election.h"
#include "peer/peers.h"
#include "state/store_client.h"
#include "users/user_service.h"

namespace hareshore {

// Owns all parts; they refer to one another and to the controller, and so do the coroutines that run in their
// task groups. `loop`, `config` and `settings` must outlive it. To destroy it, call stop() and let the loop
// take turns until all coroutines have unwound.
class Controller : private peer::PeerDelegate {
  public:
    // Starts to listen and to take part in elections. Throws std::system_error if an address cannot be
    // listened on.
    Controller(Loop& loop, const Config& config, const Settings& settings);
    ~Controller() override;
    // Cancels all coroutines; they unwind in the next turns of the loop.
    void stop();
    // Answers one HTTP request.
    [[nodiscard]] Task<Response> handle(Request request);

    [[nodiscard]] const Election& election() const { return election_; }
    // Null while this controller does not lead. A caller that awaits something of the leader holds the
    // pointer meanwhile.
    [[nodiscard]] std::shared_ptr<Leader> leader() const { return leader_runner_.leader(); }

  private:
    // For the peers.
    [[nodiscard]] peer::ControllerHeartbeat heartbeat() const override;
    [[nodiscard]] Task<Response> handle_relayed_heartbeat(std::string body) override;
    void cancellation_announced(const std::string& job) override { observe_cancellation(job); }

    // Coroutines of tasks_; they end when it is cancelled.
    Task<void> follow_election();
    Task<void> load_machine_types();
    Task<void> follow_record_format();

    void report_peers_to_election();
    void resign_if_isolated();
    // A user is being told, here or by a peer, that the job is cancelled.
    void observe_cancellation(const std::string& job);

    Task<Response> handle_heartbeat(std::string body);
    [[nodiscard]] Response show_operator_page(OperatorPage page) const;
    [[nodiscard]] Readiness readiness() const;
    // For the heartbeats to the peers; 0 for a time to come.
    [[nodiscard]] uint32_t milliseconds_since(Seconds time) const;

    Loop& loop_;
    const Config& config_;
    const Seconds started_at_;
    StoreClient store_;
    CloudClient cloud_;
    Election election_;
    std::vector<MachineType> machine_types_;  // empty until they are known
    RecordFormat record_format_;
    UserService users_;
    HeartbeatRouter router_;
    HeartbeatWindow worker_heartbeats_;
    peer::Peers peers_;
    LeaderRunner leader_runner_;
    HttpServer server_;
    TaskGroup tasks_;
};

}  // namespace hareshore
