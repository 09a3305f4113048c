// Elections: what a candidate's transaction depends on.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

// Between a candidate's look at the format of the records and its election a controller of a later version
// puts a newer format. The candidate must not win: what the records mean it does not know.
TEST(Election, ACandidateWhoseRecordFormatHasChangedMeanwhileDoesNotWin) {
    for (bool record_format_before : {false, true}) {
        Deployment deployment;
        auto put_record_format = [&](uint64_t mod_revision, uint64_t record_format) {
            Transaction transaction;
            transaction.expect(kRecordFormatKey, mod_revision)
                .put(kRecordFormatKey, pack_record_format(record_format));
            EXPECT_EQ(deployment.store.apply(transaction.pack()).status, 200);
        };
        if (record_format_before) put_record_format(0, kNewestRecordFormat);
        int elections = 0;
        deployment.store.let_through = [&](const std::string& txn) {
            auto m = Message::parse(txn);
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
        EXPECT_EQ(deployment.store.rows.count(kLeaderKey), 0u);
        EXPECT_EQ(deployment.store.rows.count(kTermKey), 0u) << "nor was its epoch begun";
    }
}
