#include "model/task_name.h"

#include <charconv>

namespace hareshore {

std::optional<TaskName> TaskName::parse(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos || slash == 0) return std::nullopt;
    TaskName name;
    name.job = text.substr(0, slash);
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + slash + 1, end, name.task);
    if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
    return name;
}

}  // namespace hareshore
