// Byte-for-byte compatibility with the version in production: stored records and keys, and the frames between
// controllers. Renaming something in the code must not change a byte, since during an upgrade processes of
// both versions run side by side on the same data.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

#include "jobs/record.h"
#include "peer/frames.h"
#include "standins/records.h"
#include "state/store_wire.h"
#include "workers/worker_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Origin: commit 9b35ad5, the version that deploy/service.toml names as production. Its library was built
// from a checkout of that commit and linked with a small program that printed these bytes; they are copied
// unchanged. Its functions encoded the records, final records, peer heartbeats, the relay request and the
// cancellation notice from the contents below. The values of the keys `form`, `leader` and `term` were read
// from its fake key-value store after one of its controllers had been elected with fencing token 41, and the
// relay response is what that controller sent to its peer.
constexpr const char* kArrayFormat1 =
    "de001aa26964aa6a6f622d303030373331a5636c617373a5747261696ea47465616da6766973696f6ea5736861706500a472"
    "616e6b02a57461736b7340a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727392a26738a26732a47a6f6e65a161a86f6e655f7a6f6e65c3a5"
    "6170617274c2a473706f74c3aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a56475"
    "655f73cd0384a26174cb41dac3e33c880000a977697468647261776ec2a4646f6e65ad302d322c352c392d31302c3430a46e"
    "6578744da46c69766593af33203820766d2d3030303030332061b03420323020766d2d3030303233312061b0313120373620"
    "7261636b2d342d782061a17601";

constexpr const char* kArrayFormat2 =
    "de001ca26964aa6a6f622d303030373331a5636c617373a5747261696ea47465616da6766973696f6ea5736861706500a472"
    "616e6b02a57461736b7340a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727392a26738a26732a47a6f6e65a161a86f6e655f7a6f6e65c3a5"
    "6170617274c2a473706f74c3aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a56475"
    "655f73cd0384a26174cb41dac3e33c880000a977697468647261776ec2a4646f6e65a93d4143434144426441a46e6578744d"
    "a57a6f6e657391a161a5686f73747392a9307261636b2d342d78a436766d2da46c697665ae424157694543445033446b4843"
    "57a17602";

constexpr const char* kGangFormat1 =
    "de001aa26964aa6a6f622d303030373332a5636c617373a5747261696ea47465616da6766973696f6ea5736861706501a472"
    "616e6b00a57461736b7304a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727392a26738a26732a47a6f6e65a0a86f6e655f7a6f6e65c2a561"
    "70617274c3a473706f74c2aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a5647565"
    "5f73ffa26174cb41dac3e34d200000a977697468647261776ec3a4646f6e65a0a46e65787403a46c69766594af3020322076"
    "6d2d3030303031302061af31203220766d2d3030303031312061af32203220766d2d3030303331302062af33203220766d2d"
    "3030303331322062a17601";

constexpr const char* kGangFormat2 =
    "de001ca26964aa6a6f622d303030373332a5636c617373a5747261696ea47465616da6766973696f6ea5736861706501a472"
    "616e6b00a57461736b7304a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727392a26738a26732a47a6f6e65a0a86f6e655f7a6f6e65c2a561"
    "70617274c3a473706f74c2aa657374696d6174655f73ccf0ac636865636b706f696e745f731ea6736176655f7304a5647565"
    "5f73ffa26174cb41dac3e34d200000a977697468647261776ec3a4646f6e65a13da46e65787403a57a6f6e657392a161a162"
    "a5686f73747391a436766d2da46c697665ae4555414543434233534342464342a17602";

constexpr const char* kServiceFormat1 =
    "de001aa26964aa6a6f622d303030373333a5636c617373a57365727665a47465616da6736561726368a5736861706502a472"
    "616e6b03a57461736b7306a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727390a47a6f6e65a0a86f6e655f7a6f6e65c2a56170617274c3a4"
    "73706f74c3aa657374696d6174655f7300ac636865636b706f696e745f7300a6736176655f7300a56475655f73ffa26174cb"
    "41dac3e366100000a977697468647261776ec2a4646f6e65a0a46e65787429a46c69766594af30203120766d2d3030303130"
    "302061b03120343020766d2d3030303230312062af32203320766d2d3030303130302061b03520333920766d2d3030303230"
    "322062a17601";

