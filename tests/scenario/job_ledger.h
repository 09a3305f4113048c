// The jobs of a scenario: what was submitted, which phases users were told, and which tasks the machines
// completed.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/clock.h"
#include "standins/job_bodies.h"

namespace hareshore::test {

// Jobs are keyed by their ids.
struct JobLedger {
    // Registers a job before its submission. Each of its tasks runs for `run_s`.
    void register_job(const std::string& id, uint32_t tasks, Seconds run_s,
                      const JobFieldsChange& change = {});
    // Registers a service whose replicas use no GPU, so that the team's whole limit is left to the other
    // jobs.
    void register_service(const std::string& id, uint32_t replicas);
    // Checks the phase in a response to a user against earlier ones, and records it if it is final.
    void check_reported_phase(const std::string& id, const std::string& phase);
    // Records that a task has exited successfully.
    void complete_task(const std::string& id, uint32_t task);
    // Whether the job was cancelled or all of its tasks have completed.
    [[nodiscard]] bool finished(const std::string& id) const;

    std::map<std::string, std::string> bodies;  // bodies of the submissions
    std::map<std::string, Seconds> run_times;
    std::map<std::string, size_t> gangs;              // number of tasks of each gang
    std::map<std::string, uint32_t> services;         // number of replicas of each service
    std::set<std::string> single_zone;                // jobs whose tasks must run in one zone
    std::set<std::string> accepted;                   // jobs whose submission was confirmed
    std::map<std::string, Seconds> cancelled;         // when the cancellation was first confirmed to a user
    std::map<std::string, std::string> final_phases;  // as told to users
    std::map<std::string, std::set<uint32_t>> completed_tasks;
    std::set<std::string> done;  // jobs whose tasks have all completed
};

}  // namespace hareshore::test
