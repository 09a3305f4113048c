#include "leader/leader.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

// Keeps the leader alive while one of its routines runs.
Task<void> holding(std::shared_ptr<Leader> self, Task<void> task) {
    (void)self;
    co_await task;
}

const std::string kMachineTypesKey = "flavors";

}  // namespace

Leader::Leader(Loop& loop, const Config& config, const Settings& settings, StateService& state, Cloud& cloud,
               Term term, std::vector<MachineType> machine_types, RenewalBound renewal_bound,
               Confirmed confirmed, NoOtherLeader no_other_leader, Deposed deposed,
               RecordFormat& record_format, AllUpgraded all_upgraded)
    : loop_(loop),
      config_(config),
      settings_(settings),
      state_(state),
      cloud_(cloud),
      term_(std::move(term)),
      renewal_bound_(std::move(renewal_bound)),
      confirmed_(std::move(confirmed)),
      no_other_leader_(std::move(no_other_leader)),
      deposed_(std::move(deposed)),
      record_format_(record_format),
      all_upgraded_(std::move(all_upgraded)),
      writes_(config.write_rps * constants::kLeaderShare,
              std::max(2.0, config.write_rps * constants::kLeaderShare)),
      ready_(loop),
      dirty_(loop),
      ask_(loop),
      pass_done_(loop),
      scope_(loop) {
    cluster_.machine_types = std::move(machine_types);
}

void Leader::spawn(Task<void> task, const char* name) {
    scope_.spawn(holding(shared_from_this(), std::move(task)), name);
}

void Leader::start() {
    spawn(load(), "load");
}

void Leader::stop() {
    stopped_ = true;
    scope_.cancel();
    ready_.notify();
    pass_done_.notify();
    for (auto& [name, l] : worker_sessions_) l->wake.notify();
}

Leader::WorkerSession& Leader::worker_session(const std::string& machine) {
    auto& l = worker_sessions_[machine];
    if (!l) l = std::make_unique<WorkerSession>(loop_);
    return *l;
}

void Leader::wake(const std::string& machine) {
    auto it = worker_sessions_.find(machine);
    if (it != worker_sessions_.end()) it->second->wake.notify();
}

// --- records ------------------------------------------------------------------------------------------

Task<void> Leader::load() {
    Seconds began = loop_.now();
    while (!co_await learn_record_format(state_, record_format_))
        co_await loop_.sleep(constants::kRetryPause_s * 2);
    while (!co_await read_records()) co_await loop_.sleep(constants::kRetryPause_s * 2);
    loaded_ = true;
    loaded_at_ = loop_.now();
    log::info("view rebuilt from {} records in {:.0f} ms", jobs_.size(), (loaded_at_ - began) * 1000);
    ready_.notify();
    spawn(run_passes(), "scheduling passes");
    spawn(watch(), "watch");
    spawn(commit(), "commit");
    spawn(raise_record_format(), "record format");
    spawn(read_prices(), "prices");
    spawn(read_machines(), "machine list");
    spawn(run_fleet(), "fleet");
}

Task<bool> Leader::read_records() {
    std::string from;
    uint64_t revision = 0;
    Seconds began = loop_.now();
    while (true) {
        ListResult page =
            co_await state_.list(kLivePrefix, from, constants::kStatePage, constants::kStateCall_s * 2);
        if (page.reply != Reply::kOk) co_return false;
        if (revision == 0) revision = page.revision;  // changes since the first page are watched
        for (auto& e : page.entries) {
            from = e.key;
            Change c{e.key, false, e.mod_revision, std::move(e.data)};
            take_change(c);
        }
        if (!page.more) break;
    }
    revision_ = revision;
    watched_until_ = began;
    co_return true;
}

void Leader::take_change(const Change& c) {
    if (c.dropped) return;  // only this leader drops records, and it knows
    auto record = JobRecord::unpack(c.data);
    if (!record || live_key(record->spec.id) != c.key) {
        std::string id = c.key.substr(kLivePrefix.size());
        if (!jobs_.quarantined(id))
            log::error(
                "record {} is {}: nothing is decided about this job", c.key,
                newer_record_format(c.data) ? "of a format newer than this version knows" : "not readable");
        jobs_.quarantine(id);
        return;
    }
    auto it = finished_.find(record->spec.id);
    if (it != finished_.end() && c.mod_revision <= it->second) return;  // an echo from before its end
    Job& job = jobs_.load(*record, c.mod_revision, loop_.now(), loop_.wall());
    // Read before it was cancelled, and told of since.
    if (!job.cancelled && cancellation_notices_.contains(job.spec.id)) jobs_.cancel(job, loop_.now());
    for (const auto& [task, p] : job.live) {
        Machine& h = cluster_.ensure(p.machine, loop_.now());
        if (h.zone.empty()) h.zone = p.zone;
    }
}

