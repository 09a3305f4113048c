// A job's record in the key-value store: the state of a job that survives a controller. Each job has one key,
// "j/<id>" while it is unfinished and "f/<id>" afterwards, so that a failover reads only unfinished jobs.
// record_wire.cc packs and unpacks records.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ranges.h"
#include "http/msgpack.h"
#include "model/job_spec.h"

namespace hareshore {

// The newest record format that this version reads and writes. The production version reads format 1; format
// 2 stores done tasks and placements in the compact text of compact_wire.h.
inline constexpr uint64_t kNewestRecordFormat = 2;

// A task bound to a machine. It counts as live from its commit until a heartbeat, or the deletion of its
// machine, proves that it is not there.
struct PlacementRecord {
    uint64_t attempt = 0;
    std::string machine;
    std::string zone;
};

// The record of an unfinished job.
struct JobRecord {
    JobSpec spec;
    WallTime accepted_wall;
    bool cancelled = false;
    // When the cancellation was recorded: no later than its user was told. std::nullopt if the job is not
    // cancelled, or if the controller that wrote the record runs a version that does not know this field.
    std::optional<WallTime> cancelled_wall;
    Ranges done;
    uint64_t next_attempt = 1;
    std::map<uint32_t, PlacementRecord> live;  // by task

    [[nodiscard]] JobPhase phase() const;
    [[nodiscard]] std::string pack(uint64_t record_format) const;
    // Packs the record, without the time of its cancellation if it would not fit otherwise. std::nullopt if
    // its JSON text exceeds `max_json_bytes` nevertheless.
    [[nodiscard]] std::optional<std::string> pack_within(size_t max_json_bytes, uint64_t record_format) const;
    // std::nullopt if the record is malformed or in a format newer than kNewestRecordFormat.
    [[nodiscard]] static std::optional<JobRecord> unpack(const std::string& packed);
};

// Whether a packed record is in a format newer than kNewestRecordFormat; false if it is malformed.
[[nodiscard]] bool newer_record_format(const std::string& packed);

// The record of a finished job.
struct FinalRecord {
    std::string id;
    bool cancelled = false;  // false: the job is done
    uint32_t tasks = 0;
    uint32_t done = 0;

    [[nodiscard]] std::string pack() const;
    // std::nullopt if the record is malformed or in a format newer than kNewestRecordFormat.
    [[nodiscard]] static std::optional<FinalRecord> unpack(const std::string& packed);
};

// Keys in the key-value store, by job id.
inline const std::string kLivePrefix = "j/";
inline const std::string kFinalPrefix = "f/";
inline std::string live_key(const std::string& id) {
    return kLivePrefix + id;
}
inline std::string final_key(const std::string& id) {
    return kFinalPrefix + id;
}

}  // namespace hareshore
