// What controllers say to each other: packed structs, little-endian, behind a fixed head.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hareshore::peer {

inline constexpr uint32_t kMagic = 0x52485248;  // "HRHR"
inline constexpr uint16_t kVersion = 2;

enum class Kind : uint16_t {
    kHeartbeat = 1,
    kHeartbeatAnswer = 2,
    kRelay = 3,
    kRelayAnswer = 4,
    kCancellationNotice =
        5,  // only to a peer whose heartbeats say that it knows kForm: others close the connection
};

// What this version reads and writes, said in each heartbeat. The versions before that said nothing have 0.
// What is new with it: kWithdrawn, and records of format 2.
inline constexpr uint8_t kPeerFormat = 2;

#pragma pack(push, 1)
struct Head {
    uint32_t magic;
    uint16_t version;
    uint16_t kind;
    uint32_t id;           // of a relay or a heartbeat; its answer carries the same
    uint32_t length;       // bytes that follow
    uint64_t incarnation;  // drawn by the asker's process when it began; an answer carries the same
};

// Once a second each way; also the answer to one.
struct Heartbeat {
    char label[24];  // the sender's, zero-padded
    // These stand in what was the padding of a label of 32 bytes, which older versions read up to its first
    // zero and write as zeros. A label too long for that leaves no room for them (`extended`).
    uint8_t record_format;  // what the sender knows; 0: a version that does not say
    uint8_t spare[3];
    uint32_t cancellations_announced;  // cancellations that the sender's process has told users of, so far
    uint64_t incarnation;              // drawn by the sender's process when it began
    uint64_t asked_us;                 // in an answer: the asker's clock from the heartbeat that it answers
    uint64_t fencing_token;            // highest epoch the sender knows
    uint8_t leads;                     // it leads in that epoch
    uint8_t ready;                     // it takes users' requests
    uint16_t
        worker_heartbeats_received;  // workers' reports that came to the sender itself in the last seconds
    uint32_t store_age_ms;           // since the state service last answered it
    uint32_t quiet_ms;               // for how long it has told no user of a cancellation; at most its uptime
};

struct RelayAnswerHead {
    uint16_t status;
};

// Cancellations that the sender's process has told users of, in the order in which it did; sent ahead of the
// answer to a heartbeat, so that an answer never counts one that did not come before it. Behind it for each
// the length of the job's id, one byte, and the id.
struct CancellationNoticeHead {
    uint64_t incarnation;  // of the sender's process
    uint32_t first;        // how many it had told of before these
    uint16_t count;
};
#pragma pack(pop)

static_assert(sizeof(Head) == 24 && sizeof(Heartbeat) == 68 && sizeof(RelayAnswerHead) == 2 &&
              sizeof(CancellationNoticeHead) == 14);

struct Frame {
    Kind kind{};
    uint32_t id = 0;
    uint64_t incarnation = 0;
    std::string payload;
};

std::string pack(Kind kind, uint32_t id, uint64_t incarnation, std::string_view payload);
std::string pack(Kind kind, uint32_t id, uint64_t incarnation, const Heartbeat& heartbeat);

// Cuts frames out of a byte stream; a stream that is not ours ends the connection.
class Reader {
  public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<Frame> next();
    bool bad() const { return bad_; }

  private:
    std::string buffer_;
    bool bad_ = false;
};

std::optional<Heartbeat> unpack_heartbeat(std::string_view payload);
std::string label_of(const Heartbeat& heartbeat);
void set_label(Heartbeat& heartbeat, std::string_view label);
// Whether the label left room for what stands behind it.
bool extended(const Heartbeat& heartbeat);

struct CancellationNotice {
    uint64_t incarnation = 0;
    uint32_t first = 0;
    std::vector<std::string> jobs;
};
std::string pack(const CancellationNotice& notice);
std::optional<CancellationNotice> unpack_cancellation_notice(std::string_view payload);

}  // namespace hareshore::peer
