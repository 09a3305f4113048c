// Stand-ins for the platform around the controllers, after the users' pages: state service, cloud, machines with
// their workers, load balancer, users and the start of the controllers. They behave soundly; a scenario sets the
// disruption. Everything listens on 127.0.0.1, on ports that are free.
#pragma once
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <memory>
#include <random>
#include <set>

#include "wire.h"

namespace site {

inline double uniform(double low, double high) {
    static std::mutex mutex;
    static std::mt19937 random(12345);
    std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>(low, high)(random);
}

// A rate limit with bursts.
class Bucket {
  public:
    Bucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst), at_(now()) {}
    bool take(double n) {
        double t = now();
        level_ = std::min(burst_, level_ + (t - at_) * rate_);
        at_ = t;
        if (level_ < n) return false;
        level_ -= n;
        return true;
    }

  private:
    double rate_, burst_, level_, at_;
};

// The settings of the deployment, named as on the users' page. As they stand, those of bodega-cloud-mendoza.
struct Facts {
    std::vector<std::string> zones{"lujan-zone", "uco-zone"};
    std::vector<std::string> node_zones{"lujan-zone", "uco-zone", "lujan-zone"};
    struct Team {
        std::string name;
        double gpus = 0, gpus_max = 0;
    };
    std::vector<Team> teams{{"equipo-bodega"}, {"equipo-precios"}, {"equipo-vision"}};
    double report_s = 3, lease_s = 24, gang_wait_s = 40, gang_peer_s = 4, cancel_s = 49;
    double state_rps = 80, write_rps = 15, value_kb = 8;
    size_t txn_ops = 12;
    double cloud_rps = 6, list_lag_s = 6;
    std::string flavor = "malbec-gpu32";
    double vcpus = 32, cards = 4, memory_gb = 256, cache_gb = 120, fetch_gb_per_s = 1;
    double price = 11.24, low_price = 2.91, boot_s = 30;
};

inline Facts dogear_books_memphis() {
    Facts facts;
    facts.zones = facts.node_zones = {"midtown-zone", "warehouse-zone", "rented-zone"};
    facts.teams = {{"listings-crew", 8, 24},
                   {"pricing-crew", 16, 40},
                   {"photo-crew", 16, 64},
                   {"catalog-crew", 16, 40},
                   {"buyers-crew", 16, 40}};
    facts.gang_wait_s = 35;
    facts.gang_peer_s = 8;
    facts.state_rps = 250;
    facts.write_rps = 100;
    facts.value_kb = 16;
    facts.txn_ops = 24;
    facts.list_lag_s = 8;
    facts.flavor = "bookbinder-gpu16";
    facts.vcpus = 16;
    facts.cards = 2;
    facts.memory_gb = 64;
    facts.cache_gb = 150;
    facts.fetch_gb_per_s = 0.8;
    facts.price = 5.65;
    facts.low_price = 2.05;
    facts.boot_s = 50;
    return facts;
}

// What a user submits, and how long its tasks really run.
struct JobInfo {
    std::string ref, jobclass = "etiqueta-scan", owner = "equipo-vision", shape = "sweep", rank = "standard";
    int64_t pieces = 1;
    double vcpus = 6, cards = 1, memory_gb = 48;
    std::string bundle = "img-scan-0";
    double size_gb = 2;
    bool one_zone = false, apart = false, driftwood = true;
    double expect_s = 20, snapshot_s = 15, flush_s = 4;
    double run_s = 20;

    std::string body() const {
        return packed(Val::map_of({{"ref", ref},
                                   {"jobclass", jobclass},
                                   {"owner", owner},
                                   {"shape", shape},
                                   {"rank", rank},
                                   {"pieces", pieces},
                                   {"vcpus", vcpus},
                                   {"cards", cards},
                                   {"memory_gb", memory_gb},
                                   {"bundle", bundle},
                                   {"size_gb", size_gb},
                                   {"flavors", Val()},
                                   {"cove", Val()},
                                   {"one_zone", one_zone},
                                   {"apart", apart},
                                   {"driftwood", driftwood},
                                   {"expect_s", expect_s},
                                   {"snapshot_s", snapshot_s},
                                   {"flush_s", flush_s},
                                   {"due_s", Val()}}));
    }
};

// --- state service ----------------------------------------------------------------------------------

class Store {
  public:
    // A port for each node, so that one node alone can be refused.
    Store(const Facts& facts, size_t nodes)
        : facts_(facts),
          requests_(facts.state_rps, facts.state_rps),
          writes_(facts.write_rps, facts.write_rps),
          refused_(nodes) {
        for (size_t node = 0; node < nodes; ++node)
            servers_.push_back(std::make_unique<HttpServer>(
                0, [this, node](const HttpRequest& request) { return handle(node, request); }));
        std::thread([this] { expire_leases(); }).detach();
    }
    int port(size_t node) const { return servers_[node]->port(); }

    // An outage for all nodes; at its end all leases have their full time again.
    void set_down(bool down) {
        std::lock_guard lock(mutex_);
        down_ = down;
        if (!down)
            for (auto& [id, lease] : leases_) lease.ends = now() + lease.ttl;
        changed_.notify_all();
    }
    void set_refused(size_t node, bool refused) {
        std::lock_guard lock(mutex_);
        refused_[node] = refused;
    }
    bool has(const std::string& key) {
        std::lock_guard lock(mutex_);
        return keys_.count(key) > 0;
    }

