#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>

#include "base/log.h"
#include "cloud/cloud_wire.h"
#include "http/json_size.h"

namespace review {

namespace {

constexpr int kControllerHost = 10, kStoreHost = 1, kWorkerHost = 200;
constexpr uint16_t kWorkerPort = 9000;
constexpr Seconds kTick_s = 0.02;

Address loopback(int host, int port) {
    auto process = static_cast<unsigned>(getpid());
    return Address::parse("127." + std::to_string(1 + (process >> 8) % 254) + "." +
                          std::to_string(process & 255) + "." + std::to_string(host) + ":" +
                          std::to_string(port))
        .value();
}

Response packed(int status, MsgpackWriter& writer) {
    return {status, writer.take(), 0, "application/msgpack"};
}

Response error(int status, const std::string& text) {
    MsgpackWriter writer;
    writer.map(1).key("error").text(text);
    return packed(status, writer);
}

std::string repack(const MsgpackValue& value) {
    msgpack::sbuffer buffer;
    if (value.raw()) msgpack::pack(buffer, *value.raw());
    return {buffer.data(), buffer.size()};
}

std::string parameter(const Request& request, const std::string& name) {
    size_t at = 0;
    while (at < request.query.size()) {
        size_t end = std::min(request.query.find('&', at), request.query.size());
        std::string part = request.query.substr(at, end - at);
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
        at = end + 1;
    }
    return "";
}

uint64_t number(const std::string& text, uint64_t otherwise) {
    return text.empty() ? otherwise : std::stoull(text);
}

}  // namespace

std::string text_of(const Address& address) {
    const auto* bytes = reinterpret_cast<const uint8_t*>(&address.ip);
    return std::to_string(bytes[0]) + "." + std::to_string(bytes[1]) + "." + std::to_string(bytes[2]) + "." +
           std::to_string(bytes[3]) + ":" + std::to_string(address.port);
}

bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// --- Record

Record::Record(Loop& loop, const std::string& path)
    : loop_(loop), begin_(loop.now()), file_(std::fopen(path.c_str(), "w")) {
    if (!file_) throw std::runtime_error("cannot write " + path);
}

Record::~Record() {
    std::fclose(file_);
}

void Record::line(const std::string& text) {
    std::fprintf(file_, "%8.3f %s\n", now(), text.c_str());
    std::fflush(file_);
}

bool Bucket::take(double amount, Seconds now) {
    if (last_) level_ = std::min(most_, level_ + (now - *last_) * rate_);
    last_ = now;
    if (level_ < amount) return false;
    level_ -= amount;
    return true;
}

// --- State service

Store::Store(Loop& loop, Record& record, const Settings& settings, Address at)
    : loop_(loop),
      record_(record),
      settings_(settings),
      requests_(settings.store_rps, 1),
      writes_(settings.write_rps, 1),
      changed_(loop),
      server_(loop, at, 400, [this](Request request) { return handle(std::move(request)); }),
      tasks_(loop) {
    tasks_.spawn(end_leases(), "leases");
}

void Store::stop() {
    tasks_.cancel();
    server_.stop();
}

void Store::set_down(bool down) {
    if (down_ && !down)
        for (auto& [id, lease] : leases_) lease.ends_at = loop_.now() + lease.ttl;
    down_ = down;
    record_.line(down ? "state service: outage begins" : "state service: outage ends");
    changed_.notify();
}

Task<void> Store::end_leases() {
    while (true) {
        co_await loop_.sleep(kTick_s);
        if (down_) continue;
        std::vector<uint64_t> ended;
        for (const auto& [id, lease] : leases_)
            if (lease.ends_at < loop_.now()) ended.push_back(id);
        for (uint64_t id : ended) end_lease(id);
    }
}

void Store::end_lease(uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_)
        if (row.lease == id) keys.push_back(key);
    if (keys.empty()) return;
    ++tide_;
    for (const auto& key : keys) {
        rows_.erase(key);
        events_.push_back({key, true, "", tide_});
    }
    changed_.notify();
}

Task<Response> Store::handle(Request request) {
    co_await loop_.sleep(0.002);
    if (down_) co_return error(503, "outage");
    if (!requests_.take(1, loop_.now())) co_return error(429, "too many requests");
    if (request.path == "/changes") co_return co_await watch(std::move(request));
    if (request.path == "/txn") co_return transact(request.body);
    if (request.path.rfind("/leases", 0) == 0) co_return leases(request);
    if (request.path == "/keys") co_return list(request);
    if (request.path.rfind("/keys/", 0) == 0) co_return read(request.path.substr(6));
    co_return error(400, "unknown path");
}

