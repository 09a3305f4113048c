#include "base/ranges.h"

#include <charconv>

namespace hareshore {

Ranges Ranges::whole(uint32_t count) {
    Ranges r;
    if (count > 0) {
        r.map_[0] = count - 1;
        r.size_ = count;
    }
    return r;
}

std::optional<Ranges> Ranges::parse(std::string_view text, uint32_t limit) {
    Ranges r;
    const char* p = text.data();
    const char* end = p + text.size();
    uint64_t next = 0;  // smallest number that may follow
    while (p != end) {
        uint32_t a = 0;
        auto got = std::from_chars(p, end, a);
        if (got.ec != std::errc{} || a < next) return std::nullopt;
        uint32_t b = a;
        p = got.ptr;
        if (p != end && *p == '-') {
            got = std::from_chars(p + 1, end, b);
            if (got.ec != std::errc{} || b < a) return std::nullopt;
            p = got.ptr;
        }
        if (b >= limit) return std::nullopt;
        r.map_[a] = b;
        r.size_ += b - a + 1;
        next = uint64_t{b} + 2;  // adjacent ranges are written as one
        if (p != end) {
            if (*p != ',' || p + 1 == end) return std::nullopt;
            ++p;
        }
    }
    return r;
}

bool Ranges::has(uint32_t n) const {
    auto it = map_.upper_bound(n);
    return it != map_.begin() && (--it)->second >= n;
}

bool Ranges::add(uint32_t n) {
    if (has(n)) return false;
    auto next = map_.upper_bound(n);
    uint32_t a = n;
    uint32_t b = n;
    if (next != map_.begin()) {
        auto before = std::prev(next);
        if (before->second + 1 == n) {
            a = before->first;
            map_.erase(before);
        }
    }
    if (next != map_.end() && next->first == n + 1) {
        b = next->second;
        map_.erase(next);
    }
    map_[a] = b;
    ++size_;
    return true;
}

bool Ranges::remove(uint32_t n) {
    auto it = map_.upper_bound(n);
    if (it == map_.begin() || (--it)->second < n) return false;
    auto [a, b] = *it;
    map_.erase(it);
    if (a < n) map_[a] = n - 1;
    if (n < b) map_[n + 1] = b;
    --size_;
    return true;
}

void Ranges::append(uint32_t first, uint32_t last) {
    map_[first] = last;
    size_ += last - first + 1;
}

bool Ranges::covers(const Ranges& other) const {
    for (const auto& [first, last] : other.map_) {
        auto it = map_.upper_bound(first);
        if (it == map_.begin() || std::prev(it)->second < last) return false;
    }
    return true;
}

std::optional<uint32_t> Ranges::first() const {
    if (map_.empty()) return std::nullopt;
    return map_.begin()->first;
}

std::string Ranges::text() const {
    std::string s;
    for (auto [a, b] : map_) {
        if (!s.empty()) s += ',';
        s += std::to_string(a);
        if (b > a) s += '-' + std::to_string(b);
    }
    return s;
}

}  // namespace hareshore
