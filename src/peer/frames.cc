#include "peer/frames.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstring>

#include "base/constants.h"

namespace hareshore::peer {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

std::string pack(Kind kind, uint32_t id, uint64_t incarnation, std::string_view payload) {
    Head h{kMagic,     kVersion, static_cast<uint16_t>(kind), id, static_cast<uint32_t>(payload.size()),
           incarnation};
    std::string s(reinterpret_cast<const char*>(&h), sizeof h);
    return s.append(payload);
}

std::string pack(Kind kind, uint32_t id, uint64_t incarnation, const Heartbeat& heartbeat) {
    return pack(kind, id, incarnation,
                std::string_view(reinterpret_cast<const char*>(&heartbeat), sizeof heartbeat));
}

std::optional<Frame> Reader::next() {
    if (bad_ || buffer_.size() < sizeof(Head)) return std::nullopt;
    Head h{};
    std::memcpy(&h, buffer_.data(), sizeof h);
    bool known = h.kind >= 1 && h.kind <= static_cast<uint16_t>(Kind::kCancellationNotice);
    if (h.magic != kMagic || h.version != kVersion || !known || h.length > constants::kPeerFrameLimit) {
        bad_ = true;
        return std::nullopt;
    }
    if (buffer_.size() < sizeof h + h.length) return std::nullopt;
    Frame f{static_cast<Kind>(h.kind), h.id, h.incarnation, buffer_.substr(sizeof h, h.length)};
    buffer_.erase(0, sizeof h + h.length);
    return f;
}

std::optional<Heartbeat> unpack_heartbeat(std::string_view payload) {
    if (payload.size() != sizeof(Heartbeat)) return std::nullopt;
    Heartbeat b{};
    std::memcpy(&b, payload.data(), sizeof b);
    return b;
}

namespace {

// What a label may take, with what stands behind it if it is that long.
constexpr size_t kLabelRoom = offsetof(Heartbeat, incarnation);
static_assert(kLabelRoom == 32);

}  // namespace

std::string label_of(const Heartbeat& heartbeat) {
    const char* label = reinterpret_cast<const char*>(&heartbeat);
    return {label, strnlen(label, extended(heartbeat) ? sizeof heartbeat.label : kLabelRoom)};
}

void set_label(Heartbeat& heartbeat, std::string_view label) {
    char* to = reinterpret_cast<char*>(&heartbeat);
    std::memset(to, 0, kLabelRoom);
    std::memcpy(to, label.data(), std::min(label.size(), kLabelRoom - 1));
}

bool extended(const Heartbeat& heartbeat) {
    return heartbeat.label[sizeof heartbeat.label - 1] == 0;
}

std::string pack(const CancellationNotice& notice) {
    CancellationNoticeHead h{notice.incarnation, notice.first, static_cast<uint16_t>(notice.jobs.size())};
    std::string s(reinterpret_cast<const char*>(&h), sizeof h);
    for (const auto& id : notice.jobs) s.append(1, static_cast<char>(id.size())).append(id);
    return s;
}

std::optional<CancellationNotice> unpack_cancellation_notice(std::string_view payload) {
    CancellationNoticeHead h{};
    if (payload.size() < sizeof h) return std::nullopt;
    std::memcpy(&h, payload.data(), sizeof h);
    payload.remove_prefix(sizeof h);
    CancellationNotice w{h.incarnation, h.first, {}};
    for (uint16_t i = 0; i < h.count; ++i) {
        if (payload.empty()) return std::nullopt;
        auto n = static_cast<uint8_t>(payload[0]);
        if (payload.size() < 1U + n) return std::nullopt;
        w.jobs.emplace_back(payload.substr(1, n));
        payload.remove_prefix(1U + n);
    }
    return payload.empty() ? std::optional(std::move(w)) : std::nullopt;
}

}  // namespace hareshore::peer