Response Store::leases(const Request& request) {
    if (request.path == "/leases") {
        auto body = MsgpackDocument::parse(request.body);
        uint64_t ttl_ms = body ? body->root()["ttl_ms"].count_or(0) : 0;
        if (ttl_ms < 100 || ttl_ms > 600000) return error(400, "ttl_ms");
        Seconds ttl = static_cast<double>(ttl_ms) / 1000;
        leases_[next_lease_] = {ttl, loop_.now() + ttl};
        MsgpackWriter writer;
        writer.map(1).key("mooring").count(next_lease_++);
        return packed(200, writer);
    }
    uint64_t id = number(request.path.substr(8, request.path.find('/', 8) - 8), 0);
    auto lease = leases_.find(id);
    if (lease == leases_.end()) return error(404, "no such lease");
    if (request.method == "DELETE")
        end_lease(id);
    else
        lease->second.ends_at = loop_.now() + lease->second.ttl;
    MsgpackWriter writer;
    writer.map(1).key("mooring").count(id);
    return packed(200, writer);
}

Response Store::transact(const std::string& body) {
    auto message = MsgpackDocument::parse(body);
    if (!message) return error(400, "malformed");
    MsgpackValue when = message->root()["when"], writes = message->root()["writes"];
    auto ops = static_cast<size_t>(settings_.txn_ops);
    bool too_large = writes.size() > ops || when.size() > 4 * ops || json_size(body) > 65536;
    for (size_t i = 0; i < writes.size(); ++i) {
        MsgpackValue write = writes.at(i);
        if (!write["put"].present()) continue;
        if (json_size(repack(write["data"])) > settings_.value_kb * 1024) too_large = true;
        uint64_t lease = write["mooring"].count_or(0);
        if (lease != 0 && !leases_.contains(lease)) return error(400, "no such lease");
    }
    if (too_large) {
        record_.line("state service: transaction beyond a limit, 400");
        return error(400, "too large");
    }
    if (!writes_.take(static_cast<double>(writes.size()), loop_.now())) return error(429, "too many changes");
    std::vector<std::string> failed;
    for (size_t i = 0; i < when.size(); ++i) {
        std::string key = when.at(i)["k"].text_or("");
        auto row = rows_.find(key);
        if ((row == rows_.end() ? 0 : row->second.stamp) != when.at(i)["stamp"].count_or(0))
            failed.push_back(key);
    }
    MsgpackWriter writer;
    if (!failed.empty()) {
        writer.map(2).key("failed").list(failed.size());
        for (const auto& key : failed) writer.text(key);
        writer.key("tide").count(tide_);
        return packed(409, writer);
    }
    if (writes.size() > 0) ++tide_;
    for (size_t i = 0; i < writes.size(); ++i) {
        MsgpackValue write = writes.at(i);
        if (auto key = write["put"].text()) {
            rows_[*key] = {repack(write["data"]), tide_, write["mooring"].count_or(0)};
            events_.push_back({*key, false, rows_[*key].data, tide_});
        } else if (auto dropped = write["drop"].text()) {
            rows_.erase(*dropped);
            events_.push_back({*dropped, true, "", tide_});
        }
    }
    if (events_.size() > 10000) events_.erase(events_.begin(), events_.end() - 10000);
    changed_.notify();
    writer.map(1).key("tide").count(tide_);
    return packed(200, writer);
}

Task<Response> Store::watch(Request request) {
    std::string prefix = parameter(request, "prefix");
    uint64_t from = number(parameter(request, "from"), 0);
    Seconds deadline = loop_.now() + static_cast<double>(number(parameter(request, "wait_ms"), 0)) / 1000;
    while (true) {
        if (!down_) {
            if (events_.size() >= 10000 && from + 1 < events_.front().stamp) co_return error(410, "gone");
            std::vector<const Event*> news;
            for (auto event = events_.rbegin(); event != events_.rend() && event->stamp > from; ++event)
                if (event->key.rfind(prefix, 0) == 0) news.push_back(&*event);
            std::reverse(news.begin(), news.end());
            if (!news.empty() || loop_.now() >= deadline) {
                MsgpackWriter writer;
                writer.map(2).key("tide").count(tide_).key("news").list(news.size());
                for (const Event* event : news) {
                    writer.map(event->dropped ? 2 : 3).key(event->dropped ? "drop" : "put").text(event->key);
                    if (!event->dropped) writer.key("data").raw(event->data);
                    writer.key("stamp").count(event->stamp);
                }
                co_return packed(200, writer);
            }
        }
        Seconds until = std::max(deadline, loop_.now() + 0.05);
        co_await loop_.wait(changed_, until);
    }
}