  private:
    struct Entry {
        Val data;
        int64_t stamp = 0;
        int64_t lease = 0;
    };
    struct Lease {
        double ttl = 0, ends = 0;
    };
    struct Change {
        std::string key;
        bool dropped = false;
        Val data;
        int64_t stamp = 0;
    };

    HttpResponse answer(int status, const Val& v) { return {status, packed(v), 0, false}; }

    HttpResponse handle(size_t node, const HttpRequest& request) {
        sleep_s(0.003);
        std::unique_lock lock(mutex_);
        if (down_ || refused_[node]) return {503, "", 0, false};
        if (!requests_.take(1)) return {429, "", 0, false};
        if (request.path == "/keys") return list(request);
        if (request.path.rfind("/keys/", 0) == 0) return get(request.path.substr(6));
        if (request.path == "/txn") return transact(request.body);
        if (request.path == "/leases") return grant(request.body);
        if (request.path.rfind("/leases/", 0) == 0) return lease(request);
        if (request.path == "/changes") return watch(lock, node, request);
        return {400, "", 0, false};
    }
    HttpResponse get(const std::string& key) {
        auto it = keys_.find(key);
        if (it == keys_.end()) return answer(404, Val::map_of({{"tide", tide_}}));
        return answer(200, Val::map_of({{"k", key},
                                        {"data", it->second.data},
                                        {"stamp", it->second.stamp},
                                        {"mooring", it->second.lease}}));
    }
    HttpResponse list(const HttpRequest& request) {
        std::string prefix = request.field("prefix"), from = request.field("from");
        size_t page = request.field("page").empty() ? 1000 : std::stoul(request.field("page"));
        Val rows = Val::list_of();
        bool more = false;
        size_t bytes = 0;
        for (auto it = from.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(from); it != keys_.end(); ++it) {
            if (it->first.rfind(prefix, 0) != 0) break;
            bytes += json_length(it->second.data) + 60;
            if (rows.list.size() >= std::min<size_t>(page, 1000) || bytes > 512 * 1024) {
                more = true;
                break;
            }
            rows.list.push_back(
                Val::map_of({{"k", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}}));
        }
        return answer(200, Val::map_of({{"rows", rows}, {"has_next", more}, {"tide", tide_}}));
    }
    HttpResponse transact(const std::string& body) {
        auto request = unpacked(body);
        if (!request) return {400, "", 0, false};
        const auto& writes = (*request)["writes"].list;
        if (writes.size() > facts_.txn_ops || (*request)["when"].list.size() > 4 * facts_.txn_ops ||
            json_length(*request) > 64 * 1024)
            return {400, "", 0, false};
        if (!writes_.take(static_cast<double>(writes.size()))) return {429, "", 0, false};
        for (const auto& write : writes) {
            if (write["put"].nil()) continue;
            if (static_cast<double>(json_length(write["data"])) > facts_.value_kb * 1024) return {400, "", 0, false};
            if (int64_t id = write["mooring"].as_int(); id != 0 && !leases_.count(id))
                return answer(400, Val::map_of({{"error", "no such lease"}}));
        }
        Val failed = Val::list_of();
        for (const auto& condition : (*request)["when"].list) {
            auto it = keys_.find(condition["k"].text);
            int64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
            if (stamp != condition["stamp"].as_int()) failed.list.push_back(condition["k"]);
        }
        if (!failed.list.empty()) return answer(409, Val::map_of({{"failed", failed}, {"tide", tide_}}));
        if (!writes.empty()) ++tide_;
        for (const auto& write : writes) {
            if (!write["put"].nil()) {
                keys_[write["put"].text] = {write["data"], tide_, write["mooring"].as_int()};
                remember({write["put"].text, false, write["data"], tide_});
            } else if (keys_.erase(write["drop"].text) > 0) {
                remember({write["drop"].text, true, {}, tide_});
            }
        }
        changed_.notify_all();
        return answer(200, Val::map_of({{"tide", tide_}}));
    }
    HttpResponse grant(const std::string& body) {
        auto request = unpacked(body);
        double ttl = request ? (*request)["ttl_ms"].as_num() / 1000 : 0;
        if (ttl < 0.1 || ttl > 600) return {400, "", 0, false};
        leases_[++last_lease_] = {ttl, now() + ttl};
        return answer(200, Val::map_of({{"mooring", last_lease_}}));
    }
    HttpResponse lease(const HttpRequest& request) {
        int64_t id = std::atoll(request.path.c_str() + 8);
        auto it = leases_.find(id);
        if (it == leases_.end()) return answer(404, Val::map_of({{"tide", tide_}}));
        if (request.method == "DELETE") {
            end_lease(id);
        } else {
            it->second.ends = now() + it->second.ttl;
        }
        return answer(200, Val::map_of({}));
    }
    HttpResponse watch(std::unique_lock<std::mutex>& lock, size_t node, const HttpRequest& request) {
        std::string prefix = request.field("prefix");
        int64_t from = std::atoll(request.field("from").c_str());
        double ends = now() + std::min(60.0, std::atof(request.field("wait_ms").c_str()) / 1000);
        if (from < first_kept_) return {410, "", 0, false};
        while (true) {
            bool away = down_ || refused_[node];
            Val news = Val::list_of();
            if (!away) {
                for (const auto& change : changes_) {
                    if (change.stamp <= from || change.key.rfind(prefix, 0) != 0) continue;
                    if (change.dropped) {
                        news.list.push_back(Val::map_of({{"drop", change.key}, {"stamp", change.stamp}}));
                    } else {
                        news.list.push_back(Val::map_of(
                            {{"put", change.key}, {"data", change.data}, {"stamp", change.stamp}}));
                    }
                }
                if (!news.list.empty() || now() >= ends)
                    return answer(200, Val::map_of({{"tide", tide_}, {"news", news}}));
            }
            double wait = away ? 0.05 : std::min(0.5, ends - now());
            changed_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, wait)));
        }
    }
    void remember(Change change) {
        changes_.push_back(std::move(change));
        if (changes_.size() > 10000) {
            first_kept_ = changes_.front().stamp;
            changes_.pop_front();
        }
    }
    void end_lease(int64_t id) {
        leases_.erase(id);
        bool any = false;
        for (const auto& [key, entry] : keys_) any = any || entry.lease == id;
        if (!any) return;
        ++tide_;
        for (auto it = keys_.begin(); it != keys_.end();) {
            if (it->second.lease != id) {
                ++it;
                continue;
            }
            remember({it->first, true, {}, tide_});
            it = keys_.erase(it);
        }
        changed_.notify_all();
    }
    void expire_leases() {
        while (true) {
            sleep_s(0.02);
            std::lock_guard lock(mutex_);
            if (down_) continue;
            std::vector<int64_t> ended;
            for (const auto& [id, lease] : leases_)
                if (now() > lease.ends) ended.push_back(id);
            for (int64_t id : ended) end_lease(id);
        }
    }

    const Facts& facts_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> keys_;
    std::map<int64_t, Lease> leases_;
    std::deque<Change> changes_;
    int64_t tide_ = 1, last_lease_ = 0, first_kept_ = 0;
    Bucket requests_, writes_;
    bool down_ = false;
    std::vector<bool> refused_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

