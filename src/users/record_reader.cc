#include "users/record_reader.h"

#include <utility>

#include "base/constants.h"
#include "jobs/record.h"

namespace hareshore {

bool RecordReader::rate_exceeded_lately() const {
    return rate_exceeded_at_ >= 0 && loop_.now() - rate_exceeded_at_ < constants::kBatchReadsAfterRateLimit_s;
}

Task<GetResult> RecordReader::read(std::string job_id, Seconds until) {
    std::string key = live_key(job_id);
    if (!rate_exceeded_lately()) {
        GetResult result = co_await state_.get(key, until - loop_.now());
        if (result.status != StoreStatus::kRateLimited) co_return result;
        rate_exceeded_at_ = loop_.now();
    }
    co_return co_await read_from_listing(std::move(key), until);
}

Task<GetResult> RecordReader::read_from_listing(std::string key, Seconds until) {
    if (!next_) next_ = std::make_shared<Listing>(loop_);
    std::shared_ptr<Listing> listing = next_;
    listing->wanted.insert(key);
    if (!running_) {
        running_ = true;
        scope_.spawn(run_listings(), "record listings");
    }
    GetResult result;
    while (!listing->is_done)
        if (co_await loop_.wait(listing->done, until) == WakeReason::kTimeout) co_return result;
    result.status = listing->status;
    if (result.status != StoreStatus::kOk) co_return result;
    auto found = listing->found.find(key);
    if (found == listing->found.end())
        result.status = StoreStatus::kNotFound;
    else
        result.entry = found->second;
    co_return result;
}

Task<void> RecordReader::run_listings() {
    while (next_) {
        Seconds earliest = last_listing_at_ + constants::kJobListingInterval_s;
        if (last_listing_at_ >= 0 && earliest > loop_.now()) co_await loop_.sleep(earliest - loop_.now());
        last_listing_at_ = loop_.now();
        std::shared_ptr<Listing> listing = std::exchange(next_, nullptr);
        co_await run(*listing);
        listing->is_done = true;
        listing->done.notify();
    }
    running_ = false;
}

Task<void> RecordReader::run(Listing& listing) {
    std::string from;
    while (true) {
        ListResult page = co_await state_.list(kLivePrefix, from, constants::kJobListingPageSize,
                                               constants::kStoreCallTimeout_s);
        listing.status = page.status;
        if (page.status != StoreStatus::kOk) co_return;
        for (Entry& entry : page.entries) {
            from = entry.key;
            if (listing.wanted.contains(entry.key)) listing.found[entry.key] = std::move(entry);
        }
        if (!page.more || page.entries.empty()) co_return;
    }
}

}  // namespace hareshore