Task<void> Leader::watch() {
    Seconds pause = 0;
    while (true) {
        Seconds sent = loop_.now();
        ChangesResult r = co_await state_.changes(kLivePrefix, revision_, constants::kWatchWait_s);
        if (r.reply == Reply::kOk) {
            pause = 0;
            for (const auto& c : r.changes) take_change(c);
            revision_ = std::max(revision_, r.revision);
            watched_until_ = std::max(watched_until_, sent);
            std::erase_if(cancellation_notices_, [&](const auto& t) { return t.second < watched_until_; });
            if (!r.changes.empty()) request_pass();
            continue;
        }
        if (r.reply == Reply::kAbsent && co_await read_records()) {
            // Never at once again: a service that keeps saying so must not be stampeded.
            request_pass();
            co_await loop_.sleep(constants::kRetryPause_s);
            continue;
        }
        pause = std::clamp(pause * 2, constants::kRetryPause_s, constants::kRetryPauseMax_s);
        co_await loop_.sleep(pause);
    }
}

// One transaction at a time, each conditioned on the leadership key and on the records' mod revisions, so
// that a late copy of it can change nothing.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): one batch; to be split
Task<void> Leader::commit() {
    Seconds pause = 0;
    uint64_t record_format = record_format_.in_force();
    size_t alone = 0;  // so many records are sent one by one, to learn which of them is refused
    while (true) {
        if (record_format != record_format_.in_force()) {
            record_format = record_format_.in_force();
            jobs_.requeue_all();
        }
        if (!jobs_.any_dirty()) {
            co_await loop_.wait(dirty_, -1);
            continue;
        }
        Seconds wait = writes_.until(2, loop_.now());
        if (wait > 0) {
            co_await loop_.sleep(wait);
            continue;
        }
        size_t ops = std::min(config_.txn_ops, static_cast<size_t>(writes_.left(loop_.now())));
        std::vector<Job*> batch =
            jobs_.take_dirty(std::max<size_t>(2, ops), constants::kTxnBytes, record_format);
        if (alone > 0 && !batch.empty()) {
            --alone;
            for (size_t i = 1; i < batch.size(); ++i) jobs_.requeue(*batch[i]);
            batch.resize(1);
        }
        Txn txn;
        txn.expect(term_.key, term_.mod_revision);
        std::vector<std::string> ids;
        std::set<std::string> final_ids;
        for (Job* j : batch) {
            const std::string& id = j->spec.id;
            bool final = j->cancelled ? j->live.empty() : j->over();
            std::string data;
            if (!final) {
                if (j->write_deferred(record_format)) continue;
                data = j->record().pack(record_format);
                // What the service would refuse is not sent. Until the job's next change the record says
                // that tasks are live which are not, never the other way round: starts are bounded
                // by its room.
                if (json_size(data) > config_.value_limit(record_format)) {
                    defer_write(*j, j->version, record_format, "too large for the state service");
                    continue;
                }
            }
            ids.push_back(id);
            j->inflight = j->version;
            txn.expect(live_key(id), j->mod_revision);
            if (final) {
                FinalRecord f{id, j->cancelled, j->spec.tasks, j->done.size()};
                txn.put(final_key(id), f.pack()).drop(live_key(id));
                final_ids.insert(id);
            } else {
                txn.put(live_key(id), std::move(data));
            }
        }
        if (ids.empty()) continue;
        writes_.take(static_cast<double>(txn.writes.size()), loop_.now());
        TxnResult r = co_await state_.commit(std::move(txn), constants::kStateCall_s);
        if (r.reply == Reply::kOk) {
            pause = 0;
            std::set<std::string> machines;
            for (const auto& id : ids) {
                Job* j = jobs_.find(id);
                if (!j) continue;
                j->mod_revision = r.revision;
                j->committed = j->inflight;
                for (const auto& [task, p] : j->live) machines.insert(p.machine);
                if (final_ids.contains(id)) finished(id, r.revision);
            }
            for (const auto& h : machines) wake(h);
            continue;
        }
        if (r.reply == Reply::kInvalid && ids.size() == 1) {
            if (Job* j = jobs_.find(ids[0])) {
                defer_write(*j, j->inflight, record_format, "refused by the state service");
                if (!j->write_deferred(record_format)) jobs_.requeue(*j);  // it has changed since
            }
            continue;
        }
        if (r.reply == Reply::kInvalid) alone = ids.size();
        for (const auto& id : ids)
            if (Job* j = jobs_.find(id)) jobs_.requeue(*j);
        if (r.reply == Reply::kConflict) {
            if (std::find(r.failed.begin(), r.failed.end(), term_.key) != r.failed.end()) {
                deposed_("the leadership key has changed");
                co_return;
            }
            for (const auto& id : ids)
                if (std::find(r.failed.begin(), r.failed.end(), live_key(id)) != r.failed.end())
                    co_await reread(id);
            request_pass();
            continue;
        }
        if (r.reply == Reply::kRefused || r.reply == Reply::kLimited) writes_.drain(loop_.now());
        pause = std::clamp(pause * 2, constants::kRetryPause_s, constants::kRetryPauseMax_s);
        co_await loop_.sleep(pause);
    }
}