// --- jobs as the workers know them ------------------------------------------------------------------

class Jobs {
  public:
    void add(const JobInfo& job) {
        std::lock_guard lock(mutex_);
        jobs_[job.ref] = job;
    }
    std::optional<JobInfo> find(const std::string& ref) {
        std::lock_guard lock(mutex_);
        auto it = jobs_.find(ref);
        return it == jobs_.end() ? std::nullopt : std::optional(it->second);
    }
    // The task has completed; its result is kept.
    void set_done(const std::string& piece) {
        std::lock_guard lock(mutex_);
        done_.emplace(piece, now());
    }
    bool done(const std::string& piece) {
        std::lock_guard lock(mutex_);
        return done_.count(piece) > 0;
    }
    // When the last task of the job completed; none if one has not.
    std::optional<double> completed(const std::string& ref) {
        std::lock_guard lock(mutex_);
        double last = 0;
        for (int64_t i = 0; i < jobs_.at(ref).pieces; ++i) {
            auto it = done_.find(ref + "/" + std::to_string(i));
            if (it == done_.end()) return std::nullopt;
            last = std::max(last, it->second);
        }
        return last;
    }

    // --- The tasks of a gang's attempt, which find each other by its number.
    struct Gang {
        std::set<std::string> waiting;
        std::optional<double> started_at, broken_at;
        bool done = false;
    };
    // The task has its image and waits for the others; the last one starts them all.
    void gather(const JobInfo& job, int64_t attempt, const std::string& piece) {
        std::lock_guard lock(mutex_);
        Gang& gang = gangs_[{job.ref, attempt}];
        if (gang.started_at) return;
        gang.waiting.insert(piece);
        if (static_cast<int64_t>(gang.waiting.size()) == job.pieces) gang.started_at = now();
    }
    // The task has gone before it was done.
    void leave(const JobInfo& job, int64_t attempt, const std::string& piece) {
        std::lock_guard lock(mutex_);
        Gang& gang = gangs_[{job.ref, attempt}];
        if (gang.started_at && !gang.done && !gang.broken_at) gang.broken_at = now();
        gang.waiting.erase(piece);
    }
    Gang gang(const JobInfo& job, int64_t attempt) {
        std::lock_guard lock(mutex_);
        Gang& gang = gangs_[{job.ref, attempt}];
        if (gang.started_at && !gang.broken_at && now() >= *gang.started_at + job.run_s) gang.done = true;
        return gang;
    }
    std::atomic<int> launches{0};  // carried out by workers
    std::atomic<int> starts{0};    // tasks that began to run

  private:
    std::mutex mutex_;
    std::map<std::string, JobInfo> jobs_;
    std::map<std::string, double> done_;
    std::map<std::pair<std::string, int64_t>, Gang> gangs_;
};

// --- a machine and its worker -----------------------------------------------------------------------

