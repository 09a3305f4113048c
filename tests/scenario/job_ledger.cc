#include "scenario/job_ledger.h"

#include <gtest/gtest.h>

#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

void JobLedger::register_job(const std::string& id, uint32_t tasks, Seconds run_s,
                             const JobFieldsChange& change) {
    run_times[id] = run_s;
    bodies[id] = job_body(id, [&](JobFields& fields) {
        set_tasks(fields, tasks);
        if (change) change(fields);
        if (fields["one_zone"] == packed_flag(true)) single_zone.insert(id);
        if (fields["shape"].find("ensemble") != std::string::npos) gangs[id] = tasks;
    });
}

void JobLedger::register_service(const std::string& id, uint32_t replicas) {
    constexpr Seconds kEndless_s = 1e9;
    register_job(id, replicas, kEndless_s, [](JobFields& fields) {
        fields["shape"] = packed_text("standing");
        for (const char* field : {"cards", "expect_s", "snapshot_s", "flush_s"})
            fields[field] = packed_number(0);
    });
    services[id] = replicas;
}

void JobLedger::check_reported_phase(const std::string& id, const std::string& phase) {
    auto final_phase = final_phases.find(id);
    if (final_phase != final_phases.end()) {
        EXPECT_EQ(phase, final_phase->second) << id << " left its final phase";
    }
    if (phase == "done" || phase == "withdrawn") final_phases[id] = phase;
    if (phase == "done") {
        EXPECT_TRUE(done.contains(id)) << id << " is reported done before its tasks have completed";
    }
}

void JobLedger::complete_task(const std::string& id, uint32_t task) {
    completed_tasks[id].insert(task);
    if (gangs.contains(id)) done.insert(id);  // a gang's tasks complete together
    auto submission = MsgpackDocument::parse(bodies[id]);
    if (completed_tasks[id].size() == submission->root()["pieces"].count_or(0)) done.insert(id);
}

bool JobLedger::finished(const std::string& id) const {
    return cancelled.contains(id) || done.contains(id);
}

}  // namespace hareshore::test
