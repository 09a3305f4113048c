// The operators' settings, with their defaults. The file holds S-expressions, "(hold-s 10)", one a setting.
#pragma once
#include <string>

#include "base/clock.h"

namespace hareshore {

// Each name here, with '-' for '_', is a name in the file.
struct Settings {
    Seconds hold_s = 10;  // delay scheduling: a task waits this long for an idle machine with its image
    Seconds similar_age_s = 15;  // tasks whose ages differ by less may overtake each other for a cached image
    Seconds age_bound_s = 60;    // a task that waited longer goes first among those of its priority
    Seconds begin_bound_s = 150;  // a job that waited this long for its first start goes before all others
    int min_machines = 0;         // per zone: kept even without work
    int max_machines = 0;         // per zone; 0: as many as the cloud has
    int min_idle_machines = 0;    // per zone: kept idle for the next job
    Seconds idle_return_s = 20;   // a machine that is idle this long is returned to the cloud
    Seconds calm_s =
        30;  // without a new job this long, idle machines are returned at once and tasks consolidated
    Seconds preempt_after_s = 0;  // a task waits this long before it preempts others

    // Reads the file at `path`, or its content. Both throw ConfigError, with a text like "line 3: hold-s:
    // ...", also for an unknown name and for a value out of range.
    [[nodiscard]] static Settings load(const std::string& path);
    [[nodiscard]] static Settings parse(const std::string& text);
};

}  // namespace hareshore