void Leader::defer_write(Job& job, uint64_t version, uint64_t record_format, const char* why) {
    if (job.deferred_format == 0)
        log::error("job {}: its record of {} bytes is {}; it is kept here and written when it is smaller",
                   job.spec.id, job.record_bytes(record_format), why);
    job.deferred_version = version;
    job.deferred_format = record_format;
}

// Format 2 is written from when every controller reads it, so that whoever leads next does. The key is put
// once and stays.
Task<void> Leader::raise_record_format() {
    while (record_format_.kept < kNewestRecordFormat) {
        if (all_upgraded_()) {
            Txn txn;
            txn.expect(term_.key, term_.mod_revision)
                .expect(kRecordFormatKey, 0)
                .put(kRecordFormatKey, pack_record_format(kNewestRecordFormat));
            writes_.take(1, loop_.now());
            co_await state_.commit(std::move(txn), constants::kStateCall_s);
            // Whatever became of it, the key tells.
            co_await learn_record_format(state_, record_format_);
        }
        if (record_format_.kept < kNewestRecordFormat) co_await loop_.sleep(constants::kRecordFormatEvery_s);
    }
    dirty_.notify();
}

// A record has another mod revision than expected: its user withdrew the job, or an answer of ours was lost.
Task<bool> Leader::reread(std::string id) {
    GetResult got = co_await state_.get(live_key(id), constants::kStateCall_s);
    if (got.reply == Reply::kOk) {
        take_change({live_key(id), false, got.entry.mod_revision, got.entry.data});
        co_return true;
    }
    if (got.reply != Reply::kAbsent) co_return false;
    GetResult end = co_await state_.get(final_key(id), constants::kStateCall_s);
    if (end.reply == Reply::kOk) finished(id, end.entry.mod_revision);
    if (end.reply == Reply::kAbsent) log::error("job {}: its record is gone", id);
    co_return end.reply == Reply::kOk;
}

void Leader::finished(const std::string& id, uint64_t revision) {
    jobs_.erase(id);
    finished_[id] = revision;
    finished_order_.push_back(id);
    if (finished_order_.size() > constants::kFinalCache) {
        finished_.erase(finished_order_.front());
        finished_order_.pop_front();
    }
}

// --- workers ------------------------------------------------------------------------------------------

// The right to renew: what this answer keeps alive ends at the latest lease_s after the report was sent,
// and no task may outlive cancel_s after its user was told of the cancellation. So an answer is allowed
// while no cancellation older than the difference can be missing here.
bool Leader::may_renew() {
    Seconds span = (config_.cancel_s - config_.lease_s) * (1 - constants::kDrift) - constants::kRenewMargin_s;
    Seconds now = loop_.now();
    // What was known once stays known, also when a peer begins anew and can no longer speak for it.
    cancellations_known_until_ = std::max(cancellations_known_until_, watched_until_);
    cancellations_known_until_ =
        std::max(cancellations_known_until_, renewal_bound_(cancellations_known_until_));
    return now < cancellations_known_until_ + span;
}

// Known here before the state service can say so, the cancellation is none that the renewal right must wait
// for: letting all leases run out because of a single job cost the work of the whole fleet.
void Leader::note_cancellation(const std::string& id) {
    cancellation_notices_[id] = loop_.now();
    Job* job = jobs_.find(id);
    if (!job || job->cancelled) return;
    log::info("job {}: cancelled, as confirmed to its user", id);
    jobs_.cancel(*job, loop_.now());
    request_pass();
}

