// How much room a job's record has in the key-value store, whose limit counts the value's JSON text.
#include <algorithm>

#include "base/constants.h"
#include "http/json_size.h"
#include "jobs/compact_wire.h"
#include "jobs/job.h"

namespace hareshore {

namespace {

// JSON bytes around an entry of a list.
constexpr size_t kListEntryPunctuation = 2;  // a comma and a space
constexpr size_t kNameEntryExtra = 3;        // the same and the count of digits before a machine's name
// In format 1: two spaces in the line and two behind it, and of the two names' four quotes two go.
constexpr size_t kTextPlacementExtra = 3;

size_t format1_placement_bytes(uint32_t task, uint64_t attempt, std::string_view machine,
                               std::string_view zone) {
    return std::to_string(task).size() + std::to_string(attempt).size() + json_text_size(machine) +
           json_text_size(zone) + kTextPlacementExtra;
}

size_t format2_placements_bytes(const std::vector<LiveTask>& live) {
    CompactLive compact = compact_live(live);
    size_t bytes = compact.text.size();
    for (const auto& zone : compact.zones) bytes += json_text_size(zone) + kListEntryPunctuation;
    for (const auto& name : compact.names) bytes += json_text_size(name) + kListEntryPunctuation;
    return bytes;
}

std::vector<LiveTask> live_tasks(const Job& job) {
    std::vector<LiveTask> tasks;
    tasks.reserve(job.live.size());
    for (const auto& [task, placement] : job.live)
        tasks.push_back({task, placement.attempt, placement.machine, placement.zone});
    return tasks;
}

size_t measure_fixed_bytes(const Job& job) {
    JobRecord bare;
    bare.spec = job.spec;
    bare.accepted_wall = job.accepted_wall;
    bare.next_attempt = constants::kMaxExactInteger;
    return json_size(bare.pack(2));  // format 1 has fewer fields
}

enum class Precision : uint8_t { kUpperBound, kExact };

// The size of the record today, from what is known of it or measured.
const RecordSize& record_size(const Job& job, uint64_t record_format, Precision precision) {
    RecordSize& size = job.record_sizes.of(record_format);
    bool precise_enough = size.exact || precision == Precision::kUpperBound;
    if (size.version == job.persistence.version && precise_enough) return size;
    if (job.record_sizes.fixed_bytes == 0) job.record_sizes.fixed_bytes = measure_fixed_bytes(job);
    size_t bytes = job.record_sizes.fixed_bytes;
    if (record_format < 2) {
        bytes += job.done.text().size();
        for (const auto& [task, placement] : job.live)
            bytes += format1_placement_bytes(task, placement.attempt, placement.machine, placement.zone);
    } else {
        bytes += compact_ranges(job.done).size() + format2_placements_bytes(live_tasks(job));
    }
    size = {job.persistence.version, bytes, true};
    return size;
}

// What one more placement on this machine adds at most.
size_t placement_bytes(const Job& job, uint64_t record_format, const Machine& machine) {
    if (record_format < 2)
        return format1_placement_bytes(job.spec.tasks, job.next_attempt, machine.name, machine.zone);
    size_t bytes = constants::kPlacementOverheadBytes + json_text_size(machine.name) + kNameEntryExtra;
    bool known_zone = std::any_of(job.live.begin(), job.live.end(),
                                  [&](const auto& entry) { return entry.second.zone == machine.zone; });
    // With one zone more each placement's number may become a digit longer.
    if (!known_zone) bytes += json_text_size(machine.zone) + kListEntryPunctuation + job.live.size();
    return bytes;
}

// The size of the record with the first pending tasks placed on these machines, in that order.
size_t bytes_with_placements(const Job& job, uint64_t record_format,
                             std::span<const Machine* const> machines) {
    if (record_format < 2) {
        size_t bytes = record_size(job, record_format, Precision::kExact).bytes;
        for (const Machine* machine : machines) bytes += placement_bytes(job, record_format, *machine);
        return bytes;
    }
    auto tasks = live_tasks(job);
    auto range = job.pending.all().begin();
    uint32_t task = range->first;
    uint64_t attempt = job.live.empty() ? job.next_attempt : job.gang_attempt.number;
    for (const Machine* machine : machines) {
        tasks.push_back({task, attempt, machine->name, machine->zone});
        if (task++ == range->second && ++range != job.pending.all().end()) task = range->first;
    }
    return job.record_sizes.fixed_bytes + compact_ranges(job.done).size() + format2_placements_bytes(tasks);
}

bool room_in_format(const Job& job, uint64_t record_format, size_t limit,
                    std::span<const Machine* const> machines) {
    // The ends of what is live may lengthen the done ranges by more than they take away.
    size_t growth_each = job.spec.tasks > constants::kSmallJobTasks
                             ? constants::kDoneRangesGrowthBytes - constants::kMinPlacementBytes
                             : 0;
    size_t growth = growth_each * (job.live.size() + machines.size());
    size_t added = 0;
    for (const Machine* machine : machines) added += placement_bytes(job, record_format, *machine);
    // Room for one stays free, unless this is the one: a job whose record is full goes on one by one.
    size_t reserve = job.live.empty() && machines.size() == 1 ? 0 : constants::kRecordReserveBytes;
    auto fits = [&](Precision precision) {
        return record_size(job, record_format, precision).bytes + std::max(added, reserve) + growth <= limit;
    };
    if (fits(Precision::kUpperBound) || fits(Precision::kExact)) return true;
    if (machines.size() == 1) return false;
    // Several at once, a gang's: what they add exactly.
    return bytes_with_placements(job, record_format, machines) + growth <= limit;
}

}  // namespace

size_t Job::record_bytes(uint64_t record_format) const {
    return record_size(*this, record_format, Precision::kExact).bytes;
}

bool Job::room_in_record(const Config& config, uint64_t record_format,
                         std::span<const Machine* const> machines) const {
    // Of what is written today and of what format 2 would be, each has its limit.
    for (uint64_t format = record_format; format <= kNewestRecordFormat; ++format)
        if (!room_in_format(*this, format, config.value_limit(format), machines)) return false;
    return true;
}

void Job::raise_record_sizes(const Machine& machine) {
    for (uint64_t format = 1; format <= kNewestRecordFormat; ++format) {
        RecordSize& size = record_sizes.of(format);
        if (size.version == persistence.version)
            size = {persistence.version + 1, size.bytes + placement_bytes(*this, format, machine), false};
    }
}

}  // namespace hareshore
