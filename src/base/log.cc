#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <string_view>

namespace hareshore {

bool setup_log(const char* level, const std::string& label) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    auto logger = std::make_shared<spdlog::logger>(label, std::move(sink));
    std::string_view want = level ? level : "info";
    bool known = true;
    if (want == "error") {
        logger->set_level(spdlog::level::err);
    } else if (want == "debug") {
        logger->set_level(spdlog::level::debug);
    } else {
        known = want == "info" || want.empty();
        logger->set_level(spdlog::level::info);
    }
    logger->set_pattern("%H:%M:%S.%e %n %L %v");
    spdlog::set_default_logger(std::move(logger));
    return known;
}

}  // namespace hareshore