constexpr const char* kServiceFormat2 =
    "de001ca26964aa6a6f622d303030373333a5636c617373a57365727665a47465616da6736561726368a5736861706502a472"
    "616e6b03a57461736b7306a46370757308a467707573cb3ff8000000000000a36d656d40a5696d616765a6696d672d3037a8"
    "696d6167655f6762cb4018cccccccccccda7666c61766f727390a47a6f6e65a0a86f6e655f7a6f6e65c2a56170617274c3a4"
    "73706f74c3aa657374696d6174655f7300ac636865636b706f696e745f7300a6736176655f7300a56475655f73ffa26174cb"
    "41dac3e366100000a977697468647261776ec2a4646f6e65a13da46e65787429a57a6f6e657392a161a162a5686f73747391"
    "a436766d2da46c697665b0456f474143414541724742734344494aa17602";

constexpr const char* kDoneFinal =
    "84a26964aa6a6f622d303030373334a977697468647261776ec2a57461736b73ce00011170a4646f6e65ce00011170";

constexpr const char* kCancelledFinal =
    "84a26964aa6a6f622d303030373335a977697468647261776ec3a57461736b7310a4646f6e6506";

constexpr const char* kRecordFormatValue = "81a17602";

constexpr const char* kLeaderValue = "82a46e6f6465a66e6f64652d30a565706f636829";

constexpr const char* kTermValue = "82a46e6f6465a66e6f64652d30a565706f636829";

constexpr const char* kHeartbeatFrame =
    "4852485202000100747372714400000088878685848382816e6f64652d320000000000000000000000000000000000000200"
    "000004030201181716151413121128272625242322213837363534333231010042415453525164636261";

constexpr const char* kHeartbeatResponseFrame =
    "4852485202000200747372714400000088878685848382816e6f64652d320000000000000000000000000000000000000200"
    "000004030201181716151413121128272625242322213837363534333231010042415453525164636261";

constexpr const char* kRelayRequestFrame =
    "4852485202000300747372716700000088878685848382818aa4686f7374a9766d2d303030303031a461646472ad31302e31"
    "2e302e393a39303030a6666c61766f72a26732a4636f7665a161a96472696674776f6f64c2a674656e75726501a47469636b"
    "01a565706f636829a97761726e696e675f73c0a670696563657390";

constexpr const char* kRelayResponseFrame =
    "485248520200040074737271120000008887868584838281c80082a565706f636829a66f726465727390";

constexpr const char* kCancellationNoticeFrame =
    "4852485202000500000000001f000000181716151413121118171615141312110201000002000a6a6f622d30303037333205"
    "6a6f622d39";

// The contents of the stored values. Every field has a distinct value, so that swapped fields are detected.
JobSpec base_spec() {
    JobSpec spec;
    spec.id = "job-000731";
    spec.job_class = "train";
    spec.team = "vision";
    spec.kind = JobKind::kArray;
    spec.priority = PriorityClass::kHigh;
    spec.tasks = 64;
    spec.cpus = 8;
    spec.gpus = 1.5;
    spec.memory_gb = 64;
    spec.image = "img-07";
    spec.image_gb = 6.2;
    spec.machine_types = {"g8", "g2"};
    spec.zone = "a";
    spec.single_zone = true;
    spec.spread_across_zones = false;
    spec.spot = true;
    spec.estimate_s = 240;
    spec.checkpoint_s = 30;
    spec.save_s = 4;
    spec.due_s = 900;
    return spec;
}

JobRecord array_record() {
    JobRecord record;
    record.spec = base_spec();
    record.accepted_wall = {1796181234.125};
    for (uint32_t task : {0U, 1U, 2U, 5U, 9U, 10U, 40U}) record.done.add(task);
    record.next_attempt = 77;
    record.live[3] = {8, "vm-000003", "a"};
    record.live[4] = {20, "vm-000231", "a"};
    record.live[11] = {76, "rack-4-x", "a"};
    return record;
}

