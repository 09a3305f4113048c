#include <sexp.h>

#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

#include "config/config.h"

namespace hareshore {

namespace {

std::string slurp(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError("cannot read " + path);
    std::ostringstream s;
    s << in.rdbuf();
    return s.str();
}

struct Field {
    const char* name = nullptr;
    double low = 0;
    double high = 0;
    void (*set)(Settings&, double) = nullptr;
    bool whole = false;
};

const Field kFields[] = {
    {"hold-s", 0, 600, [](Settings& s, double v) { s.hold_s = v; }},
    {"similar-age-s", 0, 3600, [](Settings& s, double v) { s.similar_age_s = v; }},
    {"begin-bound-s", 0, 86400, [](Settings& s, double v) { s.begin_bound_s = v; }},
    {"age-bound-s", 0, 86400, [](Settings& s, double v) { s.age_bound_s = v; }},
    {"min-machines", 0, 10000, [](Settings& s, double v) { s.min_machines = static_cast<int>(v); }, true},
    {"max-machines", 0, 10000, [](Settings& s, double v) { s.max_machines = static_cast<int>(v); }, true},
    {"min-idle-machines", 0, 1000, [](Settings& s, double v) { s.min_idle_machines = static_cast<int>(v); },
     true},
    {"idle-return-s", 5, 86400, [](Settings& s, double v) { s.idle_return_s = v; }},
    {"calm-s", 0, 86400, [](Settings& s, double v) { s.calm_s = v; }},
    {"preempt-after-s", 0, 3600, [](Settings& s, double v) { s.preempt_after_s = v; }},
};

void apply(Settings& s, const char* name, const char* value, const std::string& where) {
    for (const auto& f : kFields) {
        if (std::strcmp(f.name, name) != 0) continue;
        double v = 0;
        const char* end = value + std::strlen(value);
        auto got = std::from_chars(value, end, v);
        if (got.ec != std::errc{} || got.ptr != end)
            throw ConfigError(where + f.name + ": a number is needed");
        if (!(v >= f.low && v <= f.high) || (f.whole && v != static_cast<int>(v)))
            throw ConfigError(where + f.name + ": must be from " + std::to_string(static_cast<int>(f.low)) +
                              " to " + std::to_string(static_cast<int>(f.high)) + (f.whole ? ", whole" : ""));
        f.set(s, v);
        return;
    }
    throw ConfigError(where + "unknown setting " + name);
}

}  // namespace

Config Config::load(const std::string& path) {
    return parse(slurp(path));
}

Settings Settings::load(const std::string& path) {
    return parse(slurp(path));
}

// One format a setting, "(hold-s 10)"; a semicolon begins a comment. Formats are cut out here, so that an
// error can name its line, and each is read by sfsexp.
Settings Settings::parse(const std::string& text) {
    Settings s;
    size_t line = 1;
    size_t i = 0;
    while (i < text.size()) {
        char c = text[i];
        if (c == '\n') ++line;
        if (c == ';') {
            while (i < text.size() && text[i] != '\n') ++i;
            continue;
        }
        if (std::isspace(static_cast<unsigned char>(c))) {
            ++i;
            continue;
        }
        std::string where = "line " + std::to_string(line) + ": ";
        size_t close = text.find(')', i);
        if (c != '(' || close == std::string::npos) throw ConfigError(where + "expected (name value)");
        std::string record_format = text.substr(i, close - i + 1);
        if (record_format.find_first_of(";\"'`,[]{}|") != std::string::npos ||
            record_format.find('(', 1) != std::string::npos)
            throw ConfigError(where + "expected (name value)");
        sexp_t* e = parse_sexp(record_format.data(), record_format.size());
        bool pair = e && e->ty == SEXP_LIST && e->list && e->list->ty == SEXP_VALUE && e->list->next &&
                    e->list->next->ty == SEXP_VALUE && !e->list->next->next;
        std::string name = pair ? e->list->val : "";
        std::string value = pair ? e->list->next->val : "";
        if (e) destroy_sexp(e);
        if (!pair) throw ConfigError(where + "expected (name value)");
        apply(s, name.c_str(), value.c_str(), where);
        for (; i <= close; ++i)
            if (text[i] == '\n') ++line;
    }
    sexp_cleanup();
    return s;
}

}  // namespace hareshore
