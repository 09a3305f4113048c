// The store client with a fake store.
#include "state/store_client.h"

#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/addresses.h"
#include "standins/await.h"
#include "standins/store.h"
#include "standins/unwind.h"

namespace hareshore {
namespace {

constexpr Seconds kTimeout_s = 1.5;

struct StoreClientTest : testing::Test {
    StoreClientTest() { store.listen_for(0, server_address); }
    ~StoreClientTest() override {
        store.stop();
        test::unwind(loop);
    }

    TransactionResult put(const std::string& key, const std::string& text) {
        Transaction transaction;
        transaction.put(key, MsgpackWriter().text(text).take());
        return test::await(loop, client.commit(std::move(transaction), kTimeout_s));
    }
    GetResult get(const std::string& key) { return test::await(loop, client.get(key, kTimeout_s)); }

    FakeClock clock;
    Loop loop{clock};
    Address server_address = test::address(5, 7000);
    test::FakeStore store{loop};
    StoreClient client{loop, server_address, constants::kResponseLimit};
};

TEST_F(StoreClientTest, ReadsCommittedValue) {
    TransactionResult committed = put("a", "x");
    ASSERT_EQ(committed.status, StoreStatus::kOk);
    GetResult read = get("a");
    ASSERT_EQ(read.status, StoreStatus::kOk);
    EXPECT_EQ(read.entry.key, "a");
    EXPECT_EQ(read.entry.mod_revision, committed.revision);
    EXPECT_EQ(read.entry.lease, std::nullopt);
    EXPECT_EQ(read.entry.data, MsgpackWriter().text("x").take());
    EXPECT_EQ(get("b").status, StoreStatus::kNotFound);
}

TEST_F(StoreClientTest, FailedConditionPreventsAllWrites) {
    uint64_t revision = put("a", "x").revision;
    Transaction transaction;
    transaction.expect_absent("a").expect_revision("b", kAbsentRevision).put("b", store.rows["a"].data);
    TransactionResult conflict = test::await(loop, client.commit(std::move(transaction), kTimeout_s));
    EXPECT_EQ(conflict.status, StoreStatus::kConflict);
    EXPECT_EQ(conflict.failed_keys, std::vector<std::string>{"a"});
    EXPECT_EQ(get("b").status, StoreStatus::kNotFound);

    Transaction deletion;
    deletion.expect_revision("a", revision).delete_key("a");
    EXPECT_EQ(test::await(loop, client.commit(std::move(deletion), kTimeout_s)).status, StoreStatus::kOk);
    EXPECT_EQ(get("a").status, StoreStatus::kNotFound);
}

TEST_F(StoreClientTest, ListsPrefixInPages) {
    for (const char* key : {"j/1", "j/2", "j/3", "k/1"}) put(key, "x");
    store.list_page_size = 2;  // The fake store ignores the requested page size and uses this one.
    ListResult first = test::await(loop, client.list("j/", "", 2, kTimeout_s));
    ASSERT_EQ(first.status, StoreStatus::kOk);
    ASSERT_EQ(first.entries.size(), 2U);
    EXPECT_TRUE(first.more);
    ListResult second = test::await(loop, client.list("j/", first.entries.back().key, 2, kTimeout_s));
    ASSERT_EQ(second.entries.size(), 1U);
    EXPECT_EQ(second.entries[0].key, "j/3");
    EXPECT_FALSE(second.more);
    EXPECT_EQ(second.revision, store.revision);
}

TEST_F(StoreClientTest, RevokedLeaseDeletesItsKeys) {
    LeaseResult granted = test::await(loop, client.grant_lease(3, kTimeout_s));
    ASSERT_EQ(granted.status, StoreStatus::kOk);
    Transaction transaction;
    transaction.put("a", MsgpackWriter().text("x").take(), granted.lease);
    ASSERT_EQ(test::await(loop, client.commit(std::move(transaction), kTimeout_s)).status, StoreStatus::kOk);
    EXPECT_EQ(get("a").entry.lease, std::optional<LeaseId>(granted.lease));
    EXPECT_EQ(test::await(loop, client.renew_lease(granted.lease, kTimeout_s)), StoreStatus::kOk);
    EXPECT_EQ(test::await(loop, client.revoke_lease(granted.lease, kTimeout_s)), StoreStatus::kOk);
    EXPECT_EQ(get("a").status, StoreStatus::kNotFound);
    EXPECT_EQ(test::await(loop, client.renew_lease(granted.lease, kTimeout_s)), StoreStatus::kNotFound);
}

TEST_F(StoreClientTest, WatchReturnsChangesAfterRevision) {
    uint64_t revision = put("j/1", "x").revision;
    put("j/2", "y");
    put("k/1", "z");
    WatchResult changes = test::await(loop, client.watch("j/", revision, 1));
    ASSERT_EQ(changes.status, WatchStatus::kOk);
    ASSERT_EQ(changes.changes.size(), 1U);
    EXPECT_EQ(changes.changes[0].key, "j/2");
    EXPECT_EQ(changes.revision, store.revision);

    Seconds start = loop.now();
    WatchResult none = test::await(loop, client.watch("j/", changes.revision, 1));
    EXPECT_EQ(none.status, WatchStatus::kOk);
    EXPECT_TRUE(none.changes.empty());
    EXPECT_GE(loop.now() - start, 1) << "the watch waits for changes";

    store.compacted_revision = store.revision;
    EXPECT_EQ(test::await(loop, client.watch("j/", revision, 1)).status, WatchStatus::kCompacted);
}

TEST_F(StoreClientTest, RecordsLastContact) {
    EXPECT_EQ(client.last_contact(), std::nullopt);
    store.down = true;
    EXPECT_EQ(get("a").status, StoreStatus::kNotExecuted);
    EXPECT_EQ(client.last_contact(), std::nullopt) << "a refusal is no contact";
    store.down = false;
    get("a");
    EXPECT_EQ(client.last_contact(), loop.now()) << "a response that the key does not exist is a contact";
    clock.advance(5);
    test::await(loop, client.watch("a", store.revision, 1));
    EXPECT_EQ(client.last_contact(), loop.now());
}

TEST_F(StoreClientTest, DistinguishesUnsentFromUnansweredRequests) {
    StoreClient unreachable_client(loop, test::address(5, 7001), constants::kResponseLimit);
    EXPECT_EQ(test::await(loop, unreachable_client.get("a", kTimeout_s)).status, StoreStatus::kNotExecuted);
    store.unresponsive = true;
    EXPECT_EQ(put("a", "x").status, StoreStatus::kUnknown);
}

TEST_F(StoreClientTest, OversizedResponseIsDiscarded) {
    uint64_t revision = store.revision;
    put("a", std::string(4096, 'x'));
    StoreClient limited(loop, server_address, 1024);
    EXPECT_EQ(test::await(loop, limited.list("a", "", 10, kTimeout_s)).status, StoreStatus::kUnknown);
    EXPECT_EQ(test::await(loop, limited.watch("a", revision, 1)).status, WatchStatus::kCompacted)
        << "a repeated watch would get the same oversized response";
}

}  // namespace
}  // namespace hareshore