Response Store::list(const Request& request) {
    std::string prefix = parameter(request, "prefix"), from = parameter(request, "from");
    uint64_t page = std::min<uint64_t>(1000, number(parameter(request, "page"), 1000));
    std::vector<std::pair<std::string, const Row*>> found;
    size_t bytes = 0;
    bool more = false;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.rfind(prefix, 0) == 0;
         ++row) {
        if (row->first <= from) continue;
        bytes += row->second.data.size() + row->first.size() + 40;
        if (found.size() >= page || (bytes > 512 * 1024 && !found.empty())) {
            more = true;
            break;
        }
        found.emplace_back(row->first, &row->second);
    }
    MsgpackWriter writer;
    writer.map(3).key("rows").list(found.size());
    for (const auto& [key, row] : found)
        writer.map(3).key("k").text(key).key("data").raw(row->data).key("stamp").count(row->stamp);
    writer.key("has_next").flag(more).key("tide").count(tide_);
    return packed(200, writer);
}

Response Store::read(const std::string& key) {
    MsgpackWriter writer;
    auto row = rows_.find(key);
    if (row == rows_.end()) {
        writer.map(1).key("tide").count(tide_);
        return packed(404, writer);
    }
    bool moored = row->second.lease != 0;
    writer.map(moored ? 4 : 3).key("k").text(key).key("data").raw(row->second.data);
    writer.key("stamp").count(row->second.stamp);
    if (moored) writer.key("mooring").count(row->second.lease);
    return packed(200, writer);
}

// --- Worker

Worker::Worker(Site& site, std::string name, std::string zone, bool spot, Address at)
    : site_(site),
      name_(std::move(name)),
      zone_(std::move(zone)),
      spot_(spot),
      at_(at),
      wake_(site.loop),
      tasks_(site.loop) {}

void Worker::start() {
    if (gone_) return;
    session_began_ = site_.loop.now();
    server_ = std::make_unique<HttpServer>(site_.loop, at_, 50,
                                           [this](Request request) { return handle(std::move(request)); });
    tasks_.spawn(report(), "report");
    tasks_.spawn(run_pieces(), "pieces");
}

void Worker::stop() {
    gone_ = true;
    pieces_.clear();
    tasks_.cancel();
    if (server_) server_->stop();
}

void Worker::hang() {
    hung_ = true;
    site_.record.line(name_ + " hangs");
}

void Worker::resume() {
    if (!hung_ || gone_) return;
    hung_ = false;
    site_.record.line(name_ + " continues");
    check_lease();
    wake_.notify();
}

void Worker::check_lease() {
    Seconds since = answered_sent_at_.value_or(session_began_);
    if (site_.loop.now() - since <= site_.settings.lease_s) return;
    site_.record.line(name_ + " lease expired, kills " + std::to_string(pieces_.size()) + " pieces");
    for (const auto& piece : pieces_)
        if (pieces_.size() <= 8) site_.record.line(name_ + " " + piece.name() + " killed");
    pieces_.clear();
    ++tenure_;
    answered_sent_at_.reset();
    session_began_ = site_.loop.now();
    changed_ = true;
    wake_.notify();
}

void Worker::change(Piece& piece, const std::string& phase, const std::string& cause) {
    piece.phase = phase;
    piece.cause = cause;
    piece.since = site_.loop.now();
    changed_ = true;
    wake_.notify();
    const Description& job = site_.uploaded.at(piece.job);
    if (job.pieces <= 8)
        site_.record.line(name_ + " " + piece.name() + " try " + std::to_string(piece.attempt) + " " + phase +
                          (cause.empty() ? "" : " " + cause));
}

Task<void> Worker::run_pieces() {
    while (true) {
        co_await site_.loop.sleep(0.05);
        if (hung_) continue;
        check_lease();
        for (auto& piece : pieces_) {
            const Description& job = site_.uploaded.at(piece.job);
            Seconds age = site_.loop.now() - piece.since;
            if (piece.phase == "pulling" && age >= job.size_gb / site_.settings.flavor.fetch_gb_per_s)
                change(piece, job.shape == "ensemble" ? "gathering" : "running");
            else if (piece.phase == "gathering" && age > site_.settings.gang_wait_s)
                change(piece, "exited", "incomplete");
            else if (piece.phase == "running" && sick && age >= 1)
                change(piece, "exited", "error");
            else if (piece.phase == "running" && job.shape == "sweep" && age >= job.run_s)
                change(piece, "exited", "done");
            else if (piece.phase == "saving" && age >= job.flush_s)
                change(piece, "exited", "stopped");
        }
    }
}

