// One deployment whose machines, controllers and links can be cut, slowed, refused, held, doubled and frozen.
// The scripts of fault combinations play in it; it watches the protocol's rules throughout.
#pragma once
#include <gtest/gtest.h>

#include <memory>

#include "peer/frames.h"
#include "standins.h"

namespace hareshore::test {

std::string packed_flag(bool b);
std::string packed_text(const std::string& s);

// Stands before the state service, for one node.
struct Gate {
    enum Mode { kOpen, kRefuse, kSilent };
    Mode mode = kOpen;
    Seconds delay = 0;
    // Called for each request, if set: how much longer it takes before, and after, it is carried out.
    std::function<Seconds(const Request&)> request_delay, answer_delay;
    Loop& loop;
    HttpServer server;

    Gate(Loop& l, FakeState& state, Address at)
        : loop(l), server(l, at, 200, [this, &state](Request r) { return pass(state, std::move(r)); }) {}
    Task<Response> pass(FakeState& state, Request r);
};

// A link between two controllers, one way of dialling; cut, what is sent waits.
struct Wire {
    bool cut = false;
    // One of the two is of the version before cancellation notices and record format 2: it neither sends nor
    // takes notices, and says of itself none of what came with them.
    bool old_peer = false;
    Loop& loop;
    Address to;
    File listener;
    Scope scope;

    Wire(Loop& l, Address from, Address target);
    Task<void> accept_all();
    Task<void> join(std::shared_ptr<Stream> near);
    Task<void> pump(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into, std::shared_ptr<bool> open);
    // What of these bytes an old peer would say or take.
    static std::string as_old_peer(peer::FrameReader& reader, std::string_view bytes);
};

// A machine that does all that the protocol says of workers: it follows hints, its lease ends, it hangs.
struct LiveMachine {
    FakeWorker w;
    int node = 0;
    bool hung = false, mute = false, deaf = false, cut = false, gone = false, changed = false;
    Seconds lease_from = 0, last_heartbeat = -1e9;
    std::map<std::string, Seconds> ends;  // of its tasks, by name
    std::vector<std::string> reports;     // all that it sent
    std::unique_ptr<HttpServer> commands;
};

class World {
  public:
    // `old_node`: a controller of the older version until calm(); -1: none.
    World(int nodes, int machines, int old_node = -1);
    ~World();

    void add_machine(const std::string& name, const std::string& zone);
    // From now on the cloud rents up to `most` machines; each is up after `boot_s`.
    void rent_machines(size_t most, Seconds boot_s);

    // --- users ----------------------------------------------------------------------------------------

    // Asks every living node in turn until one answers as users expect; the answer's phase.
    std::string ask(const std::string& method, const std::string& path, const std::string& body = "",
                    Seconds most = 60);
    std::string submit(const std::string& id, uint32_t tasks, Seconds run_s,
                       const std::function<void(std::map<std::string, std::string>&)>& change = {});
    // Notes what a job is before it is submitted.
    void prepare(const std::string& id, uint32_t tasks, Seconds run_s,
                 const std::function<void(std::map<std::string, std::string>&)>& change = {});
    // A service whose replicas take no GPU, so that the team's limit is left to the other jobs.
    void submit_service(const std::string& id, uint32_t replicas);
    void cancel(const std::string& id, Seconds most = 60);
    void poll(const std::string& id);
    void said(const std::string& id, const std::string& phase);

    // --- what scripts look at and do ------------------------------------------------------------------

    int leader();
    LiveMachine* holder(const std::string& job);
    bool starts(const std::string& job, Seconds most = 20);
    size_t replicas_up(const std::string& service) const;
    void outage(bool on);
    void alone(int node, bool on);
    void apart(int node, bool on);

    // All troubles end; then everything ends within `most`.
    void calm(Seconds most = 150);

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
    std::set<std::string> single_zone;
    std::map<std::string, uint32_t> services;  // and their replicas
    std::map<std::string, int> launches;
    std::map<std::string, size_t> gangs;                              // their tasks
    std::map<std::pair<std::string, uint64_t>, Seconds> complete_at;  // when an attempt was last complete
    bool double_reports = false;                                      // copies of old reports come again
    std::vector<std::string> starts_after_announced;
    // Called for each direct command, if set: how late it is carried out; it then gets no answer. 0: at once.
    std::function<Seconds(const LiveMachine&)> command_delay;
    int late_commands_carried_out = 0, late_commands_refused = 0;
    size_t next_node = 0;
    Scope scope;

  private:
    void start_machine(const std::string& name, const std::string& zone);
    Task<void> boot(std::string name, std::string zone, Seconds boot_s);
    Task<void> reporting(LiveMachine& m);
    Task<Response> ordered(LiveMachine& m, Request r);
    static bool takes(const LiveMachine& m, const std::string& command);
    Task<void> carry_out_late(LiveMachine& m, std::string command, Seconds delay);
    void carry_out(LiveMachine& m, const std::string& body);
    // Whether the rest of a gang was complete, and lacks a task or has one on a machine that hangs.
    bool mates_gone(const TaskStatus& t, Seconds now);
    static size_t running(const LiveMachine& m);

    // Time passes on the machines, and the rules are looked at.
    Task<void> watch();
    Task<void> copy(std::string body, int node);

    int old_node_;
};

}  // namespace hareshore::test
