// The cloud's client against stand-ins for the cloud.
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

std::string name_of(size_t number) {
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
    Address at = test::address(5, 7100);
    test::FakeCloud cloud{loop, at};
    CloudClient client{loop, at, kAmpleRate, 3};
};

// A cloud that answers every request with the same.
struct ConstantCloud {
    ConstantCloud(Loop& loop, Address at, Response answer)
        : response(std::move(answer)), server(loop, at, 4, [this](const Request&) { return handle(); }) {}
    Task<Response> handle() {
        ++requests;
        co_return response;
    }

    Response response;
    int requests = 0;
    HttpServer server;
};

TEST_F(CloudClientTest, ReadsTheMachineTypes) {
    cloud.machine_types = {test::small_machine_type()};
    auto types = test::await(loop, client.machine_types());
    ASSERT_TRUE(types);
    ASSERT_EQ(types->size(), 1U);
    EXPECT_EQ(types->front().name, "g2");
    cloud.down = true;
    EXPECT_FALSE(test::await(loop, client.machine_types()));
}

TEST_F(CloudClientTest, ListsTheMachinesOfAllPages) {
    size_t number = 2 * constants::kMachineListPageSize + 1;
    for (size_t i = 0; i < number; ++i) cloud.machines[name_of(i)] = {};
    auto machines = test::await(loop, client.list_machines());
    ASSERT_TRUE(machines);
    ASSERT_EQ(machines->size(), number);
    for (size_t i = 0; i < number; ++i) ASSERT_EQ((*machines)[i].name, name_of(i));
    cloud.down = true;
    EXPECT_FALSE(test::await(loop, client.list_machines()));
}

TEST_F(CloudClientTest, APageThatLeadsNoFurtherEndsTheList) {
    MsgpackWriter page;
    page.map(2).key("hosts").list(1).map(1).key("ref").text("vm-1").key("has_next").flag(true);
    Address there = test::address(5, 7101);
    ConstantCloud looping(loop, there, {200, page.take()});
    CloudClient to_looping(loop, there, kAmpleRate, 3);
    EXPECT_TRUE(test::await(loop, to_looping.list_machines()));
    EXPECT_EQ(looping.requests, 2);
    looping.server.stop();
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

TEST_F(CloudClientTest, KeepsToItsShareOfTheRate) {
    constexpr double kRate = 1;
    CloudClient slow(loop, at, kRate, 1);
    Seconds began = loop.now();
    for (int i = 0; i < 2; ++i) test::await(loop, slow.machine_types());
    EXPECT_EQ(loop.now(), began) << "a burst of two seconds' worth";
    test::await(loop, slow.machine_types());
    EXPECT_NEAR(loop.now() - began, 1 / (kRate * constants::kCloudRateShare), 0.1);
}

TEST_F(CloudClientTest, WaitsAfterTheRateWasExceeded) {
    Address there = test::address(5, 7101);
    ConstantCloud refusing(loop, there, {429, ""});
    CloudClient refused(loop, there, 1, 1);
    Seconds began = loop.now();
    EXPECT_EQ(test::await(loop, refused.delete_machines({"vm-1"})), DeleteOutcome::kNotExecuted);
    EXPECT_EQ(loop.now(), began);
    EXPECT_EQ(test::await(loop, refused.delete_machines({"vm-1"})), DeleteOutcome::kNotExecuted);
    EXPECT_GE(loop.now() - began, 1) << "what was left of the burst does not count";
    refusing.server.stop();
    test::unwind(loop);
}

}  // namespace
}  // namespace hareshore
