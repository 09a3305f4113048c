// The frames that controllers exchange: their layout on the wire and the codec for it.
//
// A frame is a FrameHeader followed by a payload of `length` bytes. The structs between the pack pragmas are
// wire layouts: packed, little-endian, sent byte for byte. Versions of this program run side by side during
// an upgrade, so neither a field's place nor a FrameKind's value may change.
//
// Decoding checks every length; a payload may hold anything, since any process can connect to the port.
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
    kHeartbeatResponse = 2,   // payload: ControllerHeartbeat of the answering controller
    kRelay = 3,               // payload: the body of a worker's heartbeat
    kRelayResponse = 4,       // payload: RelayResponseHeader and the body of the answer
    kCancellationNotice = 5,  // payload: CancellationNoticeHeader and its jobs. Sent only to peers whose
                              // heartbeats announce kAnnouncedRecordFormat: older ones close the connection
};

// FrameHeader::id of a frame that is neither a request nor an answer.
inline constexpr uint32_t kNoRequest = 0;

// The newest record format that this version reads, announced in each heartbeat. A peer that announces it
// also reads cancellation notices. Versions that announce nothing send 0.
inline constexpr uint8_t kAnnouncedRecordFormat = 2;

// ControllerHeartbeat::store_age_ms of a controller that the store has never answered.
inline constexpr uint32_t kNoStoreContact = UINT32_MAX;

#pragma pack(push, 1)

// Wire layout: begins every frame.
struct FrameHeader {
    uint32_t magic;
    uint16_t version;
    uint16_t kind;
    uint32_t id;           // of a heartbeat or a relay; repeated in its answer
    uint32_t length;       // of the payload, in bytes
    uint64_t incarnation;  // of the requesting process; repeated in the answer
};

// Wire layout: what a controller reports of itself once a second, and in the answer to such a report.
struct ControllerHeartbeat {
    char label[24];  // of the sender, zero-padded
    // The next three fields occupy what was the padding of a 32-byte label. Older versions read the label up
    // to its first zero and write zeros here. A label of 24 bytes or more leaves no room for them: see
    // has_extension().
    uint8_t record_format;  // the newest that the sender reads; 0: a version that does not announce it
    uint8_t reserved[3];
    uint32_t cancellations_announced;     // that the sender's process has confirmed to users so far
    uint64_t incarnation;                 // of the sender's process, drawn at random when it starts
    uint64_t request_sent_us;             // steady clock of the requester when it sent the heartbeat; an
                                          // answer repeats it
    uint64_t fencing_token;               // the highest that the sender has seen
    uint8_t leads;                        // whether the sender is the leader with that fencing token
    uint8_t ready;                        // whether the sender takes users' requests
    uint16_t worker_heartbeats_received;  // directly from workers, in the last kHeartbeatCountWindow_s
    uint32_t store_age_ms;                // since the store last answered the sender, or kNoStoreContact
    uint32_t since_last_cancellation_ms;  // since the sender last confirmed a cancellation to a user, or
                                          // since it started
};

// Wire layout: begins the payload of kRelayResponse.
struct RelayResponseHeader {
    uint16_t status;  // HTTP status of the leader's answer
};

// Wire layout: begins the payload of kCancellationNotice. For each job follow the length of its id in one
// byte and the id.
struct CancellationNoticeHeader {
    uint64_t incarnation;  // of the sender's process
    uint32_t first_index;  // how many cancellations the sender announced before these
    uint16_t count;
};

#pragma pack(pop)

static_assert(sizeof(FrameHeader) == 24);
static_assert(sizeof(ControllerHeartbeat) == 68);
static_assert(sizeof(RelayResponseHeader) == 2);
static_assert(sizeof(CancellationNoticeHeader) == 14);

// A decoded frame; its payload is not yet checked.
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

// Cuts frames out of a byte stream. Once the stream is malformed it yields no more frames, and the connection
// must be closed.
class FrameReader {
  public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    // The next whole frame, if there is one.
    [[nodiscard]] std::optional<Frame> next();
    [[nodiscard]] bool malformed() const { return malformed_; }

  private:
    std::string buffer_;
    bool malformed_ = false;
};

// Nothing if the payload has another size.
[[nodiscard]] std::optional<ControllerHeartbeat> decode_controller_heartbeat(std::string_view payload);

// The sender's label.
[[nodiscard]] std::string label_of(const ControllerHeartbeat& heartbeat);
// Sets the sender's label, cut to 31 bytes. To be called before the extension fields are set.
void set_label(ControllerHeartbeat& heartbeat, std::string_view label);
// Whether the label leaves room for the extension fields `record_format` and `cancellations_announced`.
[[nodiscard]] bool has_extension(const ControllerHeartbeat& heartbeat);
// Whether the sender reads cancellation notices and announces the cancellations that it confirms.
[[nodiscard]] bool announces_cancellations(const ControllerHeartbeat& heartbeat);

// Cancellations that a controller has confirmed to users, in that order. Sent ahead of the answer to a
// heartbeat, so that the answer's count never includes one that has not arrived yet.
struct CancellationNotice {
    uint64_t incarnation = 0;       // of the sender's process
    uint32_t first_index = 0;       // how many cancellations the sender announced before these
    std::vector<std::string> jobs;  // ids, each of at most 255 bytes
};

// The payload of a kCancellationNotice frame.
[[nodiscard]] std::string encode_cancellation_notice(const CancellationNotice& notice);
// Nothing if the payload is malformed.
[[nodiscard]] std::optional<CancellationNotice> decode_cancellation_notice(std::string_view payload);

// The answer to a relayed heartbeat.
struct RelayResponse {
    uint16_t status = 0;  // HTTP status of the leader's answer
    std::string body;
};

// The payload of a kRelayResponse frame.
[[nodiscard]] std::string encode_relay_response(uint16_t status, std::string_view body);
// Nothing if the payload is malformed.
[[nodiscard]] std::optional<RelayResponse> decode_relay_response(std::string_view payload);

}  // namespace hareshore::peer
