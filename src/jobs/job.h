// An unfinished job in the leader's memory: its specification, its tasks, and its state by concern.
#pragma once
#include <map>
#include <memory>
#include <span>
#include <string>

#include "cluster/machine.h"
#include "config/config.h"
#include "jobs/gang_attempt.h"
#include "jobs/job_failures.h"
#include "jobs/job_persistence.h"
#include "jobs/job_wait.h"
#include "jobs/placement.h"
#include "jobs/record.h"
#include "jobs/record_sizes.h"
#include "jobs/run_times.h"

namespace hareshore {

struct Job {
    JobSpec spec;
    WallTime accepted_wall;
    Seconds accepted = 0;  // on this process's monotonic clock

    bool cancelled = false;
    // When the cancellation was recorded, on this process's monotonic clock; it may be before this term. No
    // later than its user was told.
    Seconds cancelled_at = 0;

    // Each task is done, pending (neither done nor placed) or placed.
    Ranges done;
    Ranges pending;
    std::map<uint32_t, Placement> live;  // by task
    uint64_t next_attempt = 1;

    JobPersistence persistence;
    GangAttempt gang_attempt;
    JobFailures failures;
    RunTimes run_times;
    JobWait wait;
    ImagePreemption image_preemption;

    mutable RecordSizes record_sizes;  // measured on demand, see record_room.cc

    bool finished() const { return !spec.service() && done.size() == spec.tasks; }
    bool waiting() const { return !cancelled && !finished() && !pending.empty(); }
    // Whether its tasks checkpoint so often that stopping one without saving loses no more time than saving.
    bool skips_saving() const;
    // When it should be done, by its own deadline or its class's objective; in the far future without either.
    Seconds deadline(const Config& config) const;
    // Whether it would likely miss its deadline even if it started now.
    bool likely_late(const Config& config, Seconds now) const;
    // The number of its class's service-level objectives that a task started now can no longer meet.
    int missed_objectives(const Config& config, Seconds now) const;
    // The number of replicas that run and are not being stopped.
    uint32_t running_replicas() const;

    // Whether the record can take one more task on each of these machines and still fits however its tasks
    // end. It must fit today's limit in `record_format`, and in format 2 also the limit that follows.
    bool record_has_room(const Config& config, uint64_t record_format,
                         std::span<const Machine* const> machines) const;
    // An upper bound of the record's JSON size in that format.
    size_t record_bytes(uint64_t record_format) const;
    // Raises the known sizes to upper bounds for the next version, before a task is bound to the machine.
    void raise_record_sizes(const Machine& machine);
    // The record to be stored.
    JobRecord to_record() const;
};

}  // namespace hareshore