JobRecord gang_record() {
    JobRecord record;
    record.spec = base_spec();
    record.spec.id = "job-000732";
    record.spec.kind = JobKind::kGang;
    record.spec.priority = PriorityClass::kIdle;
    record.spec.tasks = 4;
    record.spec.zone = "";
    record.spec.single_zone = false;
    record.spec.spread_across_zones = true;
    record.spec.spot = false;
    record.spec.due_s = std::nullopt;
    record.accepted_wall = {1796181300.5};
    record.cancelled = true;
    record.next_attempt = 3;
    record.live[0] = {2, "vm-000010", "a"};
    record.live[1] = {2, "vm-000011", "a"};
    record.live[2] = {2, "vm-000310", "b"};
    record.live[3] = {2, "vm-000312", "b"};
    return record;
}

JobRecord service_record() {
    JobRecord record;
    record.spec = base_spec();
    record.spec.id = "job-000733";
    record.spec.job_class = "serve";
    record.spec.team = "search";
    record.spec.kind = JobKind::kService;
    record.spec.priority = PriorityClass::kProduction;
    record.spec.tasks = 6;
    record.spec.machine_types = {};
    record.spec.zone = "";
    record.spec.single_zone = false;
    record.spec.spread_across_zones = true;
    record.spec.estimate_s = 0;
    record.spec.checkpoint_s = 0;
    record.spec.save_s = 0;
    record.spec.due_s = std::nullopt;
    record.accepted_wall = {1796181400.25};
    record.next_attempt = 41;
    record.live[0] = {1, "vm-000100", "a"};
    record.live[1] = {40, "vm-000201", "b"};
    record.live[2] = {3, "vm-000100", "a"};
    record.live[5] = {39, "vm-000202", "b"};
    return record;
}

FinalRecord done_final() {
    return {"job-000734", false, 70'000, 70'000};
}

FinalRecord cancelled_final() {
    return {"job-000735", true, 16, 6};
}

peer::ControllerHeartbeat full_heartbeat() {
    peer::ControllerHeartbeat heartbeat{};
    peer::set_label(heartbeat, "node-2");
    heartbeat.record_format = 2;
    heartbeat.cancellations_announced = 0x01020304;
    heartbeat.incarnation = 0x1112131415161718;
    heartbeat.request_sent_us = 0x2122232425262728;
    heartbeat.fencing_token = 0x3132333435363738;
    heartbeat.leads = 1;
    heartbeat.ready = 0;
    heartbeat.worker_heartbeats_received = 0x4142;
    heartbeat.store_age_ms = 0x51525354;
    heartbeat.since_last_cancellation_ms = 0x61626364;
    return heartbeat;
}

peer::CancellationNotice cancellation_notice() {
    return {0x1112131415161718, 258, {"job-000732", "job-9"}};
}

constexpr uint32_t kFrameId = 0x71727374;

constexpr uint64_t kSenderIncarnation = 0x8182838485868788;

constexpr uint64_t kStoredFencingToken = 41;

// A relay request with the heartbeat of a worker without tasks.
std::string relay_request_frame() {
    FakeWorker worker;
    worker.addr = "10.1.0.9:9000";
    worker.fencing_token = kStoredFencingToken;
    return peer::encode_frame(peer::FrameKind::kRelay, kFrameId, kSenderIncarnation, worker.next_heartbeat());
}

std::string pack_term(const std::string& node, uint64_t fencing_token) {
    MsgpackWriter packer;
    packer.map(2).key("node").text(node).key("epoch").count(fencing_token);
    return packer.take();
}

// Sends a frame to a controller's peer address and stores the bytes of the response.
Task<void> exchange_frame(Loop& loop, Address to, std::string frame, std::string& response) {
    auto stream = co_await connect_to(loop, to, loop.now() + 1);
    if (!stream) co_return;
    co_await stream->write(frame, loop.now() + 1);
    Stream::Read got = co_await stream->read(loop.now() + 3);
    if (got.ok()) response.assign(got.bytes);
}

