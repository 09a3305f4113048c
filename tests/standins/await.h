// Runs single tasks on a test's event loop.
#pragma once
#include <optional>
#include <stdexcept>
#include <utility>

#include "loop/loop.h"

namespace hareshore::test {

template <class Result>
Task<void> store_result(Task<Result> task, std::optional<Result>& result) {
    result = co_await std::move(task);
}

// Turns the loop until the task has ended, for at most a minute of its clock; the task's result.
template <class Result>
Result await(Loop& loop, Task<Result> task) {
    constexpr Seconds kAtMost_s = 60;
    std::optional<Result> result;
    TaskGroup group(loop);
    group.spawn(store_result(std::move(task), result), "awaited");
    if (!loop.run_until([&] { return result.has_value(); }, kAtMost_s))
        throw std::runtime_error("the task has not ended");
    return *std::move(result);
}

}  // namespace hareshore::test