Task<Response> Leader::handle_report(Report r, Seconds hold, bool direct) {
    Response no{503, "", 0, "application/msgpack"};
    if (r.epoch > term_.epoch) {
        deposed_("a worker has seen a later epoch");
        co_return no;
    }
    Seconds began = loop_.now();
    while (!loaded_ && !stopped_)
        if (co_await loop_.wait(ready_, began + hold) == Wake::kTimeout) co_return no;
    if (stopped_ || gone_.contains(r.machine)) co_return no;

    std::string name = r.machine;
    Machine* h = &cluster_.ensure(name, loop_.now());
    if (h->reported && !r.newer_than(h->session, h->seq)) co_return no;  // a late copy
    uint64_t mine = ++worker_session(name).reports;
    bool heard = h->unheard_since < 0;
    h->judge_hearing(r, direct, config_.lease_s, loop_.now());
    bool first = h->answered_at < 0;
    h->reported = true;
    h->last_report = loop_.now();
    bool was_current = h->current;
    h->current = r.epoch == term_.epoch;
    // Also a machine that does not take up this epoch hears nothing.
    if (h->current && !was_current) h->unheard_since = -1;
    if (!h->current && !first && h->unheard_since < 0) h->unheard_since = loop_.now();
    if (heard != (h->unheard_since < 0))
        log::debug("machine {}: {}", name, heard ? "answers to it seem lost" : "hears us again");
    bool noticed = h->leaves_at >= 0;
    // Only a machine that has seen this epoch can no longer be given launches by an earlier leader, so only
    // then does a task's absence prove anything.
    jobs_.apply(cluster_, *h, r, h->current, loop_.now());
    if (h->leaves_at >= 0 && !noticed) drain(*h);
    worker_session(name).wake.notify();  // an older report of it, if one is held, is let go
    struct Held {
        Leader& l;
        const std::string& name;
        ~Held() {
            if (Machine* x = l.cluster_.machine(name)) x->holding = false;
        }
    };
    {
        // It asks for work in the next scheduling pass.
        Held held{*this, name};
        h->holding = true;
        uint64_t round = passes_;
        request_pass();
        Seconds until = std::min(began + hold, loop_.now() + constants::kPassWait_s);
        while (passes_ == round && !stopped_)
            if (co_await loop_.wait(pass_done_, until) == Wake::kTimeout) break;
    }

    // A commit is waited for from when it is needed, which may be late in a hold, but not past the time at
    // which the worker gives up.
    Seconds commit_until = -1;
    while (true) {
        h = cluster_.machine(name);
        if (stopped_ || !h || worker_session(name).reports != mine) co_return no;
        Seconds until = -1;
        bool commits = jobs_.awaits_commit(*h);
        if (commits) {
            if (commit_until < 0)
                commit_until =
                    std::min(loop_.now() + constants::kCommitWait_s, began + hold + constants::kCommitLast_s);
            until = commit_until;
        } else if (h->usable && h->idle()) {
            until = began + hold;
        } else if (h->usable && replica_ && h->free.holds(*replica_) && jobs_.settled_on(*h)) {
            // A replica that comes or is lost does not wait for the next report. Not for long: changes on the
            // machine are told in its next report, which does not go out before this is answered.
            until = began + std::min(hold, constants::kHoldBusy_s);
        }
        if (loop_.now() >= until) break;
        Held held{*this, name};
        h->holding = !commits;
        co_await loop_.wait(worker_session(name).wake, until);
    }
    if (!may_renew()) {
        log::info("report of {} refused: a withdrawal could be missing", name);
        co_return no;
    }
    Response ok;
    std::vector<Command> commands = jobs_.commands(*h, h->current);
    for (const auto& o : commands)
        log::debug("{} {} attempt {} to {}",
                   o.verb == CommandKind::kLaunch ? "launch"
                   : o.verb == CommandKind::kStop ? "stop"
                                                  : "forget",
                   o.name.text(), o.attempt, name);
    ok.body = pack_report_answer(term_.epoch, commands);
    h->answered(direct && !worker_session(name).command_in_flight, loop_.now());
    co_return ok;
}

// A machine is about to be taken: what can save does so now, and replicas move at once. From a machine that
// is only to be returned they move one by one (JobTable::move_replicas).
void Leader::drain(Machine& h) {
    auto tasks = jobs_.on_machine(h.name);
    for (const auto& r : tasks)
        if (r.job->spec.service() ? h.leaves_at >= 0 : r.job->spec.checkpoint_s > 0)
            jobs_.stop(*r.job, r.task, loop_.now());
}

