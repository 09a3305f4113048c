#include "config/toml_guard.h"

#include <cctype>
#include <cstring>

#include "config/config_error.h"

namespace hareshore {

namespace {

// Follows strings, comments and lines byte by byte, as far as the check needs them.
class TomlScanner {
  public:
    explicit TomlScanner(const std::string& text) : text_(text) {}

    void check() {
        while (position_ < text_.size()) {
            char c = text_[position_];
            follow_quotes(c);
            follow_lines(c);
            ++position_;
        }
    }

  private:
    static constexpr char kNone = 0;        // outside of strings and comments
    static constexpr char kComment = '\n';  // ends with the line

    static bool is_ascii(char c) { return static_cast<unsigned char>(c) < 0x80; }

    void follow_quotes(char c) {
        if (c == '\n') {
            quote_ = kNone;
        } else if (quote_ != kNone) {
            bool escaped = c == '\\' && quote_ == '"' && position_ + 1 < text_.size();
            if (escaped && text_[position_ + 1] != '\n') ++position_;
            if (c == quote_) quote_ = kNone;
        } else if (c == '"' || c == '\'') {
            quote_ = c;
        } else if (c == '#') {
            quote_ = kComment;
        } else if (!is_ascii(c)) {
            fail("a letter outside ASCII and of no text");
        }
    }

    void follow_lines(char c) {
        if (c == '\n') ++line_;
        if (c == '\n' || c == '\r' || c == '\v' || c == '\f') {
            only_blanks_ = true;
        } else if (only_blanks_ && c == '[') {
            only_blanks_ = false;
            check_table_name();
        } else if (c != ' ' && c != '\t' && is_ascii(c)) {
            only_blanks_ = false;
        }
    }

    // The name begins with a letter, a digit, '_', '-' or a quote, after "[" or "[[" and blanks.
    void check_table_name() const {
        size_t name = position_ + 1;
        if (name < text_.size() && text_[name] == '[') ++name;
        while (name < text_.size() && (text_[name] == ' ' || text_[name] == '\t')) ++name;
        auto first = name < text_.size() ? static_cast<unsigned char>(text_[name]) : 0;
        bool alphanumeric = first < 0x80 && std::isalnum(first);
        if (!alphanumeric && (first == 0 || !std::strchr("_-\"'", first))) fail("a table's name is needed");
    }

    [[noreturn]] void fail(const std::string& what) const {
        throw ConfigError(ConfigError::Kind::kSyntax,
                          "settings: line " + std::to_string(line_) + ": " + what);
    }

    const std::string& text_;
    size_t position_ = 0;
    size_t line_ = 1;
    bool only_blanks_ = true;  // nothing but blanks so far on this line
    char quote_ = kNone;       // what ends the string or comment that the current byte is in
};

}  // namespace

void check_toml(const std::string& text) {
    TomlScanner(text).check();
}

}  // namespace hareshore
