#include "model/task_name.h"

#include <charconv>

namespace hareshore {

std::optional<TaskName> TaskName::parse(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos || slash == 0) return std::nullopt;
    TaskName t;
    t.job = text.substr(0, slash);
    const char* end = text.data() + text.size();
    auto got = std::from_chars(text.data() + slash + 1, end, t.task);
    if (got.ec != std::errc{} || got.ptr != end) return std::nullopt;
    return t;
}

}  // namespace hareshore
