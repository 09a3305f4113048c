#include "standins/production_records.h"

#include "standins/records.h"

namespace hareshore::test {

JobRecord production_record() {
    JobRecord record;
    record.spec.id = "job-000412";
    record.spec.job_class = "train";
    record.spec.team = "vision";
    record.spec.priority = PriorityClass::kHigh;
    record.spec.tasks = 16;
    record.spec.cpus = 8;
    record.spec.gpus = 1;
    record.spec.memory_gb = 64;
    record.spec.image = "img-07";
    record.spec.image_gb = 6.2;
    record.spec.machine_types = {"g8", "g2"};
    record.spec.zone = "zone a";
    record.spec.single_zone = true;
    record.spec.spot = true;
    record.spec.estimate_s = 240;
    record.spec.checkpoint_s = 30;
    record.spec.save_s = 4;
    record.spec.due_s = 900;
    record.accepted_wall = {1796181234.125};
    for (uint32_t n : {0U, 1U, 2U, 5U, 9U, 10U}) record.done.add(n);
    record.next_attempt = 21;
    record.live[3] = {8, "vm-000003", "zone a"};
    record.live[4] = {20, "vm-000231", "zone a"};
    return record;
}

JobRecord large_record(const std::string& id, uint32_t tasks, uint32_t machines) {
    JobRecord record = production_record();
    record.spec.id = id;
    record.spec.team = "team";
    record.spec.zone = "";
    record.spec.single_zone = false;
    record.spec.machine_types = {};
    record.spec.cpus = record.spec.memory_gb = 0.01;
    record.spec.gpus = 0;
    record.spec.tasks = tasks;
    record.done = {};
    record.live.clear();
    record.next_attempt = tasks + 1;
    for (uint32_t n = 0; n < tasks; ++n)
        record.live[n] = {n + 1, machine_name(231 + n % machines), n % machines % 2 ? "b" : "a"};
    return record;
}

}  // namespace hareshore::test
