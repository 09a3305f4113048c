// One controller process. Every controller serves users and takes part in leader elections; the others
// redirect or relay workers to the leader.
//
// Decisions are pure functions of time and plain inputs, each in its own file: readiness.h,
// heartbeat_router.h, resignation.h, peer_confirmations.h. This class connects them to the network.
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

// Owns all components of the process. They, and the coroutines in their task groups, refer to one another and
// to the controller. `loop`, `config` and `settings` must outlive it. Before destroying it, call stop() and
// run the loop until all coroutines have unwound.
class Controller : private peer::PeerDelegate {
  public:
    // Starts listening and campaigning. Throws std::system_error if it cannot listen on an address.
    Controller(Loop& loop, const Config& config, const Settings& settings);
    ~Controller() override;
    // Cancels all coroutines; they unwind in the following turns of the loop.
    void stop();
    // Handles one HTTP request.
    [[nodiscard]] Task<Response> handle(Request request);

    [[nodiscard]] const Election& election() const { return election_; }
    // Null while this controller is not the leader. A caller that awaits one of the leader's coroutines must
    // hold the pointer until it completes.
    [[nodiscard]] std::shared_ptr<Leader> leader() const { return leader_runner_.leader(); }

  private:
    // peer::PeerDelegate.
    [[nodiscard]] peer::ControllerHeartbeat heartbeat() const override;
    [[nodiscard]] Task<Response> handle_relayed_heartbeat(std::string body) override;
    void on_cancellation_announced(const std::string& job) override { observe_cancellation(job); }

    // Coroutines that run in tasks_ until it is cancelled.
    Task<void> watch_election();
    Task<void> load_machine_types();
    Task<void> poll_record_format();

    void report_peer_terms_to_election();
    void resign_if_isolated();
    // Called when this controller or a peer confirms to a user that the job is cancelled.
    void observe_cancellation(const std::string& job);

    Task<Response> handle_heartbeat(std::string body);
    [[nodiscard]] Response show_operator_page(OperatorPage page) const;
    [[nodiscard]] Readiness readiness() const;
    // Elapsed time as sent in peer heartbeats; 0 if `time` is in the future.
    [[nodiscard]] uint32_t milliseconds_since(Seconds time) const;

    Loop& loop_;
    const Config& config_;
    const Seconds started_at_;
    StoreClient store_;
    CloudClient cloud_;
    Election election_;
    std::vector<MachineType> machine_types_;  // empty until loaded
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
