#include "controller/controller.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "cloud/cloud_wire.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

Response status(int code) {
    return {code, "", 0, "application/msgpack"};
}

// The nodes stand for election one after the other, in the order of their labels.
double place_of(const Config& c) {
    size_t before = 0;
    for (const auto& s : c.peers)
        if (s.label < c.label) ++before;
    return c.peers.empty() ? 0 : static_cast<double>(before) / static_cast<double>(c.peers.size());
}

size_t connection_limit(const Config& c) {
    return static_cast<size_t>(static_cast<double>(c.sockets) * (1 - constants::kReservedSocketShare)) - 4;
}

size_t answer_limit(const Config& c) {
    if (c.ram_bytes == 0) return constants::kResponseLimit;
    return std::clamp(c.ram_bytes / constants::kResponseMemoryDivisor, constants::kSmallestResponseLimit,
                      constants::kResponseLimit);
}

}  // namespace

// The checks of one term: they fail once the election has gone on to another.
class Controller::TermChecks : public Leadership {
  public:
    TermChecks(Controller& controller, uint64_t fencing_token)
        : controller_(controller), fencing_token_(fencing_token) {}

    Seconds cancellations_known_until(Seconds since) const override {
        return controller_.cancellations_known_until(since);
    }
    bool lease_confirmed() const override { return is_current() && controller_.election_.lease_confirmed(); }
    bool no_other_leader() const override { return is_current() && controller_.no_other_leader(); }
    bool all_peers_upgraded() const override { return controller_.all_upgraded(); }
    void step_down(LossReason reason) override {
        if (is_current()) controller_.election_.step_down(reason);
    }

  private:
    bool is_current() const { return controller_.election_.fencing_token() == fencing_token_; }

    Controller& controller_;
    uint64_t fencing_token_;
};

Controller::Controller(Loop& loop, const Config& config, const Settings& settings)
    : loop_(loop),
      config_(config),
      settings_(settings),
      started_(loop.now()),
      state_(loop, config.state, answer_limit(config)),
      cloud_(loop, config.cloud, config.cloud_rps, config.peers.size() + 1),
      election_(loop, state_, config.label, place_of(config)),
      users_(loop, config, state_, machine_types_, record_format_,
             [this](const std::string& id) {
                 peers_.announce_cancellation(id);
                 observe_cancellation(id);
             }),
      peers_(
          loop, config, [this] { return heartbeat(); },
          [this](std::string body) { return relayed(std::move(body)); },
          [this](const std::string& id) { observe_cancellation(id); }),
      server_(loop, config.listen, connection_limit(config),
              [this](Request r) { return handle(std::move(r)); }),
      scope_(loop) {
    // Late, these would bring about a change of leader, which makes all that waits wait longer.
    scope_.spawn(election_.run(), "election", Priority::kUrgent);
    scope_.spawn(follow_election(), "leadership", Priority::kUrgent);
    scope_.spawn(learn_machine_types(), "machine types");
    scope_.spawn(follow_record_format(), "record format");
}

Controller::~Controller() {
    stop();
}

void Controller::stop() {
    if (leader_) leader_->stop();
    scope_.cancel();
    server_.stop();
    users_.stop();
    peers_.stop();
}

peer::Heartbeat Controller::heartbeat() const {
    peer::Heartbeat b{};
    peer::set_label(b, config_.label);
    b.fencing_token = election_.leading() ? election_.fencing_token() : election_.known_fencing_token();
    b.leads = election_.leading();
    b.ready = ready();
    auto ms = [&](Seconds since) {
        return static_cast<uint32_t>(std::clamp((loop_.now() - since) * 1000, 0.0, 4e9));
    };
    b.worker_heartbeats_received = static_cast<uint16_t>(
        std::count_if(worker_heartbeat_times_.begin(), worker_heartbeat_times_.end(),
                      [&](Seconds t) { return loop_.now() - t < constants::kHeartbeatCountWindow_s; }));
    b.store_age_ms = state_.last_contact() ? ms(*state_.last_contact()) : UINT32_MAX;
    b.quiet_ms = ms(users_.last_cancellation());
    return b;
}

// What this node tells users itself its leader knows at once. Every peer says which cancellations it has
// told users of, or, in a version that does not say that, for how long it has told nobody of any. Where that
// reaches back to `since`, we miss none told between `since` and the time at which the peer was asked.
Seconds Controller::cancellations_known_until(Seconds since) const {
    Seconds until = loop_.now();
    for (const auto& p : peers_.peers()) {
        if (!p.covers_since(since)) return since;
        until = std::min(until, p.answered);
    }
    return std::max(since, until);
}

// A user is being told, here or by a peer, that the job is cancelled. Without a leader there is nothing to
// do: one that begins later reads the records after this, and finds it there.
void Controller::observe_cancellation(const std::string& id) {
    if (leader_) leader_->observe_cancellation(id);
}

