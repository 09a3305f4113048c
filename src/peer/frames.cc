#include "peer/frames.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstring>

#include "base/constants.h"

namespace hareshore::peer {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

namespace {

// Size of the label, with its terminating zero, if it extends over the extension fields.
constexpr size_t kMaxLabelFieldBytes = offsetof(ControllerHeartbeat, incarnation);
static_assert(kMaxLabelFieldBytes == 32);

// A wire layout as raw bytes.
template <class Layout>
std::string_view as_bytes(const Layout& layout) {
    return {reinterpret_cast<const char*>(&layout), sizeof layout};
}

// Reads a wire layout and removes it from the front of `bytes`; nullopt if there are too few bytes.
template <class Layout>
std::optional<Layout> read_layout(std::string_view& bytes) {
    if (bytes.size() < sizeof(Layout)) return std::nullopt;
    Layout layout{};
    std::memcpy(&layout, bytes.data(), sizeof layout);
    bytes.remove_prefix(sizeof layout);
    return layout;
}

// Reads a string with a one-byte length prefix and removes it from the front of `bytes`; nullopt if there are
// too few bytes.
std::optional<std::string_view> read_string(std::string_view& bytes) {
    if (bytes.empty()) return std::nullopt;
    const size_t length = static_cast<uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    if (bytes.size() < length) return std::nullopt;
    const std::string_view text = bytes.substr(0, length);
    bytes.remove_prefix(length);
    return text;
}

bool is_valid(const FrameHeader& header) {
    const bool known_kind = header.kind >= static_cast<uint16_t>(FrameKind::kHeartbeat) &&
                            header.kind <= static_cast<uint16_t>(FrameKind::kCancellationNotice);
    return header.magic == kMagic && header.version == kVersion && known_kind &&
           header.length <= constants::kPeerFrameLimit;
}

}  // namespace

std::string encode_frame(FrameKind kind, uint32_t id, uint64_t incarnation, std::string_view payload) {
    const FrameHeader header{
        kMagic,     kVersion, static_cast<uint16_t>(kind), id, static_cast<uint32_t>(payload.size()),
        incarnation};
    std::string frame(as_bytes(header));
    return frame.append(payload);
}

std::string encode_frame(FrameKind kind, uint32_t id, uint64_t incarnation,
                         const ControllerHeartbeat& heartbeat) {
    return encode_frame(kind, id, incarnation, as_bytes(heartbeat));
}

std::optional<Frame> FrameReader::next() {
    if (malformed_) return std::nullopt;
    std::string_view bytes = buffer_;
    const auto header = read_layout<FrameHeader>(bytes);
    if (!header) return std::nullopt;
    if (!is_valid(*header)) {
        malformed_ = true;
        return std::nullopt;
    }
    if (bytes.size() < header->length) return std::nullopt;
    Frame frame{static_cast<FrameKind>(header->kind), header->id, header->incarnation,
                std::string(bytes.substr(0, header->length))};
    buffer_.erase(0, sizeof *header + header->length);
    return frame;
}

std::optional<ControllerHeartbeat> decode_controller_heartbeat(std::string_view payload) {
    if (payload.size() != sizeof(ControllerHeartbeat)) return std::nullopt;
    return read_layout<ControllerHeartbeat>(payload);
}

std::string label_of(const ControllerHeartbeat& heartbeat) {
    const char* label = as_bytes(heartbeat).data();
    return {label, strnlen(label, has_extension(heartbeat) ? sizeof heartbeat.label : kMaxLabelFieldBytes)};
}

void set_label(ControllerHeartbeat& heartbeat, std::string_view label) {
    // Writes through a pointer to the whole struct because a long label extends into the extension fields.
    char* label_field = reinterpret_cast<char*>(&heartbeat);
    std::memset(label_field, 0, kMaxLabelFieldBytes);
    std::memcpy(label_field, label.data(), std::min(label.size(), kMaxLabelFieldBytes - 1));
}

bool has_extension(const ControllerHeartbeat& heartbeat) {
    return heartbeat.label[sizeof heartbeat.label - 1] == 0;
}

bool announces_cancellations(const ControllerHeartbeat& heartbeat) {
    return has_extension(heartbeat) && heartbeat.record_format >= kAnnouncedRecordFormat;
}

std::string encode_cancellation_notice(const CancellationNotice& notice) {
    const CancellationNoticeHeader header{notice.incarnation, notice.first_index,
                                          static_cast<uint16_t>(notice.jobs.size())};
    std::string payload(as_bytes(header));
    for (const auto& job : notice.jobs) payload.append(1, static_cast<char>(job.size())).append(job);
    return payload;
}

std::optional<CancellationNotice> decode_cancellation_notice(std::string_view payload) {
    const auto header = read_layout<CancellationNoticeHeader>(payload);
    if (!header) return std::nullopt;
    CancellationNotice notice{header->incarnation, header->first_index, {}};
    for (uint16_t i = 0; i < header->count; ++i) {
        const auto job = read_string(payload);
        if (!job) return std::nullopt;
        notice.jobs.emplace_back(*job);
    }
    if (!payload.empty()) return std::nullopt;
    return notice;
}

std::string encode_relay_response(uint16_t status, std::string_view body) {
    const RelayResponseHeader header{status};
    std::string payload(as_bytes(header));
    return payload.append(body);
}

std::optional<RelayResponse> decode_relay_response(std::string_view payload) {
    const auto header = read_layout<RelayResponseHeader>(payload);
    if (!header) return std::nullopt;
    return RelayResponse{header->status, std::string(payload)};
}

}  // namespace hareshore::peer
