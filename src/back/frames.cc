#include "back/frames.h"

#include <algorithm>
#include <bit>
#include <cstring>

#include "base/constants.h"

namespace hareshore::back {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

std::string pack(Kind kind, uint32_t id, uint64_t life, std::string_view payload) {
    Head h{kMagic, kVersion, static_cast<uint16_t>(kind), id, static_cast<uint32_t>(payload.size()), life};
    std::string s(reinterpret_cast<const char*>(&h), sizeof h);
    return s.append(payload);
}

std::string pack(Kind kind, uint32_t id, uint64_t life, const Beat& beat) {
    return pack(kind, id, life, std::string_view(reinterpret_cast<const char*>(&beat), sizeof beat));
}

std::optional<Frame> Reader::next() {
    if (bad_ || buffer_.size() < sizeof(Head)) return std::nullopt;
    Head h;
    std::memcpy(&h, buffer_.data(), sizeof h);
    bool known = h.kind >= 1 && h.kind <= 4;
    if (h.magic != kMagic || h.version != kVersion || !known || h.length > constants::kFrameLimit) {
        bad_ = true;
        return std::nullopt;
    }
    if (buffer_.size() < sizeof h + h.length) return std::nullopt;
    Frame f{static_cast<Kind>(h.kind), h.id, h.life, buffer_.substr(sizeof h, h.length)};
    buffer_.erase(0, sizeof h + h.length);
    return f;
}

std::optional<Beat> unpack_beat(std::string_view payload) {
    if (payload.size() != sizeof(Beat)) return std::nullopt;
    Beat b;
    std::memcpy(&b, payload.data(), sizeof b);
    return b;
}

std::string label_of(const Beat& beat) {
    return std::string(beat.label, strnlen(beat.label, sizeof beat.label));
}

void set_label(Beat& beat, std::string_view label) {
    std::memset(beat.label, 0, sizeof beat.label);
    std::memcpy(beat.label, label.data(), std::min(label.size(), sizeof beat.label - 1));
}

}  // namespace hareshore::back
