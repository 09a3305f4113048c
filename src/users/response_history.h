// What this controller's responses have said about jobs, so that users' reads are monotonic: a later response
// never contradicts an earlier one.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>

#include "users/job_state.h"

namespace hareshore {

// A map by job id of at most `capacity` entries; when full, it evicts the oldest insertion.
template <class Value>
class FifoCache {
  public:
    explicit FifoCache(size_t capacity) : capacity_(capacity) {}

    // The entry of `id`; null if there is none. Valid until the next insertion.
    [[nodiscard]] const Value* find(const std::string& id) const {
        auto entry = entries_.find(id);
        return entry == entries_.end() ? nullptr : &entry->second;
    }
    // The entry of `id`, inserted as `initial` if there is none.
    Value& insert(const std::string& id, const Value& initial) {
        auto [entry, inserted] = entries_.try_emplace(id, initial);
        if (!inserted) return entry->second;
        order_.push_back(id);
        if (order_.size() > capacity_) {
            entries_.erase(order_.front());
            order_.pop_front();
        }
        return entry->second;
    }

  private:
    size_t capacity_;
    std::unordered_map<std::string, Value> entries_;
    std::deque<std::string> order_;  // ids, in the order of insertion
};

// Keeps reads monotonic although reads of the store overlap: a slow read may return an older state than one
// that a response has contained in the meantime.
class ResponseHistory {
  public:
    ResponseHistory();

    // Records that the job has ended. Later reads of its state are served from memory.
    void add_final(const std::string& id, const FinalRecord& final);
    // Records that a response contains the phase of the job, which is thus accepted and possibly cancelled.
    void add_response(const std::string& id, JobPhase phase);

    // The record of an ended job; null if it is not in memory. Valid until the next addition.
    [[nodiscard]] const FinalRecord* final_record(const std::string& id) const { return finals_.find(id); }
    // `read`, or the state that a response has contained in the meantime if that is newer.
    [[nodiscard]] JobStateResult ensure_monotonic(const std::string& id, JobStateResult read) const;

  private:
    struct SentResponse {
        bool cancelled = false;
    };

    FifoCache<FinalRecord> finals_;
    FifoCache<SentResponse> responses_;
};

}  // namespace hareshore
