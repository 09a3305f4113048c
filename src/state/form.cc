#include "state/form.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

std::string pack_form(uint64_t form) {
    Packer p;
    p.map(1).key("v").count(form);
    return p.take();
}

uint64_t unpack_form(const std::string& packed) {
    auto m = Message::parse(packed);
    auto v = m ? m->root()["v"].count() : std::nullopt;
    return v && *v > 0 ? *v : UINT64_MAX;
}

Task<bool> learn_form(StateService& state, Form& form) {
    GetResult got = co_await state.get(kFormKey, constants::kStateCall_s);
    if (got.reply == Reply::kAbsent) co_return true;
    if (got.reply != Reply::kOk) co_return false;
    uint64_t v = unpack_form(got.entry.data);
    if (v > form.kept) {
        form.kept = v;
        if (form.newer()) {
            log::error("the records are of a form that this version does not know: it decides nothing");
        } else {
            log::info("records are written in form {} from now on", v);
        }
    }
    co_return true;
}

}  // namespace hareshore