// Matching looks at all machines and the queue's head. Done for each report by itself it would cost the
// number of machines squared, and at a take-over or in a crowd take the leader's whole processor share: what
// comes within a scheduling pass is decided together.
Task<void> Leader::run_passes() {
    while (true) {
        while (!wanted_) co_await loop_.wait(ask_, -1);
        if (loop_.now() < next_pass_) co_await loop_.sleep(next_pass_ - loop_.now());
        wanted_ = false;
        Seconds began = loop_.now();
        step();
        // With a fleet or a queue that is large for this machine's share of a core, scheduling passes come
        // less often: workers lose their tasks if they are not answered, and nothing if they wait for work.
        Seconds took = loop_.now() - began;
        next_pass_ = began + std::max(constants::kPassInterval_s, took * (1 + constants::kPassRest));
        longest_pass_ = std::max(longest_pass_, took);
        ++passes_;
        pass_done_.notify();
    }
}

void Leader::request_pass() {
    wanted_ = true;
    ask_.notify();
}

void Leader::step() {
    if (!loaded_ || stopped_) return;
    cluster_.recount(jobs_, loop_.now(), constants::kFreshReports * config_.report_s);
    replica_.reset();
    for (const auto& [id, j] : jobs_.all()) {
        if (!j->spec.service() || j->cancelled) continue;
        Amount a = Amount::of(j->spec);
        if (replica_)
            a = {std::min(a.cpus, replica_->cpus), std::min(a.gpus, replica_->gpus),
                 std::min(a.memory_gb, replica_->memory_gb)};
        replica_ = a;
    }
    SchedulerInput in{config_, settings_, loop_.now(), {}, nullptr, record_format_.in_force()};
    for (auto& [name, h] : cluster_.machines)
        if (h->holding) in.askers.push_back(h.get());
    for (const auto& b : schedule(cluster_, jobs_, in))
        log::debug("bound {}/{} attempt {} to {}", b.job->spec.id, b.task, b.job->live.at(b.task).attempt,
                   b.machine->name);
    for (const auto& machine : jobs_.take_urgent()) {
        WorkerSession& l = worker_session(machine);
        if (l.command_in_flight) {
            l.again = true;
        } else if (Machine* h = cluster_.machine(machine); h && !h->addr.empty()) {
            l.command_in_flight = true;
            spawn(send_stops(machine), "stop commands");
        }
    }
    if (jobs_.any_dirty()) dirty_.notify();
}

// Stops go at once; a gang must hear of its stop within gang_peer_s.
Task<void> Leader::send_stops(std::string machine) {
    do {
        worker_session(machine).again = false;
        Machine* h = cluster_.machine(machine);
        Address to;
        if (!h || !Address::parse(h->addr, to)) break;
        std::vector<Command> stops = jobs_.commands(*h, false);
        std::erase_if(stops, [](const Command& o) { return o.verb != CommandKind::kStop; });
        // One that has not reported to this leader may be held by another that knows less. Its session is
        // learned from its refusal; a command that it takes also tells it of this epoch, and through it the
        // other.
        uint64_t session = h->session;
        if (session == 0)
            for (const auto& r : jobs_.on_machine(machine))
                if (r.job->cancelled)
                    stops.push_back({CommandKind::kStop, {r.job->spec.id, r.task}, r.placement->attempt, 0});
        if (stops.empty()) break;
        h->answered_direct = false;  // the command numbers a report, whether or not its answer arrives
        auto report = co_await send_commands(loop_, to, term_.epoch, h->session, std::move(stops));
        h = cluster_.machine(machine);
        if (report && h && report->newer_than(h->session, h->seq)) {
            jobs_.apply(cluster_, *h, *report, false, loop_.now());
            request_pass();
            if (session == 0) worker_session(machine).again = true;
        }
    } while (worker_session(machine).again);
    if (cluster_.machine(machine)) {
        worker_session(machine).command_in_flight = false;
    } else {
        worker_sessions_.erase(machine);
    }
}

// --- fleet --------------------------------------------------------------------------------------------

Task<void> Leader::read_prices() {
    while (true) {
        auto machine_types = co_await cloud_.machine_types();
        if (machine_types) {
            cluster_.machine_types = std::move(*machine_types);
            if (!machine_types_kept_) {
                // Kept for controllers that start while the cloud is away.
                std::string data = Cloud::pack_machine_types(cluster_.machine_types);
                if (json_size(data) > config_.value_limit(kNewestRecordFormat)) {
                    log::info("the machine types are too many to be kept in the state service");
                    machine_types_kept_ = true;
                } else {
                    Txn txn;
                    txn.expect(term_.key, term_.mod_revision).put(kMachineTypesKey, std::move(data));
                    TxnResult r = co_await state_.commit(std::move(txn), constants::kStateCall_s);
                    machine_types_kept_ = r.reply == Reply::kOk || r.reply == Reply::kInvalid;
                }
            }
            co_await loop_.sleep(constants::kMachineTypesEvery_s);
        } else {
            co_await loop_.sleep(constants::kRetryPauseMax_s);
        }
    }
}

