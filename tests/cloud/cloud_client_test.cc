// The cloud client with fakes of the cloud.
#include "cloud/cloud_client.h"

#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/addresses.h"
#include "standins/await.h"
#include "standins/cloud.h"
#include "standins/unwind.h"

namespace hareshore {
namespace {

constexpr double kAmpleRate = 1000;  // requests per second

std::string machine_name(size_t number) {
    std::string digits = std::to_string(number);
    return "vm-" + std::string(6 - digits.size(), '0') + digits;
}

struct CloudClientTest : testing::Test {
    ~CloudClientTest() override {
        cloud.stop();
        test::unwind(loop);
    }

    FakeClock clock;
    Loop loop{clock};
    Address server_address = test::address(5, 7100);
    test::FakeCloud cloud{loop, server_address};
    CloudClient client{loop, server_address, kAmpleRate, 3};
};

// A cloud that sends the same response to every request.
struct ConstantCloud {
    ConstantCloud(Loop& loop, Address server_address, Response constant_response)
        : response(std::move(constant_response)),
          server(loop, server_address, 4, [this](const Request&) { return handle(); }) {}
    Task<Response> handle() {
        ++requests;
        co_return response;
    }

    Response response;
    int requests = 0;
    HttpServer server;
};

TEST_F(CloudClientTest, ReadsMachineTypes) {
    cloud.machine_types = {test::small_machine_type()};
    auto types = test::await(loop, client.machine_types());
    ASSERT_TRUE(types);
    ASSERT_EQ(types->size(), 1U);
    EXPECT_EQ(types->front().name, "g2");
    cloud.down = true;
    EXPECT_FALSE(test::await(loop, client.machine_types()));
}

TEST_F(CloudClientTest, ListsMachinesOfAllPages) {
    size_t number = 2 * constants::kMachineListPageSize + 1;
    for (size_t i = 0; i < number; ++i) cloud.machines[machine_name(i)] = {};
    auto machines = test::await(loop, client.list_machines());
    ASSERT_TRUE(machines);
    ASSERT_EQ(machines->size(), number);
    for (size_t i = 0; i < number; ++i) ASSERT_EQ((*machines)[i].name, machine_name(i));
    cloud.down = true;
    EXPECT_FALSE(test::await(loop, client.list_machines()));
}

TEST_F(CloudClientTest, PageWithoutProgressEndsListing) {
    MsgpackWriter page;
    page.map(2).key("hosts").list(1).map(1).key("ref").text("vm-1").key("has_next").flag(true);
    Address other_address = test::address(5, 7101);
    ConstantCloud repeating_cloud(loop, other_address, {200, page.take()});
    CloudClient other_client(loop, other_address, kAmpleRate, 3);
    EXPECT_TRUE(test::await(loop, other_client.list_machines()));
    EXPECT_EQ(repeating_cloud.requests, 2);
    repeating_cloud.server.stop();
    test::unwind(loop);
}

TEST_F(CloudClientTest, CreatesAndDeletesMachines) {
    const CreateMachinesRequest request{"key-1", "g2", "b", true, 2};
    EXPECT_EQ(test::await(loop, client.create_machines(request)).outcome, CreateOutcome::kNoCapacity);
    cloud.rent = [](const std::string& zone, size_t most) {
        return std::vector<std::string>(most, "vm-in-" + zone);
    };
    CreateMachinesResult created = test::await(loop, client.create_machines(request));
    EXPECT_EQ(created.outcome, CreateOutcome::kCreated);
    EXPECT_EQ(created.machines, (std::vector<std::string>{"vm-in-b", "vm-in-b"}));
    EXPECT_EQ(test::await(loop, client.delete_machines({"vm-1", "vm-2"})), DeleteOutcome::kDeleted);
    EXPECT_EQ(cloud.deleted, (std::vector<std::string>{"vm-1", "vm-2"}));
    cloud.down = true;
    EXPECT_EQ(test::await(loop, client.create_machines(request)).outcome, CreateOutcome::kNotExecuted);
    EXPECT_EQ(test::await(loop, client.delete_machines({"vm-3"})), DeleteOutcome::kNotExecuted);
}

TEST_F(CloudClientTest, RespectsItsShareOfRateLimit) {
    constexpr double kRate = 1;
    CloudClient limited_client(loop, server_address, kRate, 1);
    Seconds start = loop.now();
    for (int i = 0; i < 2; ++i) test::await(loop, limited_client.machine_types());
    EXPECT_EQ(loop.now(), start) << "the burst is two seconds' worth of requests";
    test::await(loop, limited_client.machine_types());
    EXPECT_NEAR(loop.now() - start, 1 / (kRate * constants::kCloudRateShare), 0.1);
}

TEST_F(CloudClientTest, WaitsAfterRateLimitResponse) {
    Address other_address = test::address(5, 7101);
    ConstantCloud refusing_cloud(loop, other_address, {429, ""});
    CloudClient limited_client(loop, other_address, 1, 1);
    Seconds start = loop.now();
    EXPECT_EQ(test::await(loop, limited_client.delete_machines({"vm-1"})), DeleteOutcome::kNotExecuted);
    EXPECT_EQ(loop.now(), start);
    EXPECT_EQ(test::await(loop, limited_client.delete_machines({"vm-1"})), DeleteOutcome::kNotExecuted);
    EXPECT_GE(loop.now() - start, 1) << "the rest of the burst is discarded";
    refusing_cloud.server.stop();
    test::unwind(loop);
}

}  // namespace
}  // namespace hareshore
