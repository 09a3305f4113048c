// Runs a single coroutine to completion on a test's event loop.
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

// Runs the loop until the task completes and returns its result. Throws after a minute on the loop's clock.
template <class Result>
Result await(Loop& loop, Task<Result> task) {
    constexpr Seconds kTimeout_s = 60;
    std::optional<Result> result;
    TaskGroup group(loop);
    group.spawn(store_result(std::move(task), result), "awaited");
    if (!loop.run_until([&] { return result.has_value(); }, kTimeout_s))
        throw std::runtime_error("the task did not complete within the timeout");
    return *std::move(result);
}

}  // namespace hareshore::test
