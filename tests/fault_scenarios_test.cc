// Troubles that meet. One deployment whose machines, controllers and links can be cut, slowed, refused, held,
// doubled and frozen; each fault combination is a script of such troubles, and the rules are watched
// throughout. Once the troubles are over everything that was accepted must end and every question be
// answered.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "base/constants.h"
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

std::string packed_flag(bool b) {
    Packer p;
    return p.flag(b).take();
}
std::string packed_text(const std::string& s) {
    Packer p;
    return p.text(s).take();
}

// Stands before the state service, for one node.
struct Gate {
    enum Mode { kOpen, kRefuse, kSilent };
    Mode mode = kOpen;
    Seconds delay = 0;
    Loop& loop;
    HttpServer server;

    Gate(Loop& l, FakeState& state, Address at)
        : loop(l), server(l, at, 200, [this, &state](Request r) { return pass(state, std::move(r)); }) {}
    Task<Response> pass(FakeState& state, Request r) {
        if (delay > 0) co_await loop.sleep(delay);
        while (mode == kSilent) co_await loop.sleep(0.2);
        if (mode == kRefuse) co_return Response{503, "", 0, ""};
        std::string path = r.path;
        Response answer = co_await state.handle(std::move(r));
        // A watch that was open when its node came to be refused stays open.
        while (mode != kOpen) co_await loop.sleep(0.2);
        co_return answer;
    }
};

// A link between two controllers, one way of dialling; cut, what is sent waits.
struct Wire {
    bool cut = false;
    Loop& loop;
    Address to;
    File listener;
    Scope scope;

    Wire(Loop& l, Address from, Address target)
        : loop(l), to(target), listener(l, listen_on(from)), scope(l) {
        scope.spawn(accept_all(), "wire");
    }
    Task<void> accept_all() {
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
    Task<void> join(std::shared_ptr<Stream> near) {
        while (cut) co_await loop.sleep(0.1);
        std::shared_ptr<Stream> far = co_await connect_to(loop, to, loop.now() + 1);
        if (!far) co_return;
        auto open = std::make_shared<bool>(true);
        scope.spawn(pump(near, far, open), "wire out");
        co_await pump(far, near, open);
    }
    Task<void> pump(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into, std::shared_ptr<bool> open) {
        char chunk[4096];
        while (*open) {
            ssize_t n = co_await from->read(chunk, sizeof chunk, loop.now() + 0.5);
            if (n == -2) continue;
            while (cut) co_await loop.sleep(0.1);
            if (n <= 0 || !co_await into->write({chunk, static_cast<size_t>(n)}, loop.now() + 1)) break;
        }
        *open = false;
    }
};

// A machine that does all that the protocol says of workers: it follows hints, its lease ends, it hangs.
struct LiveMachine {
    FakeWorker w;
    int node = 0;
    bool hung = false, mute = false, deaf = false, cut = false, gone = false, changed = false;
    Seconds lease_from = 0, last_report = -1e9;
    std::map<std::string, Seconds> ends;  // of its tasks, by name
    std::vector<std::string> reports;     // all that it sent
    std::unique_ptr<HttpServer> commands;
};

class World {
  public:
    World(int nodes, int machines) : site(nodes), scope(site.loop) {
        for (int i = 0; i < nodes; ++i) {
            gates.push_back(std::make_unique<Gate>(site.loop, site.state, address(20 + i, 2379)));
            Config& c = site.configs[static_cast<size_t>(i)];
            c.state = address(20 + i, 2379);
            for (auto& peer : c.peers) {
                int k = peer.label.back() - '0';
                Address at = address(100 + 10 * i + k, 8081);
                wires[{i, k}] = std::make_unique<Wire>(site.loop, at, peer.addr);
                peer.addr = at;
            }
            site.start(i);
        }
        EXPECT_TRUE(site.until([&] { return site.leader() >= 0; }));
        for (int i = 0; i < machines; ++i) add_machine("vm-00010" + std::to_string(i), i % 2 ? "b" : "a");
        scope.spawn(watch(), "rules");
        site.run(9);
    }
    ~World() {
        scope.cancel();
        for (auto& m : fleet) m->commands->stop();
        for (auto& g : gates) g->server.stop();
        for (auto& [ends, wire] : wires) wire->scope.cancel();
        unwind(site.loop);
    }