// Runs sweeps and gangs. Knows the addresses of all controller nodes and reports to one of them at a time.
class Worker {
  public:
    Worker(const Facts& facts, Jobs& jobs, std::vector<int> nodes, std::string name, std::string zone, bool spot)
        : facts_(facts), jobs_(jobs), nodes_(std::move(nodes)), name_(std::move(name)), zone_(std::move(zone)),
          spot_(spot) {
        server_ = std::make_unique<HttpServer>(0, [this](const HttpRequest& r) { return commands(r); });
        lease_from_ = now();
        node_ = static_cast<size_t>(uniform(0, static_cast<double>(nodes_.size()) - 0.01));
        record.line("%s is up in %s%s", name_.c_str(), zone_.c_str(), spot_ ? ", cheap" : "");
        std::thread([this] { report_all(); }).detach();
        std::thread([this] { run_tasks(); }).detach();
    }
    std::string addr() const { return "127.0.0.1:" + std::to_string(server_->port()); }
    // The machine and everything on it are gone.
    void remove() {
        std::lock_guard lock(mutex_);
        if (gone_) return;
        gone_ = true;
        size_t live = 0;
        for (const auto& task : tasks_) live += task.phase != "exited";
        record.line("%s is gone, with %zu tasks on it", name_.c_str(), live);
        server_->shut();
    }
    // The machine fails every task that it starts.
    void set_sick(bool sick) {
        std::lock_guard lock(mutex_);
        sick_ = sick;
    }
    // How fast it fetches images, as a share of the nominal rate.
    void set_fetch(double share) {
        std::lock_guard lock(mutex_);
        fetch_share_ = share;
    }
    // The image is in its cache.
    void give_image(const std::string& bundle) {
        std::lock_guard lock(mutex_);
        cached_.insert(bundle);
    }
    size_t listed() {
        std::lock_guard lock(mutex_);
        return tasks_.size();
    }
    // Tasks of the job that are on the machine.
    size_t live(const std::string& job) {
        std::lock_guard lock(mutex_);
        size_t n = 0;
        for (const auto& task : tasks_) n += task.job == job && task.phase != "exited";
        return n;
    }
    // Bytes of its longest report so far, as JSON.
    size_t longest_report() {
        std::lock_guard lock(mutex_);
        return longest_report_;
    }

  private:
    struct Task {
        std::string piece, job;
        int64_t attempt = 0;
        std::string phase, cause;
        bool kept = false;
        JobInfo info;
        double ends_at = 0, gathers_from = 0;
    };

