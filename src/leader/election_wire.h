// The two keys of the election in the key-value store, and the format of their values. Both have the same
// value: the leader's label and its fencing token.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace hareshore {

// Attached to the leader's lease, so that it exists only while a controller leads.
inline const std::string kLeaderKey = "leader";
// The most recent term. Never deleted, so that no fencing token is used twice.
inline const std::string kTermKey = "term";

// The value of either key.
struct LeaderRecord {
    std::string label;                      // of the leader; empty if it could not be read
    std::optional<uint64_t> fencing_token;  // at least 1; missing if it could not be read
};

std::string pack_leader_record(const std::string& label, uint64_t fencing_token);
LeaderRecord unpack_leader_record(const std::string& packed);

}  // namespace hareshore
