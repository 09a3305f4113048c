#include "config/settings.h"

#include <sexp.h>

#include <cctype>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "config/config_error.h"
#include "config/text_file.h"

namespace hareshore {

namespace {

enum class NumberKind : uint8_t { kDecimal, kInteger };

// The name, range and setter of one setting.
struct SettingRule {
    const char* name = nullptr;
    double min = 0;
    double max = 0;
    void (*set)(Settings&, double) = nullptr;
    NumberKind kind = NumberKind::kDecimal;
};

const SettingRule kSettingRules[] = {
    {"hold-s", 0, 600, [](Settings& s, double v) { s.hold_s = v; }},
    {"similar-age-s", 0, 3600, [](Settings& s, double v) { s.similar_age_s = v; }},
    {"begin-bound-s", 0, 86400, [](Settings& s, double v) { s.begin_bound_s = v; }},
    {"age-bound-s", 0, 86400, [](Settings& s, double v) { s.age_bound_s = v; }},
    {"min-machines", 0, 10000, [](Settings& s, double v) { s.min_machines = static_cast<int>(v); },
     NumberKind::kInteger},
    {"max-machines", 0, 10000, [](Settings& s, double v) { s.max_machines = static_cast<int>(v); },
     NumberKind::kInteger},
    {"min-idle-machines", 0, 1000, [](Settings& s, double v) { s.min_idle_machines = static_cast<int>(v); },
     NumberKind::kInteger},
    {"idle-return-s", 5, 86400, [](Settings& s, double v) { s.idle_return_s = v; }},
    {"calm-s", 0, 86400, [](Settings& s, double v) { s.calm_s = v; }},
    {"preempt-after-s", 0, 3600, [](Settings& s, double v) { s.preempt_after_s = v; }},
};

std::string at_line(size_t line) {
    return "line " + std::to_string(line) + ": ";
}

[[noreturn]] void fail_syntax(size_t line) {
    throw ConfigError(ConfigError::Kind::kSyntax, at_line(line) + "expected (name value)");
}

// The text of one "(name value)" in the file.
struct Expression {
    std::string text;
    size_t line = 1;  // of its first character
};

// Splits the file into expressions, so that errors can name the line. A semicolon starts a comment.
class ExpressionScanner {
  public:
    explicit ExpressionScanner(const std::string& text) : text_(text) {}

    // Returns the next expression; empty at the end of the file. Throws ConfigError on any other input.
    std::optional<Expression> next() {
        skip_blanks_and_comments();
        if (position_ == text_.size()) return std::nullopt;
        size_t close = text_.find(')', position_);
        if (text_[position_] != '(' || close == std::string::npos) fail_syntax(line_);
        Expression expression{text_.substr(position_, close - position_ + 1), line_};
        bool nested = expression.text.find('(', 1) != std::string::npos;
        if (nested || expression.text.find_first_of(";\"'`,[]{}|") != std::string::npos) fail_syntax(line_);
        for (; position_ <= close; ++position_) count_line();
        return expression;
    }

  private:
    void count_line() {
        if (text_[position_] == '\n') ++line_;
    }
    void skip_blanks_and_comments() {
        bool in_comment = false;
        for (; position_ < text_.size(); ++position_) {
            char c = text_[position_];
            if (c == ';') in_comment = true;
            if (c == '\n') in_comment = false;
            if (!in_comment && !std::isspace(static_cast<unsigned char>(c))) return;
            count_line();
        }
    }

    const std::string& text_;
    size_t position_ = 0;
    size_t line_ = 1;
};

struct NameAndValue {
    std::string name;
    std::string value;
};

NameAndValue parse_expression(const Expression& expression) {
    std::string text = expression.text;  // the parser needs a writable buffer
    sexp_t* parsed = parse_sexp(text.data(), text.size());
    const sexp_t* name = parsed && parsed->ty == SEXP_LIST ? parsed->list : nullptr;
    const sexp_t* value = name && name->ty == SEXP_VALUE ? name->next : nullptr;
    bool is_pair = value && value->ty == SEXP_VALUE && !value->next;
    NameAndValue result;
    if (is_pair) result = {name->val, value->val};
    if (parsed) destroy_sexp(parsed);
    if (!is_pair) fail_syntax(expression.line);
    return result;
}

double parse_value(const SettingRule& rule, const std::string& text, const std::string& location) {
    auto fail = [&](const std::string& problem) {
        throw ConfigError(ConfigError::Kind::kInvalidValue, location + rule.name + ": " + problem);
    };
    double value = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) fail("expected a number");
    bool integer = rule.kind == NumberKind::kInteger;
    bool in_range = value >= rule.min && value <= rule.max;
    if (!in_range || (integer && value != static_cast<int>(value)))
        fail((integer ? "must be an integer from " : "must be from ") +
             std::to_string(static_cast<int>(rule.min)) + " to " +
             std::to_string(static_cast<int>(rule.max)));
    return value;
}

void apply(Settings& settings, const NameAndValue& setting, const std::string& location) {
    for (const SettingRule& rule : kSettingRules) {
        if (rule.name != setting.name) continue;
        rule.set(settings, parse_value(rule, setting.value, location));
        return;
    }
    throw ConfigError(ConfigError::Kind::kUnknownName, location + "unknown setting " + setting.name);
}

}  // namespace

Settings Settings::load(const std::string& path) {
    return parse(read_text_file(path));
}

Settings Settings::parse(const std::string& text) {
    Settings settings;
    ExpressionScanner scanner(text);
    while (std::optional<Expression> expression = scanner.next())
        apply(settings, parse_expression(*expression), at_line(expression->line));
    sexp_cleanup();
    return settings;
}

}  // namespace hareshore
