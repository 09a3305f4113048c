// Packs job records as MessagePack maps. The keys are part of the stored format and occur only in this file.
#include <algorithm>
#include <charconv>

#include "base/constants.h"
#include "jobs/compact_wire.h"
#include "jobs/record.h"

namespace hareshore {

namespace {

constexpr uint64_t kNewestKind = static_cast<uint64_t>(JobKind::kService);
constexpr uint64_t kNewestPriority = static_cast<uint64_t>(PriorityClass::kProduction);

// --- Packing

void pack_spec(MsgpackWriter& packer, const JobSpec& spec) {
    packer.key("id").text(spec.id);
    packer.key("class").text(spec.job_class);
    packer.key("team").text(spec.team);
    packer.key("shape").count(static_cast<uint64_t>(spec.kind));
    packer.key("rank").count(static_cast<uint64_t>(spec.priority));
    packer.key("tasks").count(spec.tasks);
    packer.key("cpus").number(spec.cpus);
    packer.key("gpus").number(spec.gpus);
    packer.key("mem").number(spec.memory_gb);
    packer.key("image").text(spec.image);
    packer.key("image_gb").number(spec.image_gb);
    packer.key("flavors").list(spec.machine_types.size());
    for (const auto& machine_type : spec.machine_types) packer.text(machine_type);
    packer.key("zone").text(spec.zone);
    packer.key("one_zone").flag(spec.single_zone);
    packer.key("apart").flag(spec.spread_across_zones);
    packer.key("spot").flag(spec.spot);
    packer.key("estimate_s").number(spec.estimate_s);
    packer.key("checkpoint_s").number(spec.checkpoint_s);
    packer.key("save_s").number(spec.save_s);
    packer.key("due_s").number(spec.due_s.value_or(-1));
}

// One line per placement, "task attempt machine zone"; machine names contain no spaces.
void pack_text_placements(MsgpackWriter& packer, const std::map<uint32_t, PlacementRecord>& live) {
    packer.key("live").list(live.size());
    for (const auto& [task, placement] : live)
        packer.text(std::to_string(task) + ' ' + std::to_string(placement.attempt) + ' ' + placement.machine +
                    ' ' + placement.zone);
}

void pack_compact_placements(MsgpackWriter& packer, const std::map<uint32_t, PlacementRecord>& live) {
    std::vector<LiveTask> tasks;
    tasks.reserve(live.size());
    for (const auto& [task, placement] : live)
        tasks.push_back({task, placement.attempt, placement.machine, placement.zone});
    CompactLive compact = compact_live(tasks);
    packer.key("zones").list(compact.zones.size());
    for (const auto& zone : compact.zones) packer.text(zone);
    packer.key("hosts").list(compact.names.size());
    for (const auto& name : compact.names) packer.text(name);
    packer.key("live").text(compact.text);
}

// --- Unpacking

uint64_t record_format_of(const MsgpackValue& fields) {
    return fields["v"].count_or(1);
}

std::vector<std::string> unpack_texts(const MsgpackValue& list) {
    std::vector<std::string> texts;
    texts.reserve(list.size());
    for (size_t i = 0; i < list.size(); ++i) texts.push_back(list.at(i).text_or(""));
    return texts;
}

std::optional<JobSpec> unpack_spec(const MsgpackValue& fields) {
    JobSpec spec;
    spec.id = fields["id"].text_or("");
    spec.job_class = fields["class"].text_or("");
    spec.team = fields["team"].text_or("");
    spec.kind = static_cast<JobKind>(std::min(kNewestKind, fields["shape"].count_or(0)));
    spec.priority = static_cast<PriorityClass>(std::min(kNewestPriority, fields["rank"].count_or(1)));
    uint64_t tasks = fields["tasks"].count_or(0);
    if (spec.id.empty() || tasks == 0 || tasks > constants::kMaxTasksPerJob) return std::nullopt;
    spec.tasks = static_cast<uint32_t>(tasks);
    spec.cpus = fields["cpus"].number_or(0);
    spec.gpus = fields["gpus"].number_or(0);
    spec.memory_gb = fields["mem"].number_or(0);
    spec.image = fields["image"].text_or("");
    spec.image_gb = fields["image_gb"].number_or(0);
    spec.machine_types = unpack_texts(fields["flavors"]);
    spec.zone = fields["zone"].text_or("");
    spec.single_zone = fields["one_zone"].flag_or(false);
    spec.spread_across_zones = fields["apart"].flag_or(false);
    spec.spot = fields["spot"].flag_or(false);
    spec.estimate_s = fields["estimate_s"].number_or(0);
    spec.checkpoint_s = fields["checkpoint_s"].number_or(0);
    spec.save_s = fields["save_s"].number_or(0);
    if (double due_s = fields["due_s"].number_or(-1); due_s >= 0) spec.due_s = due_s;
    return spec;
}

std::optional<Ranges> unpack_done(const MsgpackValue& fields, uint64_t record_format, uint32_t tasks) {
    std::string text = fields["done"].text_or("");
    return record_format < 2 ? Ranges::parse(text, tasks) : parse_compact_ranges(text, tasks);
}

struct TaskPlacement {
    uint32_t task = 0;
    PlacementRecord placement;
};

// Parses a line of format 1, "task attempt machine zone".
std::optional<TaskPlacement> parse_text_placement(const std::string& line) {
    TaskPlacement parsed;
    const char* end = line.data() + line.size();
    auto task = std::from_chars(line.data(), end, parsed.task);
    if (task.ec != std::errc{} || task.ptr == end || *task.ptr != ' ') return std::nullopt;
    auto attempt = std::from_chars(task.ptr + 1, end, parsed.placement.attempt);
    if (attempt.ec != std::errc{} || attempt.ptr == end || *attempt.ptr != ' ') return std::nullopt;
    std::string names(attempt.ptr + 1, end);
    auto space = names.find(' ');
    if (space == std::string::npos) return std::nullopt;
    parsed.placement.machine = names.substr(0, space);
    parsed.placement.zone = names.substr(space + 1);
    if (parsed.placement.machine.empty()) return std::nullopt;
    return parsed;
}

std::optional<std::map<uint32_t, PlacementRecord>> unpack_text_placements(const MsgpackValue& fields,
                                                                          uint32_t tasks) {
    std::map<uint32_t, PlacementRecord> live;
    MsgpackValue lines = fields["live"];
    for (size_t line = 0; line < lines.size(); ++line) {
        auto parsed = parse_text_placement(lines.at(line).text_or(""));
        if (!parsed || parsed->task >= tasks) return std::nullopt;
        live.emplace(parsed->task, std::move(parsed->placement));
    }
    return live;
}

std::optional<std::map<uint32_t, PlacementRecord>> unpack_compact_placements(const MsgpackValue& fields,
                                                                             uint32_t tasks) {
    CompactLive compact;
    compact.zones = unpack_texts(fields["zones"]);
    compact.names = unpack_texts(fields["hosts"]);
    auto text = fields["live"].text();
    if (!text) return std::nullopt;
    compact.text = std::move(*text);
    return parse_compact_live(compact, tasks);
}

}  // namespace

std::string JobRecord::pack(uint64_t record_format) const {
    constexpr size_t kFormat1Fields = 26;
    constexpr size_t kFormat2Fields = 28;
    MsgpackWriter packer;
    packer.map((record_format < 2 ? kFormat1Fields : kFormat2Fields) + (cancelled_wall ? 1 : 0));
    pack_spec(packer, spec);
    packer.key("at").number(accepted_wall.since_epoch);
    packer.key("withdrawn").flag(cancelled);
    packer.key("done").text(record_format < 2 ? done.text() : compact_ranges(done));
    packer.key("next").count(next_attempt);
    if (record_format < 2) {
        pack_text_placements(packer, live);
    } else {
        pack_compact_placements(packer, live);
    }
    packer.key("v").count(record_format);
    // Versions that do not know this field ignore it, and drop it when they write the record.
    if (cancelled_wall) packer.key("withdrawn_at").number(cancelled_wall->since_epoch);
    return packer.take();
}

std::optional<JobRecord> JobRecord::unpack(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    if (!message || !message->root().is_map()) return std::nullopt;
    MsgpackValue fields = message->root();
    uint64_t record_format = record_format_of(fields);
    if (record_format > kNewestRecordFormat) return std::nullopt;
    auto spec = unpack_spec(fields);
    if (!spec) return std::nullopt;
    auto done = unpack_done(fields, record_format, spec->tasks);
    if (!done) return std::nullopt;
    auto live = record_format < 2 ? unpack_text_placements(fields, spec->tasks)
                                  : unpack_compact_placements(fields, spec->tasks);
    if (!live) return std::nullopt;
    JobRecord record;
    record.spec = std::move(*spec);
    record.accepted_wall = {fields["at"].number_or(0)};
    record.cancelled = fields["withdrawn"].flag_or(false);
    if (auto cancelled_at = fields["withdrawn_at"].number(); record.cancelled && cancelled_at)
        record.cancelled_wall = WallTime{*cancelled_at};
    record.done = std::move(*done);
    record.next_attempt = std::max<uint64_t>(1, fields["next"].count_or(1));
    record.live = std::move(*live);
    return record;
}

bool newer_record_format(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    return message && message->root().is_map() && record_format_of(message->root()) > kNewestRecordFormat;
}

std::string FinalRecord::pack() const {
    constexpr size_t kFields = 4;
    MsgpackWriter packer;
    packer.map(kFields);
    packer.key("id").text(id);
    packer.key("withdrawn").flag(cancelled);
    packer.key("tasks").count(tasks);
    packer.key("done").count(done);
    return packer.take();
}

std::optional<FinalRecord> FinalRecord::unpack(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    if (!message || !message->root().is_map()) return std::nullopt;
    MsgpackValue fields = message->root();
    if (record_format_of(fields) > kNewestRecordFormat) return std::nullopt;
    auto cancelled = fields["withdrawn"].flag();
    FinalRecord record;
    record.id = fields["id"].text_or("");
    if (!cancelled || record.id.empty()) return std::nullopt;
    record.cancelled = *cancelled;
    record.tasks = static_cast<uint32_t>(fields["tasks"].count_or(0));
    record.done = static_cast<uint32_t>(fields["done"].count_or(0));
    return record;
}

}  // namespace hareshore
