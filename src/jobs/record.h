// A job's record in the state service: all that outlives a controller. One key a job, "j/<id>" while it
// is unfinished and "f/<id>" for ever after, so that a take-over reads only what is unfinished.
#pragma once
#include <map>

#include "base/ranges.h"
#include "http/msgpack.h"
#include "model/job_spec.h"

namespace hareshore {

// A task bound to a machine. It counts as live from its commit until it is disproved.
struct PlacementRecord {
    uint64_t attempt = 0;
    std::string machine, zone;
};

struct JobRecord {
    JobSpec spec;
    WallTime accepted_wall;
    bool cancelled = false;
    Ranges done;
    uint64_t next_attempt = 1;
    std::map<uint32_t, PlacementRecord> live;  // by task

    JobPhase phase() const;
    // Format 1 is what the production version reads; see jobs/compact.h for format 2.
    std::string pack(uint64_t record_format) const;
    // Nothing if the record is not readable, or of a format that is newer than known.
    static std::optional<JobRecord> unpack(const std::string& packed);
};

// The newest format of records that this version reads and writes.
inline constexpr uint64_t kNewestRecordFormat = 2;
// Whether a packed record says that its format is newer than that.
bool newer_record_format(const std::string& packed);

// What is kept of a finished job.
struct FinalRecord {
    std::string id;
    bool cancelled = false;  // else done
    uint32_t tasks = 0;
    uint32_t done = 0;

    std::string pack() const;
    static std::optional<FinalRecord> unpack(const std::string& packed);
};

inline const std::string kLivePrefix = "j/";
inline const std::string kFinalPrefix = "f/";
inline std::string live_key(const std::string& id) {
    return kLivePrefix + id;
}
inline std::string final_key(const std::string& id) {
    return kFinalPrefix + id;
}

}  // namespace hareshore
