// One unfinished job as the leader holds it: what was asked for, its tasks, and its state by concern.
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
    Seconds accepted = 0;  // on this process's clock

    bool cancelled = false;
    Seconds cancellation_known_at = 0;   // when this leader learned of it; its user may have been told before
    bool cancelled_before_term = false;  // by the first record that this leader read: told at an unknown time

    // The tasks: each is done, pending (neither done nor placed) or placed.
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

    mutable RecordSizes record_sizes;  // measured as needed, see record_room.cc

    bool finished() const { return !spec.service() && done.size() == spec.tasks; }
    bool waiting() const { return !cancelled && !finished() && !pending.empty(); }
    // Stopping a task of it at once loses no more than letting it save: it checkpoints often.
    bool skips_saving() const;
    // When it should be done, by its deadline or its class's objective; far off if there is none.
    Seconds deadline(const Config& config) const;
    // Even started now it would likely be late.
    bool likely_late(const Config& config, Seconds now) const;
    // How many of its class's service-level objectives a task of it that starts now can no longer meet.
    int missed_objectives(const Config& config, Seconds now) const;
    // Replicas that run and are not being stopped.
    uint32_t running_replicas() const;

    // Whether the record holds one more task on each of these machines, whatever becomes of its tasks: it
    // must fit the limit today, and in format 2 also the later one.
    bool room_in_record(const Config& config, uint64_t record_format,
                        std::span<const Machine* const> machines) const;
    // The length of the record's JSON text in that format, at most.
    size_t record_bytes(uint64_t record_format) const;
    // A binding on the machine follows, as the next version: raises the known sizes by the most that it adds.
    void raise_record_sizes(const Machine& machine);
    // What is stored of the job.
    JobRecord to_record() const;
};

}  // namespace hareshore
