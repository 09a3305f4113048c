// Simulated machines that implement the whole worker protocol: they send heartbeats, follow redirects,
// execute commands, run tasks for the times in the job ledger, and stop all tasks when their lease expires. A
// machine can hang, and its network can be blocked in one direction or both.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "scenario/job_ledger.h"
#include "standins/deployment.h"

namespace hareshore::test {

struct SimulatedMachine {
    FakeWorker worker;
    int target_node = 0;              // the controller that gets its next heartbeat
    bool hung = false;                // it sends and handles nothing; its tasks may continue
    bool heartbeats_blocked = false;  // its heartbeats are lost; commands arrive
    bool inbound_blocked = false;     // its heartbeats arrive; responses and commands are lost
    bool partitioned = false;         // nothing arrives in either direction
    bool deleted = false;             // by the cloud
    bool heartbeat_soon = false;      // its status has changed since its last heartbeat
    Seconds lease_start = 0, last_heartbeat = -1e9;
    std::map<std::string, Seconds> task_end_times;  // by task name
    std::vector<std::string> sent_heartbeats;       // their bodies, oldest first
    std::unique_ptr<HttpServer> command_server;

    // Whether a task of the job is on the machine and has not exited.
    [[nodiscard]] bool runs(const std::string& job) const;
    // Whether it executes this command: it must be for this incarnation and have no older fencing token.
    [[nodiscard]] bool accepts(const std::string& command) const;
    void end_all_faults() { hung = heartbeats_blocked = inbound_blocked = partitioned = false; }
};

class SimulatedFleet {
  public:
    SimulatedFleet(Deployment& deployment, JobLedger& jobs);

    // Adds a running machine and lists it in the cloud.
    void add(const std::string& name, const std::string& zone);
    // The cloud rents out up to `max_machines` machines from now on; each takes `boot_s` to boot.
    void enable_renting(size_t max_machines, Seconds boot_s);
    // Brings all machines up to the current time: leases expire and tasks finish.
    void advance();
    void stop();

    std::vector<std::unique_ptr<SimulatedMachine>>& machines() { return machines_; }
    SimulatedMachine& machine(size_t number) { return *machines_.at(number); }
    // A machine with a task of the job that has not exited, or null.
    SimulatedMachine* machine_running(const std::string& job);
    [[nodiscard]] size_t replicas_up(const std::string& service) const;
    [[nodiscard]] int live_machines() const;

    // The number of launches of the job's tasks.
    [[nodiscard]] int launches(const std::string& job) const;
    // Tasks that were launched after their job's cancellation had been confirmed to a user.
    [[nodiscard]] const std::vector<std::string>& launched_after_cancellation() const {
        return launched_after_cancellation_;
    }

    // Whether copies of old heartbeats arrive again.
    void resend_old_heartbeats(bool resend) { resend_old_heartbeats_ = resend; }
    // Called for each direct command; returns its delay. A delayed command gets no response.
    using CommandDelay = std::function<Seconds()>;
    void delay_commands(CommandDelay delay) { command_delay_ = std::move(delay); }
    [[nodiscard]] int late_commands_executed() const { return late_commands_executed_; }

  private:
    void start(const std::string& name, const std::string& zone);
    Task<void> boot(std::string name, std::string zone, Seconds boot_s);
    Task<void> heartbeat_loop(SimulatedMachine& machine);
    // Sends one heartbeat. Returns how long to wait before a retry, 0 if it was accepted.
    Task<Seconds> send_heartbeat(SimulatedMachine& machine);
    // Points the machine to the leader in the response of `node`. Returns how long to wait before a retry.
    static Seconds follow_redirect(SimulatedMachine& machine, int node, const CallResult& response);
    Task<Response> handle_command(SimulatedMachine& machine, Request request);
    Task<void> execute_late(SimulatedMachine& machine, std::string command, Seconds delay);
    void execute(SimulatedMachine& machine, const std::string& body);
    Task<void> resend_heartbeat(std::string body, int node);

    void advance_machine(SimulatedMachine& machine, Seconds now);
    void advance_task(SimulatedMachine& machine, TaskStatus& task, Seconds now);
    // Whether the task's gang has been incomplete for longer than `gang_peer_s`: a task has ended or its
    // machine hangs.
    bool gang_lost_peer(const TaskStatus& task, Seconds now);

    Deployment& deployment_;
    JobLedger& jobs_;
    std::vector<std::unique_ptr<SimulatedMachine>> machines_;
    std::map<std::string, int> launches_;
    std::vector<std::string> launched_after_cancellation_;
    // When all tasks of a gang's attempt last ran.
    std::map<std::pair<std::string, uint64_t>, Seconds> gang_complete_at_;
    bool resend_old_heartbeats_ = false;
    CommandDelay command_delay_;
    int late_commands_executed_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test