    Val report() {
        Val pieces = Val::list_of();
        for (const auto& task : tasks_) {
            Val v = Val::map_of({{"piece", task.piece}, {"try", task.attempt}, {"phase", task.phase}});
            if (task.phase == "exited") v.map.emplace_back("cause", task.cause);
            if (task.kept) v.map.emplace_back("kept", true);
            pieces.list.push_back(std::move(v));
        }
        return Val::map_of({{"host", name_},
                            {"addr", addr()},
                            {"flavor", facts_.flavor},
                            {"cove", zone_},
                            {"driftwood", spot_},
                            {"tenure", tenure_},
                            {"tick", ++tick_},
                            {"epoch", epoch_},
                            {"warning_s", Val()},
                            {"pieces", pieces}});
    }
    void execute(const std::vector<Val>& orders) {
        size_t launched = 0;
        std::string first;
        for (const auto& order : orders) {
            const std::string& verb = order["verb"].text;
            const std::string& piece = order["piece"].text;
            int64_t attempt = order["try"].as_int();
            auto task = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& t) {
                return t.piece == piece && t.attempt == attempt;
            });
            if (verb == "launch" && task == tasks_.end()) {
                launch(piece, attempt);
                if (launched++ == 0) first = piece;
            } else if (verb == "halt" && task != tasks_.end() && task->phase != "exited") {
                record.line("%s halts %s try %ld", name_.c_str(), piece.c_str(), static_cast<long>(attempt));
                exit(*task, "stopped");
            } else if (verb == "forget" && task != tasks_.end() && task->phase == "exited") {
                tasks_.erase(task);
                changed_ = true;
            }
        }
        if (launched > 0)
            record.line("%s carries out %zu launches, from %s on; it lists %zu tasks now", name_.c_str(), launched,
                        first.c_str(), tasks_.size());
    }
    void launch(const std::string& piece, int64_t attempt) {
        ++jobs_.launches;
        changed_ = true;
        Task task;
        task.piece = piece;
        task.job = piece.substr(0, piece.rfind('/'));
        task.attempt = attempt;
        task.phase = "pulling";
        auto info = jobs_.find(task.job);
        double vcpus = 0, cards = 0, memory = 0;
        bool busy = false;
        for (const auto& other : tasks_) {
            if (other.phase == "exited") continue;
            vcpus += other.info.vcpus;
            cards += other.info.cards;
            memory += other.info.memory_gb;
            busy = busy || other.piece == piece;
        }
        if (!info) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (vcpus + info->vcpus > facts_.vcpus + 1e-6 || cards + info->cards > facts_.cards + 1e-6 ||
                   memory + info->memory_gb > facts_.memory_gb + 1e-6) {
            exit(task, "no_room");
        }
        if (info) task.info = *info;
        tasks_.push_back(std::move(task));
    }
    void exit(Task& task, const std::string& cause) {
        if (task.info.shape == "ensemble" && cause != "done" && (task.phase == "gathering" || task.phase == "running"))
            jobs_.leave(task.info, task.attempt, task.piece);
        task.phase = "exited";
        task.cause = cause;
        changed_ = true;
    }
    void kill_all(const char* why) {
        size_t live = 0;
        for (const auto& task : tasks_) live += task.phase != "exited";
        for (auto& task : tasks_)
            if (task.phase != "exited") exit(task, "killed");
        if (!tasks_.empty())
            record.line("%s kills and forgets %zu tasks, %zu of them not exited: %s", name_.c_str(), tasks_.size(),
                        live, why);
        tasks_.clear();
    }

    void run_tasks() {
        while (true) {
            sleep_s(0.02);
            std::lock_guard lock(mutex_);
            if (gone_) return;
            if (now() - lease_from_ > facts_.lease_s) {
                kill_all("its lease has ended");
                ++tenure_;
                lease_from_ = now();
                changed_ = true;
            }
            fetch_images();
            std::map<std::string, int> began, ended;
            for (auto& task : tasks_) {
                if (task.info.shape == "ensemble" && task.phase != "exited") {
                    run_gang_task(task, began, ended);
                } else if (task.phase == "pulling" && cached_.count(task.info.bundle)) {
                    if (jobs_.done(task.piece)) {
                        exit(task, "done");
                        ++ended[task.job + " done, with the result that was kept"];
                    } else if (sick_) {
                        exit(task, "error");
                        ++ended[task.job + " error"];
                    } else {
                        task.phase = "running";
                        task.ends_at = now() + task.info.run_s;
                        changed_ = true;
                        ++jobs_.starts;
                        ++began[task.job];
                    }
                } else if (task.phase == "running" && now() >= task.ends_at) {
                    exit(task, "done");
                    jobs_.set_done(task.piece);
                    ++ended[task.job + " done"];
                }
            }
            for (const auto& [job, n] : began)
                record.line("%s runs %d tasks of %s", name_.c_str(), n, job.c_str());
            for (const auto& [what, n] : ended)
                record.line("%s exits %d tasks of %s", name_.c_str(), n, what.c_str());
        }
    }

    // One fetch of an image serves all tasks that need it; it is given up when no task waits for it any more.
    void fetch_images() {
        std::set<std::string> wanted;
        for (const auto& task : tasks_) {
            if (task.phase != "pulling" || cached_.count(task.info.bundle)) continue;
            wanted.insert(task.info.bundle);
            auto [fetch, fresh] = fetches_.try_emplace(task.info.bundle, now());
            if (fresh)
                record.line("%s begins to fetch %s, %.1f GB", name_.c_str(), task.info.bundle.c_str(), task.info.size_gb);
            if (now() < fetch->second + task.info.size_gb / (facts_.fetch_gb_per_s * fetch_share_)) continue;
            record.line("%s has %s", name_.c_str(), task.info.bundle.c_str());
            cached_.insert(task.info.bundle);
        }
        std::erase_if(fetches_, [&](const auto& fetch) {
            if (cached_.count(fetch.first)) return true;
            if (wanted.count(fetch.first)) return false;
            record.line("%s gives up the fetch of %s after %.1f s", name_.c_str(), fetch.first.c_str(),
                        now() - fetch.second);
            return true;
        });
    }
    void run_gang_task(Task& task, std::map<std::string, int>& began, std::map<std::string, int>& ended) {
        const std::string label = task.piece + " try " + std::to_string(task.attempt);
        if (task.phase == "pulling" && cached_.count(task.info.bundle)) {
            if (sick_) {
                exit(task, "error");
                ++ended[label + " error"];
                return;
            }
            task.phase = "gathering";
            task.gathers_from = now();
            changed_ = true;
            record.line("%s: %s waits for the other tasks of the gang", name_.c_str(), label.c_str());
            jobs_.gather(task.info, task.attempt, task.piece);
        }
        if (task.phase == "pulling") return;
        Jobs::Gang gang = jobs_.gang(task.info, task.attempt);
        if (task.phase == "gathering" && gang.started_at) {
            task.phase = "running";
            changed_ = true;
            ++jobs_.starts;
            ++began[label];
        } else if (task.phase == "gathering" && now() > task.gathers_from + facts_.gang_wait_s) {
            exit(task, "incomplete");
            ++ended[label + " incomplete"];
        } else if (task.phase == "running" && gang.done) {
            exit(task, "done");
            jobs_.set_done(task.piece);
            ++ended[label + " done"];
        } else if (task.phase == "running" && gang.broken_at && now() > *gang.broken_at + facts_.gang_peer_s) {
            exit(task, "mates_gone");
            ++ended[label + " mates_gone"];
        }
    }

    void report_all() {
        double next_at = now() + uniform(0, 0.5), last_sent = -1;
        while (true) {
            sleep_s(0.01);
            std::string body;
            int port;
            int64_t tenure;
            {
                std::lock_guard lock(mutex_);
                if (gone_) return;
                bool due = now() >= next_at || (changed_ && accepted_ && now() >= last_sent + 0.5);
                if (!due) continue;
                changed_ = false;
                Val sent = report();
                longest_report_ = std::max(longest_report_, json_length(sent));
                body = packed(sent);
                port = nodes_[node_];
                tenure = tenure_;
            }
            last_sent = now();
            HttpResponse response = http_call(port, "POST", "/hello", body, 4.0);
            std::lock_guard lock(mutex_);
            if (gone_) return;
            if (response.status != last_status_ || response.status == 400)
                record.line("%s reports %zu tasks to node %zu: %s", name_.c_str(), tasks_.size(), node_,
                            response.status ? std::to_string(response.status).c_str() : "no response");
            last_status_ = response.status;
            accepted_ = response.status == 200;
            if (accepted_) {
                auto answer = unpacked(response.body);
                int64_t epoch = answer ? (*answer)["epoch"].as_int(-1) : -1;
                if (answer && epoch >= epoch_ && tenure == tenure_) {
                    if (epoch > epoch_) changed_ = true;
                    epoch_ = epoch;
                    lease_from_ = last_sent;
                    execute((*answer)["orders"].list);
                }
                next_at = last_sent + facts_.report_s * uniform(0.75, 1.25);
                continue;
            }
            size_t harbor = nodes_.size();
            if (response.status == 421)
                if (auto answer = unpacked(response.body))
                    if (const std::string& to = (*answer)["harbor"].text; to.rfind("shorehost-", 0) == 0)
                        harbor = static_cast<size_t>(std::atoi(to.c_str() + 10));
            if (harbor < nodes_.size() && harbor != node_) {
                node_ = harbor;
                next_at = now() + uniform(0, 0.5);
            } else {
                node_ = (node_ + 1) % nodes_.size();
                next_at = now() + 1;
            }
        }
    }

    HttpResponse commands(const HttpRequest& request) {
        std::lock_guard lock(mutex_);
        if (gone_) return {0, "", 0, true};
        if (request.path == "/status") return {200, packed(report()), 0, false};
        auto body = unpacked(request.body);
        if (!body || (*body)["epoch"].nil() || (*body)["tenure"].nil()) return {400, "", 0, false};
        int64_t epoch = (*body)["epoch"].as_int(), tenure = (*body)["tenure"].as_int();
        bool stale = epoch < epoch_ || tenure != tenure_;
        if (epoch > epoch_) {
            epoch_ = epoch;
            changed_ = true;
        }
        if (stale) return {409, packed(report()), 0, false};
        execute((*body)["orders"].list);
        return {200, packed(report()), 0, false};
    }

    const Facts& facts_;
    Jobs& jobs_;
    const std::vector<int> nodes_;
    const std::string name_, zone_;
    const bool spot_;
    std::mutex mutex_;
    std::unique_ptr<HttpServer> server_;
    std::vector<Task> tasks_;
    std::set<std::string> cached_;           // images
    std::map<std::string, double> fetches_;  // since when
    double fetch_share_ = 1;
    int64_t tenure_ = 1, tick_ = 0, epoch_ = 0;
    double lease_from_ = 0;
    size_t node_ = 0;
    bool changed_ = false, accepted_ = false, sick_ = false, gone_ = false;
    int last_status_ = -1;
    size_t longest_report_ = 0;
};

