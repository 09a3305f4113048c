// One job: its deadlines, and how much room its record has in the state service.
#include <algorithm>

#include "base/constants.h"
#include "http/json_size.h"
#include "jobs/compact.h"
#include "jobs/table.h"

namespace hareshore {

const char* wait_reason_text(WaitReason reason) {
    switch (reason) {
        case WaitReason::kNone:
            return "not waiting";
        case WaitReason::kNew:
            return "just arrived, not looked at yet";
        case WaitReason::kTeamLimit:
            return "its team's limit is used up";
        case WaitReason::kNoRoom:
            return "no machine that it may use has room";
        case WaitReason::kGangRoom:
            return "no room for all tasks of the gang at once";
        case WaitReason::kHeldForImage:
            return "held briefly for an idle machine that has its image";
        case WaitReason::kHeldForSpread:
            return "held briefly for a machine that runs less of it";
        case WaitReason::kBackoff:
            return "its tasks failed on several machines; it is tried again later";
        case WaitReason::kOldAttempt:
            return "tasks of its last attempt are still on their machines";
        case WaitReason::kRecordFull:
            return "its record is full; more tasks start as others finish";
    }
    return "";
}

bool Job::skips_saving() const {
    return spec.checkpoint_s > 0 && spec.checkpoint_s <= constants::kSkipCheckpointMaxSaves * spec.save_s;
}

uint32_t Job::running_replicas() const {
    return static_cast<uint32_t>(std::count_if(live.begin(), live.end(), [](const auto& l) {
        return l.second.phase == TaskPhase::kRunning && !l.second.stopping;
    }));
}

Seconds Job::due(const Config& config) const {
    if (spec.due_s) return accepted + *spec.due_s;
    auto it = config.finish_within.find(spec.job_class);
    return accepted + (it == config.finish_within.end() ? constants::kNoExpectedEnd_s : it->second);
}

bool Job::late(const Config& config, Seconds now) const {
    if (spec.service()) return false;  // it has no end
    return now + constants::kLateEstimateShare * spec.estimate_s > due(config);
}

int Job::missed_objectives(const Config& config, Seconds now) const {
    // What counts of a service is the time it is not served: a late start is one more reason to hurry.
    if (spec.service()) return 0;
    int lost = late(config, now) ? 1 : 0;
    auto waits = config.wait_within.find(spec.job_class);
    // Of tasks that were all begun once, only the end is still open.
    if (waits == config.wait_within.end() || interrupted.covers(pending)) return lost;
    for (Seconds within : waits->second)
        if (now + constants::kExpectedStartLatency_s > accepted + within) ++lost;
    return lost;
}

namespace {

size_t format1_placement(uint32_t task, uint64_t attempt, std::string_view machine, std::string_view zone) {
    return std::to_string(task).size() + std::to_string(attempt).size() + json_text_size(machine) +
           json_text_size(zone) + 3;  // two spaces in the line and two behind it, of four quotes two go
}

size_t format2_live(const std::vector<LiveTask>& live) {
    CompactLive c = compact_live(live);
    size_t n = c.text.size();
    for (const auto& z : c.zones) n += json_text_size(z) + 2;
    for (const auto& h : c.names) n += json_text_size(h) + 2;
    return n;
}

std::vector<LiveTask> live_tasks(const Job& job) {
    std::vector<LiveTask> out;
    out.reserve(job.live.size());
    for (const auto& [task, p] : job.live) out.push_back({task, p.attempt, p.machine, p.zone});
    return out;
}

}  // namespace

Job::RecordSize& Job::measured(uint64_t record_format, bool exact) const {
    RecordSize& s = sizes[record_format - 1];
    if (s.version == version && (s.exact || !exact)) return s;
    if (fixed_bytes == 0) {
        JobRecord bare;
        bare.spec = spec;
        bare.accepted_wall = accepted_wall;
        bare.next_attempt = constants::kMaxExactInteger;
        fixed_bytes = json_size(bare.pack(2));  // format 1 has fewer fields
    }
    size_t n = fixed_bytes;
    if (record_format < 2) {
        n += done.text().size();
        for (const auto& [task, p] : live) n += format1_placement(task, p.attempt, p.machine, p.zone);
    } else {
        n += compact_ranges(done).size() + format2_live(live_tasks(*this));
    }
    return s = {version, n, true};
}

size_t Job::record_bytes(uint64_t record_format) const {
    return measured(record_format, true).bytes;
}

size_t Job::placement_bytes(uint64_t record_format, const Machine& on) const {
    if (record_format < 2) return format1_placement(spec.tasks, next_attempt, on.name, on.zone);
    size_t n = constants::kPlacementOverheadBytes + json_text_size(on.name) + 3;
    bool known_zone =
        std::any_of(live.begin(), live.end(), [&](const auto& l) { return l.second.zone == on.zone; });
    // With one zone more each placement's number may become a digit longer.
    if (!known_zone) n += json_text_size(on.zone) + 2 + live.size();
    return n;
}

bool Job::room_in_record(const Config& config, uint64_t record_format,
                         std::span<const Machine* const> on) const {
    // Of what is written today and of what format 2 would be, each has its limit.
    for (uint64_t f = record_format; f <= kNewestRecordFormat; ++f) {
        size_t limit = config.value_limit(f);
        // The ends of what is live may lengthen the done ranges by more than they take away.
        size_t growth = spec.tasks > constants::kSmallJobTasks
                            ? constants::kDoneRangesGrowthBytes - constants::kMinPlacementBytes
                            : 0;
        growth *= live.size() + on.size();
        size_t more = 0;
        for (const Machine* h : on) more += placement_bytes(f, *h);
        // Room for one stays free, unless this is the one: a job whose record is full goes on one by one.
        size_t least = live.empty() && on.size() == 1 ? 0 : constants::kRecordReserveBytes;
        auto fits = [&](size_t bytes) { return bytes + std::max(more, least) + growth <= limit; };
        if (fits(measured(f, false).bytes) || fits(measured(f, true).bytes)) continue;
        if (on.size() == 1) return false;
        // Several at once, a gang's: what they add exactly.
        size_t bytes = fixed_bytes;
        if (f < 2) {
            bytes = measured(f, true).bytes + more;
        } else {
            auto tasks = live_tasks(*this);
            auto range = pending.all().begin();
            uint32_t task = range->first;
            for (const Machine* h : on) {
                tasks.push_back({task, live.empty() ? next_attempt : attempt, h->name, h->zone});
                if (task++ == range->second && ++range != pending.all().end()) task = range->first;
            }
            bytes += compact_ranges(done).size() + format2_live(tasks);
        }
        if (bytes + growth > limit) return false;
    }
    return true;
}

JobRecord Job::record() const {
    JobRecord r;
    r.spec = spec;
    r.accepted_wall = accepted_wall;
    r.cancelled = cancelled;
    r.done = done;
    r.next_attempt = next_attempt;
    for (const auto& [task, p] : live) r.live[task] = {p.attempt, p.machine, p.zone};
    return r;
}

}  // namespace hareshore
