#include "users/record_reader.h"

#include <utility>

#include "base/constants.h"
#include "jobs/record.h"

namespace hareshore {

bool RecordReader::recently_rate_limited() const {
    return rate_limited_at_ && loop_.now() - *rate_limited_at_ < constants::kBatchReadsAfterRateLimit_s;
}

Task<GetResult> RecordReader::read(std::string job_id, Seconds deadline) {
    std::string key = live_key(job_id);
    if (!recently_rate_limited()) {
        GetResult result = co_await store_.get(key, deadline - loop_.now());
        if (result.status != StoreStatus::kRateLimited) co_return result;
        rate_limited_at_ = loop_.now();
    }
    co_return co_await read_from_listing(std::move(key), deadline);
}

Task<GetResult> RecordReader::read_from_listing(std::string key, Seconds deadline) {
    if (!pending_listing_) pending_listing_ = std::make_shared<Listing>(loop_);
    std::shared_ptr<Listing> listing = pending_listing_;
    listing->requested_keys.insert(key);
    if (!listing_in_progress_) {
        listing_in_progress_ = true;
        listing_tasks_.spawn(run_listings(), "record listings");
    }
    GetResult result;
    while (!listing->completed)
        if (co_await loop_.wait(listing->completion, deadline) == WakeReason::kTimeout) co_return result;
    result.status = listing->status;
    if (result.status != StoreStatus::kOk) co_return result;
    auto found = listing->found.find(key);
    if (found == listing->found.end()) {
        result.status = StoreStatus::kNotFound;
    } else {
        result.entry = found->second;
    }
    co_return result;
}

Task<void> RecordReader::run_listings() {
    while (pending_listing_) {
        if (last_listing_at_) {
            Seconds pause = *last_listing_at_ + constants::kJobListingInterval_s - loop_.now();
            if (pause > 0) co_await loop_.sleep(pause);
        }
        last_listing_at_ = loop_.now();
        std::shared_ptr<Listing> listing = std::exchange(pending_listing_, nullptr);
        co_await read_pages(*listing);
        listing->completed = true;
        listing->completion.notify();
    }
    listing_in_progress_ = false;
}

Task<void> RecordReader::read_pages(Listing& listing) {
    std::string last_key;
    while (true) {
        ListResult page = co_await store_.list(kLivePrefix, last_key, constants::kJobListingPageSize,
                                               constants::kStoreCallTimeout_s);
        listing.status = page.status;
        if (page.status != StoreStatus::kOk) co_return;
        for (Entry& entry : page.entries) {
            last_key = entry.key;
            if (listing.requested_keys.contains(entry.key)) listing.found[entry.key] = std::move(entry);
        }
        if (!page.more || page.entries.empty()) co_return;
    }
}

}  // namespace hareshore