// Starts the only controller of a deployment, which is elected with the fencing token after the stored one.
void elect_after(Deployment& deployment, uint64_t last_fencing_token) {
    Transaction txn;
    txn.expect_revision("term", 0).put("term", pack_term("node-9", last_fencing_token));
    ASSERT_EQ(deployment.store.apply(encode_transaction(txn)).status, 200);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until(
        [&] { return deployment.leader() == 0 && deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
}

void expect_equal(const JobRecord& read, const JobRecord& expected) {
    EXPECT_TRUE(read.spec == expected.spec);
    EXPECT_EQ(read.accepted_wall, expected.accepted_wall);
    EXPECT_EQ(read.cancelled, expected.cancelled);
    EXPECT_EQ(read.done, expected.done);
    EXPECT_EQ(read.next_attempt, expected.next_attempt);
    ASSERT_EQ(read.live.size(), expected.live.size());
    for (const auto& [task, placement] : expected.live) {
        ASSERT_TRUE(read.live.contains(task)) << task;
        EXPECT_EQ(read.live.at(task).attempt, placement.attempt) << task;
        EXPECT_EQ(read.live.at(task).machine, placement.machine) << task;
        EXPECT_EQ(read.live.at(task).zone, placement.zone) << task;
    }
}

struct StoredRecord {
    const char* name;
    const char* format1;
    const char* format2;
    JobRecord record;
};

std::vector<StoredRecord> stored_records() {
    return {{"array", kArrayFormat1, kArrayFormat2, array_record()},
            {"gang", kGangFormat1, kGangFormat2, gang_record()},
            {"service", kServiceFormat1, kServiceFormat2, service_record()}};
}

// Decodes bytes that hold exactly one frame.
peer::Frame only_frame(const std::string& bytes) {
    peer::FrameReader reader;
    reader.append(bytes);
    auto frame = reader.next();
    EXPECT_TRUE(frame);
    EXPECT_FALSE(reader.next());
    EXPECT_FALSE(reader.malformed());
    return frame.value_or(peer::Frame{});
}

}  // namespace

TEST(ProductionCompatibility, ReadsRecords) {
    for (const auto& stored : stored_records()) {
        SCOPED_TRACE(stored.name);
        for (const char* hex : {stored.format1, stored.format2}) {
            auto read = JobRecord::unpack(from_hex(hex));
            ASSERT_TRUE(read);
            expect_equal(*read, stored.record);
        }
    }
}

TEST(ProductionCompatibility, WritesRecords) {
    for (const auto& stored : stored_records()) {
        SCOPED_TRACE(stored.name);
        EXPECT_EQ(to_hex(stored.record.pack(1)), stored.format1);
        EXPECT_EQ(to_hex(stored.record.pack(2)), stored.format2);
    }
}

// The previous production version, 64db79f, parses the done ranges in format 1 and rejects a record whose
// ranges it cannot parse. It must not parse the ranges of format 2, not even as empty, or it would start
// tasks again.
TEST(ProductionCompatibility, PreviousVersionRejectsRecordsOfFormat2) {
    for (const auto& stored : stored_records()) {
        SCOPED_TRACE(stored.name);
        auto message = MsgpackDocument::parse(from_hex(stored.format2));
        ASSERT_TRUE(message);
        auto done = message->root()["done"].text();
        ASSERT_TRUE(done);
        EXPECT_FALSE(Ranges::parse(*done, stored.record.spec.tasks));
        auto format1 = MsgpackDocument::parse(from_hex(stored.format1));
        ASSERT_TRUE(format1);
        EXPECT_TRUE(Ranges::parse(*format1->root()["done"].text(), stored.record.spec.tasks));
    }
}

TEST(ProductionCompatibility, ReadsAndWritesFinalRecords) {
    const std::pair<const char*, FinalRecord> stored[] = {{kDoneFinal, done_final()},
                                                          {kCancelledFinal, cancelled_final()}};
    for (const auto& [hex, expected] : stored) {
        SCOPED_TRACE(expected.id);
        auto read = FinalRecord::unpack(from_hex(hex));
        ASSERT_TRUE(read);
        EXPECT_EQ(read->id, expected.id);
        EXPECT_EQ(read->cancelled, expected.cancelled);
        EXPECT_EQ(read->tasks, expected.tasks);
        EXPECT_EQ(read->done, expected.done);
        EXPECT_EQ(to_hex(expected.pack()), hex);
    }
}

TEST(ProductionCompatibility, WritesElectionKeys) {
    Deployment deployment;
    elect_after(deployment, kStoredFencingToken - 1);
    ASSERT_EQ(deployment.leader(), 0);
    EXPECT_EQ(to_hex(deployment.store.rows.at("leader").data), kLeaderValue);
    EXPECT_EQ(to_hex(deployment.store.rows.at("term").data), kTermValue);
    EXPECT_EQ(to_hex(deployment.store.rows.at("form").data), kRecordFormatValue);
}

TEST(ProductionCompatibility, ReadsLeaderKey) {
    Deployment deployment(2);
    store_value(deployment, "leader", from_hex(kLeaderValue));
    deployment.start(1);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.node(1).election().leader() == "node-0"; }));
    EXPECT_EQ(deployment.node(1).election().known_fencing_token(), kStoredFencingToken);
    EXPECT_FALSE(deployment.node(1).election().leading());
}