Task<void> Leader::read_machines() {
    while (true) {
        Seconds asked = loop_.now();
        auto list = co_await cloud_.list();
        if (list) {
            for (const auto& m : *list) {
                if (gone_.contains(m.name)) continue;
                Machine& h = cluster_.ensure(m.name, loop_.now());
                if (!h.listed) {
                    h.listed = true;
                    h.born = asked - m.age_s;
                    if (!h.reported) {
                        h.addr = m.addr;
                        h.machine_type = m.machine_type;
                        h.zone = m.zone;
                        h.spot = m.spot;
                    }
                }
                // Lists may be older than the one before: a machine goes forward only.
                if (m.phase > h.phase) h.phase = m.phase;
            }
        }
        co_await loop_.sleep(list ? constants::kListEvery_s : constants::kRetryPauseMax_s);
    }
}

bool Leader::kind_seen_spot_only() const {
    bool any = false;
    for (const auto& [id, j] : jobs_.all()) {
        any = true;
        if (!j->spec.spot) return false;
    }
    return any;
}

Task<void> Leader::run_fleet() {
    while (true) {
        Seconds slept = loop_.now();
        co_await loop_.sleep(constants::kFleetTick_s);
        // Who stood still heard nobody: the machines were not silent, we did not listen.
        if (loop_.now() - slept > constants::kFleetTick_s + constants::kStoodStill_s) {
            log::info("stood still for {:.1f} s", loop_.now() - slept - constants::kFleetTick_s);
            listening_since_ = loop_.now();
        }
        request_pass();  // time has passed: what was held may go
        return_machines_holding_cancelled();
        if (loop_.now() - stops_repeated_at_ >= config_.report_s) {
            stops_repeated_at_ = loop_.now();
            jobs_.repeat_stops(loop_.now() - config_.report_s);
        }
        // A leader that was cut off or stood still may have been followed by another: what it rents and
        // returns by its old view would undo the other's work. Cut off for 120 s, one returned the whole
        // fleet.
        if (!confirmed_()) continue;
        if (cluster_.machine_types.empty()) continue;
        // The machine list lags; what an earlier leader rented shows up only after that.
        if (term_.epoch > 1 && loop_.now() - loaded_at_ < constants::kLeaderSettle_s) continue;
        jobs_.find_stragglers(cluster_, loop_.now());
        jobs_.move_replicas(cluster_, loop_.now());
        FleetInput in{config_,        settings_, loop_.now(), std::max(loaded_at_, listening_since_),
                      refused_until_, on_order_, true,        kind_seen_spot_only(),
                      cut_at_};
        cluster_.recount(jobs_, loop_.now(),
                         constants::kFreshReports * config_.report_s);  // without what is kept
        account(constants::kFleetTick_s);
        FleetPlan plan = plan_fleet(cluster_, jobs_, in);
        for (const auto& zone : plan.cut) {
            if (loop_.now() - cut_at_[zone] > constants::kWhyLog_s) log::info("zone {} seems cut off", zone);
            cut_at_[zone] = loop_.now();
        }
        for (auto& r : plan.rent) {
            while (r.number > 0) {
                Rental part{r.kind, std::min(r.number, constants::kRentAtMost)};
                r.number -= part.number;
                on_order_.push_back(part);
                spawn(rent(part), "rent");
            }
        }
        return_machines(plan);
        for (const auto& name : plan.empty_out) {
            Machine* h = cluster_.machine(name);
            if (!h) continue;
            log::info("machine {}: its {} tasks are moved, so that it can be returned", name, h->placed);
            h->emptying = true;
            drain(*h);
        }
        log_waiting();
        log_fleet();
    }
}

void Leader::return_machines(const FleetPlan& plan) {
    std::vector<std::string> names;
    std::set<std::string> silent;
    auto send = [&] {
        if (!names.empty()) spawn(remove(std::exchange(names, {}), std::exchange(silent, {})), "return");
    };
    for (const auto& name : plan.give_back) {
        Machine* h = cluster_.machine(name);
        if (!h || h->deleting) continue;
        h->deleting = true;
        log::info("machine {} returned: {}", name, plan.reasons.at(name));
        names.push_back(name);
        if (plan.silent.contains(name)) silent.insert(name);
        if (names.size() == constants::kDeleteAtMost) send();
    }
    send();
}

// Before anything is asked of the cloud.
Task<void> Leader::confirmation() {
    while (!confirmed_()) co_await loop_.sleep(constants::kRetryPause_s);
}

