// Elections: what a candidate's transaction depends on, and that no fencing token is used twice.
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "state/store_wire.h"

using namespace hareshore;
using namespace hareshore::test;

// Between a candidate's look at the format of the records and its election a controller of a later version
// puts a newer format. The candidate must not win: what the records mean it does not know.
TEST(Election, ACandidateWhoseRecordFormatHasChangedMeanwhileDoesNotWin) {
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
        deployment.store.let_through = [&](const std::string& txn) {
            auto m = MsgpackDocument::parse(txn);
            if (m->root()["writes"].at(0)["put"].text_or("") == kLeaderKey && ++elections == 1)
                put_record_format(
                    record_format_before ? deployment.store.rows.at(kRecordFormatKey).mod_revision : 0,
                    kNewestRecordFormat + 1);
            return true;
        };
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return elections > 0; }));
        deployment.run(10);
        EXPECT_EQ(elections, 1) << "it does not stand again";
        EXPECT_EQ(deployment.leader(), -1);
        EXPECT_EQ(deployment.store.rows.count(kLeaderKey), 0U);
        EXPECT_EQ(deployment.store.rows.count(kTermKey), 0U) << "nor was its epoch begun";
    }
}

// A node that restarts finds its own last leadership in the store and ends it, rather than believing that
// it still leads or waiting for the lease. The epoch is never used again.
TEST(Election, ARestartDuringItsOwnTermTakesANewFencingToken) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    uint64_t fencing_token = deployment.node(0).election().fencing_token();
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }, 3))
        << "well before the lease ends";
    EXPECT_GT(deployment.node(0).election().fencing_token(), fencing_token);
}

// A process is killed while its election is on its way, is back at once, and the old transaction arrives
// in the midst of the new election, before or after it. One leads, in an epoch that nobody had.
TEST(Election, AProcessRestartedDuringItsElectionLeadsOnlyWithANewFencingToken) {
    for (bool late_first : {true, false}) {
        Deployment deployment;
        deployment.store.let_through = [&](const std::string& body) {
            return body.find("term") == std::string::npos || !deployment.store.held_transactions.empty();
        };
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return !deployment.store.held_transactions.empty(); }));
        std::string old = deployment.store.held_transactions.at(0);
        deployment.kill(0);
        if (late_first) {
            EXPECT_EQ(deployment.store.apply(old).status, 200);
        }
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }, 5));
        uint64_t fencing_token = deployment.node(0).election().fencing_token();
        EXPECT_EQ(fencing_token, late_first ? 2U : 1U) << "the old transaction took effect, or never will";
        EXPECT_NE(deployment.store.apply(old).status, 200) << "its conditions or its lease are gone";
        deployment.run(5);
        EXPECT_EQ(deployment.node(0).election().fencing_token(), fencing_token);
        EXPECT_EQ(deployment.leader(), 0);
    }
}
