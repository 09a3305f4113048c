// The form of the jobs' records in force, kept under a key of its own. The production version writes form 1
// and does not know the key; a leader puts it once every controller runs a version that reads form 2. No
// process of an older version returns after that.
#pragma once
#include "jobs/record.h"
#include "state/state.h"

namespace hareshore {

inline const std::string kFormKey = "form";

struct Form {
    uint64_t kept = 1;  // what the state service says, as far as this controller has heard
    // A later version's form: what its records mean is not known here.
    bool newer() const { return kept > kNewestForm; }
    uint64_t in_force() const { return newer() ? kNewestForm : kept; }
};

std::string pack_form(uint64_t form);
// An unreadable value counts as newer than known.
uint64_t unpack_form(const std::string& packed);

// Asks for the key; whether there was a certain answer. A form that was heard of stays.
Task<bool> learn_form(StateService& state, Form& form);

}  // namespace hareshore
