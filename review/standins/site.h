// Stand-ins for the systems around the controllers, on loopback and on the real clock: the state service, the
// cloud, workers and users. The controllers are separate processes of the deploy file's program. The
// stand-ins follow the protocol's page; where it is silent, they behave like a sound server or client.
#pragma once
#include <sys/types.h>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cloud/machine_type.h"
#include "http/client.h"
#include "http/msgpack.h"
#include "http/server.h"
#include "loop/loop.h"
#include "loop/task_group.h"

namespace review {

using namespace hareshore;

// Writes record.txt: one line an event, with the seconds since the start.
class Record {
  public:
    Record(Loop& loop, const std::string& path);
    ~Record();
    void line(const std::string& text);
    [[nodiscard]] Seconds now() const { return loop_.now() - begin_; }

  private:
    Loop& loop_;
    Seconds begin_;
    std::FILE* file_;
};

struct Settings {
    int controllers = 3;
    std::vector<std::string> zones{"a", "b"};
    std::vector<std::string> teams;  // TOML of each team's limits, after its name
    double report_s = 5, lease_s = 24, gang_wait_s = 40, gang_peer_s = 4, cancel_s = 49;
    double store_rps = 80, write_rps = 15, value_kb = 8;
    int txn_ops = 12;
    double cloud_rps = 6, list_lag_s = 6;
    double ram_mb = 56;
    int sockets = 800;
    MachineType flavor;
};

// A token bucket with bursts of `burst_s` seconds' worth.
class Bucket {
  public:
    Bucket(double rate, double burst_s) : rate_(rate), level_(rate * burst_s), most_(rate * burst_s) {}
    bool take(double amount, Seconds now);

  private:
    double rate_, level_, most_;
    std::optional<Seconds> last_;
};

class Store {
  public:
    Store(Loop& loop, Record& record, const Settings& settings, Address at);
    void stop();
    // An outage for all nodes. When it ends, all leases have their full time again.
    void set_down(bool down);

  private:
    struct Row {
        std::string data;
        uint64_t stamp = 0, lease = 0;
    };
    struct Event {
        std::string key;
        bool dropped = false;
        std::string data;
        uint64_t stamp = 0;
    };
    struct Lease {
        Seconds ttl = 0, ends_at = 0;
    };

    Task<Response> handle(Request request);
    Task<Response> watch(Request request);
    Response transact(const std::string& body);
    Response list(const Request& request);
    Response read(const std::string& key);
    Response leases(const Request& request);
    Task<void> end_leases();
    void end_lease(uint64_t id);

    Loop& loop_;
    Record& record_;
    const Settings& settings_;
    Bucket requests_, writes_;
    std::map<std::string, Row> rows_;
    std::vector<Event> events_;
    std::map<uint64_t, Lease> leases_;
    uint64_t tide_ = 1, next_lease_ = 1;
    bool down_ = false;
    Condition changed_;
    HttpServer server_;
    TaskGroup tasks_;
};

// What users uploaded of a job, for the workers.
struct Description {
    std::string id;
    uint32_t pieces = 1;
    std::string shape = "sweep", cove;  // no cove: any zone
    bool apart = false, driftwood = false;
    double vcpus = 1, cards = 0, memory_gb = 1, size_gb = 1, run_s = 60;
    double expect_s = 60, snapshot_s = 0, flush_s = 0;
    std::string owner, bundle, rank = "standard", jobclass = "c";
};

class Site;

class Worker {
  public:
    Worker(Site& site, std::string name, std::string zone, bool spot, Address at);
    void start();
    void stop();  // the machine is gone, and everything on it
    // A hanging machine does nothing: it neither sends nor answers, runs no task and ends none.
    void hang();
    void resume();
    bool sick = false;  // the machine fails every task that it starts

