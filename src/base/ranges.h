// Sets of task numbers as sorted, disjoint ranges: the set of all tasks of a job of 100,000 takes a few
// bytes.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

// Two ranges never touch: adjacent ones are merged. Operations cost the logarithm of the number of ranges
// unless they say otherwise.
class Ranges {
  public:
    // The set of 0 to count - 1.
    [[nodiscard]] static Ranges whole(uint32_t count);
    // Parses what text() wrote; empty if the text has any other form or a number of `limit` or more.
    [[nodiscard]] static std::optional<Ranges> parse(std::string_view text, uint32_t limit);

    bool add(uint32_t number);     // false if it was in the set
    bool remove(uint32_t number);  // false if it was not in the set
    [[nodiscard]] bool has(uint32_t number) const;
    // Whether all of the other's numbers are in this set. Linear in the other's ranges.
    [[nodiscard]] bool covers(const Ranges& other) const;
    // The smallest number; empty if there is none.
    [[nodiscard]] std::optional<uint32_t> first() const;
    // How many numbers there are.
    [[nodiscard]] uint32_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    // The ranges in order, from first to last number.
    [[nodiscard]] const std::map<uint32_t, uint32_t>& all() const { return last_by_first_; }
    [[nodiscard]] size_t range_count() const { return last_by_first_.size(); }
    // Adds a range that begins behind all others and does not touch them. Not checked.
    void append(uint32_t first, uint32_t last);
    // "0-3,7". Linear.
    [[nodiscard]] std::string text() const;
    bool operator==(const Ranges&) const = default;

  private:
    std::map<uint32_t, uint32_t> last_by_first_;
    uint32_t size_ = 0;
};

}  // namespace hareshore
