// One controller: it serves users, takes part in elections, and leads or points workers to the leader.
#pragma once
#include "cloud/cloud_client.h"
#include "config/config.h"
#include "http/server.h"
#include "leader/election.h"
#include "leader/leader.h"
#include "peer/peers.h"
#include "users/user_service.h"

namespace hareshore {

class Controller {
  public:
    Controller(Loop& loop, const Config& config, const Settings& settings);
    ~Controller();
    // Cancels every routine; the loop unwinds them in its next turns. Nothing may be destroyed before.
    void stop();
    Task<Response> handle(Request request);
    const Election& election() const { return election_; }
    std::shared_ptr<Leader> leader() const { return leader_; }

  private:
    class TermChecks;

    Task<void> follow_election();
    Task<void> learn_machine_types();
    Task<void> follow_record_format();
    Task<Response> handle_heartbeat(std::string body);
    Task<Response> relayed(std::string body);
    Response operator_page(const std::string& path);
    bool ready() const;
    void resign_if_isolated();
    peer::Heartbeat heartbeat() const;
    Seconds cancellations_known_until(Seconds since) const;
    void observe_cancellation(const std::string& id);
    // Whether every peer has said that it knows the formats of this version.
    bool all_upgraded() const;
    bool no_other_leader() const;

    Loop& loop_;
    const Config& config_;
    const Settings& settings_;
    Seconds started_;
    StoreClient state_;
    CloudClient cloud_;
    Election election_;
    std::vector<MachineType> machine_types_;
    RecordFormat record_format_;
    UserService users_;
    std::shared_ptr<Leader> leader_;
    // When a worker was pointed to which leader: one that comes back could not reach it.
    struct Redirection {
        std::string leader;
        Seconds at = 0;
        Seconds relayed_since = -1;
        uint64_t incarnation = 0,
                 sequence = 0;  // the report that was pointed: a late copy of it shows nothing
    };
    std::unordered_map<std::string, Redirection> redirections_;
    // Of each zone the workers that came back of late. One may be deaf; several speak for the others.
    std::map<std::string, std::map<std::string, Seconds>> returned_workers_;
    bool zone_cut(const std::string& zone);
    std::deque<Seconds> worker_heartbeat_times_;  // when workers' reports came
    Peers peers_;
    HttpServer server_;
    TaskGroup scope_;
};

}  // namespace hareshore