// --- cloud ------------------------------------------------------------------------------------------

class Cloud {
  public:
    // `capacity`: machines for each zone and kind (cheap or not).
    Cloud(const Facts& facts, Jobs& jobs, std::vector<int> nodes, int capacity)
        : facts_(facts), jobs_(jobs), nodes_(std::move(nodes)), capacity_(capacity),
          requests_(facts.cloud_rps, 2 * facts.cloud_rps), server_(0, [this](const HttpRequest& r) { return handle(r); }) {
        std::thread([this] { boot_all(); }).detach();
    }
    int port() const { return server_.port(); }
    // A machine that is up at the start.
    std::string add_up(const std::string& zone, bool spot = false) {
        std::lock_guard lock(mutex_);
        return add(zone, spot, -100, now());
    }
    // The cloud takes a cheap machine back, without a notice.
    void take_back(const std::string& name) {
        std::lock_guard lock(mutex_);
        Host& host = hosts_.at(name);
        if (host.gone_at >= 0) return;
        record.line("the cloud takes %s back", name.c_str());
        host.gone_at = now();
        if (host.worker) host.worker->remove();
    }
    // The machines that are up.
    std::map<std::string, std::shared_ptr<Worker>> workers() {
        std::lock_guard lock(mutex_);
        std::map<std::string, std::shared_ptr<Worker>> up;
        for (const auto& [name, host] : hosts_)
            if (host.worker && host.gone_at < 0) up[name] = host.worker;
        return up;
    }
    int rented() {
        std::lock_guard lock(mutex_);
        return rented_;
    }