std::string Worker::packed_report() {
    MsgpackWriter writer;
    writer.map(9).key("host").text(name_).key("addr").text(text_of(at_));
    writer.key("flavor")
        .text(site_.settings.flavor.name)
        .key("cove")
        .text(zone_)
        .key("driftwood")
        .flag(false);
    writer.key("tenure").count(tenure_).key("tick").count(++tick_).key("epoch").count(epoch_);
    writer.key("pieces").list(pieces_.size());
    for (const auto& piece : pieces_) {
        bool exited = piece.phase == "exited";
        writer.map(exited ? 4 : 3).key("piece").text(piece.name()).key("try").count(piece.attempt);
        writer.key("phase").text(piece.phase);
        if (exited) writer.key("cause").text(piece.cause);
    }
    return writer.take();
}

void Worker::execute(const MsgpackValue& orders) {
    for (size_t i = 0; i < orders.size(); ++i) {
        std::string verb = orders.at(i)["verb"].text_or("");
        std::string name = orders.at(i)["piece"].text_or("");
        uint64_t attempt = orders.at(i)["try"].count_or(0);
        size_t slash = name.rfind('/');
        std::string job_id = name.substr(0, slash);
        auto piece_number = static_cast<uint32_t>(number(name.substr(slash + 1), 0));
        auto same = [&](const Piece& piece) { return piece.job == job_id && piece.number == piece_number; };
        auto piece = std::find_if(pieces_.begin(), pieces_.end(), [&](const Piece& other) {
            return same(other) && other.attempt == attempt;
        });
        bool known = piece != pieces_.end();
        if (verb == "launch" && !known) {
            auto job = site_.uploaded.find(job_id);
            Piece started{job_id, piece_number, attempt, "", "", 0};
            if (job == site_.uploaded.end()) continue;
            bool busy = std::any_of(pieces_.begin(), pieces_.end(), [&](const Piece& other) {
                return same(other) && other.phase != "exited";
            });
            double vcpus = 0, cards = 0, memory_gb = 0;
            for (const auto& other : pieces_) {
                if (other.phase == "exited") continue;
                const Description& its = site_.uploaded.at(other.job);
                vcpus += its.vcpus;
                cards += its.cards;
                memory_gb += its.memory_gb;
            }
            const MachineType& flavor = site_.settings.flavor;
            bool room = vcpus + job->second.vcpus <= flavor.cpus + 1e-6 &&
                        cards + job->second.cards <= flavor.gpus + 1e-6 &&
                        memory_gb + job->second.memory_gb <= flavor.memory_gb + 1e-6;
            pieces_.push_back(started);
            if (busy)
                change(pieces_.back(), "exited", "busy");
            else if (!room)
                change(pieces_.back(), "exited", "no_room");
            else
                change(pieces_.back(), "pulling");
        } else if (verb == "halt" && known && piece->phase != "exited") {
            const Description& job = site_.uploaded.at(job_id);
            double linger_s = orders.at(i)["linger_s"].number_or(0);
            if (piece->phase == "running" && job.snapshot_s > 0 && linger_s >= job.flush_s)
                change(*piece, "saving");
            else if (piece->phase != "saving" || linger_s <= 0)
                change(*piece, "exited", "stopped");
        } else if (verb == "forget" && known && piece->phase == "exited") {
            pieces_.erase(piece);
        }
    }
}

Task<void> Worker::report() {
    Loop& loop = site_.loop;
    int node =
        static_cast<int>(std::hash<std::string>{}(name_) % static_cast<size_t>(site_.settings.controllers));
    std::unique_ptr<HttpClient> client;
    Seconds last_sent = -1e9;
    Seconds due = loop.now();
    while (true) {
        // Regular reports, and one on any change, at most every half second.
        while (hung_ || loop.now() < due) {
            if (!hung_ && changed_ && loop.now() >= last_sent + 0.5) break;
            Seconds until = changed_ && !hung_ ? std::min(due, last_sent + 0.5) : due;
            co_await loop.wait(wake_, std::max(until, loop.now() + 0.01));
        }
        changed_ = false;
        if (!client) client = std::make_unique<HttpClient>(loop, site_.controller_address(node), 1);
        uint64_t tenure = tenure_;
        Seconds sent_at = last_sent = loop.now();
        std::string body = packed_report();
        size_t pieces = pieces_.size();
        CallResult answer = co_await client->call("POST", "/hello", body, 4.0);
        while (hung_) co_await loop.wait(wake_, loop.now() + 0.05);
        due = last_sent + site_.settings.report_s * site_.jitter();
        if (loop.now() - sent_at > 4.0) answer = {};
        if (site_.on_report) site_.on_report(*this, answer.status, pieces, json_size(body));
        if (answer.status == 200) {
            auto message = MsgpackDocument::parse(answer.body);
            uint64_t epoch = message ? message->root()["epoch"].count_or(0) : 0;
            if (!message || epoch < epoch_ || tenure != tenure_) continue;  // dropped
            if (epoch > epoch_) {
                epoch_ = epoch;
                if (loop.now() - last_epoch_change_ > site_.settings.lease_s / 2) changed_ = true;
                last_epoch_change_ = loop.now();
            }
            answered_sent_at_ = sent_at;
            ++accepted_;
            execute(message->root()["orders"]);
            continue;
        }
        client.reset();
        int next = (node + 1) % site_.settings.controllers;
        Seconds pause = 1;
        if (answer.status == 421) {
            auto message = MsgpackDocument::parse(answer.body);
            std::string harbor = message ? message->root()["harbor"].text_or("") : "";
            for (int other = 0; other < site_.settings.controllers; ++other)
                if (other != node && harbor == "shorehost-" + std::to_string(other)) {
                    next = other;
                    pause = 0.1;
                }
        }
        node = next;
        changed_ = false;
        due = loop.now() + pause;
    }
}

