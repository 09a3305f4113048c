#include "peer/relay_server.h"

namespace hareshore::peer {

void RelayServer::handle(std::shared_ptr<PeerLink> link, Frame frame) {
    if (tasks_.size() > task_limit_) return;
    tasks_.spawn(respond(std::move(link), std::move(frame)), "relay response");
}

Task<void> RelayServer::respond(std::shared_ptr<PeerLink> link, Frame frame) {
    const Response response = co_await delegate_.handle_relayed_heartbeat(std::move(frame.payload));
    const std::string payload = encode_relay_response(static_cast<uint16_t>(response.status), response.body);
    link->send(encode_frame(FrameKind::kRelayResponse, frame.id, frame.incarnation, payload));
}

}  // namespace hareshore::peer
