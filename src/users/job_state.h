// The state of a job as reported to users.
#pragma once
#include <cstdint>
#include <tl/expected.hpp>

#include "jobs/record.h"

namespace hareshore {

// A job's state at some point in time, from its record or from this controller's history of responses.
struct JobState {
    JobPhase phase = JobPhase::kPending;
    uint32_t done = 0;          // tasks
    uint32_t running = 0;       // tasks
    bool final = false;         // the job has ended, and its state does not change any more
    JobRecord record;           // unless final
    uint64_t mod_revision = 0;  // of the record, unless final

    static JobState from_final_record(const FinalRecord& final);
};

// Why a job's state could not be read.
enum class JobReadError : uint8_t {
    kUnknownJob,   // No job with this id has been accepted.
    kUnavailable,  // The store did not respond in time, or the record is malformed or of an unknown format.
};

using JobStateResult = tl::expected<JobState, JobReadError>;

}  // namespace hareshore