Task<Response> Worker::handle(Request request) {
    while (hung_) co_await site_.loop.wait(wake_, site_.loop.now() + 0.05);
    if (request.path == "/status") co_return Response{200, packed_report(), 0, "application/msgpack"};
    auto message = MsgpackDocument::parse(request.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    if (!root["epoch"].count() || !root["tenure"].count()) co_return error(400, "epoch or tenure");
    uint64_t epoch = *root["epoch"].count();
    if (epoch < epoch_ || *root["tenure"].count() != tenure_)
        co_return Response{409, packed_report(), 0, "application/msgpack"};
    if (epoch > epoch_) {
        epoch_ = epoch;
        changed_ = true;
        wake_.notify();
    }
    execute(root["orders"]);
    co_return Response{200, packed_report(), 0, "application/msgpack"};
}

// --- Cloud

Cloud::Cloud(Site& site, Address at)
    : site_(site),
      requests_(site.settings.cloud_rps, 2),
      server_(site.loop, at, 100, [this](Request request) { return handle(std::move(request)); }) {}

void Cloud::stop() {
    server_.stop();
}

Task<Response> Cloud::handle(Request request) {
    if (!requests_.take(1, site_.loop.now())) co_return error(429, "too many requests");
    co_await site_.loop.sleep(0.15);
    if (request.path == "/flavors")
        co_return Response{200, encode_machine_types({site_.settings.flavor}), 0, "application/msgpack"};
    auto message = MsgpackDocument::parse(request.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    if (request.path == "/hosts/delete") {
        MsgpackValue names = root["hosts"];
        for (size_t i = 0; i < names.size(); ++i) {
            auto found = site_.machines.find(names.at(i).text_or(""));
            if (found == site_.machines.end() || found->second.deleted_at) continue;
            found->second.deleted_at = site_.loop.now();
            site_.record.line("cloud: deletes " + found->first + " with " +
                              std::to_string(found->second.worker->pieces().size()) + " pieces");
            found->second.worker->stop();
        }
        MsgpackWriter writer;
        writer.map(0);
        co_return packed(200, writer);
    }
    if (request.method != "POST") co_return list(request);
    std::string claim = root["claim"].text_or("");
    if (claim.empty()) co_return error(400, "claim");
    if (auto known = claims_.find(claim); known != claims_.end())
        co_return Response{200, known->second, 0, "application/msgpack"};
    if (!rents_in.contains(root["cove"].text_or("")) || root["driftwood"].flag_or(false))
        co_return error(503, "no capacity");
    uint64_t count = std::min<uint64_t>(50, root["number"].count_or(1));
    MsgpackWriter writer;
    writer.map(1).key("hosts").list(count);
    for (uint64_t i = 0; i < count; ++i) {
        Worker& worker = site_.add_machine(root["cove"].text_or(""), 0, boot_s);
        site_.record.line("cloud: rents " + worker.name());
        writer.text(worker.name());
    }
    Response response = packed(200, writer);
    claims_[claim] = response.body;
    co_return response;
}

void Cloud::take(Worker& worker) {
    site_.machines.at(worker.name()).deleted_at = site_.loop.now();
    site_.record.line("cloud: takes " + worker.name() + " back");
    worker.stop();
}

Response Cloud::list(const Request& request) {
    std::string from = parameter(request, "from");
    uint64_t page = std::min<uint64_t>(500, number(parameter(request, "page"), 500));
    Seconds as_of = site_.loop.now() - site_.settings.list_lag_s;
    std::vector<const Site::Machine*> found;
    bool more = false;
    for (const auto& [name, machine] : site_.machines) {
        if (name <= from || machine.created_at > as_of) continue;
        if (machine.deleted_at && *machine.deleted_at <= as_of) continue;
        more = found.size() >= page;
        if (more) break;
        found.push_back(&machine);
    }
    MsgpackWriter writer;
    writer.map(2).key("hosts").list(found.size());
    for (const auto* machine : found) {
        const Worker& worker = *machine->worker;
        writer.map(7).key("ref").text(worker.name()).key("addr").text(text_of(worker.at()));
        writer.key("flavor").text(site_.settings.flavor.name).key("cove").text(worker.zone());
        writer.key("driftwood").flag(worker.spot());
        writer.key("phase").text(machine->up_at <= as_of ? "running" : "booting");
        writer.key("age_s").number(as_of - machine->created_at);
    }
    writer.key("has_next").flag(more);
    return packed(200, writer);
}

// --- Site

Site::Site(Loop& owner, Settings its_settings, std::string program, std::string folder,
           std::string its_scratch)
    : loop(owner),
      settings(std::move(its_settings)),
      scratch(std::move(its_scratch)),
      record(owner, folder + "/record.txt"),
      tasks(owner),
      program_(std::move(program)),
      pids_(static_cast<size_t>(settings.controllers), 0) {
    store = std::make_unique<Store>(loop, record, settings, loopback(kStoreHost, 2379));
    cloud = std::make_unique<Cloud>(*this, loopback(kStoreHost, 8443));
    for (int node = 0; node < settings.controllers; ++node) write_settings(node);
    tasks.spawn(run_gangs(), "gangs");
}

Site::~Site() {
    for (int node = 0; node < settings.controllers; ++node) kill(node);
}

Address Site::controller_address(int node) const {
    return loopback(kControllerHost + node, 8080);
}

Seconds Site::jitter() {
    return 0.75 + 0.5 * (static_cast<double>(std::rand()) / RAND_MAX);
}

void Site::write_settings(int node) {
    auto zone = [&](int of) { return settings.zones[static_cast<size_t>(of) % settings.zones.size()]; };
    std::ofstream out(scratch + "/controller-" + std::to_string(node) + ".toml");
    out << std::fixed;
    out << "label = \"shorehost-" << node << "\"\nsite = \"" << zone(node) << "\"\nclient_listen = \""
        << text_of(controller_address(node)) << "\"\nback = \""
        << text_of(loopback(kControllerHost + node, 8081)) << "\"\n";
    for (int peer = 0; peer < settings.controllers; ++peer)
        if (peer != node)
            out << "[[siblings]]\nlabel = \"shorehost-" << peer << "\"\nsite = \"" << zone(peer)
                << "\"\naddr = \"" << text_of(loopback(kControllerHost + peer, 8081)) << "\"\n";
    out << "[endpoints]\ncloud = \"" << text_of(loopback(kStoreHost, 8443)) << "\"\nstate = \""
        << text_of(loopback(kStoreHost, 2379)) << "\"\n[facts]\nnodes = " << settings.controllers
        << "\nzones = [";
    for (size_t i = 0; i < settings.zones.size(); ++i) out << (i ? ", \"" : "\"") << settings.zones[i] << '"';
    out << "]\nskew_ms = 250.0\n";
    for (const auto& team : settings.teams) out << "[[facts.teams]]\n" << team << "\n";
    out << "[facts.workers]\nreport_s = " << settings.report_s << "\nlease_s = " << settings.lease_s
        << "\ngang_wait_s = " << settings.gang_wait_s << "\ngang_peer_s = " << settings.gang_peer_s
        << "\ncancel_s = " << settings.cancel_s << "\n[facts.state]\nrps = " << settings.store_rps
        << "\nwrite_rps = " << settings.write_rps << "\nvalue_kb = " << settings.value_kb
        << "\ntxn_ops = " << settings.txn_ops << "\n[facts.cloud]\nrps = " << settings.cloud_rps
        << "\nlist_lag_s = " << settings.list_lag_s
        << "\n[facts.machine_limits]\ncores = 0.04\nram_mb = " << settings.ram_mb
        << "\nsockets = " << settings.sockets << "\n";
}

void Site::start(int node) {
    std::string config = scratch + "/controller-" + std::to_string(node) + ".toml";
    std::string log = scratch + "/controller-" + std::to_string(node) + ".log";
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(1);
        int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, 1);
        dup2(file, 2);
        for (int other = 3; other < 1024; ++other) close(other);
        execl(program_.c_str(), program_.c_str(), "--config", config.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    pids_[static_cast<size_t>(node)] = pid;
    record.line("shorehost-" + std::to_string(node) + " started");
}

void Site::kill(int node) {
    pid_t& pid = pids_[static_cast<size_t>(node)];
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = 0;
    record.line("shorehost-" + std::to_string(node) + " ended");
}

void Site::signal(int node, int its_number) {
    pid_t pid = pids_[static_cast<size_t>(node)];
    if (pid > 0) ::kill(pid, its_number);
}

bool Site::all_alive() {
    for (pid_t& pid : pids_) {
        if (pid <= 0) continue;
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) == pid) {
            record.line("a controller ended by itself, status " + std::to_string(status));
            pid = 0;
            return false;
        }
    }
    return true;
}

