#include "standins.h"

#include <fmt/format.h>

#include "base/log.h"

namespace hareshore::test {

namespace {

std::string repack(const MsgpackValue& n) {
    msgpack::sbuffer b;
    msgpack::pack(b, *n.raw());
    return {b.data(), b.size()};
}

// A parameter of the query; empty without it.
std::string query_value(const Request& r, const std::string& name) {
    auto at = ("&" + r.query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    std::string rest = r.query.substr(at + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

Response packed(int status, MsgpackWriter& p) {
    return {status, p.take(), 0, "application/msgpack"};
}

}  // namespace

std::string json_text(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    std::function<std::string(const msgpack::object&)> text = [&](const msgpack::object& o) -> std::string {
        switch (o.type) {
            case msgpack::type::NIL:
                return "null";
            case msgpack::type::BOOLEAN:
                return o.via.boolean ? "true" : "false";
            case msgpack::type::POSITIVE_INTEGER:
                return std::to_string(o.via.u64);
            case msgpack::type::NEGATIVE_INTEGER:
                return std::to_string(o.via.i64);
            case msgpack::type::FLOAT32:
            case msgpack::type::FLOAT64:
                return fmt::format("{}", o.via.f64);
            case msgpack::type::STR: {
                std::string s = "\"";
                for (char c : std::string_view(o.via.str.ptr, o.via.str.size)) {
                    if (static_cast<unsigned char>(c) < 0x20) {
                        s += fmt::format("\\u{:04x}", c);
                        continue;
                    }
                    if (c == '"' || c == '\\') s += '\\';
                    s += c;
                }
                return s + '"';
            }
            case msgpack::type::ARRAY: {
                std::string s = "[";
                for (uint32_t i = 0; i < o.via.array.size; ++i)
                    s += (i ? "," : "") + text(o.via.array.ptr[i]);
                return s + ']';
            }
            case msgpack::type::MAP: {
                std::string s = "{";
                for (uint32_t i = 0; i < o.via.map.size; ++i)
                    s += (i ? "," : "") + text(o.via.map.ptr[i].key) + ':' + text(o.via.map.ptr[i].val);
                return s + '}';
            }
            default:
                ADD_FAILURE() << "not JSON";
                return "";
        }
    };
    return m ? text(*m->root().raw()) : "";
}

void FakeState::expire() {
    std::vector<uint64_t> ended;
    for (auto& [id, l] : leases_)
        if (l.second < loop_.now()) ended.push_back(id);
    for (uint64_t id : ended) end_lease(id);
}

void FakeState::end_lease(uint64_t id) {
    leases_.erase(id);
    bool any = false;
    for (auto it = rows.begin(); it != rows.end();) {
        if (it->second.lease != id) {
            ++it;
            continue;
        }
        if (!any) ++revision;
        any = true;
        events_.push_back({it->first, true, "", revision});
        it = rows.erase(it);
    }
    if (any) news_.notify();
}

void FakeState::outage_is_over() {
    for (auto& [id, l] : leases_) l.second = loop_.now() + l.first;
}

Response FakeState::apply(const std::string& body) {
    auto m = MsgpackDocument::parse(body);
    MsgpackValue when = m->root()["when"], writes = m->root()["writes"];
    MsgpackWriter p;
    std::vector<std::string> failed;
    for (size_t i = 0; i < when.size(); ++i) {
        std::string k = *when.at(i)["k"].text();
        auto it = rows.find(k);
        if ((it == rows.end() ? 0 : it->second.mod_revision) != *when.at(i)["stamp"].count())
            failed.push_back(k);
    }
    for (size_t i = 0; i < writes.size(); ++i) {
        uint64_t lease = writes.at(i)["mooring"].count_or(0);
        if (lease && !leases_.count(lease)) return {400, "", 0, "application/msgpack"};
        bool large =
            writes.at(i)["put"].present() && json_text(repack(writes.at(i)["data"])).size() > value_bytes;
        if (large || writes.size() > txn_ops || when.size() > 4 * txn_ops ||
            json_text(body).size() > 64 * 1024) {
            ++invalid;
            return {400, "", 0, "application/msgpack"};
        }
    }
    if (limited > 0) {
        --limited;
        return {429, "", 0, "application/msgpack"};
    }
    if (!failed.empty()) {
        p.map(2).key("failed").list(failed.size());
        for (const auto& k : failed) p.text(k);
        p.key("tide").count(revision);
        return packed(409, p);
    }
    if (writes.size() > 0) ++revision;
    for (size_t i = 0; i < writes.size(); ++i) {
        MsgpackValue w = writes.at(i);
        ++puts;
        if (auto k = w["put"].text()) {
            rows[*k] = {repack(w["data"]), revision, w["mooring"].count_or(0)};
            events_.push_back({*k, false, rows[*k].data, revision});
        } else {
            rows.erase(*w["drop"].text());
            events_.push_back({*w["drop"].text(), true, "", revision});
        }
    }
    news_.notify();
    p.map(1).key("tide").count(revision);
    return packed(200, p);
}

Task<Response> FakeState::handle(Request r, int node) {
    if (silent) co_await loop_.sleep(1e6);
    auto away = [&] { return down || refused.count(node) > 0; };
    if (away() && r.path != "/changes") co_return Response{503, "", 0, ""};
    expire();
    MsgpackWriter p;
    if (r.path == "/txn") {
        if (let_through && !let_through(r.body)) {
            late.push_back(r.body);
            co_await loop_.sleep(1e6);
        }
        co_return apply(r.body);
    }
    if (r.path == "/leases") {
        Seconds ttl = static_cast<double>(*MsgpackDocument::parse(r.body)->root()["ttl_ms"].count()) / 1000;
        leases_[next_lease_] = {ttl, loop_.now() + ttl};
        p.map(1).key("mooring").count(next_lease_++);
        co_return packed(200, p);
    }
    if (r.path.rfind("/leases/", 0) == 0) {
        uint64_t id = std::stoull(r.path.substr(8));
        auto it = leases_.find(id);
        if (it == leases_.end()) co_return Response{404, "", 0, ""};
        if (r.method == "DELETE") {
            end_lease(id);
        } else {
            it->second.second = loop_.now() + it->second.first;
        }
        co_return Response{200, "", 0, ""};
    }
    if (r.path == "/changes") {
        std::string prefix = query_value(r, "prefix");
        uint64_t from = std::stoull(query_value(r, "from"));
        if (from < oldest) co_return Response{410, "", 0, ""};
        Seconds end = loop_.now() + std::stod(query_value(r, "wait_ms")) / 1000;
        while (true) {
            expire();
            std::vector<const Event*> found;
            for (const auto& e : events_)
                if (e.mod_revision > from && e.key.rfind(prefix, 0) == 0) found.push_back(&e);
            if (!away() && (!found.empty() || loop_.now() >= end)) {
                p.map(2).key("tide").count(revision).key("news").list(found.size());
                for (auto* e : found) {
                    p.map(e->drop ? 2 : 3)
                        .key(e->drop ? "drop" : "put")
                        .text(e->key)
                        .key("stamp")
                        .count(e->mod_revision);
                    if (!e->drop) p.key("data").raw(e->data);
                }
                co_return packed(200, p);
            }
            co_await loop_.wait(news_, std::min(std::max(end, loop_.now() + 0.1), loop_.now() + 0.5));
        }
    }
    if (r.path == "/keys") {
        std::string prefix = query_value(r, "prefix"), from = query_value(r, "from");
        std::vector<std::pair<std::string, const Row*>> found;
        for (const auto& [k, row] : rows)
            if (k.rfind(prefix, 0) == 0 && k > from) found.emplace_back(k, &row);
        bool more = found.size() > page;
        if (more) found.resize(page);
        p.map(3).key("rows").list(found.size());
        for (auto& [k, row] : found)
            p.map(3).key("k").text(k).key("data").raw(row->data).key("stamp").count(row->mod_revision);
        p.key("has_next").flag(more).key("tide").count(revision);
        co_return packed(200, p);
    }
    auto it = rows.find(r.path.substr(6));
    if (it == rows.end()) {
        p.map(1).key("tide").count(revision);
        co_return packed(404, p);
    }
    p.map(4)
        .key("k")
        .text(it->first)
        .key("data")
        .raw(it->second.data)
        .key("stamp")
        .count(it->second.mod_revision);
    p.key("mooring").count(it->second.lease);
    co_return packed(200, p);
}

Task<Response> FakeCloud::handle(Request r) {
    MsgpackWriter p;
    if (down) {
        p.map(1).key("error").text("trouble");
        co_return packed(503, p);
    }
    if (r.path == "/flavors") co_return Response{200, Cloud::pack_machine_types(machine_types), 0, ""};
    if (r.path == "/hosts/delete") {
        auto m = MsgpackDocument::parse(r.body);
        for (size_t i = 0; i < m->root()["hosts"].size(); ++i) {
            std::string name = *m->root()["hosts"].at(i).text();
            deleted.push_back(name);
            machines.erase(name);
        }
        co_return Response{200, "", 0, ""};
    }
    if (r.method == "POST") {
        ++rentals;
        auto request = MsgpackDocument::parse(r.body);
        std::vector<std::string> rented;
        if (rent) rented = rent(request->root()["cove"].text_or(""), request->root()["number"].count_or(1));
        if (!rented.empty()) {
            p.map(1).key("hosts").list(rented.size());
            for (const auto& name : rented) p.text(name);
            co_return packed(200, p);
        }
        p.map(1).key("error").text("no capacity");
        co_return packed(503, p);
    }
    std::string from = query_value(r, "from");
    std::string page = query_value(r, "page");
    size_t most = page.empty() ? machines.size() : std::stoul(page);
    auto first = machines.upper_bound(from);
    auto left = static_cast<size_t>(std::distance(first, machines.end()));
    p.map(2).key("hosts").list(std::min(most, left));
    for (auto it = first; it != machines.end() && most > 0; ++it, --most) {
        const auto& [name, m] = *it;
        p.map(7)
            .key("ref")
            .text(name)
            .key("addr")
            .text(m.addr)
            .key("flavor")
            .text(m.machine_type)
            .key("cove")
            .text(m.zone);
        p.key("driftwood").flag(m.spot).key("phase").text("running").key("age_s").number(100);
    }
    p.key("has_next").flag(most == 0 && !page.empty() && std::stoul(page) < left);
    co_return packed(200, p);
}

std::string FakeWorker::report() {
    static const char* phases[] = {"pulling", "gathering", "running", "saving", "exited"};
    static const char* causes[] = {"",      "done",    "stopped", "mates_gone", "incomplete",
                                   "error", "no_room", "busy",    "unknown"};
    MsgpackWriter p;
    p.map(10)
        .key("host")
        .text(name)
        .key("addr")
        .text(addr)
        .key("flavor")
        .text(machine_type)
        .key("cove")
        .text(zone);
    p.key("driftwood")
        .flag(spot)
        .key("tenure")
        .count(incarnation)
        .key("tick")
        .count(++sequence)
        .key("epoch")
        .count(fencing_token);
    p.key("warning_s");
    if (notice_s) {
        p.number(*notice_s);
    } else {
        p.null();
    }
    p.key("pieces").list(tasks.size());
    for (const auto& t : tasks) {
        p.map(4).key("piece").text(t.name.text()).key("try").count(t.attempt);
        p.key("phase")
            .text(phases[static_cast<int>(t.phase)])
            .key("cause")
            .text(causes[static_cast<int>(t.cause)]);
    }
    return p.take();
}

void FakeWorker::carry_out(const std::string& body) {
    auto m = MsgpackDocument::parse(body);
    ASSERT_TRUE(m);
    uint64_t e = m->root()["epoch"].count_or(0);
    if (e < fencing_token) return;  // dropped
    fencing_token = e;
    MsgpackValue commands = m->root()["orders"];
    for (size_t i = 0; i < commands.size(); ++i) {
        std::string verb = *commands.at(i)["verb"].text();
        auto task = *TaskName::parse(*commands.at(i)["piece"].text());
        uint64_t attempt = *commands.at(i)["try"].count();
        auto it = std::find_if(tasks.begin(), tasks.end(),
                               [&](const TaskStatus& t) { return t.name == task && t.attempt == attempt; });
        if (verb == "launch" && it == tasks.end())
            tasks.push_back({task, attempt, TaskPhase::kRunning, ExitCause::kNone, false});
        if (verb == "halt" && it != tasks.end()) {
            it->phase = TaskPhase::kExited;
            it->cause = ExitCause::kStopped;
        }
        if (verb == "forget" && it != tasks.end() && it->phase == TaskPhase::kExited) tasks.erase(it);
    }
}

Task<int> FakeWorker::send_report(Loop& loop, Address node) {
    HttpClient http(loop, node, 1);
    std::string body = report();
    CallResult a = co_await http.call("POST", "/hello", body, 4.0);
    if (a.status == 200 && !deaf) carry_out(a.body);
    co_return a.status;
}

TaskStatus* FakeWorker::find(const std::string& task) {
    for (auto& t : tasks)
        if (t.name.text() == task) return &t;
    return nullptr;
}

std::string job_body(const std::string& id,
                     const std::function<void(std::map<std::string, std::string>&)>& change) {
    auto text = [](const std::string& s) {
        MsgpackWriter p;
        return p.text(s).take();
    };
    auto number = [](double d) {
        MsgpackWriter p;
        return p.number(d).take();
    };
    auto flag = [](bool b) {
        MsgpackWriter p;
        return p.flag(b).take();
    };
    std::map<std::string, std::string> f{
        {"ref", text(id)},          {"jobclass", text("c")},    {"owner", text("team")},
        {"shape", text("sweep")},   {"rank", text("standard")}, {"pieces", number(1)},
        {"vcpus", number(4)},       {"cards", number(1)},       {"memory_gb", number(8)},
        {"bundle", text("img-1")},  {"size_gb", number(2)},     {"one_zone", flag(false)},
        {"apart", flag(false)},     {"driftwood", flag(false)}, {"expect_s", number(60)},
        {"snapshot_s", number(10)}, {"flush_s", number(2)},
    };
    if (change) change(f);
    MsgpackWriter p;
    p.map(f.size());
    for (const auto& [k, v] : f) p.key(k).raw(v);
    return p.take();
}

MachineType small_machine_type() {
    MachineType f;
    f.name = "g2";
    f.cpus = 16;
    f.gpus = 2;
    f.memory_gb = 64;
    f.cache_gb = 50;
    f.fetch_gb_per_s = 1;
    f.price = 4;
    f.spot_price = 1;
    f.boot_s = 30;
    f.zones = {"a", "b"};
    return f;
}

Site::Site(int n) {
    settings.idle_return_s = settings.calm_s = 3600;  // the scripts decide when a machine goes
    setup_log(std::getenv("LOG_LEVEL") ? std::getenv("LOG_LEVEL") : "error", "test");
    cloud.machine_types = {small_machine_type()};
    for (int i = 0; i < n; ++i) {
        Config c;
        c.label = "node-" + std::to_string(i);
        c.zone = "a";
        c.listen = address(10 + i, 8080);
        c.peer_listen = address(10 + i, 8081);
        c.cloud = address(1, 8443);
        c.state = address(10 + i, 2379);
        state.open(i, c.state);
        c.zones = {"a", "b"};
        Team t;
        t.name = "team";
        t.gpus_max = 8;
        c.teams = {t};
        c.heartbeat_interval_s = 3;
        c.lease_s = 24;
        c.gang_wait_s = 40;
        c.gang_peer_s = 4;
        c.cancel_s = 49;
        c.state_rps = 200;
        c.write_rps = 100;
        c.value_bytes = 8192;
        c.txn_ops = 12;
        c.cloud_rps = 6;
        c.list_lag_s = 6;
        c.sockets = 200;
        for (int k = 0; k < n; ++k)
            if (k != i) c.peers.push_back({"node-" + std::to_string(k), "a", address(10 + k, 8081)});
        configs.push_back(c);
    }
    nodes.resize(static_cast<size_t>(n));
}

// A process's end is played by cancelling its routines; the loop then unwinds them.
Site::~Site() {
    for (size_t i = 0; i < nodes.size(); ++i) kill(static_cast<int>(i));
    state.stop();
    cloud.stop();
    unwind(loop);
}

Controller& Site::start(int i) {
    auto& n = nodes[static_cast<size_t>(i)];
    n = std::make_unique<Controller>(loop, configs[static_cast<size_t>(i)], settings);
    return *n;
}

void Site::kill(int i) {
    auto& n = nodes[static_cast<size_t>(i)];
    if (!n) return;
    n->stop();
    unwind(loop);
    n.reset();
}

int Site::leader() const {
    for (size_t i = 0; i < nodes.size(); ++i)
        if (nodes[i] && nodes[i]->election().leading()) return static_cast<int>(i);
    return -1;
}

CallResult Site::call(int node, std::string method, std::string path, std::string body) {
    CallResult out;
    bool done = false;
    TaskGroup scope(loop);
    auto go = [](Loop& l, Address at, std::string m, std::string p, std::string b, CallResult& o,
                 bool& d) -> Task<void> {
        HttpClient http(l, at, 1);
        o = co_await http.call(std::move(m), std::move(p), std::move(b), 5.0);
        d = true;
    };
    scope.spawn(go(loop, configs[static_cast<size_t>(node)].listen, std::move(method), std::move(path),
                   std::move(body), out, done),
                "call");
    until([&] { return done; }, 10);
    return out;
}

int Site::send_report(FakeWorker& w, int node) {
    int status = -1;
    bool done = false;
    TaskGroup scope(loop);
    auto go = [](Loop& l, Address at, FakeWorker& x, int& s, bool& d) -> Task<void> {
        s = co_await x.send_report(l, at);
        d = true;
    };
    scope.spawn(go(loop, configs[static_cast<size_t>(node)].listen, w, status, done), "hello");
    until([&] { return done; }, 10);
    return status;
}

void Site::settle(FakeWorker& w) {
    for (int i = 0; i < 20; ++i) {
        int l = leader();
        if (l >= 0 && send_report(w, l) == 200 &&
            w.fencing_token == nodes[static_cast<size_t>(l)]->election().fencing_token())
            return;
        run(0.5);
    }
    FAIL() << "no leader took the worker's report";
}

}  // namespace hareshore::test