  private:
    struct Host {
        std::string zone;
        bool spot = false;
        double rented_at = 0, up_at = 0, gone_at = -1;
        std::shared_ptr<Worker> worker;
    };
    HttpResponse answer(int status, const Val& v) { return {status, packed(v), 0, false}; }
    std::string add(const std::string& zone, bool spot, double rented_at, double up_at) {
        char name[20];
        std::snprintf(name, sizeof name, "vm-%06zu", hosts_.size() + 1);
        hosts_[name] = {zone, spot, rented_at, up_at, -1, nullptr};
        return name;
    }
    HttpResponse handle(const HttpRequest& request) {
        sleep_s(0.1);
        std::lock_guard lock(mutex_);
        if (!requests_.take(1)) return {429, "", 0, false};
        if (request.path == "/flavors") return flavors();
        if (request.path == "/hosts/delete") return remove(request.body);
        if (request.path == "/hosts" && request.method == "POST") return rent(request.body);
        if (request.path == "/hosts") return list(request);
        return {400, "", 0, false};
    }
    HttpResponse flavors() {
        Val zones = Val::list_of();
        for (const auto& zone : facts_.zones) zones.list.emplace_back(zone);
        return answer(200, Val::map_of({{"flavors", Val::list_of({Val::map_of({{"name", facts_.flavor},
                                                                               {"vcpus", facts_.vcpus},
                                                                               {"cards", facts_.cards},
                                                                               {"memory_gb", facts_.memory_gb},
                                                                               {"cache_gb", facts_.cache_gb},
                                                                               {"fetch_gb_per_s", facts_.fetch_gb_per_s},
                                                                               {"price", facts_.price},
                                                                               {"low_price", facts_.low_price},
                                                                               {"boot_s", facts_.boot_s},
                                                                               {"coves", zones}})})}}));
    }
    HttpResponse rent(const std::string& body) {
        auto request = unpacked(body);
        if (!request || (*request)["claim"].text.empty()) return {400, "", 0, false};
        if (auto it = claims_.find((*request)["claim"].text); it != claims_.end()) return answer(200, it->second);
        const std::string& zone = (*request)["cove"].text;
        bool spot = (*request)["driftwood"].as_bool();
        int used = 0;
        for (const auto& [name, host] : hosts_) used += host.gone_at < 0 && host.zone == zone && host.spot == spot;
        Val names = Val::list_of();
        for (int64_t i = 0; i < (*request)["number"].as_int() && used < capacity_; ++i, ++used) {
            names.list.emplace_back(add(zone, spot, now(), now() + facts_.boot_s * uniform(0.6, 0.8)));
            ++rented_;
        }
        if (names.list.empty()) return answer(503, Val::map_of({{"error", "no capacity"}}));
        record.line("cloud rents out %zu machines in %s", names.list.size(), zone.c_str());
        Val result = Val::map_of({{"hosts", names}});
        claims_[(*request)["claim"].text] = result;
        return answer(200, result);
    }
    HttpResponse remove(const std::string& body) {
        auto request = unpacked(body);
        if (!request) return {400, "", 0, false};
        for (const auto& name : (*request)["hosts"].list) {
            auto it = hosts_.find(name.text);
            if (it == hosts_.end() || it->second.gone_at >= 0) continue;
            record.line("cloud is asked to delete %s", name.text.c_str());
            it->second.gone_at = now();
            if (it->second.worker) it->second.worker->remove();
        }
        return answer(200, Val::map_of({}));
    }
    HttpResponse list(const HttpRequest& request) {
        std::string from = request.field("from");
        size_t page = request.field("page").empty() ? 500 : std::stoul(request.field("page"));
        Val rows = Val::list_of();
        bool more = false;
        double lag = facts_.list_lag_s;
        for (auto it = hosts_.upper_bound(from); it != hosts_.end(); ++it) {
            const Host& host = it->second;
            if (now() - host.rented_at < lag || (host.gone_at >= 0 && now() - host.gone_at > lag)) continue;
            if (rows.list.size() >= page) {
                more = true;
                break;
            }
            rows.list.push_back(Val::map_of({{"ref", it->first},
                                             {"addr", host.worker ? host.worker->addr() : ""},
                                             {"flavor", facts_.flavor},
                                             {"cove", host.zone},
                                             {"driftwood", host.spot},
                                             {"phase", host.up_at < now() - lag ? "running" : "booting"},
                                             {"age_s", now() - lag - host.rented_at}}));
        }
        return answer(200, Val::map_of({{"hosts", rows}, {"has_next", more}}));
    }
    void boot_all() {
        while (true) {
            sleep_s(0.05);
            std::lock_guard lock(mutex_);
            for (auto& [name, host] : hosts_)
                if (!host.worker && host.gone_at < 0 && now() >= host.up_at)
                    host.worker = std::make_shared<Worker>(facts_, jobs_, nodes_, name, host.zone, host.spot);
        }
    }

    const Facts& facts_;
    Jobs& jobs_;
    const std::vector<int> nodes_;
    const int capacity_;
    std::mutex mutex_;
    std::map<std::string, Host> hosts_;
    std::map<std::string, Val> claims_;
    int rented_ = 0;
    Bucket requests_;
    HttpServer server_;
};

// --- controllers ------------------------------------------------------------------------------------

