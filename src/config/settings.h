// The operators' settings with their defaults. The file contains one S-expression per setting: "(hold-s 10)".
#pragma once
#include <string>

#include "base/clock.h"

namespace hareshore {

// The names in the file are those of the members, with '-' instead of '_'.
struct Settings {
    Seconds hold_s = 10;  // delay scheduling: how long a task waits for an idle machine with its image
    // Tasks whose ages differ by less than this may be reordered in favor of a cached image.
    Seconds similar_age_s = 15;
    Seconds age_bound_s = 60;     // a task that has waited longer goes first within its priority
    Seconds begin_bound_s = 150;  // a job that has waited this long for its first start precedes all others
    int min_machines = 0;         // per zone: kept even without work
    int max_machines = 0;         // per zone; 0: no limit
    int min_idle_machines = 0;    // per zone: kept idle for the next job
    Seconds idle_return_s = 20;   // a machine that has been idle this long is returned to the cloud
    // After this time without a new job, idle machines are returned early and tasks are consolidated.
    Seconds calm_s = 30;
    Seconds preempt_after_s = 0;  // how long a task waits before it preempts others

    // Reads the file at `path`, or parses its content. Both throw ConfigError with a text such as "line 3:
    // hold-s: ...", including for unknown names and values out of range.
    [[nodiscard]] static Settings load(const std::string& path);
    [[nodiscard]] static Settings parse(const std::string& text);
};

}  // namespace hareshore