void Site::kill_and_return(int node, Seconds after) {
    kill(node);
    tasks.spawn(return_later(node, after), "return");
}

Task<void> Site::return_later(int node, Seconds after) {
    co_await loop.sleep(after);
    start(node);
}

Task<void> Site::boot(Worker& worker, Seconds after) {
    co_await loop.sleep(after);
    worker.start();
}

Worker& Site::add_machine(const std::string& zone, Seconds age_s, Seconds boot_s, bool spot) {
    char name[32];
    std::snprintf(name, sizeof name, "vm-%06d", next_machine_);
    Address at = loopback(kWorkerHost, kWorkerPort + next_machine_);
    ++next_machine_;
    Machine& machine = machines[name];
    machine.worker = std::make_unique<Worker>(*this, name, zone, spot, at);
    machine.created_at = loop.now() - age_s;
    machine.up_at = machine.created_at + boot_s;
    if (boot_s <= 0)
        machine.worker->start();
    else
        tasks.spawn(boot(*machine.worker, boot_s), "boot");
    return *machine.worker;
}

Worker* Site::find(const std::string& name) {
    auto found = machines.find(name);
    return found == machines.end() ? nullptr : found->second.worker.get();
}

// The tasks of a gang find each other by their attempt, start together, notice a loss and complete together.
Task<void> Site::run_gangs() {
    std::map<std::pair<std::string, uint64_t>, Seconds> lost;
    while (true) {
        co_await loop.sleep(0.05);
        std::map<std::pair<std::string, uint64_t>, std::vector<std::pair<Worker*, Worker::Piece*>>> gangs;
        for (auto& [name, machine] : machines)
            for (auto& piece : machine.worker->pieces_to_change())
                if (uploaded.at(piece.job).shape == "ensemble" && piece.present())
                    gangs[{piece.job, piece.attempt}].emplace_back(machine.worker.get(), &piece);
        for (auto& [key, members] : gangs) {
            const Description& job = uploaded.at(key.first);
            size_t gathering = 0, running = 0, awake = 0;
            for (auto& [worker, piece] : members) {
                gathering += piece->phase == "gathering" ? 1 : 0;
                running += piece->phase == "running" ? 1 : 0;
                awake += worker->hung() ? 0 : 1;
            }
            const bool whole = awake == job.pieces;
            if (whole && gathering == job.pieces)
                for (auto& [worker, piece] : members) worker->change(*piece, "running");
            if (running == 0 || (whole && running == job.pieces)) {
                lost.erase(key);
                const bool over = running > 0 && loop.now() - members[0].second->since >= job.run_s;
                for (auto& [worker, piece] : members)
                    if (over) worker->change(*piece, "exited", "done");
                continue;
            }
            auto since = lost.emplace(key, loop.now()).first->second;
            for (auto& [worker, piece] : members)
                if (loop.now() - since > settings.gang_peer_s && !worker->hung() && piece->phase == "running")
                    worker->change(*piece, "exited", "mates_gone");
        }
    }
}

