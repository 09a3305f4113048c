// Every constant of the controller, with its unit and the reason for its value. Names that end in `_s` are
// seconds. What a deployment may want to change is instead the default of an operator setting
// (config/settings.h).
#pragma once
#include <cstddef>
#include <cstdint>

namespace hareshore::constants {

// --- limits of the protocol -------------------------------------------------------------------------

// Bytes of a request body: the protocol's limit.
inline constexpr size_t kRequestBodyLimit = size_t{64} * 1024;
// Tasks per job: the protocol's limit.
inline constexpr uint32_t kMaxTasksPerJob = 100'000;
// Machines per request to scale out: the protocol's limit.
inline constexpr int kMachinesPerScaleOutRequest = 50;
// Machine names per deletion request: the protocol's limit.
inline constexpr size_t kMachinesPerDeletionRequest = 100;
// Machines per page of the cloud's list: the protocol's limit.
inline constexpr int kMachineListPageSize = 500;
// Items per page when a new leader reads the records: a page has 512 KiB, which stays below
// kSmallestResponseLimit.
inline constexpr size_t kRecordPageSize = 200;
// The largest integer that every peer can represent exactly: beyond it, doubles are rounded.
inline constexpr uint64_t kMaxExactInteger = 1ULL << 53;

// --- http: server, client and MessagePack -----------------------------------------------------------

// Bytes of request line and headers: those of this protocol have less than 300.
inline constexpr size_t kRequestHeadLimit = size_t{8} * 1024;
// Bytes of an oversized body that are read and dropped before the connection is closed.
inline constexpr size_t kOversizedBodyReadLimit = size_t{1024} * 1024;
// Bytes of one response of the key-value store or the cloud.
inline constexpr size_t kResponseLimit = size_t{8} * 1024 * 1024;
// A response is limited to the memory divided by this, too: parsed, it takes several times its size.
inline constexpr size_t kResponseMemoryDivisor = 16;
// Bytes that the limit of a response never falls below: a page of records has 512 KiB.
inline constexpr size_t kSmallestResponseLimit = size_t{1024} * 1024;
// Levels of nesting in a MessagePack message: the protocol needs 4.
inline constexpr int kMessagePackNestingLimit = 16;
// Seconds without a request after which a connection is closed.
inline constexpr double kIdleConnectionTimeout_s = 75.0;
// Seconds from a request's first byte to its last.
inline constexpr double kRequestReadTimeout_s = 10.0;
// Seconds in which a peer must take a response before its connection is dropped.
inline constexpr double kSendTimeout_s = 10.0;
// Seconds for a connection attempt: far above any healthy round trip.
inline constexpr double kConnectTimeout_s = 1.5;
// Sockets that the process may open if the platform's settings do not state it.
inline constexpr size_t kDefaultSockets = 512;
// Share of the process's sockets that is reserved for outgoing calls.
inline constexpr double kReservedSocketShare = 0.15;
// Open connections to the key-value store and to the cloud, each.
inline constexpr size_t kConnectionPoolSize = 8;
// Open connections to the key-value store for leases alone, so that renewals do not queue behind users'
// calls.
inline constexpr size_t kLeaseConnectionPoolSize = 2;
// Calls that wait for a connection of a pool before further ones fail.
inline constexpr size_t kConnectionPoolQueueLimit = 256;

// --- event loop and sockets -------------------------------------------------------------------------

// Bytes per read from a socket: nearly all messages fit into one.
inline constexpr size_t kReadBufferSize = size_t{32} * 1024;
// Connections that wait for accept: a whole fleet reconnects at once to a new leader.
inline constexpr int kListenBacklog = 4096;
// Seconds before accept is retried after it failed for want of file descriptors.
inline constexpr double kAcceptRetryPause_s = 0.1;
// Events taken from epoll at once: all that are there, as urgent ones must not wait for the rest.
inline constexpr int kEventsPerTurn = 512;
// Coroutines resumed before epoll is asked again.
inline constexpr size_t kResumesPerTurn = 32;
// Connections accepted before other coroutines run: a whole fleet reconnects at once.
inline constexpr size_t kAcceptsPerTurn = 16;

// --- users ------------------------------------------------------------------------------------------

// User requests in progress at once, at least; more if the key-value store answers more within
// kUserReadTimeout_s. Others get status 429.
inline constexpr size_t kMinConcurrentUserRequests = 96;
// Seconds after a read refused for the rate limit in which reads share listings: a few requests a second then
// serve any number of users.
inline constexpr double kBatchReadsAfterRateLimit_s = 10.0;
// Seconds between such listings: a poll waits that long at most, and users wait 2 s for its response.
inline constexpr double kJobListingInterval_s = 1.0;
// Items per page of a listing: the protocol's limit.
inline constexpr size_t kJobListingPageSize = 1000;
// Seconds for a poll's read: users wait 2 s for a poll.
inline constexpr double kUserReadTimeout_s = 1.5;
// Seconds for a submission's or cancellation's write: users wait 5 s.
inline constexpr double kUserWriteTimeout_s = 3.5;
// Seconds in Retry-After for a failure that is likely short.
inline constexpr int kRetryAfter_s = 1;
// Seconds in Retry-After while the key-value store is unavailable.
inline constexpr int kRetryAfterOutage_s = 2;
// Final job states kept in memory: about 100 bytes each.
inline constexpr size_t kFinalStateCacheSize = 4096;

// --- key-value store and election -------------------------------------------------------------------

// Seconds for a call to the store: responses take less than 10 ms, at times a few hundred.
inline constexpr double kStoreCallTimeout_s = 1.5;
// Time to live of the leader's lease in seconds: three missed renewals.
inline constexpr double kLeaderLeaseTtl_s = 3.0;
// Seconds between renewals of the leader's lease.
inline constexpr double kLeaderLeaseRenewal_s = 0.8;
// Relative clock drift that is allowed for: twice the protocol's 0.05%.
inline constexpr double kClockDriftRate = 0.001;
// Seconds of one watch of the records: bounds how old the absence of changes can be.
inline constexpr double kRecordWatchTimeout_s = 3.0;
// Seconds of one watch of the leadership key: its end also proves that the store serves this controller.
inline constexpr double kLeaderWatchTimeout_s = 2.0;
// Seconds without service by the store, while it serves a peer, after which a controller is not ready.
inline constexpr double kUnreadyAfterStoreRefusal_s = 5.0;
// Seconds without store and peers after which a controller is not ready.
inline constexpr double kUnreadyAfterIsolation_s = 10.0;
// Seconds without a response after which the store counts as unavailable: watches end every 2 s.
inline constexpr double kStoreUnavailable_s = 4.0;
// Seconds of the first pause after a failed call, doubled with each further failure.
inline constexpr double kRetryBackoff_s = 0.25;
// Upper bound in seconds of that pause: a service that recovers must not be stampeded.
inline constexpr double kRetryBackoffMax_s = 2.0;
// Upper bound in seconds of a candidate's random delay, so that few collide.
inline constexpr double kElectionJitter_s = 0.25;
// Tokens of a rate limit that may be missing: far below one token, far above rounding.
inline constexpr double kTokenRoundingTolerance = 1e-6;
// Share of write_rps that the leader uses itself: the rest is the users'.
inline constexpr double kLeaderWriteShare = 0.75;

// --- sizes of records -------------------------------------------------------------------------------

// Bytes that value_kb may not fall below: a common job's record would not fit.
inline constexpr size_t kSmallestValueLimit = 1024;
// Bytes left free for one more placement on a machine of any name, so that a job whose record is full
// continues with one task after the other.
inline constexpr size_t kRecordReserveBytes = 200;
// Digits of a machine's number: further ones count as part of its name.
inline constexpr size_t kMachineNumberDigits = 9;
// JSON bytes that a placement takes in a record at least.
inline constexpr size_t kMinPlacementBytes = 3;
// JSON bytes by which a task's end may lengthen the ranges of finished tasks.
inline constexpr size_t kDoneRangesGrowthBytes = 5;
// Tasks of a job up to which a task's end lengthens the ranges by no more than kMinPlacementBytes.
inline constexpr size_t kSmallJobTasks = 1024;
// JSON bytes of a placement at most, without its names.
inline constexpr size_t kPlacementOverheadBytes = 40;
// Seconds between reads of the record format, until it is the newest.
inline constexpr double kRecordFormatPollInterval_s = 2.0;
// Bytes of records in one transaction: the store's limit is 64 KiB for the whole request.
inline constexpr size_t kTransactionBytes = size_t{48} * 1024;

// --- peers ------------------------------------------------------------------------------------------

// Seconds between heartbeats of the controllers.
inline constexpr double kPeerHeartbeatInterval_s = 1.0;
// Seconds after its last heartbeat until a peer counts as absent: three are missed.
inline constexpr double kPeerHeartbeatTimeout_s = 3.5;
// Peer requests in progress at once, at least; one for each socket if those are more, as all workers of a
// zone may be relayed.
inline constexpr size_t kMinConcurrentPeerRequests = 512;
// Announced cancellations with which a new connection to a peer begins: more than occur within cancel_s, and
// they fit into one frame.
inline constexpr size_t kCancellationAnnouncementsKept = 1024;
// Bytes that may wait to be sent to a peer, at least.
inline constexpr size_t kMinPeerSendQueueBytes = size_t{2} * 1024 * 1024;
// Bytes that may wait to be sent to a peer for each socket: a relayed worker heartbeat.
inline constexpr size_t kPeerSendQueueBytesPerSocket = 1024;
// Workers that must return from a peer before their zone counts as partitioned.
inline constexpr size_t kPartitionMinWorkers = 2;
// Bytes of a frame between controllers.
inline constexpr size_t kPeerFrameLimit = size_t{128} * 1024;
// Workers whose redirection is remembered.
inline constexpr size_t kRedirectionsKept = 10'000;
// Seconds for the response to a relayed worker heartbeat: the worker waits 4 s.
inline constexpr double kRelayTimeout_s = 3.0;
// Seconds after a redirection within which a worker that returns is relayed.
inline constexpr double kRelayAfterRedirection_s = 25.0;
// Seconds for which a worker is relayed before it is redirected again, to find out whether the partition is
// over.
inline constexpr double kRelayPeriod_s = 45.0;
// Seconds without a worker heartbeat after which a leader resigns if its peers receive some.
inline constexpr double kResignAfterSilence_s = 7.0;
// Machines below which their silence is no reason to resign.
inline constexpr size_t kResignMinMachines = 3;
// Seconds for which a leader that resigned is no candidate.
inline constexpr double kResignNoCandidacy_s = 30.0;
// Seconds over which a controller counts the worker heartbeats that it reports to its peers.
inline constexpr double kHeartbeatCountWindow_s = 5.0;

// --- workers ----------------------------------------------------------------------------------------

// Seconds for which an idle worker's heartbeat is held for commands: a worker gives up at 4 s (protocol).
inline constexpr double kIdleHeartbeatHold_s = 3.2;
// The same for a busy worker while there are services: of those that report every 5 s a sixth can be reached
// at once.
inline constexpr double kBusyHeartbeatHold_s = 1.0;
// The same for a relayed heartbeat: kRelayTimeout_s covers the whole way.
inline constexpr double kRelayedHeartbeatHold_s = 2.0;
// Seconds between scheduling passes: heartbeats that arrive in between share one.
inline constexpr double kSchedulingInterval_s = 0.1;
// Seconds until the next pass while tasks are delayed for a better machine.
inline constexpr double kDelayedTaskSchedulingInterval_s = 0.25;
// Pause after a scheduling pass, as a multiple of its duration, that is left to requests.
inline constexpr double kSchedulingPauseFactor = 4.0;
// Seconds after which a heartbeat is answered without its scheduling pass.
inline constexpr double kHeartbeatSchedulingWait_s = 0.8;
// Seconds for which a heartbeat's response waits for the commit of its placements.
inline constexpr double kHeartbeatCommitWait_s = 1.2;
// Seconds past the hold for which it waits at most.
inline constexpr double kHeartbeatCommitWaitPastHold_s = 0.4;
// Seconds taken off the right to renew workers' leases, for latency and drift.
inline constexpr double kRenewalRightMargin_s = 2.0;
// Tasks in a heartbeat: one with more is malformed.
inline constexpr size_t kMaxTasksPerHeartbeat = 512;
// Seconds for a command sent directly to a worker.
inline constexpr double kWorkerCommandTimeout_s = 2.0;
// Age in heartbeat_interval_s beyond which a heartbeat proves no free resources.
inline constexpr double kFreshHeartbeatIntervals = 2.0;

// --- fleet: scaling and machines --------------------------------------------------------------------

// Share of the cloud's rate limit that one controller uses.
inline constexpr double kCloudRateShare = 0.7;
// Seconds for a call to the cloud: responses take some 250 ms.
inline constexpr double kCloudCallTimeout_s = 6.0;
// Seconds for which a new leader collects worker heartbeats before it scales out.
inline constexpr double kNewLeaderScalingDelay_s = 6.0;
// Seconds between decisions to scale out or in.
inline constexpr double kScalingInterval_s = 1.0;
// Seconds by which a scaling decision may be late before this process counts as having stalled.
inline constexpr double kProcessStall_s = 1.5;
// Time that a partitioned zone is given, as a multiple of lease_s.
inline constexpr double kPartitionTimeoutLeases = 5.0;
// Seconds past its time after which a worker's lease has surely expired: latency and drift.
inline constexpr double kLeaseExpiryMargin_s = 2.0;
// Seconds between reads of the cloud's list of machines.
inline constexpr double kMachineListInterval_s = 4.0;
// Seconds between reads of the machine types and their prices.
inline constexpr double kMachineTypesInterval_s = 30.0;
// Deleted machines that are remembered, against late heartbeats.
inline constexpr size_t kDeletedMachinesKept = 20'000;
// Seconds before a machine type that the cloud refused for want of capacity is requested again.
inline constexpr double kNoCapacityRetry_s = 12.0;
// Silence in heartbeat_interval_s after which a machine counts as silent.
inline constexpr double kSilentAfterHeartbeatIntervals = 2.2;
// Seconds in which a worker fails over: it gives a controller up after 4 s and tries the next 1 s later.
inline constexpr double kWorkerFailover_s = 5.0;
// Multiple of boot_s after which a booting machine is given up.
inline constexpr double kBootTimeoutFactor = 3.0;
// Seconds added to that: the cloud's list lags.
inline constexpr double kBootTimeoutExtra_s = 20.0;
// Seconds without work after which an idle machine is returned in a calm: two heartbeats.
inline constexpr double kNoArrivalsIdleReturn_s = 6.0;
// Seconds that a task must have run before it is moved to consolidate machines.
inline constexpr double kConsolidationMinRun_s = 35.0;
// Seconds that it must be expected to run on: else its machine is free soon without a move.
inline constexpr double kConsolidationMinRemaining_s = 40.0;

// --- jobs: preemption, failures and estimates -------------------------------------------------------

// Seconds added to the time that a task needs to save a checkpoint.
inline constexpr double kCheckpointMargin_s = 3.0;
// A task is stopped without saving if its checkpoints follow each other within this multiple of a save's
// duration.
inline constexpr double kSkipCheckpointMaxSaves = 4.0;
// Share of its run time so far that a task past its estimate is expected to run on.
inline constexpr double kOverdueRemainingShare = 0.25;
// Seconds that stand for "not in sight" where nothing is known to free a place.
inline constexpr double kNoExpectedEnd_s = 3600.0;
// Seconds to fetch an image above which machines that hold it are preempted for it.
inline constexpr double kImagePreemptionMinFetch_s = 3.0;
// Seconds for which a job waits for a machine preempted for its image.
inline constexpr double kImagePreemptionWait_s = 4.0;
// Seconds from a placement to its start: launch and the fetch of a common image.
inline constexpr double kExpectedStartLatency_s = 8.0;
// Seconds that a task must run for its start to count.
inline constexpr double kMinRunToCountAsStarted_s = 30.0;
// Share of its estimate below which the time left shows that a job will be late.
inline constexpr double kLateEstimateShare = 0.7;
// Launches without effect that show that a machine does not receive commands.
inline constexpr int kUnansweredLaunchLimit = 3;
// Different jobs with a failed task on a machine that cordon it.
inline constexpr int kCordonAfterFailedJobs = 2;
// Straggling tasks on a machine that cordon it.
inline constexpr size_t kCordonAfterStragglers = 2;
// Multiple of the run time of its job's other tasks from which a task is a straggler.
inline constexpr double kStragglerFactor = 2.5;
// Seconds that it must have run, too.
inline constexpr double kStragglerMinRun_s = 20.0;
// Finished tasks of the same job that the comparison needs.
inline constexpr uint32_t kStragglerMinFinishedTasks = 3;
// Waiting jobs for which one scheduling pass seeks tasks to preempt.
inline constexpr size_t kPreemptionSearchJobs = 32;
// Machines on which a job must fail before the job counts as failing.
inline constexpr int kFailingAfterMachines = 3;
// Seconds of a failing job's first pause, doubled with each further failure.
inline constexpr double kJobBackoff_s = 10.0;
// Upper bound in seconds of that pause: a job must not wait 90 s beside free resources.
inline constexpr double kJobBackoffMax_s = 60.0;

// --- services ---------------------------------------------------------------------------------------

// Seconds that a replica must run so that its end does not count as immediate.
inline constexpr double kReplicaStableRun_s = 20.0;
// Immediate ends that are followed by a restart without a pause.
inline constexpr size_t kReplicaImmediateRestarts = 2;
// Seconds of the first pause after those, doubled with each further one.
inline constexpr double kReplicaBackoff_s = 1.0;
// Upper bound in seconds of that pause: each start costs writes.
inline constexpr double kReplicaBackoffMax_s = 60.0;
// Seconds for which a replica waits for a machine with one fewer replica of its job, so that one loss takes
// few.
inline constexpr double kReplicaSpreadWait_s = 0.5;
// Share of the time to fetch its image for which a replica waits for a machine that holds the image.
inline constexpr double kReplicaImageWaitShare = 0.5;

// --- operator pages ---------------------------------------------------------------------------------

// Seconds between log lines with the reason why a job waits.
inline constexpr double kWaitLogInterval_s = 15.0;

}  // namespace hareshore::constants