bool Controller::all_upgraded() const {
    return std::all_of(peers_.peers().begin(), peers_.peers().end(),
                       [](const auto& p) { return p.record_format >= peer::kPeerFormat; });
}

// Every peer has answered lately and knows of no later term: there is no other leader.
bool Controller::no_other_leader() const {
    if (!election_.leading()) return false;
    for (const auto& p : peers_.peers())
        if (loop_.now() - p.answered >= constants::kPeerHeartbeatTimeout_s ||
            p.heartbeat.fencing_token > election_.fencing_token())
            return false;
    return true;
}

bool Controller::ready() const {
    if (record_format_.newer()) return false;  // of what is kept it understands nothing
    Seconds age = loop_.now() - state_.last_contact().value_or(started_);
    if (!state_.last_contact()) {
        // Started in an outage: it has not learned the machine types, but tells users as well as any other
        // when to come back, and the load balancer need not find it anew when the outage is over. Not before
        // the peers had time to say whether they are served.
        if (age < 2 * constants::kPeerHeartbeatInterval_s) return false;
    } else {
        if (machine_types_.empty()) return false;
        if (age < constants::kUnreadyAfterStoreRefusal_s) return true;
    }
    // In an outage for all, users are better answered than turned away; refused alone, others serve them.
    bool company = peers_.peers().empty();
    for (const auto& p : peers_.peers()) {
        if (loop_.now() - p.heard >= constants::kPeerHeartbeatTimeout_s) continue;
        company = true;
        if (p.heartbeat.ready && p.heartbeat.store_age_ms < constants::kUnreadyAfterStoreRefusal_s * 1000 / 2)
            return false;
    }
    // Without the state service and all peers this node is more likely cut off than they are all down:
    // a user who stays with it would ask in vain until the cut ends.
    return company || age < constants::kUnreadyAfterIsolation_s;
}

Task<void> Controller::follow_election() {
    while (true) {
        co_await loop_.wait(election_.changed(), loop_.now() + constants::kPeerHeartbeatInterval_s);
        for (const auto& p : peers_.peers())
            if (loop_.now() - p.heard < constants::kPeerHeartbeatTimeout_s)
                // One that does not lead confirms for the term all the same: the new leader itself may be
                // behind a cut from here.
                election_.observe_peer_term(p.heartbeat.leads ? p.who.label : "", p.heartbeat.fencing_token);
        resign_if_isolated();
        if (leader_ && (!election_.leading() || leader_->fencing_token() != election_.fencing_token())) {
            leader_->stop();
            leader_.reset();
        }
        if (!leader_ && election_.leading()) {
            LeaderTerm term{election_.fencing_token(), election_.mod_revision(), kLeaderKey};
            LeaderEnvironment environment{loop_, config_, settings_, state_, cloud_, record_format_};
            leader_ = std::make_shared<Leader>(
                environment, term, std::make_unique<TermChecks>(*this, term.fencing_token), machine_types_);
            leader_->start();
        }
    }
}

// A leader that keeps the state service but hears no worker, while others hear them, is cut off from them.
void Controller::resign_if_isolated() {
    if (!leader_ || !election_.leading() || leader_->loaded_for() < constants::kResignAfterSilence_s) return;
    if (leader_->machines_seen() < constants::kResignMinMachines) return;
    if (!worker_heartbeat_times_.empty() &&
        loop_.now() - worker_heartbeat_times_.back() < constants::kResignAfterSilence_s)
        return;
    for (const auto& p : peers_.peers()) {
        if (loop_.now() - p.heard > constants::kPeerHeartbeatTimeout_s ||
            p.heartbeat.worker_heartbeats_received < constants::kResignMinMachines)
            continue;
        log::info("resigning", {{"reason", "no_worker_reaches_this_node"}, {"peer", p.who.label}});
        election_.resign(constants::kResignNoCandidacy_s);
        return;
    }
}

Task<void> Controller::learn_machine_types() {
    // What an earlier leader kept is at hand sooner than the cloud's word, and also while the cloud is away.
    // Later changes of prices concern only the leader, which reads them itself.
    while (machine_types_.empty()) {
        GetResult kept = co_await state_.get(kMachineTypesKey, constants::kStoreCallTimeout_s);
        if (kept.status == StoreStatus::kOk) {
            if (auto f = decode_machine_types(kept.entry.data)) machine_types_ = std::move(*f);
        }
        if (!machine_types_.empty()) break;
        auto got = co_await cloud_.machine_types();
        if (got) machine_types_ = std::move(*got);
        if (machine_types_.empty()) co_await loop_.sleep(constants::kRetryBackoffMax_s / 2);
    }
}

// Until the newest format is in force; no version goes back after that.
Task<void> Controller::follow_record_format() {
    while (record_format_.kept < kNewestRecordFormat) {
        co_await learn_record_format(state_, record_format_);
        if (record_format_.kept < kNewestRecordFormat)
            co_await loop_.sleep(constants::kRecordFormatPollInterval_s);
    }
    if (record_format_.newer()) election_.stop_campaigning();
}

