#include "standins/records.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

#include "state/store_wire.h"

namespace hareshore::test {

std::string from_hex(std::string_view hex) {
    constexpr int kBase = 16;
    std::string bytes;
    for (size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, kBase));
    return bytes;
}

std::string to_hex(std::string_view bytes) {
    std::string hex;
    for (char byte : bytes) hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return hex;
}

void store_value(Deployment& deployment, const std::string& key, std::string value) {
    Transaction transaction;
    transaction.expect_absent(key).put(key, std::move(value));
    ASSERT_EQ(deployment.store.apply(encode_transaction(transaction)).status, 200);
}

void store_record(Deployment& deployment, const JobRecord& record) {
    store_value(deployment, live_key(record.spec.id), record.pack(1));
}

JobRecord stored_record(Deployment& deployment, const std::string& id) {
    auto record = JobRecord::unpack(deployment.store.rows.at(live_key(id)).data);
    EXPECT_TRUE(record) << id;
    return record.value_or(JobRecord{});
}

uint64_t stored_format(Deployment& deployment, const std::string& id) {
    return MsgpackDocument::parse(deployment.store.rows.at(live_key(id)).data)->root()["v"].count_or(0);
}

std::string machine_name(uint64_t number) {
    return fmt::format("vm-{:06}", number);
}

std::vector<FakeWorker> workers_of(const JobRecord& record) {
    std::map<std::string, FakeWorker> by_name;
    for (const auto& [task, placement] : record.live) {
        FakeWorker& worker = by_name[placement.machine];
        worker.name = placement.machine;
        worker.zone = placement.zone;
        worker.tasks.push_back(
            {{record.spec.id, task}, placement.attempt, TaskPhase::kRunning, ExitCause::kNone, false});
    }
    std::vector<FakeWorker> workers;
    workers.reserve(by_name.size());
    for (auto& [name, worker] : by_name) workers.push_back(std::move(worker));
    return workers;
}

}  // namespace hareshore::test
