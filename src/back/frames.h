// What controllers say to each other: packed structs, little-endian, behind a fixed head.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hareshore::back {

inline constexpr uint32_t kMagic = 0x52485248;  // "HRHR"
inline constexpr uint16_t kVersion = 2;

enum class Kind : uint16_t {
    kBeat = 1,
    kBeatAnswer = 2,
    kRelay = 3,
    kRelayAnswer = 4,
    kWithdrawn = 5,  // only to a sibling whose beats say that it knows kForm: others close the connection
};

// What this version reads and writes, said in each beat. The versions before that said nothing have 0. What
// is new with it: kWithdrawn, and records of form 2.
inline constexpr uint8_t kForm = 2;

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
    char label[24];  // the sender's, zero-padded
    // These stand in what was the padding of a label of 32 bytes, which older versions read up to its first
    // zero and write as zeros. A label too long for that leaves no room for them (`extended`).
    uint8_t form;  // what the sender knows; 0: a version that does not say
    uint8_t spare[3];
    uint32_t told;          // withdrawals that the sender's process has told users of, so far
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

// Withdrawals that the sender's process has told users of, in the order in which it did; sent ahead of the
// answer to a beat, so that an answer never counts one that did not come before it. Behind it for each the
// length of the job's id, one byte, and the id.
struct WithdrawnHead {
    uint64_t life;   // of the sender's process
    uint32_t first;  // how many it had told of before these
    uint16_t count;
};
#pragma pack(pop)

static_assert(sizeof(Head) == 24 && sizeof(Beat) == 68 && sizeof(RelayAnswerHead) == 2 &&
              sizeof(WithdrawnHead) == 14);

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
// Whether the label left room for what stands behind it.
bool extended(const Beat& beat);

struct Withdrawn {
    uint64_t life = 0;
    uint32_t first = 0;
    std::vector<std::string> jobs;
};
std::string pack(const Withdrawn& withdrawn);
std::optional<Withdrawn> unpack_withdrawn(std::string_view payload);

}  // namespace hareshore::back