    void add_machine(const std::string& name, const std::string& zone) {
        fleet.push_back(std::make_unique<LiveMachine>());
        LiveMachine& m = *fleet.back();
        m.w.name = name;
        m.w.zone = zone;
        Address at = address(50 + static_cast<int>(fleet.size()), 9000);
        m.w.addr = text_of(at);
        m.lease_from = site.loop.now();
        m.commands = std::make_unique<HttpServer>(site.loop, at, 20,
                                                  [this, &m](Request r) { return ordered(m, std::move(r)); });
        site.cloud.machines[name] = {name, m.w.addr, m.w.machine_type, zone, false, MachinePhase::kRunning,
                                     100};
        scope.spawn(reporting(m), "machine");
    }

    // --- users ----------------------------------------------------------------------------------------

    // Asks every living node in turn until one answers as users expect; the answer's phase.
    std::string ask(const std::string& method, const std::string& path, const std::string& body = "",
                    Seconds most = 60) {
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
    std::string submit(const std::string& id, uint32_t tasks, Seconds run_s,
                       const std::function<void(std::map<std::string, std::string>&)>& change = {}) {
        run_times[id] = run_s;
        bodies[id] = job_body(id, [&](auto& f) {
            Packer p;
            f["pieces"] = p.count(tasks).take();
            if (change) change(f);
            if (f["one_zone"] == packed_flag(true)) one_zone.insert(id);
            if (f["shape"].find("ensemble") != std::string::npos) gangs[id] = tasks;
        });
        std::string phase = ask("POST", "/v2/runs", bodies[id]);
        if (!phase.empty()) accepted.insert(id);
        return phase;
    }
    void cancel(const std::string& id, Seconds most = 60) {
        std::string phase = ask("POST", "/v2/runs/" + id + "/withdraw", "", most);
        if (phase == "withdrawn" && !announced.count(id)) announced[id] = site.loop.now();
        if (!phase.empty()) said(id, phase);
    }
    void poll(const std::string& id) {
        std::string phase = ask("GET", "/v2/runs/" + id);
        EXPECT_NE(phase, "") << "no answer about " << id;
        said(id, phase);
    }
    void said(const std::string& id, const std::string& phase) {
        auto it = finals.find(id);
        if (it != finals.end()) {
            EXPECT_EQ(phase, it->second) << id << " went back";
        }
        if (phase == "done" || phase == "withdrawn") finals[id] = phase;
        if (phase == "done") {
            EXPECT_TRUE(done.count(id)) << id << " is not done";
        }
    }

    // --- what scripts look at and do ------------------------------------------------------------------

    int leader() {
        EXPECT_TRUE(site.until([&] { return site.leader() >= 0; }, 40));
        return std::max(0, site.leader());
    }
    LiveMachine* holder(const std::string& job) {
        for (auto& m : fleet)
            for (const auto& t : m->w.tasks)
                if (!m->gone && t.name.job == job && t.phase != TaskPhase::kExited) return m.get();
        return nullptr;
    }
    bool starts(const std::string& job, Seconds most = 20) {
        return site.until([&] { return holder(job) != nullptr; }, most);
    }
    void outage(bool on) {
        site.state.down = on;
        if (!on) site.state.outage_is_over();
    }
    void alone(int node, bool on) {
        gates[static_cast<size_t>(node)]->mode = on ? Gate::kRefuse : Gate::kOpen;
    }
    void apart(int node, bool on) {
        for (auto& [ends, wire] : wires)
            if (ends.first == node || ends.second == node) wire->cut = on;
    }

    // All troubles end; then everything ends within `most`.
    void calm(Seconds most = 150) {
        if (site.state.down) outage(false);
        site.cloud.down = false;
        site.state.let_through = {};
        for (auto& g : gates) g->mode = Gate::kOpen, g->delay = 0;
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
    }

    Site site;
    std::vector<std::unique_ptr<Gate>> gates;
    std::map<std::pair<int, int>, std::unique_ptr<Wire>> wires;
    std::vector<std::unique_ptr<LiveMachine>> fleet;
    std::set<std::string> accepted;
    std::map<std::string, Seconds> announced;  // when a user was told that the job is cancelled
    std::map<std::string, std::string> finals, bodies;
    std::map<std::string, Seconds> run_times;
    std::map<std::string, std::set<uint32_t>> ended;
    std::set<std::string> done;
    std::set<std::string> one_zone;
    std::map<std::string, int> launches;
    std::map<std::string, size_t> gangs;                              // their tasks
    std::map<std::pair<std::string, uint64_t>, Seconds> complete_at;  // when an attempt was last complete
    bool double_reports = false;                                      // copies of old reports come again
    std::vector<std::string> starts_after_announced;
    size_t next_node = 0;
    Scope scope;

  private:
    Task<void> reporting(LiveMachine& m) {
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
            m.last_report = sent;
            uint64_t session = m.w.session;
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
            if (m.w.session == session && parsed && parsed->root()["epoch"].count_or(0) >= m.w.epoch) {
                carry_out(m, a.body);
                m.lease_from = sent;
            }
            while (!m.gone && loop.now() - sent < (m.changed ? 0.5 : 3.0)) co_await loop.sleep(0.1);
        }
    }
    Task<Response> ordered(LiveMachine& m, Request r) {
        while (m.hung || m.deaf || m.cut || m.gone) co_await site.loop.sleep(0.1);
        auto q = Message::parse(r.body);
        if (!q) co_return Response{400, "", 0, ""};
        if (q->root()["epoch"].count_or(0) < m.w.epoch || q->root()["tenure"].count_or(0) != m.w.session)
            co_return Response{409, m.w.report(), 0, "application/msgpack"};
        carry_out(m, r.body);
        co_return Response{200, m.w.report(), 0, "application/msgpack"};
    }
    void carry_out(LiveMachine& m, const std::string& body) {
        std::set<std::pair<std::string, uint64_t>> before;
        for (const auto& t : m.w.tasks) before.insert({t.name.text(), t.attempt});
        uint64_t epoch = m.w.epoch;
        size_t exited = running(m);
        m.w.carry_out(body);
        m.changed = m.changed || m.w.epoch != epoch || running(m) != exited;
        for (const auto& t : m.w.tasks) {
            if (t.phase == TaskPhase::kExited || before.count({t.name.text(), t.attempt})) continue;
            ++launches[t.name.job];
            m.ends[t.name.text()] = site.loop.now() + run_times[t.name.job];
            auto it = announced.find(t.name.job);
            if (it != announced.end() && site.loop.now() > it->second + 0.5)
                starts_after_announced.push_back(t.name.text());
        }
    }
    // Whether the rest of a gang was complete, and lacks a task or has one on a machine that hangs.
    bool mates_gone(const ReportedTask& t, Seconds now) {
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
    static size_t running(const LiveMachine& m) {
        return static_cast<size_t>(std::count_if(m.w.tasks.begin(), m.w.tasks.end(),
                                                 [](auto& t) { return t.phase != TaskPhase::kExited; }));
    }

    // Time passes on the machines, and the rules are looked at.
    Task<void> watch() {
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
                    ++m->w.session;
                    m->w.seq = 0;
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
                    ++gpus;
                    if (one_zone.count(t.name.job) &&
                        zone_of.emplace(t.name.job, m->w.zone).first->second != m->w.zone)
                        ADD_FAILURE() << name << " is not in its job's zone";
                    if (!on.emplace(name, m->w.name).second)
                        ADD_FAILURE() << name << " ran twice, on " << on[name] << " and " << m->w.name;
                    auto it = announced.find(t.name.job);
                    if (it != announced.end() && now > it->second + site.configs[0].cancel_s)
                        ADD_FAILURE() << name << " on " << m->w.name << " ran though cancelled, at " << now;
                }
                if (double_reports && m->reports.size() > 3 && now - m->last_report > 1.5)
                    scope.spawn(copy(m->reports[m->reports.size() / 2], m->node), "copy");
            }
            EXPECT_LE(gpus, 8u) << "the team's limit";
            co_await site.loop.sleep(0.1);
        }
    }
    Task<void> copy(std::string body, int node) {
        HttpClient http(site.loop, site.configs[static_cast<size_t>(node)].listen, 1);
        co_await http.call("POST", "/hello", std::move(body), 4.0);
    }
};

