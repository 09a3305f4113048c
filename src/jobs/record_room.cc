// The room left in a job's record. The key-value store limits the size of a value's JSON text.
#include <algorithm>

#include "base/constants.h"
#include "http/json_size.h"
#include "jobs/compact_wire.h"
#include "jobs/job.h"

namespace hareshore {

namespace {

// JSON bytes in addition to the text of a list entry.
constexpr size_t kListEntryPunctuation = 2;  // a comma and a space
constexpr size_t kNameEntryExtra = 3;        // the punctuation and the digit count before a machine's name
// In format 1: three spaces, and the line's own quotes and punctuation, less the quotes of the two names.
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

// An upper bound for both formats: format 1 has fewer fields.
size_t measure_fixed_bytes(const Job& job) {
    JobRecord empty_record;
    empty_record.spec = job.spec;
    empty_record.accepted_wall = job.accepted_wall;
    empty_record.next_attempt = constants::kMaxExactInteger;
    return json_size(empty_record.pack(2));
}

enum class Precision : uint8_t { kUpperBound, kExact };

// The present size of the record, cached or measured.
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

// An upper bound of the bytes that one more placement on this machine adds.
size_t placement_bytes(const Job& job, uint64_t record_format, const Machine& machine) {
    if (record_format < 2)
        return format1_placement_bytes(job.spec.tasks, job.next_attempt, machine.name, machine.zone);
    size_t bytes = constants::kPlacementOverheadBytes + json_text_size(machine.name) + kNameEntryExtra;
    bool known_zone = std::any_of(job.live.begin(), job.live.end(),
                                  [&](const auto& entry) { return entry.second.zone == machine.zone; });
    // Another zone may make the number in each placement one digit longer.
    if (!known_zone) bytes += json_text_size(machine.zone) + kListEntryPunctuation + job.live.size();
    return bytes;
}

// The size of the record once the first pending tasks are placed on these machines, in that order.
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

bool format_has_room(const Job& job, uint64_t record_format, size_t limit,
                     std::span<const Machine* const> machines) {
    // When live tasks end, the done ranges may grow by more than their placements take. The tasks of a gang
    // are done all at once.
    size_t growth_each = !job.spec.gang() && job.spec.tasks > constants::kSmallJobTasks
                             ? constants::kDoneRangesGrowthBytes - constants::kMinPlacementBytes
                             : 0;
    size_t growth = growth_each * (job.live.size() + machines.size());
    size_t added = 0;
    for (const Machine* machine : machines) added += placement_bytes(job, record_format, *machine);
    // Room for one placement is always kept free, unless the job has no other task placed, so that a job
    // whose record is full continues with one task at a time.
    size_t reserve = job.live.empty() && machines.size() == 1 ? 0 : constants::kRecordReserveBytes;
    auto fits = [&](Precision precision) {
        return record_size(job, record_format, precision).bytes + std::max(added, reserve) + growth <= limit;
    };
    if (fits(Precision::kUpperBound) || fits(Precision::kExact)) return true;
    if (machines.size() == 1) return false;
    // For the tasks of a gang, compute exactly what they add together.
    return bytes_with_placements(job, record_format, machines) + growth <= limit;
}

}  // namespace

size_t Job::record_bytes(uint64_t record_format) const {
    return record_size(*this, record_format, Precision::kExact).bytes;
}

bool Job::record_has_room(const Config& config, uint64_t record_format,
                          std::span<const Machine* const> machines) const {
    // Both the format written today and the newer ones have to fit their own limit.
    for (uint64_t format = record_format; format <= kNewestRecordFormat; ++format)
        if (!format_has_room(*this, format, config.value_limit(format), machines)) return false;
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
