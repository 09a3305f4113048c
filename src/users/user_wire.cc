#include "users/user_wire.h"

#include <optional>
#include <utility>
#include <vector>

#include "base/constants.h"
#include "http/msgpack.h"

namespace hareshore {

namespace {

constexpr std::string_view kJobsPath = "/v2/runs";
constexpr std::string_view kCancelOperation = "withdraw";
constexpr std::string_view kJobIdPrefix = "job-";

constexpr size_t kJobIdLimit = 64;       // bytes of a job id
constexpr size_t kNameLimit = 128;       // bytes of any other name
constexpr size_t kEnumeratorLimit = 16;  // bytes of an enumerator's text
constexpr size_t kNameListLimit = 64;    // names in a list
constexpr double kMaxAmount = 1e12;      // far above any valid amount, and far below overflow

const char* phase_name(JobPhase phase) {
    switch (phase) {
        case JobPhase::kPending:
            return "pending";
        case JobPhase::kRunning:
            return "running";
        case JobPhase::kDone:
            return "done";
        case JobPhase::kCancelled:
            return "withdrawn";
    }
    return "pending";
}

std::optional<JobKind> parse_kind(std::string_view text) {
    if (text == "sweep") return JobKind::kArray;
    if (text == "ensemble") return JobKind::kGang;
    if (text == "standing") return JobKind::kService;
    return std::nullopt;
}

std::optional<PriorityClass> parse_priority(std::string_view text) {
    if (text == "production") return PriorityClass::kProduction;
    if (text == "high") return PriorityClass::kHigh;
    if (text == "standard") return PriorityClass::kStandard;
    if (text == "idle") return PriorityClass::kIdle;
    return std::nullopt;
}

// Reads the fields of a map and records the first one that is missing or invalid.
class FieldReader {
  public:
    explicit FieldReader(MsgpackValue map) : map_(map) {}
    // The first invalid field; empty if all are valid.
    [[nodiscard]] const std::string& first_invalid() const { return first_invalid_; }

    std::string text(const char* field, size_t max_size) {
        std::optional<std::string> value = map_[field].text();
        if (!value || value->empty() || value->size() > max_size) mark_invalid(field);
        return value.value_or("");
    }
    std::string optional_text(const char* field, size_t max_size) {
        return map_[field].null() ? "" : text(field, max_size);
    }
    double amount(const char* field) {
        std::optional<double> value = map_[field].number();
        if (!value || *value < 0 || *value > kMaxAmount) mark_invalid(field);
        return value.value_or(0);
    }
    std::optional<double> optional_amount(const char* field) {
        if (map_[field].null()) return std::nullopt;
        return amount(field);
    }
    bool flag(const char* field) {
        std::optional<bool> value = map_[field].flag();
        if (!value) mark_invalid(field);
        return value.value_or(false);
    }
    uint64_t count(const char* field, uint64_t min, uint64_t max) {
        std::optional<uint64_t> value = map_[field].count();
        if (!value || *value < min || *value > max) mark_invalid(field);
        return value.value_or(0);
    }
    std::vector<std::string> optional_names(const char* field) {
        std::vector<std::string> names;
        MsgpackValue list = map_[field];
        if (list.null()) return names;
        if (!list.is_list() || list.size() == 0 || list.size() > kNameListLimit) mark_invalid(field);
        for (size_t index = 0; index < list.size(); ++index) {
            std::optional<std::string> name = list.at(index).text();
            if (!name || name->empty() || name->size() > kNameLimit) {
                mark_invalid(field);
                break;
            }
            names.push_back(std::move(*name));
        }
        return names;
    }
    template <class Enum>
    Enum enumerator(const char* field, std::optional<Enum> (*parse)(std::string_view), Enum fallback) {
        std::optional<Enum> value = parse(text(field, kEnumeratorLimit));
        if (!value) mark_invalid(field);
        return value.value_or(fallback);
    }
    void mark_invalid(const char* field) {
        if (first_invalid_.empty()) first_invalid_ = field;
    }

