// The name of a task as workers report it: the job's id and the task's index.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace hareshore {

// "job-000412/3" to the job's id and the task's number.
struct TaskName {
    std::string job;
    uint32_t task = 0;
    std::string text() const { return job + '/' + std::to_string(task); }
    static std::optional<TaskName> parse(const std::string& text);
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const TaskName&) const = default;
};

}  // namespace hareshore
