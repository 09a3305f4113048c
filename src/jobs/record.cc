#include "jobs/record.h"

#include <charconv>

#include "base/constants.h"
#include "jobs/compact.h"

namespace hareshore {

JobPhase JobRecord::phase() const {
    if (cancelled) return JobPhase::kCancelled;
    return live.empty() ? JobPhase::kPending : JobPhase::kRunning;
}

std::string JobRecord::pack(uint64_t record_format) const {
    MsgpackWriter p;
    p.map(record_format < 2 ? 26 : 28);
    p.key("id").text(spec.id).key("class").text(spec.job_class).key("team").text(spec.team);
    p.key("shape")
        .count(static_cast<uint64_t>(spec.kind))
        .key("rank")
        .count(static_cast<uint64_t>(spec.priority));
    p.key("tasks").count(spec.tasks).key("cpus").number(spec.cpus).key("gpus").number(spec.gpus);
    p.key("mem").number(spec.memory_gb).key("image").text(spec.image).key("image_gb").number(spec.image_gb);
    p.key("flavors").list(spec.machine_types.size());
    for (const auto& f : spec.machine_types) p.text(f);
    p.key("zone")
        .text(spec.zone)
        .key("one_zone")
        .flag(spec.single_zone)
        .key("apart")
        .flag(spec.spread_across_zones);
    p.key("spot").flag(spec.spot).key("estimate_s").number(spec.estimate_s);
    p.key("checkpoint_s").number(spec.checkpoint_s).key("save_s").number(spec.save_s);
    p.key("due_s").number(spec.due_s.value_or(-1)).key("at").number(accepted_wall.since_epoch);
    p.key("withdrawn").flag(cancelled);
    p.key("done")
        .text(record_format < 2 ? done.text() : compact_ranges(done))
        .key("next")
        .count(next_attempt);
    if (record_format < 2) {
        // A placement a line, "task attempt machine zone"; names of machines have no spaces.
        p.key("live").list(live.size());
        for (const auto& [task, b] : live)
            p.text(std::to_string(task) + ' ' + std::to_string(b.attempt) + ' ' + b.machine + ' ' + b.zone);
    } else {
        std::vector<LiveTask> tasks;
        tasks.reserve(live.size());
        for (const auto& [task, b] : live) tasks.push_back({task, b.attempt, b.machine, b.zone});
        CompactLive c = compact_live(tasks);
        p.key("zones").list(c.zones.size());
        for (const auto& z : c.zones) p.text(z);
        p.key("hosts").list(c.names.size());
        for (const auto& h : c.names) p.text(h);
        p.key("live").text(c.text);
    }
    p.key("v").count(record_format);
    return p.take();
}

bool newer_record_format(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    return m && m->root().is_map() && m->root()["v"].count_or(1) > kNewestRecordFormat;
}

namespace {

std::optional<std::pair<uint32_t, PlacementRecord>> parse_bound(const std::string& s) {
    uint32_t task = 0;
    PlacementRecord b;
    const char* end = s.data() + s.size();
    auto a = std::from_chars(s.data(), end, task);
    if (a.ec != std::errc{} || a.ptr == end || *a.ptr != ' ') return std::nullopt;
    auto c = std::from_chars(a.ptr + 1, end, b.attempt);
    if (c.ec != std::errc{} || c.ptr == end || *c.ptr != ' ') return std::nullopt;
    std::string rest(c.ptr + 1, end);
    auto space = rest.find(' ');
    if (space == std::string::npos) return std::nullopt;
    b.machine = rest.substr(0, space);
    b.zone = rest.substr(space + 1);
    if (b.machine.empty()) return std::nullopt;
    return std::pair{task, b};
}

}  // namespace

std::optional<JobRecord> JobRecord::unpack(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    if (!m || !m->root().is_map()) return std::nullopt;
    MsgpackValue n = m->root();
    uint64_t record_format = n["v"].count_or(1);
    if (record_format > kNewestRecordFormat) return std::nullopt;
    JobRecord r;
    r.spec.id = n["id"].text_or("");
    r.spec.job_class = n["class"].text_or("");
    r.spec.team = n["team"].text_or("");
    r.spec.kind = static_cast<JobKind>(std::min<uint64_t>(2, n["shape"].count_or(0)));
    r.spec.priority = static_cast<PriorityClass>(std::min<uint64_t>(3, n["rank"].count_or(1)));
    uint64_t tasks = n["tasks"].count_or(0);
    if (r.spec.id.empty() || tasks == 0 || tasks > constants::kMaxTasksPerJob) return std::nullopt;
    r.spec.tasks = static_cast<uint32_t>(tasks);
    r.spec.cpus = n["cpus"].number_or(0);
    r.spec.gpus = n["gpus"].number_or(0);
    r.spec.memory_gb = n["mem"].number_or(0);
    r.spec.image = n["image"].text_or("");
    r.spec.image_gb = n["image_gb"].number_or(0);
    for (size_t i = 0; i < n["flavors"].size(); ++i)
        r.spec.machine_types.push_back(n["flavors"].at(i).text_or(""));
    r.spec.zone = n["zone"].text_or("");
    r.spec.single_zone = n["one_zone"].flag_or(false);
    r.spec.spread_across_zones = n["apart"].flag_or(false);
    r.spec.spot = n["spot"].flag_or(false);
    r.spec.estimate_s = n["estimate_s"].number_or(0);
    r.spec.checkpoint_s = n["checkpoint_s"].number_or(0);
    r.spec.save_s = n["save_s"].number_or(0);
    if (double due = n["due_s"].number_or(-1); due >= 0) r.spec.due_s = due;
    r.accepted_wall = {n["at"].number_or(0)};
    r.cancelled = n["withdrawn"].flag_or(false);
    std::string done_text = n["done"].text_or("");
    auto done = record_format < 2 ? Ranges::parse(done_text, r.spec.tasks)
                                  : parse_compact_ranges(done_text, r.spec.tasks);
    if (!done) return std::nullopt;
    r.done = *done;
    r.next_attempt = std::max<uint64_t>(1, n["next"].count_or(1));
    if (record_format >= 2) {
        CompactLive c;
        for (size_t i = 0; i < n["zones"].size(); ++i) c.zones.push_back(n["zones"].at(i).text_or(""));
        for (size_t i = 0; i < n["hosts"].size(); ++i) c.names.push_back(n["hosts"].at(i).text_or(""));
        auto text = n["live"].text();
        if (!text) return std::nullopt;
        c.text = std::move(*text);
        auto live = parse_compact_live(c, r.spec.tasks);
        if (!live) return std::nullopt;
        r.live = std::move(*live);
        return r;
    }
    for (size_t i = 0; i < n["live"].size(); ++i) {
        auto b = parse_bound(n["live"].at(i).text_or(""));
        if (!b || b->first >= r.spec.tasks) return std::nullopt;
        r.live.insert(*b);
    }
    return r;
}

std::string FinalRecord::pack() const {
    MsgpackWriter p;
    p.map(4)
        .key("id")
        .text(id)
        .key("withdrawn")
        .flag(cancelled)
        .key("tasks")
        .count(tasks)
        .key("done")
        .count(done);
    return p.take();
}

std::optional<FinalRecord> FinalRecord::unpack(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    if (!m || !m->root().is_map()) return std::nullopt;
    FinalRecord r;
    if (m->root()["v"].count_or(1) > kNewestRecordFormat) return std::nullopt;
    auto cancelled = m->root()["withdrawn"].flag();
    r.id = m->root()["id"].text_or("");
    if (!cancelled || r.id.empty()) return std::nullopt;
    r.cancelled = *cancelled;
    r.tasks = static_cast<uint32_t>(m->root()["tasks"].count_or(0));
    r.done = static_cast<uint32_t>(m->root()["done"].count_or(0));
    return r;
}

}  // namespace hareshore
