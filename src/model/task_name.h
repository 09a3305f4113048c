// The name of a task in the worker protocol: the job's id and the task's index, such as "job-000412/3".
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace hareshore {

struct TaskName {
    std::string job;
    uint32_t task = 0;

    [[nodiscard]] std::string text() const { return job + '/' + std::to_string(task); }
    // std::nullopt if the text is not a task name.
    [[nodiscard]] static std::optional<TaskName> parse(const std::string& text);
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const TaskName&) const = default;
};

}  // namespace hareshore
