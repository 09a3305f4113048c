#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <iterator>

namespace hareshore {

bool setup_log(const char* level, const std::string& label) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    auto logger = std::make_shared<spdlog::logger>(label, std::move(sink));
    std::string_view requested = level ? level : "info";
    bool level_known = true;
    if (requested == "error") {
        logger->set_level(spdlog::level::err);
    } else if (requested == "debug") {
        logger->set_level(spdlog::level::debug);
    } else {
        level_known = requested == "info" || requested.empty();
        logger->set_level(spdlog::level::info);
    }
    logger->set_pattern("%H:%M:%S.%e %n %L %v");
    spdlog::set_default_logger(std::move(logger));
    return level_known;
}

namespace log {

namespace {

bool needs_quotes(std::string_view text) {
    return text.empty() || text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

// Quotes text with spaces, quotes or line breaks, so that an event stays one line with separable fields.
void append_text(fmt::memory_buffer& line, std::string_view text) {
    if (!needs_quotes(text)) {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (char c : text) {
        if (c == '"' || c == '\\') line.push_back('\\');
        line.push_back(c == '\n' || c == '\r' || c == '\t' ? ' ' : c);
    }
    line.push_back('"');
}

struct AppendValue {
    fmt::memory_buffer& line;

    void operator()(std::string_view text) const { append_text(line, text); }
    void operator()(bool flag) const { append_text(line, flag ? "true" : "false"); }
    void operator()(double number) const { fmt::format_to(std::back_inserter(line), "{:.3f}", number); }
    void operator()(int64_t number) const { fmt::format_to(std::back_inserter(line), "{}", number); }
    void operator()(uint64_t number) const { fmt::format_to(std::back_inserter(line), "{}", number); }
};

void write(spdlog::level::level_enum level, std::string_view event, Fields fields) {
    spdlog::logger* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) return;
    fmt::memory_buffer line;
    line.append(event);
    for (const Field& field : fields) {
        line.push_back(' ');
        line.append(field.key());
        line.push_back('=');
        std::visit(AppendValue{line}, field.value());
    }
    logger->log(level, spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace

void debug(std::string_view event, Fields fields) {
    write(spdlog::level::debug, event, fields);
}
void info(std::string_view event, Fields fields) {
    write(spdlog::level::info, event, fields);
}
void warn(std::string_view event, Fields fields) {
    write(spdlog::level::warn, event, fields);
}
void error(std::string_view event, Fields fields) {
    write(spdlog::level::err, event, fields);
}

}  // namespace log
}  // namespace hareshore