Task<bool> Site::all_reported(Seconds patience_s) {
    const Seconds deadline = loop.now() + patience_s;
    while (true) {
        bool all = true;
        for (const auto& [name, machine] : machines) all = all && machine.worker->accepted() >= 2;
        if (all) co_return true;
        if (loop.now() > deadline || !all_alive()) co_return false;
        co_await loop.sleep(0.05);
    }
}

// Each page says "LABEL leader LABEL fencing_token NUMBER".
Task<int> Site::find_leader() {
    int leader = -1;
    uint64_t newest = 0;
    for (int node = 0; node < settings.controllers; ++node) {
        HttpClient client(loop, controller_address(node), 1);
        CallResult answer = co_await client.call("GET", "/operator", "", 0.5);
        char name[64];
        unsigned long long token = 0;
        int label = -1;
        if (std::sscanf(answer.body.c_str(), "%63s leader shorehost-%d fencing_token %llu", name, &label,
                        &token) != 3)
            continue;
        if (token <= newest) continue;
        newest = token;
        leader = label;
    }
    co_return leader;
}

// As through the load balancer: a node that refuses the connection is left for another, up to three in all.
Task<CallResult> Site::ask(std::string method, std::string path, std::string body, Seconds timeout) {
    CallResult result;
    for (int tries = 0; tries < 3; ++tries) {
        int node = next_node_++ % settings.controllers;
        HttpClient client(loop, controller_address(node), 1);
        result = co_await client.call(method, path, body, timeout);
        if (result.status != 0 || result.maybe_executed) break;
    }
    co_return result;
}