Task<Response> Controller::handle_heartbeat(std::string body) {
    auto report = decode_heartbeat(body);
    if (!report) co_return status(400);
    const HeartbeatHeader seen = report->header();  // the report itself is passed on
    worker_heartbeat_times_.push_back(loop_.now());
    while (worker_heartbeat_times_.size() > constants::kRedirectionsKept ||
           loop_.now() - worker_heartbeat_times_.front() > constants::kHeartbeatCountWindow_s)
        worker_heartbeat_times_.pop_front();
    if (auto leader = leader_) {
        Response r = co_await leader->handle_heartbeat(std::move(*report), constants::kIdleHeartbeatHold_s,
                                                       HeartbeatRoute::kDirect);
        if (r.status == 200) co_return r;
        if (leader_ == leader && election_.leading()) co_return r;
    }
    const std::string& to = election_.leader();
    if (to.empty() || to == config_.label)
        co_return Response{421, encode_redirect(std::nullopt), 0, "application/msgpack"};
    if (redirections_.size() > constants::kRedirectionsKept) redirections_.clear();
    Redirection& p = redirections_[seen.machine];
    Seconds now = loop_.now();
    // A copy of the report that was pointed, or of an older one, does not show that its sender came back.
    bool newer = seen.newer_than(p.incarnation, p.sequence);
    bool back = p.leader == to && now - p.at < constants::kRelayAfterRedirection_s && newer;
    if (newer) {
        p.incarnation = seen.incarnation;
        p.sequence = seen.sequence;
    }
    if (returned_workers_.size() > constants::kRedirectionsKept) returned_workers_.clear();
    if (back && p.relayed_since < 0) returned_workers_[seen.zone][seen.machine] = now;
    // Workers of a zone cut off from the leader are passed on without being pointed there first.
    back = back || (newer && zone_cut(seen.zone));
    if (back && (p.relayed_since < 0 || now - p.relayed_since < constants::kRelayPeriod_s)) {
        // It was pointed to the leader and is here again: there is a cut between the two.
        if (p.relayed_since < 0 || p.leader != to) p.relayed_since = now;
        p.leader = to;
        p.at = now;
        auto r = co_await peers_.relay(to, std::move(body));
        if (r && r->status == 200) co_return *r;
        co_return Response{421, encode_redirect(std::nullopt), 0, "application/msgpack"};
    }
    p.leader = to;
    p.at = now;
    p.relayed_since = -1;
    co_return Response{421, encode_redirect(to), 0, "application/msgpack"};
}

bool Controller::zone_cut(const std::string& zone) {
    auto& back = returned_workers_[zone];
    // As far as the first recent ones: asked for each report, a look at all workers of a large zone would
    // cost the square of their number.
    size_t recent = 0;
    for (auto it = back.begin(); it != back.end() && recent < constants::kPartitionWitnesses;) {
        bool old = loop_.now() - it->second > constants::kRelayAfterRedirection_s;
        if (!old) ++recent;
        it = old ? back.erase(it) : std::next(it);
    }
    return recent >= constants::kPartitionWitnesses;
}

Task<Response> Controller::relayed(std::string body) {
    auto report = decode_heartbeat(body);
    auto leader = leader_;
    if (!report || !leader) co_return status(421);
    co_return co_await leader->handle_heartbeat(std::move(*report), constants::kRelayedHeartbeatHold_s,
                                                HeartbeatRoute::kRelayed);
}

Response Controller::operator_page(const std::string& path) {
    Response r;
    r.type = "text/plain; charset=utf-8";
    if (path == "/operator/jobs" && leader_) {
        r.body = leader_->jobs_page();
    } else if (path == "/operator/machines" && leader_) {
        r.body = leader_->machines_page();
    } else {
        r.body = fmt::format("{} leader {} epoch {}\n", config_.label,
                             election_.leader().empty() ? "unknown" : election_.leader(),
                             election_.known_fencing_token());
    }
    return r;
}

Task<Response> Controller::handle(Request request) {
    if (request.path == "/hello") {
        if (request.method != "POST") co_return status(405);
        // Its worker has given up and asks another node. A controller that has fallen so far behind would
        // else spend its share on answers that nobody reads, and never catch up.
        if (request.abandoned) co_return status(503);
        co_return co_await handle_heartbeat(std::move(request.body));
    }
    if (request.path == "/ready") {
        if (request.method != "GET") co_return status(405);
        co_return status(ready() ? 200 : 503);
    }
    if (request.path == "/operator" || request.path == "/operator/jobs" ||
        request.path == "/operator/machines") {
        if (request.method != "GET") co_return status(405);
        co_return operator_page(request.path);
    }
    co_return co_await users_.handle(request);
}

}  // namespace hareshore