TEST(ProductionCompatibility, ReadsTermAndDoesNotReuseIt) {
    Deployment deployment;
    store_value(deployment, "term", from_hex(kTermValue));
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    EXPECT_EQ(deployment.node(0).election().fencing_token(), kStoredFencingToken + 1);
}

// The stored format is in force, so records are written in format 2 even before the other controller has
// sent a heartbeat.
TEST(ProductionCompatibility, ReadsAndKeepsRecordFormat) {
    Deployment deployment(2);
    store_value(deployment, "form", from_hex(kRecordFormatValue));
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto record = MsgpackDocument::parse(deployment.store.rows.at("j/job-1").data);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->root()["v"].count_or(0), 2U);
    EXPECT_EQ(to_hex(deployment.store.rows.at("form").data), kRecordFormatValue);
}

TEST(ProductionCompatibility, LoadsRecordsFromStore) {
    Deployment deployment;
    store_value(deployment, "j/job-000731", from_hex(kArrayFormat2));
    store_value(deployment, "j/job-000733", from_hex(kServiceFormat1));
    store_value(deployment, "f/job-000734", from_hex(kDoneFinal));
    store_value(deployment, "f/job-000735", from_hex(kCancelledFinal));
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto phase = [&](const std::string& id) { return phase_of(deployment.call(0, "GET", "/v2/runs/" + id)); };
    EXPECT_EQ(phase("job-000731"), "running");
    EXPECT_EQ(phase("job-000733"), "running");
    EXPECT_EQ(phase("job-000734"), "done");
    EXPECT_EQ(phase("job-000735"), "withdrawn");
    EXPECT_EQ(to_hex(deployment.store.rows.at("j/job-000731").data), kArrayFormat2)
        << "loading must not rewrite a record";
}