class Nodes {
  public:
    Nodes(const Facts& facts, std::string program, std::string folder)
        : facts_(facts), program_(std::move(program)), folder_(std::move(folder)) {
        for (size_t node = 0; node < facts.node_zones.size(); ++node) {
            client_.push_back(free_port());
            back_.push_back(free_port());
        }
        pids_.resize(client_.size(), 0);
    }
    const std::vector<int>& client_ports() const { return client_; }
    void start_all(Store& store, int cloud_port) {
        for (size_t node = 0; node < client_.size(); ++node) {
            write_settings(node, store.port(node), cloud_port);
            start(node);
        }
    }
    void start(size_t node) {
        std::string settings = path(node, ".toml"), log = path(node, ".log");
        std::string options = program_;  // a program with its arguments, without a shell
        std::vector<std::string> words;
        for (size_t at = 0; at < options.size();) {
            size_t end = options.find(' ', at);
            if (end == std::string::npos) end = options.size();
            if (end > at) words.push_back(options.substr(at, end - at));
            at = end + 1;
        }
        words.push_back(settings);
        std::vector<char*> argv;
        for (auto& word : words) argv.push_back(word.data());
        argv.push_back(nullptr);
        pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 2);
            execv(argv[0], argv.data());
            _exit(127);
        }
        pids_[node] = pid;
        record.line("node %zu is started", node);
    }
    void kill_all() {
        for (pid_t pid : pids_)
            if (pid > 0) kill(pid, SIGKILL);
        for (pid_t& pid : pids_) {
            if (pid > 0) waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }
    // Whether each process still runs: none is meant to end by itself.
    bool all_alive() {
        for (pid_t pid : pids_)
            if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) return false;
        return true;
    }
    bool ready(size_t node) { return http_call(client_[node], "GET", "/ready", "", 1.0).status == 200; }
    // Waits until all nodes are ready.
    bool wait_ready(double timeout) {
        double ends = now() + timeout;
        for (size_t node = 0; node < client_.size(); ++node)
            while (!ready(node)) {
                if (now() > ends) return false;
                sleep_s(0.1);
            }
        return true;
    }

  private:
    std::string path(size_t node, const char* end) const {
        return folder_ + "/shorehost-" + std::to_string(node) + end;
    }
    void write_settings(size_t node, int store_port, int cloud_port) {
        std::ofstream out(path(node, ".toml"));
        out << "label = \"shorehost-" << node << "\"\nsite = \"" << facts_.node_zones[node] << "\"\nclient_listen = \"127.0.0.1:"
            << client_[node] << "\"\nback = \"127.0.0.1:" << back_[node] << "\"\n";
        for (size_t peer = 0; peer < client_.size(); ++peer)
            if (peer != node)
                out << "[[siblings]]\nlabel = \"shorehost-" << peer << "\"\nsite = \"" << facts_.node_zones[peer]
                    << "\"\naddr = \"127.0.0.1:" << back_[peer] << "\"\n";
        out << "[endpoints]\ncloud = \"127.0.0.1:" << cloud_port << "\"\nstate = \"127.0.0.1:" << store_port
            << "\"\n[facts]\nnodes = " << client_.size() << "\nzones = [";
        for (size_t i = 0; i < facts_.zones.size(); ++i) out << (i ? ", " : "") << '"' << facts_.zones[i] << '"';
        out << "]\nskew_ms = 250.0\n";
        for (const auto& team : facts_.teams)
            out << "[[facts.teams]]\nname = \"" << team.name << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = " << team.gpus
                << "\ngpus_max = " << team.gpus_max << "\n";
        out << "[[facts.objectives]]\nkind = \"finished\"\nclass = \"etiqueta-scan\"\nwithin_s = 250.0\nshare = 0.9\n"
            << "[facts.workers]\nreport_s = " << facts_.report_s << "\nlease_s = " << facts_.lease_s
            << "\ngang_wait_s = " << facts_.gang_wait_s << "\ngang_peer_s = " << facts_.gang_peer_s
            << "\ncancel_s = " << facts_.cancel_s << "\n[facts.state]\nrps = " << facts_.state_rps
            << "\nwrite_rps = " << facts_.write_rps << "\nvalue_kb = " << facts_.value_kb
            << "\ntxn_ops = " << facts_.txn_ops << "\n[facts.cloud]\nrps = " << facts_.cloud_rps
            << "\nlist_lag_s = " << facts_.list_lag_s
            << "\n[facts.machine_limits]\ncores = 0.04\nram_mb = 56.0\nsockets = 800\n";
    }

    const Facts& facts_;
    const std::string program_, folder_;
    std::vector<int> client_, back_;
    std::vector<pid_t> pids_;
};

// --- users ------------------------------------------------------------------------------------------

// Users behind the load balancer, which picks another node for each connection.
class Users {
  public:
    explicit Users(std::vector<int> ports) : ports_(std::move(ports)) {}

    // Submits until the job is accepted or refused, for up to 60 s; returns the last status.
    int submit(const JobInfo& job) {
        double ends = now() + 60;
        while (true) {
            HttpResponse r = http_call(next(), "POST", "/v2/runs", job.body(), 5.0);
            record.line("user submits %s with %ld tasks: %d", job.ref.c_str(), static_cast<long>(job.pieces), r.status);
            if (r.status == 201 || r.status == 200 || r.status == 400 || r.status == 422 || now() > ends)
                return r.status;
            sleep_s(std::max(1.0, r.retry_after));
        }
    }
    // Asks once; the phase, or empty if no node answered with 200.
    std::string poll(const std::string& ref) {
        HttpResponse r = http_call(next(), "GET", "/v2/runs/" + ref, "", 2.0);
        auto body = r.status == 200 ? unpacked(r.body) : std::nullopt;
        std::string phase = body ? (*body)["phase"].text : "";
        std::lock_guard lock(mutex_);
        std::string said = phase.empty() ? std::to_string(r.status) : phase;
        if (std::exchange(last_[ref], said) != said)
            record.line("user asks for %s: %s", ref.c_str(), said.c_str());
        return phase;
    }

  private:
    int next() { return ports_[counter_++ % ports_.size()]; }

    const std::vector<int> ports_;
    std::atomic<size_t> counter_{0};
    std::mutex mutex_;
    std::map<std::string, std::string> last_;
};

// The end of a scenario: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void finish(Nodes& nodes, int status, const std::string& text) {
    record.line("%s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    nodes.kill_all();
    _exit(status);
}

}  // namespace site
