// What this controller has answered about jobs, so that a later answer never takes an earlier one back.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>

#include "users/job_state.h"

namespace hareshore {

// A map of at most `capacity` entries by job id that drops the one inserted first.
template <class Value>
class FifoCache {
  public:
    explicit FifoCache(size_t capacity) : capacity_(capacity) {}

    // The entry of `id`; null if there is none. Valid until the next insertion.
    [[nodiscard]] const Value* find(const std::string& id) const {
        auto entry = entries_.find(id);
        return entry == entries_.end() ? nullptr : &entry->second;
    }
    // The entry of `id`, which is `initial` if there was none.
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

// Reads of the store may overlap, and a slow one may return a state from before one that was answered
// meanwhile.
class AnswerHistory {
  public:
    AnswerHistory();

    // Records that the job has ended. Its state is answered from memory from then on.
    void add_final(const std::string& id, const FinalRecord& final);
    // Records that a user was told the job's phase: it is accepted, and maybe cancelled.
    void add_answer(const std::string& id, JobPhase phase);

    // The record of an ended job; null if it is not in memory. Valid until the next addition.
    [[nodiscard]] const FinalRecord* final_record(const std::string& id) const { return finals_.find(id); }
    // `read`, or what was answered meanwhile if that is newer.
    [[nodiscard]] JobStateResult no_older_than_answered(const std::string& id, JobStateResult read) const;

  private:
    struct CallResult {
        bool cancelled = false;
    };

    FifoCache<FinalRecord> finals_;
    FifoCache<CallResult> answers_;
};

}  // namespace hareshore
