// Stand-ins for the controllers' peers, written to the protocol: a state service, a cloud and workers
// that do what a test's script says. They run in the test's own loop, on a fake clock.
#pragma once
#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <set>

#include "base/log.h"
#include "controller/controller.h"
#include "http/client.h"
#include "http/server.h"

namespace hareshore::test {

// Loopback addresses of this test process alone, so that tests can run side by side.
inline Address address(int machine, uint16_t port) {
    auto pid = static_cast<uint32_t>(getpid());
    Address a;
    std::string text = "127." + std::to_string(1 + (pid >> 8) % 254) + "." + std::to_string(pid & 255) + "." +
                       std::to_string(machine) + ":" + std::to_string(port);
    a = Address::parse(text).value();
    return a;
}

inline std::string text_of(const Address& a) {
    const auto* b = reinterpret_cast<const uint8_t*>(&a.ip);
    return std::to_string(b[0]) + "." + std::to_string(b[1]) + "." + std::to_string(b[2]) + "." +
           std::to_string(b[3]) + ":" + std::to_string(a.port);
}

// Lets cancelled routines unwind.
inline void unwind(Loop& loop) {
    for (int i = 0; i < 30; ++i) loop.turn(0);
}

class FakeState {
  public:
    explicit FakeState(Loop& loop) : loop_(loop), news_(loop) {}

    struct Row {
        std::string data;
        uint64_t mod_revision = 0, lease = 0;
    };
    std::map<std::string, Row> rows;
    uint64_t revision = 1;
    bool down = false;
    bool silent = false;    // requests get no answer, as behind a cut
    std::set<int> refused;  // controllers that alone get 503; their watches wait
    // A controller's own way to the service, so that it alone can be refused.
    void open(int node, Address at) {
        doors_.push_back(std::make_unique<HttpServer>(
            loop_, at, 100, [this, node](Request r) { return handle(std::move(r), node); }));
    }
    uint64_t oldest = 0;  // watches from before this revision get 410
    size_t page = 1000;   // most items of a list
    // Called with each transaction's body before it is carried out; false: the answer is lost, and the
    // transaction is kept in `late` instead.
    std::function<bool(const std::string&)> let_through;
    std::vector<std::string> late;
    // The limits, by the JSON text of a value; what exceeds them gets 400 and counts in `invalid`.
    size_t value_bytes = SIZE_MAX, txn_ops = SIZE_MAX;
    int invalid = 0;
    int limited = 0;  // so many transactions to come exceed the rate
    int puts = 0;
    void stop() {
        for (auto& d : doors_) d->stop();
    }

    // Also for gates that stand before it. `node`: the controller that asks, if it is known.
    Task<Response> handle(Request r, int node = -1);
    Response apply(const std::string& body);
    void end_lease(uint64_t id);
    void outage_is_over();  // all leases have their full time again

  private:
    struct Event {
        std::string key;
        bool drop;
        std::string data;
        uint64_t mod_revision;
    };
    void expire();

    Loop& loop_;
    Condition news_;
    std::map<uint64_t, std::pair<Seconds, Seconds>> leases_;  // ttl, end
    uint64_t next_lease_ = 1;
    std::vector<Event> events_;
    std::vector<std::unique_ptr<HttpServer>> doors_;
};

class FakeCloud {
  public:
    FakeCloud(Loop& loop, Address at)
        : server_(loop, at, 20, [this](Request r) { return handle(std::move(r)); }) {}
    std::vector<MachineType> machine_types;
    std::map<std::string, ListedMachine> machines;
    std::vector<std::string> deleted;
    bool down = false;
    int rentals = 0;
    // Rents machines and returns their names; none: there is no capacity, as without this.
    std::function<std::vector<std::string>(const std::string& zone, size_t most)> rent;
    void stop() { server_.stop(); }

  private:
    Task<Response> handle(Request r);
    HttpServer server_;
};

// The JSON text of a packed value, as short as can be.
std::string json_text(const std::string& packed);

// A worker's side of the protocol, driven by the test.
struct FakeWorker {
    std::string name = "vm-000001", addr = "127.0.0.1:9", machine_type = "g2", zone = "a";
    bool spot = false;
    uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::vector<TaskStatus> tasks;
    std::optional<double> notice_s;  // spot notice

    std::string report();
    bool deaf = false;  // its reports arrive, the answers to them do not
    // Reports to a node and carries out what it answers; the status.
    Task<int> send_report(Loop& loop, Address node);
    void carry_out(const std::string& body);
    TaskStatus* find(const std::string& task);
};

std::string job_body(const std::string& id,
                     const std::function<void(std::map<std::string, std::string>&)>& change = {});

// A deployment of controllers with its stand-ins.
class Site {
  public:
    explicit Site(int nodes = 1);
    ~Site();
    Controller& start(int i);
    void kill(int i);
    void run(Seconds s) {
        loop.run_until([] { return false; }, s);
    }
    template <class F>
    bool until(F done, Seconds most = 30) {
        return loop.run_until(done, most);
    }
    int leader() const;  // -1: none
    CallResult call(int node, std::string method, std::string path, std::string body = "");
    int send_report(FakeWorker& w, int node);
    // Reports to whoever leads until it is answered 200 with this epoch known.
    void settle(FakeWorker& w);

    FakeClock clock;
    Loop loop{clock};
    FakeState state{loop};
    FakeCloud cloud{loop, address(1, 8443)};
    std::vector<Config> configs;
    Settings settings;
    std::vector<std::unique_ptr<Controller>> nodes;
};

MachineType small_machine_type();

}  // namespace hareshore::test
