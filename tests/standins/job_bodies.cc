#include "standins/job_bodies.h"

#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

std::string job_body(const std::string& id, const JobFieldsChange& change) {
    JobFields fields{
        {"ref", packed_text(id)},          {"jobclass", packed_text("c")},
        {"owner", packed_text("team")},    {"shape", packed_text("sweep")},
        {"rank", packed_text("standard")}, {"pieces", packed_number(1)},
        {"vcpus", packed_number(4)},       {"cards", packed_number(1)},
        {"memory_gb", packed_number(8)},   {"bundle", packed_text("img-1")},
        {"size_gb", packed_number(2)},     {"one_zone", packed_flag(false)},
        {"apart", packed_flag(false)},     {"driftwood", packed_flag(false)},
        {"expect_s", packed_number(60)},   {"snapshot_s", packed_number(10)},
        {"flush_s", packed_number(2)},
    };
    if (change) change(fields);
    MsgpackWriter packer;
    packer.map(fields.size());
    for (const auto& [name, value] : fields) packer.key(name).raw(value);
    return packer.take();
}

void set_tasks(JobFields& fields, uint64_t tasks) {
    fields["pieces"] = packed_count(tasks);
}

void make_gang(JobFields& fields) {
    fields["shape"] = packed_text("ensemble");
}

std::string service_body(const std::string& id, uint32_t replicas, double cpus, double gpus) {
    return job_body(id, [&](JobFields& fields) {
        fields["shape"] = packed_text("standing");
        fields["rank"] = packed_text("production");
        set_tasks(fields, replicas);
        fields["vcpus"] = packed_number(cpus);
        fields["cards"] = packed_number(gpus);
        for (const char* field : {"expect_s", "snapshot_s", "flush_s"}) fields[field] = packed_number(0);
    });
}

}  // namespace hareshore::test
