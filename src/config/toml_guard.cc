#include "config/toml_guard.h"

#include <cctype>
#include <cstring>

#include "config/config_error.h"

namespace hareshore {

namespace {

// Tracks strings, comments and lines byte by byte, as far as the check needs them.
class TomlScanner {
  public:
    explicit TomlScanner(const std::string& text) : text_(text) {}

    void check() {
        while (position_ < text_.size()) {
            char c = text_[position_];
            scan_strings_and_comments(c);
            scan_lines(c);
            ++position_;
        }
    }

  private:
    static constexpr char kNone = 0;        // outside strings and comments
    static constexpr char kComment = '\n';  // a comment ends with the line

    static bool is_ascii(char c) { return static_cast<unsigned char>(c) < 0x80; }

    void scan_strings_and_comments(char c) {
        if (c == '\n') {
            end_ = kNone;
        } else if (end_ != kNone) {
            bool escaped = c == '\\' && end_ == '"' && position_ + 1 < text_.size();
            if (escaped && text_[position_ + 1] != '\n') ++position_;
            if (c == end_) end_ = kNone;
        } else if (c == '"' || c == '\'') {
            end_ = c;
        } else if (c == '#') {
            end_ = kComment;
        } else if (!is_ascii(c)) {
            fail("non-ASCII character outside a string or comment");
        }
    }

    void scan_lines(char c) {
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

    // After "[" or "[[" and blanks, the name must start with a letter, a digit, '_', '-' or a quote.
    void check_table_name() const {
        size_t name = position_ + 1;
        if (name < text_.size() && text_[name] == '[') ++name;
        while (name < text_.size() && (text_[name] == ' ' || text_[name] == '\t')) ++name;
        auto first = name < text_.size() ? static_cast<unsigned char>(text_[name]) : 0;
        bool alphanumeric = first < 0x80 && std::isalnum(first);
        if (!alphanumeric && (first == 0 || !std::strchr("_-\"'", first))) fail("expected a table name");
    }

    [[noreturn]] void fail(const std::string& problem) const {
        throw ConfigError(ConfigError::Kind::kSyntax,
                          "settings: line " + std::to_string(line_) + ": " + problem);
    }

    const std::string& text_;
    size_t position_ = 0;
    size_t line_ = 1;
    bool only_blanks_ = true;  // on this line so far
    char end_ = kNone;         // the character that ends the current string or comment
};

}  // namespace

void check_toml(const std::string& text) {
    TomlScanner(text).check();
}

}  // namespace hareshore