TEST(ProductionCompatibility, ReadsAndWritesPeerHeartbeats) {
    const std::pair<peer::FrameKind, const char*> stored[] = {
        {peer::FrameKind::kHeartbeat, kHeartbeatFrame},
        {peer::FrameKind::kHeartbeatResponse, kHeartbeatResponseFrame}};
    for (const auto& [kind, hex] : stored) {
        peer::Frame frame = only_frame(from_hex(hex));
        EXPECT_EQ(frame.kind, kind);
        EXPECT_EQ(frame.id, kFrameId);
        EXPECT_EQ(frame.incarnation, kSenderIncarnation);
        auto read = peer::decode_controller_heartbeat(frame.payload);
        ASSERT_TRUE(read);
        const peer::ControllerHeartbeat expected = full_heartbeat();
        EXPECT_EQ(peer::label_of(*read), "node-2");
        EXPECT_TRUE(peer::has_extension(*read));
        EXPECT_EQ(read->record_format, expected.record_format);
        EXPECT_EQ(read->cancellations_announced, expected.cancellations_announced);
        EXPECT_EQ(read->incarnation, expected.incarnation);
        EXPECT_EQ(read->request_sent_us, expected.request_sent_us);
        EXPECT_EQ(read->fencing_token, expected.fencing_token);
        EXPECT_EQ(read->leads, expected.leads);
        EXPECT_EQ(read->ready, expected.ready);
        EXPECT_EQ(read->worker_heartbeats_received, expected.worker_heartbeats_received);
        EXPECT_EQ(read->store_age_ms, expected.store_age_ms);
        EXPECT_EQ(read->since_last_cancellation_ms, expected.since_last_cancellation_ms);
        EXPECT_EQ(to_hex(peer::encode_frame(kind, kFrameId, kSenderIncarnation, expected)), hex);
    }
}

TEST(ProductionCompatibility, ReadsAndWritesRelayRequests) {
    peer::Frame frame = only_frame(from_hex(kRelayRequestFrame));
    EXPECT_EQ(frame.kind, peer::FrameKind::kRelay);
    EXPECT_EQ(frame.id, kFrameId);
    EXPECT_EQ(frame.incarnation, kSenderIncarnation);
    auto heartbeat = decode_heartbeat(frame.payload);
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->machine, "vm-000001");
    EXPECT_EQ(heartbeat->fencing_token, kStoredFencingToken);
    EXPECT_EQ(to_hex(relay_request_frame()), kRelayRequestFrame);
}

TEST(ProductionCompatibility, RespondsToRelayRequests) {
    Deployment deployment;
    elect_after(deployment, kStoredFencingToken - 1);
    std::string response;
    TaskGroup scope(deployment.loop);
    scope.spawn(exchange_frame(deployment.loop, deployment.configs[0].peer_listen,
                               from_hex(kRelayRequestFrame), response),
                "relay");
    deployment.run(4);
    EXPECT_EQ(to_hex(response), kRelayResponseFrame);
    peer::Frame frame = only_frame(from_hex(kRelayResponseFrame));
    EXPECT_EQ(frame.kind, peer::FrameKind::kRelayResponse);
    EXPECT_EQ(frame.id, kFrameId);
    EXPECT_EQ(frame.incarnation, kSenderIncarnation);
    ASSERT_GE(frame.payload.size(), sizeof(peer::RelayResponseHeader));
    peer::RelayResponseHeader header;
    std::memcpy(&header, frame.payload.data(), sizeof header);
    EXPECT_EQ(header.status, 200);
    auto body = MsgpackDocument::parse(std::string_view(frame.payload).substr(sizeof header));
    ASSERT_TRUE(body);
    EXPECT_EQ(body->root()["epoch"].count_or(0), kStoredFencingToken);
}

TEST(ProductionCompatibility, ReadsAndWritesCancellationNotices) {
    const peer::CancellationNotice expected = cancellation_notice();
    peer::Frame frame = only_frame(from_hex(kCancellationNoticeFrame));
    EXPECT_EQ(frame.kind, peer::FrameKind::kCancellationNotice);
    EXPECT_EQ(frame.id, 0U);
    EXPECT_EQ(frame.incarnation, expected.incarnation);
    auto read = peer::decode_cancellation_notice(frame.payload);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->incarnation, expected.incarnation);
    EXPECT_EQ(read->first_index, expected.first_index);
    EXPECT_EQ(read->jobs, expected.jobs);
    EXPECT_EQ(to_hex(peer::encode_frame(peer::FrameKind::kCancellationNotice, 0, expected.incarnation,
                                        peer::encode_cancellation_notice(expected))),
              kCancellationNoticeFrame);
}