struct FaultScenario {
    const char* name;
    int nodes, machines;
    std::function<void(World&)> play;
};

void PrintTo(const FaultScenario& m, std::ostream* out) {
    *out << m.name;
}

const std::vector<FaultScenario> kFaultScenarios{
    {"LeadersChangeTenTimes", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 60);
         w.submit("job-2", 2, 300);
         for (int i = 0; i < 10; ++i) {
             if (i == 5) w.outage(true);
             if (i == 6) w.outage(false);
             if (i == 3) w.cancel("job-2");
             int first = w.site.leader();
             if (first >= 0) w.site.kill(first);
             w.site.run(4);
             for (int k : {0, 1})
                 if (!w.site.nodes[static_cast<size_t>(k)]) w.site.start(k);
             w.site.run(8);
         }
     }},
    {"QuestionsMeetTheEnd", 2, 3,
     [](World& w) {
         for (int i = 1; i <= 4; ++i) {
             std::string id = "job-" + std::to_string(i);
             w.submit(id, 1, 5);
             w.starts(id);
             w.site.until([&] { return w.done.count(id) > 0; }, 30);
             if (i % 2) w.cancel(id);
             w.said(id, w.ask("POST", "/v2/runs", w.bodies[id]));
             w.poll(id);
         }
     }},
    {"MoreWorkThanRoomOverSlowLinks", 2, 6,
     [](World& w) {
         for (auto& g : w.gates) g->delay = 0.4;
         for (int i = 1; i <= 8; ++i)
             w.submit("job-" + std::to_string(i), 3, 15,
                      [&](auto& f) { f["rank"] = packed_text(i % 3 ? "idle" : "production"); });
         w.cancel("job-5");
         w.site.run(30);
     }},
    {"AHeldReportComesToTheNewLeader", 2, 4,
     [](World& w) {
         w.submit("job-1", 1, 80);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         LiveMachine* m = w.holder("job-1");
         // From before the launch: it lacks the task.
         std::string old = m->reports.at(m->reports.size() / 2);
         int first = w.leader();
         m->cut = true;
         w.site.kill(first);
         for (int i = 0; i < 12; ++i) {
             w.site.call(w.leader(), "POST", "/hello", old);
             w.site.run(0.5);
         }
         m->cut = false;
         w.site.start(first);
     }},
    {"CancelledAsTheLeaderIsRefusedAndThenAll", 3, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-1"));
         int first = w.leader();
         w.alone(first, true);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.site.run(1);
         w.outage(true);
         w.site.run(61);
         w.outage(false);
         w.alone(first, false);
     }},
    {"ALeaderEndsWhileMachinesCannotBeReached", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 100);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.fleet[0]->mute = w.fleet[1]->deaf = true;
         int first = w.leader();
         w.cancel("job-2");
         w.site.kill(first);
         w.site.run(30);
         w.site.start(first);
         w.fleet[0]->mute = w.fleet[1]->deaf = false;
     }},
    {"AZoneIsCutOffForLongerThanALease", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 60);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->w.zone == "b";
         w.cancel("job-2");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(30);
         w.site.start(first);
         w.site.run(30);
     }},
    {"ACommandIsHeldAndTheMachineGoesOn", 2, 6,
     [](World& w) {
         w.submit("job-1", 4, 300);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->hung = !m->w.tasks.empty();
         w.cancel("job-1");
         w.submit("job-2", 8, 20);
         w.site.run(10);
     }},
    {"TheStateServiceIsSlowAndRefusesOneAndThenAll", 3, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-2"));
         for (auto& g : w.gates) g->delay = 0.8;
         int first = w.leader();
         w.alone(first, true);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.poll("job-2");
         w.site.run(2);
         w.outage(true);
         w.site.run(58);
     }},
    {"TransactionsAreCarriedOutLate", 2, 4,
     [](World& w) {
         auto rng = std::make_shared<std::mt19937>(5);
         w.site.state.let_through = [rng](const std::string&) { return (*rng)() % 4 != 0; };
         for (int i = 1; i <= 5; ++i) w.submit("job-" + std::to_string(i), 2, 12);
         for (int i = 0; i < 20; ++i) {
             w.site.run(3);
             for (const auto& body : std::exchange(w.site.state.late, {})) w.site.state.apply(body);
             if (i == 4) w.cancel("job-3");
             if (i == 8) w.site.kill(w.leader());
             if (i == 10)
                 for (int k : {0, 1})
                     if (!w.site.nodes[static_cast<size_t>(k)]) w.site.start(k);
         }
         // A cancellation without an answer, and a placement's, arrive when their jobs are over.
         for (const char* id : {"job-6", "job-7"}) {
             bool users = std::string(id) == "job-6", kept = false;
             w.site.state.let_through = {};
             w.submit(id, 1, 8);
             w.site.state.let_through = [=, &kept](const std::string& body) {
                 bool hers = body.find(id) != std::string::npos &&
                             (body.find("leader") == std::string::npos) == users;
                 return !hers || std::exchange(kept, true);
             };
             if (users) w.site.call(w.leader(), "POST", std::string("/v2/runs/") + id + "/withdraw");
             w.site.until([&] { return w.done.count(id) > 0; }, 60);
             w.site.run(4);
             w.poll(id);
             EXPECT_TRUE(kept);
             for (const auto& body : std::exchange(w.site.state.late, {})) w.site.state.apply(body);
             w.site.run(4);
             w.poll(id);
             w.site.state.let_through = {};
         }
     }},
    {"OldReportsComeAfterNewerOnes", 2, 3,
     [](World& w) {
         w.double_reports = true;
         w.submit("job-1", 4, 40);
         w.submit("job-2", 2, 300);
         w.site.run(15);
         EXPECT_EQ(w.launches["job-1"], 4) << "no copy shows that a task is gone";
         w.fleet[0]->cut = true;
         w.site.run(26);
         w.fleet[0]->cut = false;
         w.cancel("job-2");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(15);
         w.site.start(first);
         w.site.run(20);
         w.double_reports = false;
     }},
    {"ATeamIsAtItsLimitWhenTheLeaderChanges", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 60);
         w.submit("job-2", 2, 300);
         w.submit("job-3", 4, 20);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.fleet[0]->cut = w.fleet[1]->hung = true;
         int first = w.leader();
         w.site.kill(first);
         w.cancel("job-2");
         w.site.run(20);
         w.fleet[0]->cut = w.fleet[1]->hung = false;
         w.site.run(10);
         w.site.start(first);
     }},
    {"AllControllersAreAwayForLongerThanALease", 2, 3,
     [](World& w) {
         w.submit("job-1", 4, 50);
         w.submit("job-2", 1, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         w.holder("job-1")->hung = true;
         w.cancel("job-2");
         w.site.kill(0);
         w.site.kill(1);
         w.site.run(30);
         w.site.start(0);
         w.site.run(10);
     }},
    {"ALoneLeaderKeepsItsWorkers", 3, 6,
     [](World& w) {
         w.submit("job-1", 4, 400);
         w.submit("job-2", 2, 60);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         int first = w.leader();
         w.alone(first, true);
         w.apart(first, true);
         for (auto& m : w.fleet) m->node = first;
         w.site.run(1);
         w.next_node = static_cast<size_t>(first) + 1;
         w.cancel("job-1");
         w.site.run(60);
         EXPECT_TRUE(w.site.cloud.deleted.empty()) << "it takes nobody's silence for an end";
     }},
    {"SmallJobsEndFarApartAcrossAChangeOfLeader", 2, 3,
     [](World& w) {
         w.submit("job-1", 3, 10);
         ASSERT_TRUE(w.starts("job-1"));
         for (auto& m : w.fleet)
             for (auto& [name, end] : m->ends)
                 if (name != "job-1/0") end += 40;
         w.site.run(11);
         w.poll("job-1");
         int first = w.leader();
         w.site.kill(first);
         w.site.run(10);
         w.poll("job-1");
         w.site.start(first);
     }},
    {"WorkersCannotOpenConnections", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 60);
         w.submit("job-2", 2, 300);
         ASSERT_TRUE(w.starts("job-2"));
         w.site.run(4);
         for (auto& m : w.fleet) m->mute = m->w.zone == "a";
         w.cancel("job-2");
         w.site.run(2);
         EXPECT_FALSE(w.holder("job-2")) << "a direct command halts it";
         w.site.run(35);
     }},
    // What a lone leader knows to be cancelled is no reason either to return what another stopped.
    {"ALoneLeaderTakesNoSilenceForAnEnd", 3, 6,
     [](World& w) {
         w.submit("job-1", 2, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         int first = w.leader();
         std::vector<LiveMachine*> held;
         for (auto& m : w.fleet)
             if (!m->w.tasks.empty()) held.push_back(m.get());
         for (auto* m : held) m->hung = true;
         w.cancel("job-1");
         w.alone(first, true);
         w.apart(first, true);
         w.site.run(5);
         for (auto* m : held) {
             m->node = (first + 1) % 3;
             m->hung = false;
         }
         w.site.run(55);
         EXPECT_TRUE(w.site.cloud.deleted.empty());
     }},
    {"CancelledOnMachinesThatOnlyCommandsReachAsTheLeaderEnds", 2, 6,
     [](World& w) {
         w.submit("job-1", 4, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->mute = m->cut = !m->w.tasks.empty();
         int first = w.leader();
         w.cancel("job-1");
         w.site.run(0.2);
         w.site.kill(first);
         for (auto& m : w.fleet) m->cut = false;
         w.site.run(14);
         EXPECT_FALSE(w.holder("job-1")) << "halted by the new leader, which they never reach";
         EXPECT_TRUE(w.site.cloud.deleted.empty());
         w.site.start(first);
     }},
    // A hung machine cannot be stopped and may go on: only its deletion ends what was cancelled there.
    {"CancelledOnHungMachinesOfACutZone", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->w.zone == "a";
         w.holder("job-1")->hung = true;
         for (auto& m : w.fleet)
             if (m->cut) m->hung = true;
         w.site.cloud.down = true;
         w.cancel("job-1");
         w.site.run(35);
         w.site.cloud.down = false;
         w.site.run(25);
     }},
    {"CancelledOnAHungMachineAsTheStateServiceIsAway", 2, 4,
     [](World& w) {
         w.submit("job-1", 4, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         w.holder("job-1")->hung = true;
         w.cancel("job-1");
         w.site.run(0.2);
         w.outage(true);
         w.site.run(62);
     }},
    {"CancelledOnAHungMachineAsLeadersChange", 2, 6,
     [](World& w) {
         w.submit("job-1", 6, 400);
         ASSERT_TRUE(w.starts("job-1"));
         w.site.run(4);
         for (auto& m : w.fleet) m->cut = m->hung = m->w.zone == "a";
         w.cancel("job-1");
         for (int i = 0; i < 2; ++i) {
             int first = w.leader();
             w.site.kill(first);
             w.site.run(15);
             w.site.start(first);
         }
         w.site.run(30);
     }},
};

class FaultScenarios : public testing::TestWithParam<FaultScenario> {};

}  // namespace

TEST_P(FaultScenarios, BreakNoRule) {
    World w(GetParam().nodes, GetParam().machines);
    GetParam().play(w);
    w.calm();
    EXPECT_TRUE(w.starts_after_announced.empty())
        << w.starts_after_announced.front() << " started after its withdrawal";
}

INSTANTIATE_TEST_SUITE_P(Two, FaultScenarios, testing::ValuesIn(kFaultScenarios),
                         [](const auto& i) { return std::string(i.param.name); });
