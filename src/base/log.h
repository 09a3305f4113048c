// Logging: one line an event on standard error, level from LOG_LEVEL (error, info, debug).
#pragma once
#include <spdlog/spdlog.h>

namespace hareshore {

// Sets up the log; an unknown or missing level means info. False if the level was unknown.
bool setup_log(const char* level, const std::string& label);

namespace log {
using spdlog::debug;
using spdlog::error;
using spdlog::info;
using spdlog::warn;
}  // namespace log

}  // namespace hareshore
