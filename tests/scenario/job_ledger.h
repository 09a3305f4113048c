// The jobs of a scenario: what was submitted, what users were told of them, and what became of their tasks on
// the machines.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/clock.h"
#include "standins/job_bodies.h"

namespace hareshore::test {

// Jobs are named by their identifiers.
struct JobLedger {
    // Notes what a job is before it is submitted. Each of its tasks runs for `run_s`.
    void prepare(const std::string& id, uint32_t tasks, Seconds run_s, const JobFieldsChange& change = {});
    // A service whose replicas take no GPU, so that the team's limit is left to the other jobs.
    void prepare_service(const std::string& id, uint32_t replicas);
    // Checks a phase that a user was told, and keeps it if it is final.
    void check_answer(const std::string& id, const std::string& phase);
    // A task has run to its end.
    void complete_task(const std::string& id, uint32_t task);
    // Whether the job was cancelled or has run to its end.
    [[nodiscard]] bool over(const std::string& id) const;

    std::map<std::string, std::string> bodies;  // of the submissions
    std::map<std::string, Seconds> run_times;
    std::map<std::string, size_t> gangs;        // and their tasks
    std::map<std::string, uint32_t> services;   // and their replicas
    std::set<std::string> single_zone;          // those whose tasks must share a zone
    std::set<std::string> accepted;             // those whose submission was confirmed
    std::map<std::string, Seconds> cancelled;   // when a user was first told that the job is cancelled
    std::map<std::string, std::string> finals;  // the final phase that users were told
    std::map<std::string, std::set<uint32_t>> completed_tasks;
    std::set<std::string> done;  // those that have run to their end
};

}  // namespace hareshore::test