Task<void> Leader::rent(Rental rental) {
    // The epoch is never reused, so neither is the claim; it is repeated until its answer is known.
    std::string claim = "r-" + std::to_string(term_.epoch) + "-" + std::to_string(++claims_);
    Seconds pause = constants::kRetryPause_s;
    while (true) {
        co_await confirmation();
        RentResult r = co_await cloud_.rent(claim, rental.kind.machine_type, rental.kind.zone,
                                            rental.kind.spot, rental.number);
        if (r.result == Rent::kRented || r.result == Rent::kNoCapacity) {
            for (const auto& name : r.machines) {
                if (gone_.contains(name)) continue;
                Machine& h = cluster_.ensure(name, loop_.now());
                if (h.reported) continue;
                h.machine_type = rental.kind.machine_type;
                h.zone = rental.kind.zone;
                h.spot = rental.kind.spot;
            }
            log::info("rented {} of {} {} in {}{}", r.machines.size(), rental.number,
                      rental.kind.machine_type, rental.kind.zone, rental.kind.spot ? ", spot" : "");
            if (r.machines.size() < static_cast<size_t>(rental.number))
                refused_until_[rental.kind] = loop_.now() + constants::kNoCapacity_s;
            break;
        }
        co_await loop_.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryPauseMax_s);
    }
    for (auto it = on_order_.begin(); it != on_order_.end(); ++it) {
        if (it->kind == rental.kind && it->number == rental.number) {
            on_order_.erase(it);
            break;
        }
    }
}

Task<void> Leader::remove(std::vector<std::string> names, std::set<std::string> silent) {
    Seconds pause = constants::kRetryPause_s;
    Seconds decided = loop_.now();
    bool perhaps = false;  // a request may have been carried out, or may yet be
    while (true) {
        // Whoever was silent and is heard before the cloud could be asked is kept.
        if (!perhaps)
            std::erase_if(names, [&](const std::string& name) {
                Machine* h = cluster_.machine(name);
                if (!h || !silent.contains(name) || h->last_report <= decided) return false;
                if (holds_cancelled(name)) return false;
                log::info("machine {}: heard again, kept", name);
                h->deleting = false;
                return true;
            });
        if (names.empty()) co_return;
        std::vector<std::string> asked;
        if (confirmed_()) {
            asked = names;
        } else if (no_other_leader_()) {
            for (const auto& name : names)
                if (holds_cancelled(name)) asked.push_back(name);
        }
        if (asked.empty()) {
            co_await loop_.sleep(constants::kRetryPause_s);
            continue;
        }
        Removal r = co_await cloud_.remove(asked);
        if (r == Removal::kDone) {
            gone(asked);
            std::erase_if(names, [&](const std::string& name) { return gone_.contains(name); });
            continue;
        }
        perhaps = perhaps || r == Removal::kUnknown;
        co_await loop_.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryPauseMax_s);
    }
}

// Their deletion was confirmed.
void Leader::gone(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        jobs_.machine_gone(name, loop_.now());
        cluster_.machines.erase(name);
        worker_sessions_.erase(name);  // wakes what waits on it
        if (gone_.insert(name).second) gone_order_.push_back(name);
        if (gone_order_.size() > constants::kGone) {
            gone_.erase(gone_order_.front());
            gone_order_.pop_front();
        }
    }
    request_pass();
}

bool Leader::holds_cancelled(const std::string& machine) const {
    const auto& tasks = jobs_.on_machine(machine);
    return std::any_of(tasks.begin(), tasks.end(), [](const Resident& r) { return r.job->cancelled; });
}

// In an outage of the state service for all this cannot wait for a confirmation. Where every peer knows
// of no later leader there is none whose work could be undone; and no rule breaks if there were, since a
// machine that is deleted runs nothing.
void Leader::return_machines_holding_cancelled() {
    if (!confirmed_() && !no_other_leader_()) return;
    FleetPlan plan;
    plan.give_back = machines_holding_cancelled(cluster_, jobs_, config_, loop_.now(),
                                                std::max(loaded_at_, listening_since_));
    for (const auto& name : plan.give_back) {
        plan.silent.insert(name);
        plan.reasons[name] = "it may hang with a task of a cancelled job";
    }
    return_machines(plan);
}

size_t Leader::machines_reported() const {
    return static_cast<size_t>(std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                                             [](const auto& h) { return h.second->reported; }));
}

// --- for the operators --------------------------------------------------------------------------------

