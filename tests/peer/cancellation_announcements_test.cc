#include "peer/cancellation_announcements.h"

#include <gtest/gtest.h>

using namespace hareshore;

namespace {

constexpr uint64_t kIncarnation = 7;

}  // namespace

TEST(CancellationAnnouncements, NumberedInOrderOfConfirmation) {
    peer::CancellationAnnouncements announcements(kIncarnation);
    EXPECT_FALSE(announcements.notice_after(0));
    announcements.add("job-1");
    announcements.add("job-2");
    announcements.add("job-1");
    EXPECT_EQ(announcements.count(), 2u) << "a kept job is not added again";
    const auto all = announcements.notice_after(0);
    ASSERT_TRUE(all);
    EXPECT_EQ(all->incarnation, kIncarnation);
    EXPECT_EQ(all->first_index, 0u);
    EXPECT_EQ(all->jobs, (std::vector<std::string>{"job-1", "job-2"}));
    const auto last = announcements.notice_after(1);
    ASSERT_TRUE(last);
    EXPECT_EQ(last->first_index, 1u);
    EXPECT_EQ(last->jobs, std::vector<std::string>{"job-2"});
    EXPECT_FALSE(announcements.notice_after(2));
}

TEST(CancellationAnnouncements, OldestDroppedBeyondLimit) {
    peer::CancellationAnnouncements announcements(kIncarnation);
    for (int i = 0; i < 1030; ++i) announcements.add("job-" + std::to_string(i));
    EXPECT_EQ(announcements.count(), 1030u);
    const auto notice = announcements.notice_after(2);
    ASSERT_TRUE(notice);
    EXPECT_EQ(notice->first_index, 6u) << "tells the receiver that earlier ones are missing";
    EXPECT_EQ(notice->jobs.size(), 1024u);
    EXPECT_EQ(notice->jobs.front(), "job-6");
    announcements.add("job-0");
    EXPECT_EQ(announcements.count(), 1031u) << "a dropped job is announced again";
}
