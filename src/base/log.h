// Structured logging to standard error: one event per line, an event name followed by key=value fields.
#pragma once
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace hareshore {

// Sets up the process's log. `level` is the value of LOG_LEVEL (error, info or debug), null if it is unset;
// `label` identifies the controller in each line. Returns false and uses info if the level is unknown.
bool setup_log(const char* level, const std::string& label);

namespace log {

// One key=value field of an event. Text is held as a view, so a Field must not outlive the logging call.
class Field {
  public:
    using Value = std::variant<std::string_view, int64_t, uint64_t, double, bool>;

    template <class T>
    Field(std::string_view key, const T& value) : key_(key), value_(to_value(value)) {}

    [[nodiscard]] std::string_view key() const { return key_; }
    [[nodiscard]] const Value& value() const { return value_; }

  private:
    template <class T>
    static Value to_value(const T& value) {
        if constexpr (std::same_as<T, bool>) {
            return value;
        } else if constexpr (std::floating_point<T>) {
            return static_cast<double>(value);
        } else if constexpr (std::signed_integral<T>) {
            return static_cast<int64_t>(value);
        } else if constexpr (std::unsigned_integral<T>) {
            return static_cast<uint64_t>(value);
        } else {
            return std::string_view(value);
        }
    }

    std::string_view key_;
    Value value_;
};
using Fields = std::initializer_list<Field>;

// Each function writes one event if its level is enabled. `event` is a constant name in snake_case, which
// docs/on-call.md documents. Keys that end in _s are in seconds, those in _pct in percent.
void debug(std::string_view event, Fields fields);
void info(std::string_view event, Fields fields);
void warn(std::string_view event, Fields fields);
void error(std::string_view event, Fields fields);

}  // namespace log
}  // namespace hareshore
