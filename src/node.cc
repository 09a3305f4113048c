#include "node.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

Response status(int code) {
    return {code, "", 0, "application/msgpack"};
}

// The nodes stand for election one after the other, in the order of their labels.
double place_of(const Config& c) {
    size_t before = 0;
    for (const auto& s : c.siblings)
        if (s.label < c.label) ++before;
    return c.siblings.empty() ? 0 : static_cast<double>(before) / static_cast<double>(c.siblings.size());
}

size_t connection_limit(const Config& c) {
    return static_cast<size_t>(static_cast<double>(c.sockets) * (1 - constants::kSocketReserve)) - 4;
}

size_t answer_limit(const Config& c) {
    if (c.ram_bytes == 0) return constants::kAnswerLimit;
    return std::clamp(c.ram_bytes / constants::kAnswerShare, constants::kAnswerLeast,
                      constants::kAnswerLimit);
}

const std::string kFlavorsKey = "flavors";

}  // namespace

Controller::Controller(Loop& loop, const Config& config, const Settings& settings)
    : loop_(loop),
      config_(config),
      settings_(settings),
      started_(loop.now()),
      state_(loop, config.state, answer_limit(config)),
      cloud_(loop, config.cloud, config.cloud_rps, config.siblings.size() + 1),
      election_(loop, state_, config.label, place_of(config)),
      users_(loop, config, state_, flavors_, form_,
             [this](const std::string& id) {
                 siblings_.tell_withdrawn(id);
                 told_withdrawn(id);
             }),
      siblings_(
          loop, config, [this] { return beat(); },
          [this](std::string body) { return relayed(std::move(body)); },
          [this](const std::string& id) { told_withdrawn(id); }),
      server_(loop, config.listen, connection_limit(config),
              [this](Request r) { return handle(std::move(r)); }),
      scope_(loop) {
    scope_.spawn(election_.run(), "election");
    scope_.spawn(follow_election(), "leadership");
    scope_.spawn(learn_flavors(), "machine types");
    scope_.spawn(follow_form(), "form of records");
}

Controller::~Controller() {
    stop();
}

void Controller::stop() {
    if (leader_) leader_->stop();
    scope_.cancel();
    server_.stop();
    siblings_.stop();
}

back::Beat Controller::beat() const {
    back::Beat b{};
    back::set_label(b, config_.label);
    b.epoch = election_.leading() ? election_.epoch() : election_.known_epoch();
    b.leads = election_.leading();
    b.ready = ready();
    auto ms = [&](Seconds since) {
        return static_cast<uint32_t>(std::clamp((loop_.now() - since) * 1000, 0.0, 4e9));
    };
    b.hellos = static_cast<uint16_t>(std::count_if(hellos_.begin(), hellos_.end(), [&](Seconds t) {
        return loop_.now() - t < constants::kHelloWindow_s;
    }));
    b.state_age_ms = state_.last_contact() < 0 ? UINT32_MAX : ms(state_.last_contact());
    b.quiet_ms = ms(users_.last_withdrawal());
    return b;
}

// What this node tells users itself its leader knows at once. Every sibling says which withdrawals it has
// told users of, or, in a version that does not say that, for how long it has told nobody of any. Where that
// reaches back to `since`, we miss none told between `since` and the time at which the sibling was asked.
Seconds Controller::vouched(Seconds since) const {
    Seconds until = loop_.now();
    for (const auto& p : siblings_.peers()) {
        if (!p.speaks_from(since)) return since;
        until = std::min(until, p.answered);
    }
    return std::max(since, until);
}

// A user is being told, here or by a sibling, that the job is withdrawn. Without a leader there is nothing to
// do: one that begins later reads the records after this, and finds it there.
void Controller::told_withdrawn(const std::string& id) {
    if (leader_) leader_->told_withdrawn(id);
}

bool Controller::all_upgraded() const {
    return std::all_of(siblings_.peers().begin(), siblings_.peers().end(),
                       [](const auto& p) { return p.form >= back::kForm; });
}

