#include "base/ranges.h"

#include <charconv>
#include <iterator>

namespace hareshore {

Ranges Ranges::whole(uint32_t count) {
    Ranges ranges;
    if (count > 0) ranges.append(0, count - 1);
    return ranges;
}

std::optional<Ranges> Ranges::parse(std::string_view text, uint32_t limit) {
    Ranges ranges;
    const char* position = text.data();
    const char* end = position + text.size();
    uint64_t min_first = 0;  // the smallest number that may follow
    while (position != end) {
        uint32_t first = 0;
        auto parsed = std::from_chars(position, end, first);
        if (parsed.ec != std::errc{} || first < min_first) return std::nullopt;
        uint32_t last = first;
        position = parsed.ptr;
        if (position != end && *position == '-') {
            parsed = std::from_chars(position + 1, end, last);
            if (parsed.ec != std::errc{} || last < first) return std::nullopt;
            position = parsed.ptr;
        }
        if (last >= limit) return std::nullopt;
        ranges.append(first, last);
        min_first = uint64_t{last} + 2;  // adjacent ranges are written as one
        if (position != end) {
            if (*position != ',' || position + 1 == end) return std::nullopt;
            ++position;
        }
    }
    return ranges;
}

bool Ranges::has(uint32_t number) const {
    auto following = last_by_first_.upper_bound(number);
    return following != last_by_first_.begin() && std::prev(following)->second >= number;
}

bool Ranges::add(uint32_t number) {
    if (has(number)) return false;
    auto following = last_by_first_.upper_bound(number);
    uint32_t first = number;
    uint32_t last = number;
    if (following != last_by_first_.begin()) {
        auto preceding = std::prev(following);
        if (preceding->second + 1 == number) {
            first = preceding->first;
            last_by_first_.erase(preceding);
        }
    }
    if (following != last_by_first_.end() && following->first == number + 1) {
        last = following->second;
        last_by_first_.erase(following);
    }
    last_by_first_[first] = last;
    ++size_;
    return true;
}

bool Ranges::remove(uint32_t number) {
    auto following = last_by_first_.upper_bound(number);
    if (following == last_by_first_.begin()) return false;
    auto containing = std::prev(following);
    if (containing->second < number) return false;
    auto [first, last] = *containing;
    last_by_first_.erase(containing);
    if (first < number) last_by_first_[first] = number - 1;
    if (number < last) last_by_first_[number + 1] = last;
    --size_;
    return true;
}

void Ranges::append(uint32_t first, uint32_t last) {
    last_by_first_[first] = last;
    size_ += last - first + 1;
}

bool Ranges::covers(const Ranges& other) const {
    for (const auto& [first, last] : other.last_by_first_) {
        auto following = last_by_first_.upper_bound(first);
        if (following == last_by_first_.begin() || std::prev(following)->second < last) return false;
    }
    return true;
}

std::optional<uint32_t> Ranges::first() const {
    if (last_by_first_.empty()) return std::nullopt;
    return last_by_first_.begin()->first;
}

std::string Ranges::text() const {
    std::string text;
    for (auto [first, last] : last_by_first_) {
        if (!text.empty()) text += ',';
        text += std::to_string(first);
        if (last > first) text += '-' + std::to_string(last);
    }
    return text;
}

}  // namespace hareshore
