// What controllers say to each other: packed structs, little-endian, behind a fixed head.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore::back {

inline constexpr uint32_t kMagic = 0x52485248;  // "HRHR"
inline constexpr uint16_t kVersion = 2;

enum class Kind : uint16_t { kBeat = 1, kBeatAnswer = 2, kRelay = 3, kRelayAnswer = 4 };

#pragma pack(push, 1)
struct Head {
    uint32_t magic;
    uint16_t version;
    uint16_t kind;
    uint32_t id;      // of a relay or a beat; its answer carries the same
    uint32_t length;  // bytes that follow
    uint64_t life;    // drawn by the asker's process when it began; an answer carries the same
};

// Once a second each way; also the answer to one.
struct Beat {
    char label[32];         // the sender's, zero-padded
    uint64_t life;          // drawn by the sender's process when it began
    uint64_t asked_us;      // in an answer: the asker's clock from the beat that it answers
    uint64_t epoch;         // highest epoch the sender knows
    uint8_t leads;          // it leads in that epoch
    uint8_t ready;          // it takes users' requests
    uint16_t hellos;        // workers' reports that came to the sender itself in the last seconds
    uint32_t state_age_ms;  // since the state service last answered it
    uint32_t quiet_ms;      // for how long it has told no user of a withdrawal; at most its uptime
};

struct RelayAnswerHead {
    uint16_t status;
};
#pragma pack(pop)

static_assert(sizeof(Head) == 24 && sizeof(Beat) == 68 && sizeof(RelayAnswerHead) == 2);

struct Frame {
    Kind kind{};
    uint32_t id = 0;
    uint64_t life = 0;
    std::string payload;
};

std::string pack(Kind kind, uint32_t id, uint64_t life, std::string_view payload);
std::string pack(Kind kind, uint32_t id, uint64_t life, const Beat& beat);

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

std::optional<Beat> unpack_beat(std::string_view payload);
std::string label_of(const Beat& beat);
void set_label(Beat& beat, std::string_view label);

}  // namespace hareshore::back
