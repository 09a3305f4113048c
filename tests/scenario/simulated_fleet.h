// Machines that do all that the protocol asks of workers: they report, follow redirects, carry out commands,
// run their tasks for as long as the ledger has it, and end them when their lease expires. They can hang, and
// be cut off in one direction or both.
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
    int node = 0;                // where it reports next
    bool hung = false;           // it does nothing; its tasks may go on
    bool cannot_report = false;  // its reports do not arrive; commands do
    bool cannot_hear = false;    // its reports arrive; neither answers nor commands do
    bool cut = false;            // nothing arrives either way
    bool deleted = false;        // by the cloud
    bool report_soon = false;    // something has changed since its last report
    Seconds lease_from = 0, last_heartbeat = -1e9;
    std::map<std::string, Seconds> ends;  // of its tasks, by name
    std::vector<std::string> reports;     // the bodies of all that it sent
    std::unique_ptr<HttpServer> commands;

    // Tasks on it that have not exited.
    [[nodiscard]] bool runs(const std::string& job) const;
    // Whether it would carry out this command: one for its process, of no earlier epoch.
    [[nodiscard]] bool takes(const std::string& command) const;
    void end_all_faults() { hung = cannot_report = cannot_hear = cut = false; }
};

class SimulatedFleet {
  public:
    SimulatedFleet(Deployment& deployment, JobLedger& jobs);

    // A machine that runs already, listed by the cloud.
    void add(const std::string& name, const std::string& zone);
    // From now on the cloud rents up to `most` machines; each is up after `boot_s`.
    void rent_on_request(size_t most, Seconds boot_s);
    // Time has passed: leases expire and tasks end.
    void advance();
    void stop();

    std::vector<std::unique_ptr<SimulatedMachine>>& machines() { return machines_; }
    SimulatedMachine& machine(size_t number) { return *machines_.at(number); }
    // A machine with a task of the job that has not exited; null without one.
    SimulatedMachine* holder(const std::string& job);
    [[nodiscard]] size_t replicas_up(const std::string& service) const;
    [[nodiscard]] int live_machines() const;

    // How often tasks of the job were launched.
    [[nodiscard]] int launches(const std::string& job) const;
    // Tasks that were launched after a user had been told of their cancellation.
    [[nodiscard]] const std::vector<std::string>& launched_after_cancellation() const {
        return launched_after_cancellation_;
    }

    // Copies of old reports come again.
    void repeat_old_reports(bool repeat) { repeat_old_reports_ = repeat; }
    // Called for each direct command: how late it is carried out; it then gets no answer. 0: at once.
    using CommandDelay = std::function<Seconds()>;
    void delay_commands(CommandDelay delay) { command_delay_ = std::move(delay); }
    [[nodiscard]] int late_commands_carried_out() const { return late_commands_carried_out_; }

  private:
    void start(const std::string& name, const std::string& zone);
    Task<void> boot(std::string name, std::string zone, Seconds boot_s);
    Task<void> report_forever(SimulatedMachine& machine);
    // One report; how long to wait before the next is considered.
    Task<Seconds> report(SimulatedMachine& machine);
    // Points the machine to the leader that the answer names; how long to wait.
    static Seconds follow_redirect(SimulatedMachine& machine, int asked, const CallResult& answer);
    Task<Response> handle_command(SimulatedMachine& machine, Request request);
    Task<void> carry_out_late(SimulatedMachine& machine, std::string command, Seconds delay);
    void carry_out(SimulatedMachine& machine, const std::string& body);
    Task<void> resend(std::string body, int node);

    void advance_machine(SimulatedMachine& machine, Seconds now);
    void advance_task(SimulatedMachine& machine, TaskStatus& task, Seconds now);
    // Whether the rest of a gang was complete, and lacks a task or has one on a machine that hangs.
    bool gang_broken(const TaskStatus& task, Seconds now);

    Deployment& deployment_;
    JobLedger& jobs_;
    std::vector<std::unique_ptr<SimulatedMachine>> machines_;
    std::map<std::string, int> launches_;
    std::vector<std::string> launched_after_cancellation_;
    // When an attempt of a gang was last complete.
    std::map<std::pair<std::string, uint64_t>, Seconds> complete_at_;
    bool repeat_old_reports_ = false;
    CommandDelay command_delay_;
    int late_commands_carried_out_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test
