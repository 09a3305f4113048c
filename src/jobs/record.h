// A job's record in the key-value store: all of a job that outlives a controller. One key a job, "j/<id>"
// while it is unfinished and "f/<id>" for ever after, so that a take-over reads only what is unfinished. How
// records are packed stands in record_wire.cc.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ranges.h"
#include "http/msgpack.h"
#include "model/job_spec.h"

namespace hareshore {

// The newest format of records that this version reads and writes. Format 1 is what the production version
// reads; format 2 holds done tasks and placements in the compact text of compact_wire.h.
inline constexpr uint64_t kNewestRecordFormat = 2;

// A task bound to a machine. It counts as live from its commit until it is disproved.
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
    Ranges done;
    uint64_t next_attempt = 1;
    std::map<uint32_t, PlacementRecord> live;  // by task

    [[nodiscard]] JobPhase phase() const;
    [[nodiscard]] std::string pack(uint64_t record_format) const;
    // Nothing if the record is malformed, or of a newer format than known (newer_record_format).
    [[nodiscard]] static std::optional<JobRecord> unpack(const std::string& packed);
};

// Whether a packed record is of a newer format than kNewestRecordFormat. False of what is malformed.
[[nodiscard]] bool newer_record_format(const std::string& packed);

// What is kept of a finished job.
struct FinalRecord {
    std::string id;
    bool cancelled = false;  // else done
    uint32_t tasks = 0;
    uint32_t done = 0;

    [[nodiscard]] std::string pack() const;
    // Nothing if the record is malformed or of a newer format than known.
    [[nodiscard]] static std::optional<FinalRecord> unpack(const std::string& packed);
};

// Keys in the key-value store, by the job's id.
inline const std::string kLivePrefix = "j/";
inline const std::string kFinalPrefix = "f/";
inline std::string live_key(const std::string& id) {
    return kLivePrefix + id;
}
inline std::string final_key(const std::string& id) {
    return kFinalPrefix + id;
}

}  // namespace hareshore
