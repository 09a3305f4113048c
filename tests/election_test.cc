// Elections: what a candidate's transaction depends on.
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

// Between a candidate's look at the format of the records and its election a controller of a later version
// puts a newer format. The candidate must not win: what the records mean it does not know.
TEST(Election, ACandidateWhoseRecordFormatHasChangedMeanwhileDoesNotWin) {
    for (bool record_format_before : {false, true}) {
        Site s;
        auto put_record_format = [&](uint64_t mod_revision, uint64_t record_format) {
            Transaction t;
            t.expect(kRecordFormatKey, mod_revision).put(kRecordFormatKey, pack_record_format(record_format));
            EXPECT_EQ(s.state.apply(t.pack()).status, 200);
        };
        if (record_format_before) put_record_format(0, kNewestRecordFormat);
        int elections = 0;
        s.state.let_through = [&](const std::string& txn) {
            auto m = MsgpackDocument::parse(txn);
            if (m->root()["writes"].at(0)["put"].text_or("") == kLeaderKey && ++elections == 1)
                put_record_format(record_format_before ? s.state.rows.at(kRecordFormatKey).mod_revision : 0,
                                  kNewestRecordFormat + 1);
            return true;
        };
        s.start(0);
        ASSERT_TRUE(s.until([&] { return elections > 0; }));
        s.run(10);
        EXPECT_EQ(elections, 1) << "it does not stand again";
        EXPECT_EQ(s.leader(), -1);
        EXPECT_EQ(s.state.rows.count(kLeaderKey), 0u);
        EXPECT_EQ(s.state.rows.count(kTermKey), 0u) << "nor was its epoch begun";
    }
}
