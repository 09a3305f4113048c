#include "scenario/job_ledger.h"

#include <gtest/gtest.h>

#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

void JobLedger::prepare(const std::string& id, uint32_t tasks, Seconds run_s, const JobFieldsChange& change) {
    run_times[id] = run_s;
    bodies[id] = job_body(id, [&](JobFields& fields) {
        set_tasks(fields, tasks);
        if (change) change(fields);
        if (fields["one_zone"] == packed_flag(true)) single_zone.insert(id);
        if (fields["shape"].find("ensemble") != std::string::npos) gangs[id] = tasks;
    });
}

void JobLedger::prepare_service(const std::string& id, uint32_t replicas) {
    constexpr Seconds kNever_s = 1e9;
    prepare(id, replicas, kNever_s, [](JobFields& fields) {
        fields["shape"] = packed_text("standing");
        for (const char* field : {"cards", "expect_s", "snapshot_s", "flush_s"})
            fields[field] = packed_number(0);
    });
    services[id] = replicas;
}

void JobLedger::check_answer(const std::string& id, const std::string& phase) {
    auto final_phase = finals.find(id);
    if (final_phase != finals.end()) {
        EXPECT_EQ(phase, final_phase->second) << id << " went back";
    }
    if (phase == "done" || phase == "withdrawn") finals[id] = phase;
    if (phase == "done") {
        EXPECT_TRUE(done.contains(id)) << id << " is not done";
    }
}

void JobLedger::complete_task(const std::string& id, uint32_t task) {
    completed_tasks[id].insert(task);
    if (gangs.contains(id)) done.insert(id);  // its tasks complete together
    auto submission = MsgpackDocument::parse(bodies[id]);
    if (completed_tasks[id].size() == submission->root()["pieces"].count_or(0)) done.insert(id);
}

bool JobLedger::over(const std::string& id) const {
    return cancelled.contains(id) || done.contains(id);
}

}  // namespace hareshore::test
