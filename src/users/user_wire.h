// The users' wire format: the only files with the paths, field names and enumerators of the users' protocol.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "model/job_spec.h"

namespace hareshore {

// The operations that users can request.
enum class UserOperation : uint8_t { kSubmit, kQuery, kCancel };

struct UserRoute {
    UserOperation operation = UserOperation::kSubmit;
    std::string job_id;  // empty for kSubmit
};

// Why a request is refused because of its method or path.
enum class RouteError : uint8_t {
    kUnknownPath,      // not one of the users' paths
    kSubmitNeedsPost,  // wrong method
    kUnknownJobPath,   // a job's path, but not an operation on a job
    kQueryNeedsGet,    // wrong method
    kCancelNeedsPost,  // wrong method
    kInvalidJobId,     // treated as an unknown job
};

// The route of a request, given its method and its path without the query.
[[nodiscard]] tl::expected<UserRoute, RouteError> parse_route(std::string_view method, std::string_view path);
// The HTTP status and the error message of the refusal.
[[nodiscard]] int status_of(RouteError error);
[[nodiscard]] std::string describe(RouteError error);

// Why a submission is malformed.
struct SubmissionError {
    enum class Kind : uint8_t { kNotMessagePack, kNotMap, kInvalidField };
    Kind kind = Kind::kInvalidField;
    std::string field;  // with kInvalidField: the wire name of the first missing or invalid field
};

// Parses the body of a submission.
[[nodiscard]] tl::expected<JobSpec, SubmissionError> parse_submission(std::string_view body);
// A one-line message for the user.
[[nodiscard]] std::string describe(const SubmissionError& error);

// Whether `id` has the form of a job id: "job-" followed by digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

// The bodies of responses: a job's phase, its phase with its task counts, and an error message.
[[nodiscard]] std::string pack_phase(const std::string& id, JobPhase phase);
[[nodiscard]] std::string pack_status(const std::string& id, JobPhase phase, uint32_t done, uint32_t running);
[[nodiscard]] std::string pack_error(const std::string& text);

}  // namespace hareshore
