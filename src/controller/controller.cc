#include "controller/controller.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "cloud/cloud_wire.h"
#include "controller/endpoint_wire.h"
#include "controller/http_responses.h"
#include "controller/resignation.h"
#include "controller/resource_limits.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

// Controllers campaign one after the other, ordered by label. Returns this controller's fraction of the
// maximum campaign delay: 0 for the first label, below 1 for the last.
double campaign_delay_fraction(const Config& config) {
    if (config.peers.empty()) return 0;
    const auto earlier = std::count_if(config.peers.begin(), config.peers.end(),
                                       [&](const PeerAddress& peer) { return peer.label < config.label; });
    return static_cast<double>(earlier) / static_cast<double>(config.peers.size());
}

}  // namespace

Controller::Controller(Loop& loop, const Config& config, const Settings& settings)
    : loop_(loop),
      config_(config),
      started_at_(loop.now()),
      store_(loop, config.store, response_limit(config)),
      cloud_(loop, config.cloud, config.cloud_rps, config.peers.size() + 1),
      election_(loop, store_, config.label, campaign_delay_fraction(config)),
      users_(loop, config, store_, machine_types_, record_format_,
             [this](const std::string& job) {
                 peers_.announce_cancellation(job);
                 observe_cancellation(job);
             }),
      peers_(loop, config, *this),
      leader_runner_({loop, config, settings, store_, cloud_, record_format_}, election_, peers_,
                     machine_types_),
      server_(loop, config.listen, connection_limit(config),
              [this](Request request) { return handle(std::move(request)); }),
      tasks_(loop) {
    // Urgent: a delay here would cost the leadership, and the failover would delay all other work further.
    tasks_.spawn(election_.run(), "election", Priority::kUrgent);
    tasks_.spawn(watch_election(), "leadership", Priority::kUrgent);
    tasks_.spawn(load_machine_types(), "machine types");
    tasks_.spawn(poll_record_format(), "record format");
}

Controller::~Controller() {
    stop();
}

void Controller::stop() {
    leader_runner_.stop();
    tasks_.cancel();
    server_.stop();
    users_.stop();
    peers_.stop();
}

peer::ControllerHeartbeat Controller::heartbeat() const {
    peer::ControllerHeartbeat heartbeat{};
    peer::set_label(heartbeat, config_.label);
    heartbeat.leads = election_.leading();
    heartbeat.fencing_token =
        election_.leading() ? election_.fencing_token() : election_.known_fencing_token();
    heartbeat.ready = readiness() == Readiness::kReady;
    heartbeat.worker_heartbeats_received = static_cast<uint16_t>(worker_heartbeats_.count(loop_.now()));
    const auto store_contact = store_.last_contact();
    heartbeat.store_age_ms = store_contact ? milliseconds_since(*store_contact) : peer::kNoStoreContact;
    heartbeat.since_last_cancellation_ms = milliseconds_since(users_.last_cancellation());
    return heartbeat;
}

uint32_t Controller::milliseconds_since(Seconds time) const {
    constexpr double kMaxMilliseconds = 4e9;  // fits into the 32-bit field of the heartbeat
    return static_cast<uint32_t>(std::clamp((loop_.now() - time) * 1000, 0.0, kMaxMilliseconds));
}

Readiness Controller::readiness() const {
    return decide_readiness({.now = loop_.now(),
                             .started_at = started_at_,
                             .last_store_contact = store_.last_contact(),
                             .records_readable = !record_format_.unsupported(),
                             .machine_types_known = !machine_types_.empty(),
                             .peers = peers_.statuses()});
}

void Controller::observe_cancellation(const std::string& job) {
    // Without a leader there is nothing to do: a leader elected later loads the records after this point, and
    // they include the cancellation.
    if (const auto& leader = leader_runner_.leader()) leader->observe_cancellation(job);
}

Task<void> Controller::watch_election() {
    while (true) {
        co_await loop_.wait(election_.changed(), loop_.now() + constants::kPeerHeartbeatInterval_s);
        report_peer_terms_to_election();
        resign_if_isolated();
        leader_runner_.update();
    }
}

void Controller::report_peer_terms_to_election() {
    for (const auto& peer : peers_.statuses()) {
        if (!peer.is_present(loop_.now())) continue;
        // A follower's fencing token also proves that the term exists; the new leader itself may be
        // unreachable from here.
        const auto& heartbeat = peer.last_heartbeat();
        election_.observe_peer_term(heartbeat.leads ? peer.label() : "", heartbeat.fencing_token);
    }
}

