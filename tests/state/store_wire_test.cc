// The store's wire format: the bytes of requests, and the decoding of responses of every status and of
// malformed ones.
#include "state/store_wire.h"

#include <gtest/gtest.h>

#include "http/msgpack.h"

namespace hareshore {
namespace {

CallResult response_of(int status, std::string body = "") {
    return {status, true, false, std::move(body)};
}

// A value in the form in which it is stored.
std::string value_of(const std::string& text) {
    MsgpackWriter packer;
    packer.map(1).key("v").text(text);
    return packer.take();
}

std::string body_with_revision(uint64_t revision) {
    MsgpackWriter packer;
    packer.map(1).key("tide").count(revision);
    return packer.take();
}

// Bodies without anything that a decoder can use.
std::vector<std::string> malformed_bodies() {
    MsgpackWriter list;
    list.list(1).text("x");
    MsgpackWriter wrong_types;
    wrong_types.map(6).key("tide").text("431").key("stamp").text("412").key("rows").text("");
    wrong_types.key("has_next").count(1).key("mooring").text("7").key("news").null();
    std::string truncated = body_with_revision(300);
    truncated.pop_back();
    return {
        "", "\xc1", "plain text", truncated, body_with_revision(300) + "x", list.take(), wrong_types.take()};
}

TEST(StoreWire, RequestPaths) {
    EXPECT_EQ(get_path("j/job-1"), "/keys/j/job-1");
    EXPECT_EQ(list_path("j/", "", 200), "/keys?prefix=j/&page=200");
    EXPECT_EQ(list_path("j/", "j/job-1", 200), "/keys?prefix=j/&page=200&from=j/job-1");
    EXPECT_EQ(watch_path("j/", 431, 2.5), "/changes?prefix=j/&from=431&wait_ms=2500");
    EXPECT_EQ(transactions_path(), "/txn");
    EXPECT_EQ(leases_path(), "/leases");
    EXPECT_EQ(lease_path(7), "/leases/7");
    EXPECT_EQ(lease_renewal_path(7), "/leases/7/renew");
}

TEST(StoreWire, EncodesTransactionInOrder) {
    Transaction transaction;
    transaction.expect_absent("a").expect_revision("b", 412);
    transaction.put("a", value_of("x")).put("b", value_of("y"), 7).delete_key("c");
    MsgpackWriter expected;
    expected.map(2).key("when").list(2);
    expected.map(2).key("k").text("a").key("stamp").count(0);
    expected.map(2).key("k").text("b").key("stamp").count(412);
    expected.key("writes").list(3);
    expected.map(2).key("put").text("a").key("data").raw(value_of("x"));
    expected.map(3).key("put").text("b").key("data").raw(value_of("y")).key("mooring").count(7);
    expected.map(1).key("drop").text("c");
    EXPECT_EQ(encode_transaction(transaction), expected.take());
}

TEST(StoreWire, EncodesTransactionWithoutWrites) {
    Transaction transaction;
    transaction.expect_revision("a", 1);
    MsgpackWriter expected;
    expected.map(1).key("when").list(1).map(2).key("k").text("a").key("stamp").count(1);
    EXPECT_EQ(encode_transaction(transaction), expected.take());
}

TEST(StoreWire, EncodesLeaseTtlInMilliseconds) {
    MsgpackWriter expected;
    expected.map(1).key("ttl_ms").count(3000);
    EXPECT_EQ(encode_lease_request(3.0), expected.take());
}

TEST(StoreWire, MapsHttpStatuses) {
    EXPECT_EQ(decode_status(response_of(200)), StoreStatus::kOk);
    EXPECT_EQ(decode_status(response_of(404)), StoreStatus::kNotFound);
    EXPECT_EQ(decode_status(response_of(409)), StoreStatus::kConflict);
    EXPECT_EQ(decode_status(response_of(429)), StoreStatus::kRateLimited);
    EXPECT_EQ(decode_status(response_of(400)), StoreStatus::kInvalid);
    EXPECT_EQ(decode_status(response_of(503)), StoreStatus::kNotExecuted);
    EXPECT_EQ(decode_status(response_of(500)), StoreStatus::kUnknown);
    EXPECT_EQ(decode_status({0, false, false, ""}), StoreStatus::kNotExecuted) << "not sent";
    EXPECT_EQ(decode_status({0, true, false, ""}), StoreStatus::kUnknown) << "sent";
}

TEST(StoreWire, ResponsesThatShowStoreAvailable) {
    for (int status : {200, 404, 409}) EXPECT_TRUE(shows_store_available(response_of(status))) << status;
    for (int status : {0, 400, 410, 429, 500, 503})
        EXPECT_FALSE(shows_store_available(response_of(status))) << status;
    for (int status : {200, 410}) EXPECT_TRUE(watch_shows_store_available(response_of(status))) << status;
    for (int status : {0, 400, 404, 409, 429, 500, 503})
        EXPECT_FALSE(watch_shows_store_available(response_of(status))) << status;
    EXPECT_TRUE(watch_shows_store_available({0, true, true, ""}))
        << "the response is too large, but shows that the store is available";
}

TEST(StoreWire, GetDecodesEntry) {
    MsgpackWriter body;
    body.map(4).key("k").text("a").key("data").raw(value_of("x")).key("stamp").count(412);
    body.key("mooring").count(7);
    GetResult result = decode_get(response_of(200, body.take()), "a");
    ASSERT_EQ(result.status, StoreStatus::kOk);
    EXPECT_EQ(result.entry.key, "a");
    EXPECT_EQ(result.entry.mod_revision, 412U);
    EXPECT_EQ(result.entry.lease, std::optional<LeaseId>(7));
    EXPECT_EQ(result.entry.data, value_of("x"));
}

TEST(StoreWire, GetOfKeyWithoutLease) {
    for (bool zero : {false, true}) {
        MsgpackWriter body;
        body.map(zero ? 3 : 2).key("data").raw(value_of("x")).key("stamp").count(412);
        if (zero) body.key("mooring").count(0);
        GetResult result = decode_get(response_of(200, body.take()), "a");
        ASSERT_EQ(result.status, StoreStatus::kOk);
        EXPECT_EQ(result.entry.lease, std::nullopt);
    }
}

TEST(StoreWire, GetWithMalformedBodyIsUnknown) {
    for (const auto& body : malformed_bodies())
        EXPECT_EQ(decode_get(response_of(200, body), "a").status, StoreStatus::kUnknown);
    EXPECT_EQ(decode_get(response_of(404, body_with_revision(431)), "a").status, StoreStatus::kNotFound);
    EXPECT_EQ(decode_get(response_of(404, "not found"), "a").status, StoreStatus::kUnknown)
        << "without a valid body, the response may not be the store's";
    EXPECT_EQ(decode_get(response_of(503, ""), "a").status, StoreStatus::kNotExecuted);
}

TEST(StoreWire, ListDecodesPage) {
    MsgpackWriter body;
    body.map(3).key("rows").list(2);
    body.map(3).key("k").text("j/1").key("data").raw(value_of("x")).key("stamp").count(4);
    body.map(3).key("k").text("j/2").key("data").raw(value_of("y")).key("stamp").count(5);
    body.key("has_next").flag(true).key("tide").count(431);
    ListResult result = decode_list(response_of(200, body.take()));
    ASSERT_EQ(result.status, StoreStatus::kOk);
    EXPECT_TRUE(result.more);
    EXPECT_EQ(result.revision, 431U);
    ASSERT_EQ(result.entries.size(), 2U);
    EXPECT_EQ(result.entries[1].key, "j/2");
    EXPECT_EQ(result.entries[1].mod_revision, 5U);
    EXPECT_EQ(result.entries[1].data, value_of("y"));
    EXPECT_EQ(result.entries[1].lease, std::nullopt);
}

TEST(StoreWire, ListWithMalformedBodyIsUnknown) {
    for (const auto& body : malformed_bodies())
        EXPECT_EQ(decode_list(response_of(200, body)).status, StoreStatus::kUnknown);
    MsgpackWriter no_rows;
    no_rows.map(2).key("has_next").flag(false).key("tide").count(431);
    EXPECT_EQ(decode_list(response_of(200, no_rows.take())).status, StoreStatus::kUnknown);
    for (int status : {404, 409})
        EXPECT_EQ(decode_list(response_of(status, body_with_revision(1))).status, StoreStatus::kUnknown)
            << "not a status of a listing";
    EXPECT_EQ(decode_list(response_of(429)).status, StoreStatus::kRateLimited);
}

TEST(StoreWire, TransactionDecodesRevisionOrFailedKeys) {
    TransactionResult committed = decode_transaction(response_of(200, body_with_revision(432)));
    EXPECT_EQ(committed.status, StoreStatus::kOk);
    EXPECT_EQ(committed.revision, 432U);
    EXPECT_TRUE(committed.failed_keys.empty());

    MsgpackWriter body;
    body.map(2).key("failed").list(2).text("a").text("b").key("tide").count(431);
    TransactionResult conflict = decode_transaction(response_of(409, body.take()));
    EXPECT_EQ(conflict.status, StoreStatus::kConflict);
    EXPECT_EQ(conflict.failed_keys, (std::vector<std::string>{"a", "b"}));
}

TEST(StoreWire, TransactionWithMalformedBodyIsUnknown) {
    for (const auto& body : malformed_bodies())
        for (int status : {200, 409})
            EXPECT_EQ(decode_transaction(response_of(status, body)).status, StoreStatus::kUnknown) << status;
    EXPECT_EQ(decode_transaction(response_of(400)).status, StoreStatus::kInvalid);
    EXPECT_EQ(decode_transaction({0, true, false, ""}).status, StoreStatus::kUnknown);
    EXPECT_EQ(decode_transaction({0, false, false, ""}).status, StoreStatus::kNotExecuted);
}

TEST(StoreWire, DecodesLease) {
    MsgpackWriter body;
    body.map(1).key("mooring").count(7);
    LeaseResult granted = decode_lease(response_of(200, body.take()));
    EXPECT_EQ(granted.status, StoreStatus::kOk);
    EXPECT_EQ(granted.lease, 7U);
    for (const auto& malformed : malformed_bodies())
        EXPECT_EQ(decode_lease(response_of(200, malformed)).status, StoreStatus::kUnknown);
    EXPECT_EQ(decode_lease(response_of(503)).status, StoreStatus::kNotExecuted);
}

TEST(StoreWire, WatchDecodesPutsAndDeletions) {
    MsgpackWriter body;
    body.map(2).key("tide").count(433).key("news").list(2);
    body.map(3).key("put").text("j/9").key("data").raw(value_of("x")).key("stamp").count(433);
    body.map(2).key("drop").text("j/8").key("stamp").count(432);
    WatchResult result = decode_watch(response_of(200, body.take()));
    ASSERT_EQ(result.status, WatchStatus::kOk);
    EXPECT_EQ(result.revision, 433U);
    ASSERT_EQ(result.changes.size(), 2U);
    EXPECT_EQ(result.changes[0].key, "j/9");
    EXPECT_FALSE(result.changes[0].deleted);
    EXPECT_EQ(result.changes[0].mod_revision, 433U);
    EXPECT_EQ(result.changes[0].data, value_of("x"));
    EXPECT_EQ(result.changes[1].key, "j/8");
    EXPECT_TRUE(result.changes[1].deleted);
    EXPECT_EQ(result.changes[1].mod_revision, 432U);
    EXPECT_EQ(result.changes[1].data, "");
}

TEST(StoreWire, WatchWithoutChangesSucceeds) {
    WatchResult result = decode_watch(response_of(200, body_with_revision(433)));
    EXPECT_EQ(result.status, WatchStatus::kOk);
    EXPECT_TRUE(result.changes.empty());
}

TEST(StoreWire, CompactedOrOversizedWatchIsCompacted) {
    EXPECT_EQ(decode_watch(response_of(410)).status, WatchStatus::kCompacted);
    EXPECT_EQ(decode_watch({0, true, true, ""}).status, WatchStatus::kCompacted)
        << "the response is too large";
}

TEST(StoreWire, WatchWithoutUsableResponseFails) {
    for (const auto& body : malformed_bodies())
        EXPECT_EQ(decode_watch(response_of(200, body)).status, WatchStatus::kFailed);
    for (int status : {0, 400, 404, 409, 429, 500, 503})
        EXPECT_EQ(decode_watch(response_of(status, body_with_revision(433))).status, WatchStatus::kFailed)
            << status;
}

}  // namespace
}  // namespace hareshore