bool Controller::ready() const {
    if (form_.newer()) return false;  // of what is kept it understands nothing
    Seconds age = loop_.now() - std::max(state_.last_contact(), started_);
    if (state_.last_contact() < 0) {
        // Started in an outage: it has not learned the machine types, but tells users as well as any other
        // when to come back, and the load balancer need not find it anew when the outage is over. Not before
        // the siblings had time to say whether they are served.
        if (age < 2 * constants::kBeat_s) return false;
    } else {
        if (flavors_.empty()) return false;
        if (age < constants::kAlone_s) return true;
    }
    // In an outage for all, users are better answered than turned away; refused alone, others serve them.
    bool company = siblings_.peers().empty();
    for (const auto& p : siblings_.peers()) {
        if (loop_.now() - p.heard >= constants::kBeatFresh_s) continue;
        company = true;
        if (p.beat.ready && p.beat.state_age_ms < constants::kAlone_s * 1000 / 2) return false;
    }
    // Without the state service and all siblings this node is more likely cut off than they are all down:
    // a user who stays with it would ask in vain until the cut ends.
    return company || age < constants::kCutOff_s;
}

Task<void> Controller::follow_election() {
    while (true) {
        co_await loop_.wait(election_.changed(), loop_.now() + constants::kBeat_s);
        for (const auto& p : siblings_.peers())
            if (loop_.now() - p.heard < constants::kBeatFresh_s)
                // One that does not lead vouches for the term all the same: the new leader itself may be
                // behind a cut from here.
                election_.heard(p.beat.leads ? p.who.label : "", p.beat.epoch);
        resign_if_cut_off();
        if (leader_ && (!election_.leading() || leader_->epoch() != election_.epoch())) {
            leader_->stop();
            leader_.reset();
        }
        if (!leader_ && election_.leading()) {
            Leader::Term term{election_.epoch(), election_.stamp(), kLeaderKey};
            uint64_t epoch = election_.epoch();
            leader_ = std::make_shared<Leader>(
                loop_, config_, settings_, state_, cloud_, term, flavors_,
                [this](Seconds since) { return vouched(since); },
                [this, epoch] { return election_.epoch() == epoch && election_.confirmed(); },
                [this, epoch](const char* why) {
                    if (election_.epoch() == epoch) election_.deposed(why);
                },
                form_, [this] { return all_upgraded(); });
            leader_->start();
        }
    }
}

// A leader that keeps the state service but hears no worker, while others hear them, is cut off from them.
void Controller::resign_if_cut_off() {
    if (!leader_ || !election_.leading() || leader_->loaded_for() < constants::kResignQuiet_s) return;
    if (leader_->machines_reported() < constants::kResignMachines) return;
    if (!hellos_.empty() && loop_.now() - hellos_.back() < constants::kResignQuiet_s) return;
    for (const auto& p : siblings_.peers()) {
        if (loop_.now() - p.heard > constants::kBeatFresh_s || p.beat.hellos < constants::kResignMachines)
            continue;
        log::info("no worker reaches this node, but {} hears them", p.who.label);
        election_.resign(constants::kResignOut_s);
        return;
    }
}

Task<void> Controller::learn_flavors() {
    // What an earlier leader kept is at hand sooner than the cloud's word, and also while the cloud is away.
    // Later changes of prices concern only the leader, which reads them itself.
    while (flavors_.empty()) {
        GetResult kept = co_await state_.get(kFlavorsKey, constants::kStateCall_s);
        if (kept.reply == Reply::kOk) {
            if (auto f = Cloud::unpack_flavors(kept.entry.data)) flavors_ = std::move(*f);
        }
        if (!flavors_.empty()) break;
        auto got = co_await cloud_.flavors();
        if (got) flavors_ = std::move(*got);
        if (flavors_.empty()) co_await loop_.sleep(constants::kRetryPauseMax_s / 2);
    }
}