void Controller::resign_if_isolated() {
    const auto& leader = leader_runner_.leader();
    if (!leader || !election_.leading()) return;
    const auto resignation = decide_resignation({.now = loop_.now(),
                                                 .loaded_for = leader->loaded_for(),
                                                 .machines_seen = leader->machines_seen(),
                                                 .last_worker_heartbeat = worker_heartbeats_.last(),
                                                 .peers = peers_.statuses()});
    if (!resignation) return;
    log::info("resigning", {{"reason", "no_worker_reaches_this_node"}, {"peer", resignation->peer}});
    election_.resign(constants::kResignNoCandidacy_s);
}

Task<void> Controller::load_machine_types() {
    // The machine types stored by an earlier leader are available sooner than the cloud's response, and also
    // during an outage of the cloud. Later price changes matter only to the leader, which reads them itself.
    while (machine_types_.empty()) {
        const GetResult stored = co_await store_.get(kMachineTypesKey, constants::kStoreCallTimeout_s);
        if (stored.status == StoreStatus::kOk) {
            if (auto types = decode_machine_types(stored.entry.data)) machine_types_ = std::move(*types);
        }
        if (!machine_types_.empty()) break;
        auto fetched = co_await cloud_.machine_types();
        if (fetched) machine_types_ = std::move(*fetched);
        if (machine_types_.empty()) co_await loop_.sleep(constants::kRetryBackoffMax_s / 2);
    }
}

Task<void> Controller::poll_record_format() {
    // Polls until the newest format is in force; the format never reverts to an older one.
    while (record_format_.below_newest()) {
        co_await refresh_record_format(store_, record_format_);
        if (record_format_.below_newest()) co_await loop_.sleep(constants::kRecordFormatPollInterval_s);
    }
    if (record_format_.unsupported()) election_.stop_campaigning();
}

Task<Response> Controller::handle(Request request) {
    const Endpoint endpoint = endpoint_of(request.path);
    const auto method = required_method(endpoint);
    if (method && request.method != *method) co_return empty_response(HttpStatus::kMethodNotAllowed);
    switch (endpoint) {
        case Endpoint::kWorkerHeartbeat:
            // The worker has given up and contacted another controller. An overloaded controller would
            // otherwise spend its time on responses that nobody reads, and never catch up.
            if (request.abandoned) co_return empty_response(HttpStatus::kServiceUnavailable);
            co_return co_await handle_heartbeat(std::move(request.body));
        case Endpoint::kReadiness:
            co_return empty_response(readiness() == Readiness::kReady ? HttpStatus::kOk
                                                                      : HttpStatus::kServiceUnavailable);
        case Endpoint::kOperatorStatus:
            co_return show_operator_page(OperatorPage::kStatus);
        case Endpoint::kOperatorJobs:
            co_return show_operator_page(OperatorPage::kJobs);
        case Endpoint::kOperatorMachines:
            co_return show_operator_page(OperatorPage::kMachines);
        case Endpoint::kUsers:
            break;
    }
    co_return co_await users_.handle(request);
}

Response Controller::show_operator_page(OperatorPage page) const {
    return operator_page(page, leader_runner_.leader().get(),
                         {.label = config_.label,
                          .leader = election_.leader(),
                          .fencing_token = election_.known_fencing_token()});
}

Task<Response> Controller::handle_heartbeat(std::string body) {
    auto heartbeat = decode_heartbeat(body);
    if (!heartbeat) co_return empty_response(HttpStatus::kBadRequest);
    const HeartbeatHeader header = heartbeat->header();  // copied: the leader takes the heartbeat
    worker_heartbeats_.record(loop_.now());
    if (const auto leader = leader_runner_.leader()) {
        Response response = co_await leader->handle_heartbeat(
            std::move(*heartbeat), constants::kIdleHeartbeatHold_s, HeartbeatRoute::kDirect);
        const bool still_leading = leader_runner_.leader() == leader && election_.leading();
        if (response.status == static_cast<int>(HttpStatus::kOk) || still_leading) co_return response;
    }
    const std::string& leader_label = election_.leader();
    if (leader_label.empty() || leader_label == config_.label) co_return redirect_response(std::nullopt);
    if (router_.route(header, leader_label, loop_.now()) == HeartbeatRouting::kRedirect)
        co_return redirect_response(leader_label);
    auto relayed = co_await peers_.relay(leader_label, std::move(body));
    if (!relayed || relayed->status != static_cast<int>(HttpStatus::kOk))
        co_return redirect_response(std::nullopt);
    co_return Response{.status = relayed->status, .body = std::move(relayed->body)};
}

Task<Response> Controller::handle_relayed_heartbeat(std::string body) {
    auto heartbeat = decode_heartbeat(body);
    const auto leader = leader_runner_.leader();
    if (!heartbeat || !leader) co_return empty_response(HttpStatus::kMisdirectedRequest);
    co_return co_await leader->handle_heartbeat(std::move(*heartbeat), constants::kRelayedHeartbeatHold_s,
                                                HeartbeatRoute::kRelayed);
}

}  // namespace hareshore
