#include "fault_scenario.h"

#include <algorithm>

namespace hareshore::test {

namespace {

constexpr Seconds kLong_s = 1e6;

}  // namespace

std::string packed_flag(bool b) {
    Packer p;
    return p.flag(b).take();
}

std::string packed_text(const std::string& s) {
    Packer p;
    return p.text(s).take();
}

Task<Response> Gate::pass(FakeState& state, Request r) {
    if (delay > 0) co_await loop.sleep(delay);
    if (request_delay) co_await loop.sleep(request_delay(r));
    Seconds after = answer_delay ? answer_delay(r) : 0;
    while (mode == kSilent) co_await loop.sleep(0.2);
    if (mode == kRefuse) co_return Response{503, "", 0, ""};
    Response answer = co_await state.handle(std::move(r));
    if (after > 0) co_await loop.sleep(after);
    // A watch that was open when its node came to be refused stays open.
    while (mode != kOpen) co_await loop.sleep(0.2);
    co_return answer;
}

Wire::Wire(Loop& l, Address from, Address target)
    : loop(l), to(target), listener(l, listen_on(from)), scope(l) {
    scope.spawn(accept_all(), "wire");
}

Task<void> Wire::accept_all() {
    while (true) {
        int fd = accept_from(listener.fd());
        if (fd < 0) {
            co_await loop.readable(listener, -1);
            continue;
        }
        auto near = std::make_shared<Stream>(loop, fd);
        scope.spawn(join(near), "wire link");
    }
}

Task<void> Wire::join(std::shared_ptr<Stream> near) {
    while (cut) co_await loop.sleep(0.1);
    std::shared_ptr<Stream> far = co_await connect_to(loop, to, loop.now() + 1);
    if (!far) co_return;
    auto open = std::make_shared<bool>(true);
    scope.spawn(pump(near, far, open), "wire out");
    co_await pump(far, near, open);
}

Task<void> Wire::pump(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into,
                      std::shared_ptr<bool> open) {
    peer::FrameReader reader;
    while (*open) {
        Stream::Read got = co_await from->read(loop.now() + 0.5);
        if (got.outcome == Stream::Read::Outcome::kTimeout) continue;
        std::string bytes(got.bytes);  // before anything is waited for
        while (cut) co_await loop.sleep(0.1);
        if (!got.ok()) break;
        if (old_peer) bytes = as_old_peer(reader, bytes);
        if (!bytes.empty() && !co_await into->write(bytes, loop.now() + 1)) break;
    }
    *open = false;
}

std::string Wire::as_old_peer(peer::FrameReader& reader, std::string_view bytes) {
    std::string out;
    reader.feed(bytes);
    while (auto frame = reader.next()) {
        if (frame->kind == peer::FrameKind::kCancellationNotice) continue;
        if (frame->kind == peer::FrameKind::kHeartbeat || frame->kind == peer::FrameKind::kHeartbeatAnswer) {
            auto heartbeat = peer::unpack_heartbeat(frame->payload);
            heartbeat->record_format = 0;
            heartbeat->cancellations_announced = 0;
            out += peer::pack_frame(frame->kind, frame->id, frame->incarnation, *heartbeat);
        } else {
            out += peer::pack_frame(frame->kind, frame->id, frame->incarnation, frame->payload);
        }
    }
    return out;
}

World::World(int nodes, int machines, int old_node) : site(nodes), scope(site.loop), old_node_(old_node) {
    for (int i = 0; i < nodes; ++i) {
        gates.push_back(std::make_unique<Gate>(site.loop, site.state, address(20 + i, 2379)));
        Config& c = site.configs[static_cast<size_t>(i)];
        c.state = address(20 + i, 2379);
        for (auto& peer : c.peers) {
            int k = peer.label.back() - '0';
            Address at = address(100 + 10 * i + k, 8081);
            wires[{i, k}] = std::make_unique<Wire>(site.loop, at, peer.addr);
            wires[{i, k}]->old_peer = i == old_node || k == old_node;
            peer.addr = at;
        }
        site.start(i);
    }
    EXPECT_TRUE(site.until([&] { return site.leader() >= 0; }));
    for (int i = 0; i < machines; ++i) add_machine("vm-00010" + std::to_string(i), i % 2 ? "b" : "a");
    scope.spawn(watch(), "rules");
    site.run(9);
}

World::~World() {
    scope.cancel();
    for (auto& m : fleet) m->commands->stop();
    for (auto& g : gates) g->server.stop();
    for (auto& [ends, wire] : wires) wire->scope.cancel();
    unwind(site.loop);
}

void World::add_machine(const std::string& name, const std::string& zone) {
    start_machine(name, zone);
    const FakeWorker& w = fleet.back()->w;
    site.cloud.machines[name] = {name, w.addr, w.machine_type, zone, false, MachinePhase::kRunning, 100};
}

void World::start_machine(const std::string& name, const std::string& zone) {
    fleet.push_back(std::make_unique<LiveMachine>());
    LiveMachine& m = *fleet.back();
    m.w.name = name;
    m.w.zone = zone;
    Address at = address(50 + static_cast<int>(fleet.size()), 9000);
    m.w.addr = text_of(at);
    m.lease_from = site.loop.now();
    m.commands = std::make_unique<HttpServer>(site.loop, at, 20,
                                              [this, &m](Request r) { return ordered(m, std::move(r)); });
    scope.spawn(reporting(m), "machine");
}

void World::rent_machines(size_t most, Seconds boot_s) {
    auto left = std::make_shared<size_t>(most);
    site.cloud.rent = [this, left, boot_s](const std::string& zone, size_t number) {
        std::vector<std::string> names;
        for (; number > 0 && *left > 0; --number, --*left) {
            std::string name = "vm-00030" + std::to_string(*left);
            // Listed from the start; its address is learned from its reports.
            site.cloud.machines[name] = {name, "", "g2", zone, false, MachinePhase::kBooting, 0};
            scope.spawn(boot(name, zone, boot_s), "boot");
            names.push_back(name);
        }
        return names;
    };
}

Task<void> World::boot(std::string name, std::string zone, Seconds boot_s) {
    co_await site.loop.sleep(boot_s);
    if (site.cloud.machines.count(name)) start_machine(name, zone);
}

std::string World::ask(const std::string& method, const std::string& path, const std::string& body,
                       Seconds most) {
    Seconds end = site.loop.now() + most;
    for (size_t i = next_node++; site.loop.now() < end; ++i) {
        size_t n = i % site.nodes.size();
        if (!site.nodes[n]) {
            site.run(0.1);
            continue;
        }
        Answer a = site.call(static_cast<int>(n), method, path, body);
        if (a.status == 200 || a.status == 201) {
            auto m = Message::parse(a.body);
            return m ? m->root()["phase"].text_or("") : "";
        }
        EXPECT_NE(a.status, 400) << path;
        EXPECT_NE(a.status, 422) << path;
        if (!accepted.empty() && path.size() > 8) {
            EXPECT_NE(a.status, 404) << path;
        }
        site.run(0.3);
    }
    return "";
}

std::string World::submit(const std::string& id, uint32_t tasks, Seconds run_s,
                          const std::function<void(std::map<std::string, std::string>&)>& change) {
    prepare(id, tasks, run_s, change);
    std::string phase = ask("POST", "/v2/runs", bodies[id]);
    if (!phase.empty()) accepted.insert(id);
    return phase;
}

void World::prepare(const std::string& id, uint32_t tasks, Seconds run_s,
                    const std::function<void(std::map<std::string, std::string>&)>& change) {
    run_times[id] = run_s;
    bodies[id] = job_body(id, [&](auto& f) {
        Packer p;
        f["pieces"] = p.count(tasks).take();
        if (change) change(f);
        if (f["one_zone"] == packed_flag(true)) single_zone.insert(id);
        if (f["shape"].find("ensemble") != std::string::npos) gangs[id] = tasks;
    });
}

void World::submit_service(const std::string& id, uint32_t replicas) {
    constexpr Seconds kNever_s = 1e9;
    Packer none;
    none.number(0);
    prepare(id, replicas, kNever_s, [&](auto& f) {
        f["shape"] = packed_text("standing");
        f["cards"] = f["expect_s"] = f["snapshot_s"] = f["flush_s"] = none.take();
    });
    services[id] = replicas;
    EXPECT_NE(ask("POST", "/v2/runs", bodies[id]), "") << "the service is not accepted";
}

void World::cancel(const std::string& id, Seconds most) {
    std::string phase = ask("POST", "/v2/runs/" + id + "/withdraw", "", most);
    if (phase == "withdrawn" && !announced.count(id)) announced[id] = site.loop.now();
    if (!phase.empty()) said(id, phase);
}

void World::poll(const std::string& id) {
    std::string phase = ask("GET", "/v2/runs/" + id);
    EXPECT_NE(phase, "") << "no answer about " << id;
    said(id, phase);
}

void World::said(const std::string& id, const std::string& phase) {
    auto it = finals.find(id);
    if (it != finals.end()) {
        EXPECT_EQ(phase, it->second) << id << " went back";
    }
    if (phase == "done" || phase == "withdrawn") finals[id] = phase;
    if (phase == "done") {
        EXPECT_TRUE(done.count(id)) << id << " is not done";
    }
}

int World::leader() {
    EXPECT_TRUE(site.until([&] { return site.leader() >= 0; }, 40));
    return std::max(0, site.leader());
}

LiveMachine* World::holder(const std::string& job) {
    for (auto& m : fleet)
        for (const auto& t : m->w.tasks)
            if (!m->gone && t.name.job == job && t.phase != TaskPhase::kExited) return m.get();
    return nullptr;
}

bool World::starts(const std::string& job, Seconds most) {
    return site.until([&] { return holder(job) != nullptr; }, most);
}

size_t World::replicas_up(const std::string& service) const {
    size_t up = 0;
    for (const auto& m : fleet)
        for (const auto& t : m->w.tasks)
            up += !m->gone && t.name.job == service && t.phase == TaskPhase::kRunning;
    return up;
}

void World::outage(bool on) {
    site.state.down = on;
    if (!on) site.state.outage_is_over();
}

void World::alone(int node, bool on) {
    gates[static_cast<size_t>(node)]->mode = on ? Gate::kRefuse : Gate::kOpen;
}

void World::apart(int node, bool on) {
    for (auto& [ends, wire] : wires)
        if (ends.first == node || ends.second == node) wire->cut = on;
}

void World::calm(Seconds most) {
    if (site.state.down) outage(false);
    site.cloud.down = false;
    site.state.let_through = {};
    command_delay = {};
    for (auto& g : gates) {
        g->mode = Gate::kOpen;
        g->delay = 0;
        g->request_delay = g->answer_delay = {};
    }
    if (old_node_ >= 0) {
        site.kill(old_node_);  // and returns as the new version
        for (auto& [ends, wire] : wires) wire->old_peer = false;
    }
    for (auto& [ends, wire] : wires) wire->cut = false;
    for (auto& m : fleet) m->hung = m->mute = m->deaf = m->cut = false;
    for (size_t i = 0; i < site.nodes.size(); ++i)
        if (!site.nodes[i]) site.start(static_cast<int>(i));
    int left = 0;
    for (auto& m : fleet) left += !m->gone;
    for (; left < 3; ++left) add_machine("vm-00020" + std::to_string(left), left % 2 ? "b" : "a");
    auto over = [&] {
        return std::all_of(accepted.begin(), accepted.end(),
                           [&](const auto& id) { return announced.count(id) || done.count(id); });
    };
    EXPECT_TRUE(site.until(over, most)) << "work is left waiting beside room";
    for (const auto& id : accepted)
        if (!announced.count(id) && !done.count(id)) ADD_FAILURE() << id << " did not run to its end";
    site.run(4);
    for (const auto& id : accepted) {
        poll(id);
        said(id, ask("POST", "/v2/runs", bodies[id]));
        EXPECT_TRUE(finals.count(id)) << id << " should be over";
        EXPECT_FALSE(holder(id)) << id << " is over and still on a machine";
    }
    EXPECT_EQ(site.call(leader(), "GET", "/v2/runs/job-999").status, 404) << "invented";
    for (const auto& [id, replicas] : services) {
        EXPECT_TRUE(site.until([&] { return replicas_up(id) == replicas; }, 90)) << id << " lacks replicas";
        cancel(id);
        EXPECT_TRUE(site.until([&] { return !holder(id); }, 10)) << id << " is withdrawn and still there";
    }
}

Task<void> World::reporting(LiveMachine& m) {
    Loop& loop = site.loop;
    auto nodes = static_cast<int>(site.configs.size());
    while (!m.gone) {
        if (m.hung) {
            co_await loop.sleep(0.1);
            continue;
        }
        int to = m.node;
        m.node = (to + 1) % nodes;
        if (m.mute || m.cut) {
            co_await loop.sleep(1);
            continue;
        }
        m.changed = false;
        Seconds sent = loop.now();
        m.last_heartbeat = sent;
        uint64_t incarnation = m.w.incarnation;
        std::string body = m.w.report();
        m.reports.push_back(body);
        HttpClient http(loop, site.configs[static_cast<size_t>(to)].listen, 1);
        Answer a = co_await http.call("POST", "/hello", std::move(body), 4.0);
        while (m.hung) co_await loop.sleep(0.1);
        bool heard = !m.deaf && !m.cut && loop.now() - sent <= 4;
        if (heard && a.status == 421) {
            auto hint = Message::parse(a.body);
            std::string name = hint ? hint->root()["harbor"].text_or("") : "";
            int k = name.empty() ? to : name.back() - '0';
            if (k != to) m.node = k;
            co_await loop.sleep(k == to ? 1 : 0.2);
            continue;
        }
        if (!heard || a.status != 200) {
            co_await loop.sleep(1);
            continue;
        }
        m.node = to;
        auto parsed = Message::parse(a.body);
        if (m.w.incarnation == incarnation && parsed &&
            parsed->root()["epoch"].count_or(0) >= m.w.fencing_token) {
            carry_out(m, a.body);
            m.lease_from = sent;
        }
        while (!m.gone && loop.now() - sent < (m.changed ? 0.5 : 3.0)) co_await loop.sleep(0.1);
    }
}

Task<Response> World::ordered(LiveMachine& m, Request r) {
    while (m.hung || m.deaf || m.cut || m.gone) co_await site.loop.sleep(0.1);
    auto q = Message::parse(r.body);
    if (!q) co_return Response{400, "", 0, ""};
    if (Seconds delay = command_delay ? command_delay(m) : 0; delay > 0) {
        scope.spawn(carry_out_late(m, r.body, delay), "late command");
        while (true) co_await site.loop.sleep(kLong_s);
    }
    if (!takes(m, r.body)) co_return Response{409, m.w.report(), 0, "application/msgpack"};
    carry_out(m, r.body);
    co_return Response{200, m.w.report(), 0, "application/msgpack"};
}

bool World::takes(const LiveMachine& m, const std::string& command) {
    auto message = Message::parse(command);
    return message->root()["epoch"].count_or(0) >= m.w.fencing_token &&
           message->root()["tenure"].count_or(0) == m.w.incarnation;
}

// The command was held up on its way: what counts is the machine's state when it arrives.
Task<void> World::carry_out_late(LiveMachine& m, std::string command, Seconds delay) {
    co_await site.loop.sleep(delay);
    while (m.hung) co_await site.loop.sleep(0.1);
    if (m.gone || !takes(m, command)) {
        ++late_commands_refused;
        co_return;
    }
    ++late_commands_carried_out;
    carry_out(m, command);
    ++m.w.sequence;  // its answer is numbered like a report, and lost
}

void World::carry_out(LiveMachine& m, const std::string& body) {
    std::set<std::pair<std::string, uint64_t>> before;
    for (const auto& t : m.w.tasks) before.insert({t.name.text(), t.attempt});
    uint64_t fencing_token = m.w.fencing_token;
    size_t exited = running(m);
    m.w.carry_out(body);
    m.changed = m.changed || m.w.fencing_token != fencing_token || running(m) != exited;
    for (const auto& t : m.w.tasks) {
        if (t.phase == TaskPhase::kExited || before.count({t.name.text(), t.attempt})) continue;
        ++launches[t.name.job];
        m.ends[t.name.text()] = site.loop.now() + run_times[t.name.job];
        auto it = announced.find(t.name.job);
        if (it != announced.end() && site.loop.now() > it->second + 0.5)
            starts_after_announced.push_back(t.name.text());
    }
}

bool World::mates_gone(const TaskStatus& t, Seconds now) {
    auto gang = gangs.find(t.name.job);
    if (gang == gangs.end() || done.count(t.name.job)) return false;
    size_t n = 0;
    for (auto& m : fleet)
        for (const auto& x : m->w.tasks)
            n += !m->gone && !m->hung && x.phase != TaskPhase::kExited && x.name.job == t.name.job &&
                 x.attempt == t.attempt;
    Seconds& whole = complete_at[{t.name.job, t.attempt}];
    if (n == gang->second) whole = now;
    return whole > 0 && now - whole > site.configs[0].gang_peer_s;
}

size_t World::running(const LiveMachine& m) {
    return static_cast<size_t>(std::count_if(m.w.tasks.begin(), m.w.tasks.end(),
                                             [](auto& t) { return t.phase != TaskPhase::kExited; }));
}

Task<void> World::watch() {
    while (true) {
        Seconds now = site.loop.now();
        std::map<std::string, std::string> on, zone_of;
        size_t gpus = 0;
        for (auto& m : fleet) {
            if (!site.cloud.machines.count(m->w.name)) {
                m->gone = true;
                m->w.tasks.clear();
            }
            if (m->gone) continue;
            if (!m->hung && now - m->lease_from > site.configs[0].lease_s) {
                m->w.tasks.clear();
                ++m->w.incarnation;
                m->w.sequence = 0;
                m->lease_from = now;
                m->changed = true;
            }
            for (auto& t : m->w.tasks) {
                if (t.phase == TaskPhase::kExited) continue;
                std::string name = t.name.text();
                if (!m->hung && mates_gone(t, now)) {
                    t.phase = TaskPhase::kExited;
                    t.cause = ExitCause::kPeersGone;
                    m->changed = true;
                    continue;
                }
                if (!m->hung && now >= m->ends[name]) {
                    t.phase = TaskPhase::kExited;
                    t.cause = ExitCause::kDone;
                    m->changed = true;
                    ended[t.name.job].insert(t.name.task);
                    if (gangs.count(t.name.job)) done.insert(t.name.job);  // they complete together
                    auto spec = Message::parse(bodies[t.name.job]);
                    if (ended[t.name.job].size() == spec->root()["pieces"].count_or(0))
                        done.insert(t.name.job);
                    continue;
                }
                if (!services.count(t.name.job)) ++gpus;
                if (single_zone.count(t.name.job) &&
                    zone_of.emplace(t.name.job, m->w.zone).first->second != m->w.zone)
                    ADD_FAILURE() << name << " is not in its job's zone";
                if (!on.emplace(name, m->w.name).second)
                    ADD_FAILURE() << name << " ran twice, on " << on[name] << " and " << m->w.name;
                auto it = announced.find(t.name.job);
                if (it != announced.end() && now > it->second + site.configs[0].cancel_s)
                    ADD_FAILURE() << name << " on " << m->w.name << " ran though cancelled, at " << now;
            }
            if (double_reports && m->reports.size() > 3 && now - m->last_heartbeat > 1.5)
                scope.spawn(copy(m->reports[m->reports.size() / 2], m->node), "copy");
        }
        EXPECT_LE(gpus, 8u) << "the team's limit";
        co_await site.loop.sleep(0.1);
    }
}

Task<void> World::copy(std::string body, int node) {
    HttpClient http(site.loop, site.configs[static_cast<size_t>(node)].listen, 1);
    co_await http.call("POST", "/hello", std::move(body), 4.0);
}

}  // namespace hareshore::test
