// Leader election: the conditions of the election transaction, and fencing tokens that are never reused.
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "state/store_wire.h"

using namespace hareshore;
using namespace hareshore::test;

// A controller of a later version upgrades the record format after a candidate has read it and before the
// candidate's election transaction. The candidate must not win, since it cannot read the new format.
TEST(Election, CandidateDoesNotWinAfterConcurrentRecordFormatUpgrade) {
    for (bool record_format_before : {false, true}) {
        Deployment deployment;
        auto put_record_format = [&](uint64_t mod_revision, uint64_t record_format) {
            Transaction transaction;
            transaction.expect_revision(kRecordFormatKey, mod_revision)
                .put(kRecordFormatKey, pack_record_format(record_format));
            EXPECT_EQ(deployment.store.apply(encode_transaction(transaction)).status, 200);
        };
        if (record_format_before) put_record_format(0, kNewestRecordFormat);
        int elections = 0;
        deployment.store.transaction_filter = [&](const std::string& txn) {
            auto document = MsgpackDocument::parse(txn);
            if (document->root()["writes"].at(0)["put"].text_or("") == kLeaderKey && ++elections == 1)
                put_record_format(
                    record_format_before ? deployment.store.rows.at(kRecordFormatKey).mod_revision : 0,
                    kNewestRecordFormat + 1);
            return true;
        };
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return elections > 0; }));
        deployment.run(10);
        EXPECT_EQ(elections, 1) << "the candidate must not campaign again";
        EXPECT_EQ(deployment.leader(), -1);
        EXPECT_EQ(deployment.store.rows.count(kLeaderKey), 0U);
        EXPECT_EQ(deployment.store.rows.count(kTermKey), 0U) << "no term may have begun";
    }
}

// A restarted leader finds its own leadership key in the store. It must revoke the old lease at once, neither
// resuming the old term nor waiting for the lease to expire, and must get a new fencing token.
TEST(Election, RestartedLeaderGetsNewFencingToken) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    uint64_t fencing_token = deployment.node(0).election().fencing_token();
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }, 3))
        << "the restarted leader must not wait for its old lease to expire";
    EXPECT_GT(deployment.node(0).election().fencing_token(), fencing_token);
}

// A candidate is killed while its election transaction is in flight and restarts at once. The old transaction
// reaches the store before or after the new one. The candidate must lead with a fencing token that was never
// used.
TEST(Election, RestartedCandidateGetsNewFencingToken) {
    for (bool old_transaction_first : {true, false}) {
        Deployment deployment;
        deployment.store.transaction_filter = [&](const std::string& body) {
            return body.find("term") == std::string::npos || !deployment.store.held_transactions.empty();
        };
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return !deployment.store.held_transactions.empty(); }));
        std::string old_transaction = deployment.store.held_transactions.at(0);
        deployment.kill(0);
        if (old_transaction_first) {
            EXPECT_EQ(deployment.store.apply(old_transaction).status, 200);
        }
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }, 5));
        uint64_t fencing_token = deployment.node(0).election().fencing_token();
        EXPECT_EQ(fencing_token, old_transaction_first ? 2U : 1U)
            << "the token follows the old transaction's only if that was executed";
        EXPECT_NE(deployment.store.apply(old_transaction).status, 200)
            << "the old transaction must fail once the new election is over";
        deployment.run(5);
        EXPECT_EQ(deployment.node(0).election().fencing_token(), fencing_token);
        EXPECT_EQ(deployment.leader(), 0);
    }
}
