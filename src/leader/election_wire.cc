// Stored field names: `node` is a controller's label, `epoch` a fencing token.
#include "leader/election_wire.h"

#include "http/msgpack.h"

namespace hareshore {

std::string pack_leader_record(const std::string& label, uint64_t fencing_token) {
    MsgpackWriter packer;
    packer.map(2).key("node").text(label).key("epoch").count(fencing_token);
    return packer.take();
}

LeaderRecord unpack_leader_record(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    if (!message) return {};
    LeaderRecord record;
    record.label = message->root()["node"].text_or("");
    if (uint64_t fencing_token = message->root()["epoch"].count_or(0); fencing_token > 0)
        record.fencing_token = fencing_token;
    return record;
}

}  // namespace hareshore
