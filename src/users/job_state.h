// The state of a job as users see it.
#pragma once
#include <cstdint>
#include <tl/expected.hpp>

#include "jobs/record.h"

namespace hareshore {

// A job's state at some moment, as its record or this controller's history of answers shows it.
struct JobState {
    JobPhase phase = JobPhase::kPending;
    uint32_t done = 0;          // tasks
    uint32_t running = 0;       // tasks
    bool final = false;         // the job has ended: its state does not change any more
    JobRecord record;           // unless final
    uint64_t mod_revision = 0;  // of the record, unless final

    static JobState of_final(const FinalRecord& final);
};

// Why a job's state could not be read.
enum class JobReadError : uint8_t {
    kUnknownJob,   // no such job was accepted
    kUnavailable,  // the store did not answer in time, or the record's format is not known
};

using JobStateResult = tl::expected<JobState, JobReadError>;

}  // namespace hareshore