void Leader::log_waiting() {
    for (const auto& [id, j] : jobs_.all()) {
        if (!j->waiting() || loop_.now() - j->waiting_since < constants::kWhyLog_s) continue;
        if (loop_.now() - j->why_logged < constants::kWhyLog_s) continue;
        j->why_logged = loop_.now();
        if (j->spec.service())
            log::info("service {}: {} of {} replicas up, {} wait, the first for {:.0f} s: {}", id, j->up(),
                      j->spec.tasks, j->pending.size(), loop_.now() - j->waiting_since, wait_text(j->why));
        else
            log::info("job {}: {} of {} tasks wait, the first for {:.0f} s: {}", id, j->pending.size(),
                      j->spec.tasks, loop_.now() - j->waiting_since, wait_text(j->why));
    }
}

void Leader::account(Seconds since) {
    for (const auto& [name, h] : cluster_.machines) {
        const MachineType* f = cluster_.machine_type(h->machine_type);
        if (!f || h->phase == MachinePhase::kFailed) continue;
        if (!h->reported) {
            spent_.booting += f->gpus * since;
        } else if (h->idle()) {
            spent_.idle += f->gpus * since;
        } else {
            double running = 0;
            for (const auto& t : h->tasks)
                if (t.phase == TaskPhase::kRunning) running += t.amount.gpus;
            spent_.running += running * since;
            spent_.unused += std::max(0.0, h->free.gpus) * since;
            spent_.starting += std::max(0.0, f->gpus - std::max(0.0, h->free.gpus) - running) * since;
        }
    }
}

void Leader::log_fleet() {
    if (loop_.now() - fleet_logged_ < constants::kWhyLog_s) return;
    fleet_logged_ = loop_.now();
    size_t booting = 0;
    size_t spot = 0;
    size_t idle = 0;
    size_t waiting = 0;
    size_t jobs = 0;
    double gpus = 0;
    double free = 0;
    for (const auto& [name, h] : cluster_.machines) {
        const MachineType* f = cluster_.machine_type(h->machine_type);
        booting += !h->reported;
        spot += h->spot;
        idle += h->reported && h->idle();
        if (!f || !h->reported) continue;
        gpus += f->gpus;
        free += h->free.gpus;
    }
    for (const auto& [id, j] : jobs_.all()) {
        if (!j->waiting()) continue;
        ++jobs;
        waiting += j->pending.size();
    }
    log::info(
        "{} machines, {} of them spot, {} not up yet, {} idle; {:.0f} of {:.0f} GPUs taken; {} tasks of {} "
        "jobs wait; {} records to be written; scheduling passes take up to {:.0f} ms",
        cluster_.machines.size(), spot, booting, idle, gpus - free, gpus, waiting, jobs, jobs_.backlog(),
        std::exchange(longest_pass_, 0) * 1000);
    double all = spent_.booting + spent_.idle + spent_.unused + spent_.starting + spent_.running;
    if (all > 0)
        log::info(
            "GPU time: {:.0f}% running, {:.0f}% starting or stopping, {:.0f}% free on machines in use, "
            "{:.0f}% on "
            "idle machines, {:.0f}% booting",
            100 * spent_.running / all, 100 * spent_.starting / all, 100 * spent_.unused / all,
            100 * spent_.idle / all, 100 * spent_.booting / all);
}

std::string Leader::jobs_page() const {
    std::string s;
    for (const auto& [id, j] : jobs_.all()) {
        if (j->spec.service())
            s += fmt::format("{} service team {} {} of {} replicas up, {} on machines, {} waiting", id,
                             j->spec.team, j->up(), j->spec.tasks, j->live.size(), j->pending.size());
        else
            s += fmt::format("{} {} team {} {} of {} tasks done, {} on machines, {} waiting", id,
                             j->spec.gang() ? "gang" : "array", j->spec.team, j->done.size(), j->spec.tasks,
                             j->live.size(), j->pending.size());
        if (j->cancelled) s += ", cancelled";
        if (j->waiting())
            s += fmt::format(" for {:.0f} s: {}", loop_.now() - j->waiting_since, wait_text(j->why));
        s += '\n';
    }
    return s;
}

std::string Leader::machines_page() const {
    std::string s;
    for (const auto& [name, h] : cluster_.machines) {
        const char* phase = h->phase == MachinePhase::kBooting   ? "booting"
                            : h->phase == MachinePhase::kRunning ? "running"
                                                                 : "failed";
        s += fmt::format("{} {} {}{} {} {} tasks, report {:.0f} s ago{}{}\n", name, h->machine_type, h->zone,
                         h->spot ? " spot" : "", phase, h->placed, loop_.now() - h->last_report,
                         h->condemned ? ", condemned: " + h->why_condemned : "",
                         h->deleting ? ", being returned" : "");
    }
    return s;
}

}  // namespace hareshore
