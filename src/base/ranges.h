// Sets of task numbers as sorted, disjoint ranges: a job of 100,000 tasks costs a few bytes.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

class Ranges {
  public:
    static Ranges whole(uint32_t count);
    // Reads what text() wrote; nothing if the text is not in that format or exceeds `limit` numbers.
    static std::optional<Ranges> parse(std::string_view text, uint32_t limit);

    bool add(uint32_t n);     // true if n was not in the set
    bool remove(uint32_t n);  // true if n was in the set
    bool has(uint32_t n) const;
    bool covers(const Ranges& other) const;  // has all of the other's numbers
    std::optional<uint32_t> first() const;
    uint32_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    // The ranges themselves, first to last number, in order.
    const std::map<uint32_t, uint32_t>& all() const { return map_; }
    // Adds a range that begins behind all others and does not touch them.
    void append(uint32_t first, uint32_t last);
    size_t range_count() const { return map_.size(); }
    std::string text() const;  // "0-3,7"
    bool operator==(const Ranges&) const = default;

  private:
    std::map<uint32_t, uint32_t> map_;  // first -> last
    uint32_t size_ = 0;
};

}  // namespace hareshore
