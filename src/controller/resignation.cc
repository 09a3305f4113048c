#include "controller/resignation.h"

#include "base/constants.h"

namespace hareshore {

namespace {

bool receives_worker_heartbeats(const peer::PeerStatus& peer, Seconds now) {
    const auto received_at = peer.last_received_at();
    return received_at && now - *received_at <= constants::kPeerHeartbeatTimeout_s &&
           peer.last_heartbeat().worker_heartbeats_received >= constants::kResignMinMachines;
}

}  // namespace

std::optional<Resignation> decide_resignation(const ResignationInput& input) {
    if (input.loaded_for < constants::kResignAfterSilence_s) return std::nullopt;
    if (input.machines_seen < constants::kResignMinMachines) return std::nullopt;
    if (input.last_worker_heartbeat &&
        input.now - *input.last_worker_heartbeat < constants::kResignAfterSilence_s)
        return std::nullopt;
    for (const auto& peer : input.peers)
        if (receives_worker_heartbeats(peer, input.now)) return Resignation{peer.label()};
    return std::nullopt;
}

}  // namespace hareshore