  private:
    MsgpackValue map_;
    std::string first_invalid_;
};

}  // namespace

tl::expected<UserRoute, RouteError> parse_route(std::string_view method, std::string_view path) {
    if (path == kJobsPath) {
        if (method != "POST") return tl::unexpected(RouteError::kSubmitNeedsPost);
        return UserRoute{UserOperation::kSubmit, ""};
    }
    if (!path.starts_with(kJobsPath) || path[kJobsPath.size()] != '/')
        return tl::unexpected(RouteError::kUnknownPath);
    std::string_view rest = path.substr(kJobsPath.size() + 1);
    size_t slash = rest.find('/');
    std::string_view id = rest.substr(0, slash);
    UserOperation operation = UserOperation::kQuery;
    if (slash != std::string_view::npos) {
        if (rest.substr(slash + 1) != kCancelOperation) return tl::unexpected(RouteError::kUnknownJobPath);
        operation = UserOperation::kCancel;
    }
    if (operation == UserOperation::kQuery && method != "GET")
        return tl::unexpected(RouteError::kQueryNeedsGet);
    if (operation == UserOperation::kCancel && method != "POST")
        return tl::unexpected(RouteError::kCancelNeedsPost);
    if (!valid_job_id(id)) return tl::unexpected(RouteError::kInvalidJobId);
    return UserRoute{operation, std::string(id)};
}

int status_of(RouteError error) {
    switch (error) {
        case RouteError::kSubmitNeedsPost:
        case RouteError::kQueryNeedsGet:
        case RouteError::kCancelNeedsPost:
            return 405;
        case RouteError::kUnknownPath:
        case RouteError::kUnknownJobPath:
        case RouteError::kInvalidJobId:
            return 404;
    }
    return 404;
}

std::string describe(RouteError error) {
    switch (error) {
        case RouteError::kSubmitNeedsPost:
        case RouteError::kCancelNeedsPost:
            return "use POST";
        case RouteError::kQueryNeedsGet:
            return "use GET";
        case RouteError::kUnknownPath:
        case RouteError::kUnknownJobPath:
            return "unknown path";
        case RouteError::kInvalidJobId:
            return "unknown job";
    }
    return "unknown path";
}

bool valid_job_id(std::string_view id) {
    if (id.size() <= kJobIdPrefix.size() || id.size() > kJobIdLimit) return false;
    if (!id.starts_with(kJobIdPrefix)) return false;
    return id.find_first_not_of("0123456789", kJobIdPrefix.size()) == std::string_view::npos;
}

tl::expected<JobSpec, SubmissionError> parse_submission(std::string_view body) {
    std::optional<MsgpackDocument> document = MsgpackDocument::parse(body);
    if (!document) return tl::unexpected(SubmissionError{SubmissionError::Kind::kNotMessagePack, ""});
    if (!document->root().is_map())
        return tl::unexpected(SubmissionError{SubmissionError::Kind::kNotMap, ""});
    FieldReader fields(document->root());
    JobSpec spec;
    spec.id = fields.text("ref", kJobIdLimit);
    if (!valid_job_id(spec.id)) fields.mark_invalid("ref");
    spec.job_class = fields.text("jobclass", kNameLimit);
    spec.team = fields.text("owner", kNameLimit);
    spec.kind = fields.enumerator("shape", parse_kind, spec.kind);
    spec.priority = fields.enumerator("rank", parse_priority, spec.priority);
    spec.tasks = static_cast<uint32_t>(fields.count("pieces", 1, constants::kMaxTasksPerJob));
    spec.cpus = fields.amount("vcpus");
    spec.gpus = fields.amount("cards");
    spec.memory_gb = fields.amount("memory_gb");
    spec.image = fields.text("bundle", kNameLimit);
    spec.image_gb = fields.amount("size_gb");
    spec.machine_types = fields.optional_names("flavors");
    spec.zone = fields.optional_text("cove", kNameLimit);
    spec.single_zone = fields.flag("one_zone");
    spec.spread_across_zones = fields.flag("apart");
    spec.spot = fields.flag("driftwood");
    spec.estimate_s = fields.amount("expect_s");
    spec.checkpoint_s = fields.amount("snapshot_s");
    spec.save_s = fields.amount("flush_s");
    spec.due_s = fields.optional_amount("due_s");
    if (!fields.first_invalid().empty())
        return tl::unexpected(SubmissionError{SubmissionError::Kind::kInvalidField, fields.first_invalid()});
    return spec;
}

std::string describe(const SubmissionError& error) {
    switch (error.kind) {
        case SubmissionError::Kind::kNotMessagePack:
            return "not MessagePack";
        case SubmissionError::Kind::kNotMap:
            return "not a map";
        case SubmissionError::Kind::kInvalidField:
            break;
    }
    return error.field + " is missing or invalid";
}

std::string pack_phase(const std::string& id, JobPhase phase) {
    MsgpackWriter writer;
    writer.map(2);
    writer.key("ref").text(id);
    writer.key("phase").text(phase_name(phase));
    return writer.take();
}

std::string pack_status(const std::string& id, JobPhase phase, uint32_t done, uint32_t running) {
    MsgpackWriter writer;
    writer.map(4);
    writer.key("ref").text(id);
    writer.key("phase").text(phase_name(phase));
    writer.key("done").count(done);
    writer.key("running").count(running);
    return writer.take();
}

std::string pack_error(const std::string& text) {
    MsgpackWriter writer;
    writer.map(1).key("error").text(text);
    return writer.take();
}

}  // namespace hareshore