// Until the newest form is in force; no version goes back after that.
Task<void> Controller::follow_form() {
    while (form_.kept < kNewestForm) {
        co_await learn_form(state_, form_);
        if (form_.kept < kNewestForm) co_await loop_.sleep(constants::kFormEvery_s);
    }
    if (form_.newer()) election_.bar();
}

Task<Response> Controller::hello(std::string body) {
    auto report = Report::parse(body);
    if (!report) co_return status(400);
    Report seen = *report;
    seen.tasks.clear();
    hellos_.push_back(loop_.now());
    while (hellos_.size() > constants::kPointed || loop_.now() - hellos_.front() > constants::kHelloWindow_s)
        hellos_.pop_front();
    if (auto leader = leader_) {
        Response r = co_await leader->hello(std::move(*report), constants::kHoldReport_s, true);
        if (r.status == 200) co_return r;
        if (leader_ == leader && election_.leading()) co_return r;
    }
    const std::string& to = election_.leader();
    if (to.empty() || to == config_.label)
        co_return Response{421, pack_redirect(""), 0, "application/msgpack"};
    if (pointed_.size() > constants::kPointed) pointed_.clear();
    Pointed& p = pointed_[seen.host];
    Seconds now = loop_.now();
    // A copy of the report that was pointed, or of an older one, does not show that its sender came back.
    bool newer = seen.newer_than(p.session, p.seq);
    bool back = p.leader == to && now - p.at < constants::kRelayAfter_s && newer;
    if (newer) {
        p.session = seen.session;
        p.seq = seen.seq;
    }
    if (came_back_.size() > constants::kPointed) came_back_.clear();
    if (back && p.relayed_since < 0) came_back_[seen.zone][seen.host] = now;
    // Workers of a zone cut off from the leader are passed on without being pointed there first.
    back = back || (newer && zone_cut(seen.zone));
    if (back && (p.relayed_since < 0 || now - p.relayed_since < constants::kRelayFor_s)) {
        // It was pointed to the leader and is here again: there is a cut between the two.
        if (p.relayed_since < 0 || p.leader != to) p.relayed_since = now;
        p.leader = to;
        p.at = now;
        auto r = co_await siblings_.relay(to, std::move(body));
        if (r && r->status == 200) co_return *r;
        co_return Response{421, pack_redirect(""), 0, "application/msgpack"};
    }
    p.leader = to;
    p.at = now;
    p.relayed_since = -1;
    co_return Response{421, pack_redirect(to), 0, "application/msgpack"};
}

bool Controller::zone_cut(const std::string& zone) {
    auto& back = came_back_[zone];
    std::erase_if(back, [&](const auto& w) { return loop_.now() - w.second > constants::kRelayAfter_s; });
    return back.size() >= constants::kCutWitnesses;
}

Task<Response> Controller::relayed(std::string body) {
    auto report = Report::parse(body);
    auto leader = leader_;
    if (!report || !leader) co_return status(421);
    co_return co_await leader->hello(std::move(*report), constants::kHoldRelayed_s, false);
}

Response Controller::operator_page(const std::string& path) {
    Response r;
    r.type = "text/plain; charset=utf-8";
    if (path == "/operator/jobs" && leader_) {
        r.body = leader_->jobs_page();
    } else if (path == "/operator/machines" && leader_) {
        r.body = leader_->machines_page();
    } else {
        r.body =
            fmt::format("{} leader {} epoch {}\n", config_.label,
                        election_.leader().empty() ? "unknown" : election_.leader(), election_.known_epoch());
    }
    return r;
}

Task<Response> Controller::handle(Request q) {
    if (q.path == "/hello") {
        if (q.method != "POST") co_return status(405);
        co_return co_await hello(std::move(q.body));
    }
    if (q.path == "/ready") {
        if (q.method != "GET") co_return status(405);
        co_return status(ready() ? 200 : 503);
    }
    if (q.path == "/operator" || q.path == "/operator/jobs" || q.path == "/operator/machines") {
        if (q.method != "GET") co_return status(405);
        co_return operator_page(q.path);
    }
    co_return co_await users_.handle(q);
}

}  // namespace hareshore
