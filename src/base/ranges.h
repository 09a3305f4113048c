// Sets of task numbers as sorted, disjoint ranges: the set of all 100,000 tasks of a job takes a few bytes.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

// Adjacent ranges are merged. Operations are logarithmic in the number of ranges unless stated otherwise.
class Ranges {
  public:
    // The set of the numbers from 0 to count - 1.
    [[nodiscard]] static Ranges whole(uint32_t count);
    // Parses the result of text(). Empty if the text has any other form or contains a number >= `limit`.
    [[nodiscard]] static std::optional<Ranges> parse(std::string_view text, uint32_t limit);

    bool add(uint32_t number);     // false if already in the set
    bool remove(uint32_t number);  // false if not in the set
    [[nodiscard]] bool has(uint32_t number) const;
    // Whether this set contains all numbers of `other`. Linear in the number of ranges of `other`.
    [[nodiscard]] bool covers(const Ranges& other) const;
    // The smallest number; empty if the set is empty.
    [[nodiscard]] std::optional<uint32_t> first() const;
    [[nodiscard]] uint32_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    // The ranges in ascending order, as a map from first to last number.
    [[nodiscard]] const std::map<uint32_t, uint32_t>& all() const { return last_by_first_; }
    [[nodiscard]] size_t range_count() const { return last_by_first_.size(); }
    // Adds a range that begins after all others and is not adjacent to them. Unchecked.
    void append(uint32_t first, uint32_t last);
    // The text form, such as "0-3,7". Linear.
    [[nodiscard]] std::string text() const;
    bool operator==(const Ranges&) const = default;

  private:
    std::map<uint32_t, uint32_t> last_by_first_;
    uint32_t size_ = 0;
};

}  // namespace hareshore