    struct Piece {
        std::string job;
        uint32_t number = 0;
        uint64_t attempt = 0;
        std::string phase, cause;
        Seconds since = 0;  // when the phase began
        [[nodiscard]] std::string name() const { return job + "/" + std::to_string(number); }
        // On the machine: from when it has its image until it exits.
        [[nodiscard]] bool present() const {
            return phase == "gathering" || phase == "running" || phase == "saving";
        }
    };
    [[nodiscard]] const std::vector<Piece>& pieces() const { return pieces_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }
    [[nodiscard]] bool spot() const { return spot_; }
    void change(Piece& piece, const std::string& phase, const std::string& cause = "");
    std::vector<Piece>& pieces_to_change() { return pieces_; }
    [[nodiscard]] Address at() const { return at_; }
    [[nodiscard]] bool gone() const { return gone_; }
    [[nodiscard]] bool hung() const { return hung_; }
    [[nodiscard]] int accepted() const { return accepted_; }
    [[nodiscard]] int leases_lost() const { return tenure_ > 1 ? static_cast<int>(tenure_) - 1 : 0; }

  private:
    Task<void> report();
    Task<void> run_pieces();
    Task<Response> handle(Request request);
    std::string packed_report();
    void execute(const MsgpackValue& orders);
    void check_lease();

    Site& site_;
    std::string name_, zone_;
    bool spot_;
    Address at_;
    uint64_t tenure_ = 1, tick_ = 0, epoch_ = 0;
    std::vector<Piece> pieces_;
    bool gone_ = false, hung_ = false;
    bool changed_ = true;
    std::optional<Seconds> answered_sent_at_;
    Seconds session_began_ = 0;
    Seconds last_epoch_change_ = -1e9;
    int accepted_ = 0;
    Condition wake_;
    std::unique_ptr<HttpServer> server_;
    TaskGroup tasks_;
};

class Cloud {
  public:
    Cloud(Site& site, Address at);
    void stop();
    std::set<std::string> rents_in;  // zones with capacity for more machines, ordinary ones only
    void take(Worker& worker);       // a spot machine, without a notice
    Seconds boot_s = 20;

  private:
    Task<Response> handle(Request request);
    Response list(const Request& request);

    Site& site_;
    Bucket requests_;
    std::map<std::string, std::string> claims_;
    HttpServer server_;
};

// The whole deployment.
class Site {
  public:
    Site(Loop& loop, Settings settings, std::string program, std::string folder, std::string scratch);
    ~Site();

    // --- Controllers.
    void start(int node);
    void kill(int node);  // without a signal that the process could notice
    void kill_and_return(int node, Seconds after);
    void signal(int node, int number);
    // The node that leads, by the operators' pages of all nodes; -1: none is known.
    Task<int> find_leader();
    [[nodiscard]] bool all_alive();

    // --- Machines.
    Worker& add_machine(const std::string& zone, Seconds age_s, Seconds boot_s = 0, bool spot = false);
    Worker* find(const std::string& name);
    // Whether every machine's reports have been answered with 200 twice within this time.
    Task<bool> all_reported(Seconds patience_s);

    // --- Users.
    Task<CallResult> ask(std::string method, std::string path, std::string body, Seconds timeout);
    Task<bool> submit(Description job);
    Task<std::string> poll(std::string id);    // the phase, or "" if there was no answer
    Task<std::string> cancel(std::string id);  // repeated until it is answered
    std::map<std::string, Description> uploaded;

    struct Machine {
        std::unique_ptr<Worker> worker;
        Seconds created_at = 0, up_at = 0;
        std::optional<Seconds> deleted_at;
    };
    std::map<std::string, Machine> machines;

    Loop& loop;
    Settings settings;
    std::string scratch;
    Record record;
    TaskGroup tasks;
    std::unique_ptr<Store> store;
    std::unique_ptr<Cloud> cloud;
    std::function<void(Worker&, int status, size_t pieces, size_t json_bytes)> on_report;

    [[nodiscard]] Address controller_address(int node) const;
    [[nodiscard]] Seconds jitter();  // between 0.75 and 1.25

  private:
    void write_settings(int node);
    Task<void> return_later(int node, Seconds after);
    Task<void> boot(Worker& worker, Seconds after);
    Task<void> run_gangs();

    std::string program_;
    std::vector<pid_t> pids_;
    int next_node_ = 0, next_machine_ = 1;
};

[[nodiscard]] std::string text_of(const Address& address);
[[nodiscard]] bool trouble();  // false with TROUBLE=0

// Runs the scenario until it returns, for `limit_s` at most; returns the exit status: 0 the rule held, 1 it
// was broken, 2 the case couldn't run.
int run(int argc, char** argv, Settings settings, std::function<Task<int>(Site&)> scenario, Seconds limit_s);

}  // namespace review
