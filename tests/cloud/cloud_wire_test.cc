// The cloud's wire format: the bytes of requests, and the decoding of responses of every status and of
// malformed ones.
#include "cloud/cloud_wire.h"

#include <gtest/gtest.h>

#include "http/msgpack.h"

namespace hareshore {
namespace {

CallResult response_of(int status, std::string body = "") {
    return {status, true, false, std::move(body)};
}

// Bodies without anything that a decoder can use.
std::vector<std::string> malformed_bodies() {
    MsgpackWriter list;
    list.list(1).text("x");
    MsgpackWriter wrong_types;
    wrong_types.map(2).key("flavors").text("g8").key("hosts").count(1);
    std::string truncated = MsgpackWriter().map(1).key("hosts").list(0).take();
    truncated.pop_back();
    return {"", "\xc1", "plain text", truncated, list.take(), wrong_types.take()};
}

// One machine of a listing, with the required field only.
std::string machine_row(const std::string& name) {
    return MsgpackWriter().map(1).key("ref").text(name).take();
}

std::string machine_page(const std::vector<std::string>& rows, bool more) {
    MsgpackWriter packer;
    packer.map(2).key("hosts").list(rows.size());
    for (const auto& row : rows) packer.raw(row);
    return packer.key("has_next").flag(more).take();
}

TEST(CloudWire, RequestPaths) {
    EXPECT_EQ(machine_types_path(), "/flavors");
    EXPECT_EQ(machine_page_path(""), "/hosts?page=500");
    EXPECT_EQ(machine_page_path("vm-000230"), "/hosts?page=500&from=vm-000230");
    EXPECT_EQ(creation_path(), "/hosts");
    EXPECT_EQ(deletion_path(), "/hosts/delete");
}

TEST(CloudWire, MachineTypesRoundTrip) {
    std::vector<MachineType> written = {{"g8", 96, 8, 768, 200, 1.5, 12, 4.5, 45, {"a", "b"}},
                                        {"c1", 4, 0, 16, 20, 0.5, 0.2, 0.1, 30, {"a"}}};
    auto read = decode_machine_types(encode_machine_types(written));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 2U);
    const MachineType& type = read->front();
    EXPECT_EQ(type.name, "g8");
    EXPECT_EQ(type.cpus, 96);
    EXPECT_EQ(type.gpus, 8);
    EXPECT_EQ(type.memory_gb, 768);
    EXPECT_EQ(type.cache_gb, 200);
    EXPECT_EQ(type.fetch_gb_per_s, 1.5);
    EXPECT_EQ(type.price, 12);
    EXPECT_EQ(type.spot_price, 4.5);
    EXPECT_EQ(type.boot_s, 45);
    EXPECT_EQ(type.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(read->back().name, "c1");
}

TEST(CloudWire, StoredBytesOfMachineTypes) {
    EXPECT_EQ(kMachineTypesKey, "flavors");
    MsgpackWriter expected;
    expected.map(1).key("flavors").list(1);
    expected.map(10).key("name").text("g8").key("vcpus").number(96).key("cards").number(8);
    expected.key("memory_gb").number(768).key("cache_gb").number(200).key("fetch_gb_per_s").number(1.5);
    expected.key("price").number(12).key("low_price").number(4.5).key("boot_s").number(45);
    expected.key("coves").list(1).text("a");
    EXPECT_EQ(encode_machine_types({{"g8", 96, 8, 768, 200, 1.5, 12, 4.5, 45, {"a"}}}), expected.take());
}

TEST(CloudWire, MachineTypeDefaults) {
    MsgpackWriter packer;
    packer.map(1).key("flavors").list(1).map(2).key("name").text("g8").key("price").number(12);
    auto types = decode_machine_types(packer.take());
    ASSERT_TRUE(types);
    EXPECT_EQ(types->front().spot_price, 12) << "defaults to the on-demand price";
    EXPECT_EQ(types->front().boot_s, 60);
    EXPECT_TRUE(types->front().zones.empty());
}

TEST(CloudWire, RejectsMalformedMachineTypes) {
    for (const auto& body : malformed_bodies()) EXPECT_FALSE(decode_machine_types(body));
    EXPECT_FALSE(decode_machine_types(MsgpackWriter().map(1).key("flavors").list(0).take()))
        << "no machine type";
    EXPECT_FALSE(decode_machine_types(MsgpackWriter().map(1).key("flavors").list(1).map(0).take()))
        << "no name";
}

TEST(CloudWire, MachineTypeFitsTaskWithinCapacity) {
    MachineType type;
    type.cpus = 16;
    type.gpus = 2;
    type.memory_gb = 64;
    EXPECT_TRUE(type.fits(16, 2, 64));
    EXPECT_FALSE(type.fits(16.5, 2, 64));
    EXPECT_FALSE(type.fits(16, 3, 64));
    EXPECT_FALSE(type.fits(16, 2, 65));
}

TEST(CloudWire, DecodesMachinePage) {
    MsgpackWriter row;
    row.map(7).key("ref").text("vm-1").key("addr").text("10.1.0.1:9000").key("flavor").text("g8");
    row.key("cove").text("a").key("driftwood").flag(true).key("phase").text("running");
    row.key("age_s").number(61.5);
    auto page = decode_machine_page(response_of(200, machine_page({row.take(), machine_row("vm-2")}, true)));
    ASSERT_TRUE(page);
    EXPECT_TRUE(page->more);
    ASSERT_EQ(page->machines.size(), 2U);
    const ListedMachine& machine = page->machines[0];
    EXPECT_EQ(machine.name, "vm-1");
    EXPECT_EQ(machine.addr, "10.1.0.1:9000");
    EXPECT_EQ(machine.machine_type, "g8");
    EXPECT_EQ(machine.zone, "a");
    EXPECT_TRUE(machine.spot);
    EXPECT_EQ(machine.phase, MachinePhase::kRunning);
    EXPECT_EQ(machine.age_s, 61.5);
    EXPECT_EQ(page->machines[1].name, "vm-2");
    EXPECT_FALSE(page->machines[1].spot);
    EXPECT_EQ(page->machines[1].phase, MachinePhase::kBooting);
}

TEST(CloudWire, DecodesMachinePhases) {
    auto phase_of = [](const std::string& text) {
        std::string row = MsgpackWriter().map(2).key("ref").text("vm-1").key("phase").text(text).take();
        return decode_machine_page(response_of(200, machine_page({row}, false)))->machines.at(0).phase;
    };
    EXPECT_EQ(phase_of("booting"), MachinePhase::kBooting);
    EXPECT_EQ(phase_of("running"), MachinePhase::kRunning);
    EXPECT_EQ(phase_of("failed"), MachinePhase::kFailed);
    EXPECT_EQ(phase_of("of a later version"), MachinePhase::kBooting);
}

TEST(CloudWire, RejectsPageWithAnyInvalidMachine) {
    for (const auto& body : malformed_bodies()) EXPECT_FALSE(decode_machine_page(response_of(200, body)));
    std::string good = machine_row("vm-1");
    EXPECT_TRUE(decode_machine_page(response_of(200, machine_page({good}, false))));
    for (const char* name : {"", "vm 2"})
        EXPECT_FALSE(decode_machine_page(response_of(200, machine_page({good, machine_row(name)}, false))))
            << name;
    for (int status : {0, 400, 429, 500, 503})
        EXPECT_FALSE(decode_machine_page(response_of(status, machine_page({good}, false)))) << status;
}

TEST(CloudWire, EncodesCreateRequest) {
    MsgpackWriter expected;
    expected.map(5).key("claim").text("r-3-17").key("flavor").text("g8").key("cove").text("a");
    expected.key("driftwood").flag(true).key("number").count(12);
    EXPECT_EQ(encode_create_request({"r-3-17", "g8", "a", true, 12}), expected.take());
}

TEST(CloudWire, DecodesCreateOutcomes) {
    std::string machines = MsgpackWriter().map(1).key("hosts").list(2).text("vm-1").text("vm-2").take();
    CreateMachinesResult created = decode_create_response(response_of(200, machines));
    EXPECT_EQ(created.outcome, CreateOutcome::kCreated);
    EXPECT_EQ(created.machines, (std::vector<std::string>{"vm-1", "vm-2"}));

    auto outcome = [](const CallResult& response) { return decode_create_response(response).outcome; };
    std::string no_capacity = MsgpackWriter().map(1).key("error").text("no capacity").take();
    std::string other_error = MsgpackWriter().map(1).key("error").text("trouble").take();
    EXPECT_EQ(outcome(response_of(503, no_capacity)), CreateOutcome::kNoCapacity);
    EXPECT_EQ(outcome(response_of(503, other_error)), CreateOutcome::kNotExecuted);
    EXPECT_EQ(outcome(response_of(429)), CreateOutcome::kNotExecuted);
    EXPECT_EQ(outcome({0, false, false, ""}), CreateOutcome::kNotExecuted) << "not sent";
    EXPECT_EQ(outcome({0, true, false, ""}), CreateOutcome::kUnknown) << "sent";
    EXPECT_EQ(outcome(response_of(500, no_capacity)), CreateOutcome::kUnknown);
    for (const auto& body : malformed_bodies())
        EXPECT_EQ(outcome(response_of(200, body)), CreateOutcome::kUnknown)
            << "the names of the machines are unknown";
}

TEST(CloudWire, EncodesDeleteRequest) {
    EXPECT_EQ(encode_delete_request({"vm-1", "vm-2"}),
              MsgpackWriter().map(1).key("hosts").list(2).text("vm-1").text("vm-2").take());
}

TEST(CloudWire, DecodesDeleteOutcomes) {
    EXPECT_EQ(decode_delete_response(response_of(200)), DeleteOutcome::kDeleted);
    EXPECT_EQ(decode_delete_response(response_of(429)), DeleteOutcome::kNotExecuted);
    EXPECT_EQ(decode_delete_response(response_of(503)), DeleteOutcome::kNotExecuted);
    EXPECT_EQ(decode_delete_response(response_of(500)), DeleteOutcome::kUnknown);
    EXPECT_EQ(decode_delete_response({0, false, false, ""}), DeleteOutcome::kNotExecuted) << "not sent";
    EXPECT_EQ(decode_delete_response({0, true, false, ""}), DeleteOutcome::kUnknown) << "sent";
}

}  // namespace
}  // namespace hareshore