namespace {

std::string submission(const Description& job) {
    MsgpackWriter writer;
    writer.map(20).key("ref").text(job.id).key("jobclass").text(job.jobclass).key("owner").text(job.owner);
    writer.key("shape").text(job.shape).key("rank").text(job.rank).key("pieces").count(job.pieces);
    writer.key("vcpus")
        .number(job.vcpus)
        .key("cards")
        .number(job.cards)
        .key("memory_gb")
        .number(job.memory_gb);
    writer.key("flavors").null().key("cove");
    if (job.cove.empty())
        writer.null();
    else
        writer.text(job.cove);
    writer.key("one_zone").flag(false).key("apart").flag(job.apart);
    writer.key("driftwood")
        .flag(job.driftwood)
        .key("bundle")
        .text(job.bundle)
        .key("size_gb")
        .number(job.size_gb);
    writer.key("expect_s").number(job.expect_s).key("snapshot_s").number(job.snapshot_s);
    writer.key("flush_s").number(job.flush_s).key("due_s").null();
    return writer.take();
}

std::string phase_of(const CallResult& answer) {
    auto message = MsgpackDocument::parse(answer.body);
    return message ? message->root()["phase"].text_or("") : "";
}

}  // namespace

Task<bool> Site::submit(Description job) {
    uploaded[job.id] = job;
    Seconds deadline = loop.now() + 60;
    while (loop.now() < deadline) {
        CallResult answer = co_await ask("POST", "/v2/runs", submission(job), 5.0);
        record.line("user submits " + job.id + ": " + std::to_string(answer.status) + " " + phase_of(answer));
        if (answer.status == 200 || answer.status == 201) co_return true;
        if (answer.status == 400 || answer.status == 422) co_return false;
        co_await loop.sleep(2.0);
    }
    co_return false;
}

Task<std::string> Site::poll(std::string id) {
    CallResult answer = co_await ask("GET", "/v2/runs/" + id, "", 2.0);
    auto message = MsgpackDocument::parse(answer.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    record.line("user polls " + id + ": " + std::to_string(answer.status) + " " + phase_of(answer) +
                " done " + std::to_string(root["done"].count_or(0)) + " running " +
                std::to_string(root["running"].count_or(0)));
    co_return answer.status == 200 ? phase_of(answer) : "";
}

Task<std::string> Site::cancel(std::string id) {
    while (true) {
        CallResult answer = co_await ask("POST", "/v2/runs/" + id + "/withdraw", "", 5.0);
        record.line("user withdraws " + id + ": " + std::to_string(answer.status) + " " + phase_of(answer));
        if (answer.status == 200) co_return phase_of(answer);
        co_await loop.sleep(1.0);
    }
}

namespace {

Task<void> run_scenario(std::function<Task<int>(Site&)>& scenario, Site& site, std::optional<int>& status) {
    status = co_await scenario(site);
}

}  // namespace

int run(int argc, char** argv, Settings settings, std::function<Task<int>(Site&)> scenario, Seconds limit_s) {
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s PROGRAM CASE-FOLDER SCRATCH-FOLDER\n", argv[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    setup_log("error", "stand-ins");
    std::srand(static_cast<unsigned>(getpid()));
    try {
        SystemClock clock;
        Loop loop(clock);
        Site site(loop, std::move(settings), argv[1], argv[2], argv[3]);
        std::optional<int> status;
        TaskGroup group(loop);
        group.spawn(run_scenario(scenario, site, status), "scenario");
        loop.run_until([&] { return status.has_value(); }, limit_s);
        if (!status) site.record.line("the scenario took too long");
        int result = status.value_or(2);
        site.record.line(result == 0   ? "RESULT: the rule held"
                         : result == 1 ? "RESULT: the rule was broken"
                                       : "RESULT: the case couldn't run");
        for (int node = 0; node < site.settings.controllers; ++node) site.kill(node);
        std::fflush(nullptr);
        _exit(result);  // all child processes have ended; the coroutines need not unwind
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "%s\n", failure.what());
        return 2;
    }
}

}  // namespace review
