// Frames exchanged between controllers: wire layout and codec.
//
// A frame is a FrameHeader followed by a payload of `length` bytes. The structs between the pack pragmas are
// wire layouts: packed, little-endian, sent byte for byte. Versions of this program run side by side during
// an upgrade, so neither the offset of a field nor the value of a FrameKind may change.
//
// Any process can connect to the port, so payloads are untrusted and decoders check every length.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hareshore::peer {

inline constexpr uint32_t kMagic = 0x52485248;  // the first four bytes of every frame, "HRHR"
inline constexpr uint16_t kVersion = 2;         // of the frame layout

enum class FrameKind : uint16_t {
    kHeartbeat = 1,           // payload: ControllerHeartbeat
    kHeartbeatResponse = 2,   // payload: ControllerHeartbeat of the responder
    kRelay = 3,               // payload: the body of a worker's heartbeat
    kRelayResponse = 4,       // payload: RelayResponseHeader and the response body
    kCancellationNotice = 5,  // payload: CancellationNoticeHeader and job ids. Sent only to peers that
                              // announce kAnnouncedRecordFormat; older versions close the connection
};

// FrameHeader::id of a frame that is neither a request nor a response.
inline constexpr uint32_t kNoRequest = 0;

// The newest record format that this version reads, announced in each heartbeat. A peer that announces it
// also reads cancellation notices. Versions that announce nothing send 0.
inline constexpr uint8_t kAnnouncedRecordFormat = 2;

// ControllerHeartbeat::store_age_ms of a controller to which the store has never responded.
inline constexpr uint32_t kNoStoreContact = UINT32_MAX;

#pragma pack(push, 1)

// Wire layout: start of every frame.
struct FrameHeader {
    uint32_t magic;
    uint16_t version;
    uint16_t kind;
    uint32_t id;           // of a heartbeat or a relay; echoed in its response
    uint32_t length;       // of the payload, in bytes
    uint64_t incarnation;  // of the requesting process; echoed in the response
};

// Wire layout: the state of a controller, sent once a second and in the response to a heartbeat.
struct ControllerHeartbeat {
    char label[24];  // of the sender, zero-padded
    // The next three fields occupy the former padding of a 32-byte label. Older versions read the label up to
    // its first zero byte and write zeros here. A label of 24 bytes or more leaves no room for these fields;
    // see has_extension().
    uint8_t record_format;  // the newest that the sender reads; 0 from versions that announce none
    uint8_t reserved[3];
    uint32_t cancellations_announced;     // number that the sender's process has confirmed to users
    uint64_t incarnation;                 // of the sender's process, drawn at random when it starts
    uint64_t request_sent_us;             // steady clock of the requester when it sent the heartbeat;
                                          // echoed in the response
    uint64_t fencing_token;               // the highest that the sender has seen
    uint8_t leads;                        // whether the sender is the leader with that fencing token
    uint8_t ready;                        // whether the sender is ready to serve users
    uint16_t worker_heartbeats_received;  // directly from workers, in the last kHeartbeatCountWindow_s
    uint32_t store_age_ms;                // since the store last responded to the sender, or kNoStoreContact
    uint32_t since_last_cancellation_ms;  // since the sender last confirmed a cancellation to a user, or
                                          // since it started
};

// Wire layout: start of the payload of kRelayResponse.
struct RelayResponseHeader {
    uint16_t status;  // HTTP status of the leader's response
};

// Wire layout: start of the payload of kCancellationNotice. It is followed by one entry per job: the length
// of the job's id in one byte, then the id.
struct CancellationNoticeHeader {
    uint64_t incarnation;  // of the sender's process
    uint32_t first_index;  // number of cancellations that the sender announced before these
    uint16_t count;        // of the job ids that follow
};

#pragma pack(pop)

static_assert(sizeof(FrameHeader) == 24);
static_assert(sizeof(ControllerHeartbeat) == 68);
static_assert(sizeof(RelayResponseHeader) == 2);
static_assert(sizeof(CancellationNoticeHeader) == 14);

// A decoded frame. Its payload has not been validated.
struct Frame {
    FrameKind kind{};
    uint32_t id = 0;
    uint64_t incarnation = 0;
    std::string payload;
};

[[nodiscard]] std::string encode_frame(FrameKind kind, uint32_t id, uint64_t incarnation,
                                       std::string_view payload);
[[nodiscard]] std::string encode_frame(FrameKind kind, uint32_t id, uint64_t incarnation,
                                       const ControllerHeartbeat& heartbeat);

// Splits a byte stream into frames. Once the stream is malformed, the reader yields no more frames and the
// connection must be closed.
class FrameReader {
  public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    // The next complete frame, if there is one.
    [[nodiscard]] std::optional<Frame> next();
    [[nodiscard]] bool malformed() const { return malformed_; }

  private:
    std::string buffer_;
    bool malformed_ = false;
};

// nullopt if the payload has the wrong size.
[[nodiscard]] std::optional<ControllerHeartbeat> decode_controller_heartbeat(std::string_view payload);

// The sender's label.
[[nodiscard]] std::string label_of(const ControllerHeartbeat& heartbeat);
// Sets the sender's label, truncated to 31 bytes. Call before setting the extension fields.
void set_label(ControllerHeartbeat& heartbeat, std::string_view label);
// Whether the label leaves room for the extension fields `record_format` and `cancellations_announced`.
[[nodiscard]] bool has_extension(const ControllerHeartbeat& heartbeat);
// Whether the sender reads cancellation notices and announces the cancellations that it confirms.
[[nodiscard]] bool announces_cancellations(const ControllerHeartbeat& heartbeat);

// Cancellations that a controller has confirmed to users, in order of confirmation. Sent before the response
// to a heartbeat, so that the count in the response never includes a cancellation that has not arrived yet.
struct CancellationNotice {
    uint64_t incarnation = 0;       // of the sender's process
    uint32_t first_index = 0;       // number of cancellations that the sender announced before these
    std::vector<std::string> jobs;  // ids, each of at most 255 bytes
};

// The payload of a kCancellationNotice frame.
[[nodiscard]] std::string encode_cancellation_notice(const CancellationNotice& notice);
// nullopt if the payload is malformed.
[[nodiscard]] std::optional<CancellationNotice> decode_cancellation_notice(std::string_view payload);

// The response to a relayed heartbeat.
struct RelayResponse {
    uint16_t status = 0;  // HTTP status of the leader's response
    std::string body;
};

// The payload of a kRelayResponse frame.
[[nodiscard]] std::string encode_relay_response(uint16_t status, std::string_view body);
// nullopt if the payload is malformed.
[[nodiscard]] std::optional<RelayResponse> decode_relay_response(std::string_view payload);

}  // namespace hareshore::peer
