// The two keys of the election in the key-value store, and the format of their values. Both hold the same
// value: the controller that leads and its fencing token.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace hareshore {

// Exists while a controller leads: it is bound to that controller's lease.
inline const std::string kLeaderKey = "leader";
// The last term that was won. Never deleted, so that no fencing token is used twice.
inline const std::string kTermKey = "term";

// A value read from either key. What could not be read is missing.
struct LeaderRecord {
    std::string label;                      // of the controller; empty if it could not be read
    std::optional<uint64_t> fencing_token;  // at least 1
};

std::string pack_leader_record(const std::string& label, uint64_t fencing_token);
LeaderRecord unpack_leader_record(const std::string& packed);

}  // namespace hareshore
