// The users' protocol: the only file pair that has its paths, field names and enumerated texts.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "model/job_spec.h"

namespace hareshore {

// What a user requests.
enum class UserOperation : uint8_t { kSubmit, kQuery, kCancel };

struct UserRoute {
    UserOperation operation = UserOperation::kSubmit;
    std::string job_id;  // empty for kSubmit
};

// Why method and path of a request are refused.
enum class RouteError : uint8_t {
    kUnknownPath,      // outside of the users' paths
    kSubmitNeedsPost,  // wrong method
    kUnknownJobPath,   // below the jobs' path, but no operation on a job
    kQueryNeedsGet,    // wrong method
    kCancelNeedsPost,  // wrong method
    kInvalidJobId,     // answered as an unknown job
};

// The route of a request from its method and its path without query.
[[nodiscard]] tl::expected<UserRoute, RouteError> parse_route(std::string_view method, std::string_view path);
// Status and text of the refusal.
[[nodiscard]] int status_of(RouteError error);
[[nodiscard]] std::string describe(RouteError error);

// Why a submission is malformed.
struct SubmissionError {
    enum class Kind : uint8_t { kNotMessagePack, kNotMap, kInvalidField };
    Kind kind = Kind::kInvalidField;
    std::string field;  // kInvalidField: the name on the wire of the first missing or invalid field
};

// The job of a submission's body.
[[nodiscard]] tl::expected<JobSpec, SubmissionError> parse_submission(std::string_view body);
// One line for the user.
[[nodiscard]] std::string describe(const SubmissionError& error);

// Whether `id` has the form of a job id: "job-" and digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

// The bodies of responses: a job's phase, its phase with its numbers of tasks, and an error.
[[nodiscard]] std::string pack_phase(const std::string& id, JobPhase phase);
[[nodiscard]] std::string pack_status(const std::string& id, JobPhase phase, uint32_t done, uint32_t running);
[[nodiscard]] std::string pack_error(const std::string& text);

}  // namespace hareshore
