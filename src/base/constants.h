// Constants of the controller. Names that end in `_s` are in seconds. Values that a deployment may want to
// change are operator settings instead (config/settings.h).
#pragma once
#include <cstddef>
#include <cstdint>

namespace hareshore::constants {

// --- protocol limits --------------------------------------------------------------------------------

// Bytes of a request body, and of a response to a worker or user (protocol limit).
inline constexpr size_t kBodyLimit = size_t{64} * 1024;
// Tasks per job (protocol limit).
inline constexpr uint32_t kMaxTasksPerJob = 100'000;
// Machines per request to scale out (protocol limit).
inline constexpr int kMachinesPerScaleOutRequest = 50;
// Machine names per deletion request (protocol limit).
inline constexpr size_t kMachinesPerDeletionRequest = 100;
// Machines per page of the cloud's list (protocol limit).
inline constexpr int kMachineListPageSize = 500;
// Records per page when a new leader loads them. A page has 512 KiB, which is below kSmallestResponseLimit.
inline constexpr size_t kRecordPageSize = 200;
// The largest integer that every client can represent exactly; larger ones are rounded in a double.
inline constexpr uint64_t kMaxExactInteger = 1ULL << 53;

// --- http: server, client and MessagePack -----------------------------------------------------------

// Bytes of the request line and headers; requests of this protocol have fewer than 300.
inline constexpr size_t kRequestHeadLimit = size_t{8} * 1024;
// Bytes of an oversized body that are read and discarded before the connection is closed.
inline constexpr size_t kOversizedBodyReadLimit = size_t{1024} * 1024;
// Bytes of one response from the key-value store or the cloud.
inline constexpr size_t kResponseLimit = size_t{8} * 1024 * 1024;
// Responses are also limited to the process's memory divided by this: a parsed response takes several times
// its size.
inline constexpr size_t kResponseMemoryDivisor = 16;
// Lower bound in bytes of the response limit: a page of records has 512 KiB.
inline constexpr size_t kSmallestResponseLimit = size_t{1024} * 1024;
// Nesting depth of a MessagePack message; the protocol needs 4.
inline constexpr int kMessagePackNestingLimit = 16;
// Seconds without a request after which a connection is closed.
inline constexpr double kIdleConnectionTimeout_s = 75.0;
// Seconds from the first to the last byte of a request.
inline constexpr double kRequestReadTimeout_s = 10.0;
// Seconds for sending a response; then the connection is closed.
inline constexpr double kSendTimeout_s = 10.0;
// Seconds for a connection attempt: well above a healthy round trip.
inline constexpr double kConnectTimeout_s = 1.5;
// Sockets that the process may open if the platform settings do not limit them.
inline constexpr size_t kDefaultSockets = 512;
// Share of the process's sockets that is reserved for outgoing connections.
inline constexpr double kReservedSocketShare = 0.15;
// Connections to the key-value store and to the cloud, each.
inline constexpr size_t kConnectionPoolSize = 8;
// Further connections to the key-value store for leases only, so that renewals do not queue behind calls for
// users.
inline constexpr size_t kLeaseConnectionPoolSize = 2;
// Calls that may wait for a connection of a pool; further ones fail at once.
inline constexpr size_t kConnectionPoolQueueLimit = 256;

// --- event loop and sockets -------------------------------------------------------------------------

// Bytes per read from a socket; nearly all messages fit into one read.
inline constexpr size_t kReadBufferSize = size_t{32} * 1024;
// Backlog of a listening socket: all workers reconnect at once to a new leader.
inline constexpr int kListenBacklog = 4096;
// Seconds before accept is retried after the process ran out of file descriptors.
inline constexpr double kAcceptRetryPause_s = 0.1;
// Events per call of epoll_wait: enough to fetch all pending ones, as urgent ones must not wait behind
// others.
inline constexpr int kEventsPerTurn = 512;
// Coroutines that are resumed before the next call of epoll_wait.
inline constexpr size_t kResumesPerTurn = 32;
// Connections that are accepted before other coroutines run: all workers may reconnect at once.
inline constexpr size_t kAcceptsPerTurn = 16;

// --- users ------------------------------------------------------------------------------------------

// Minimum number of concurrent user requests; more are admitted if the key-value store can serve more within
// kUserReadTimeout_s. Requests beyond the limit get status 429.
inline constexpr size_t kMinConcurrentUserRequests = 96;
// Seconds for which polls are served from shared listings after the store's rate limit refused a read. A few
// requests per second then serve any number of users.
inline constexpr double kBatchReadsAfterRateLimit_s = 10.0;
// Seconds between such listings, and thus the longest wait of a poll: users time out after 2 s.
inline constexpr double kJobListingInterval_s = 1.0;
// Records per page of a listing (protocol limit).
inline constexpr size_t kJobListingPageSize = 1000;
// Seconds for the read of a poll: users time out after 2 s.
inline constexpr double kUserReadTimeout_s = 1.5;
// Seconds for the write of a submission or cancellation: users time out after 5 s.
inline constexpr double kUserWriteTimeout_s = 3.5;
// Seconds in Retry-After after a failure that is likely to be short.
inline constexpr int kRetryAfter_s = 1;
// Seconds in Retry-After while the key-value store is unavailable.
inline constexpr int kRetryAfterOutage_s = 2;
// Final job states kept in memory, about 100 bytes each.
inline constexpr size_t kFinalStateCacheSize = 4096;

// --- key-value store and election -------------------------------------------------------------------

// Seconds for a call to the store: responses take less than 10 ms, occasionally a few hundred.
inline constexpr double kStoreCallTimeout_s = 1.5;
// Time to live of the leader's lease in seconds: it expires after three missed renewals.
inline constexpr double kLeaderLeaseTtl_s = 3.0;
// Seconds between renewals of the leader's lease.
inline constexpr double kLeaderLeaseRenewal_s = 0.8;
// Assumed relative clock drift: twice the 0.05% that the protocol allows.
inline constexpr double kClockDriftRate = 0.001;
// Seconds of one watch of the records; bounds how old the information that nothing has changed can be.
inline constexpr double kRecordWatchTimeout_s = 3.0;
// Seconds of one watch of the leadership key. Its response also shows that the store serves this controller.
inline constexpr double kLeaderWatchTimeout_s = 2.0;
// Seconds without contact with the store, while the store serves a peer, after which a controller reports
// that it is not ready.
inline constexpr double kUnreadyAfterStoreRefusal_s = 5.0;
// Seconds without contact with the store and with peers after which a controller is not ready.
inline constexpr double kUnreadyAfterIsolation_s = 10.0;
// Seconds without a response after which the store counts as unavailable: watches respond every 2 s.
inline constexpr double kStoreUnavailable_s = 4.0;
// Initial retry delay in seconds after a failed call, doubled with each further failure.
inline constexpr double kRetryBackoff_s = 0.25;
// Maximum retry delay in seconds; the growing delay avoids a stampede on a recovering service.
inline constexpr double kRetryBackoffMax_s = 2.0;
// Maximum random delay of a candidate in seconds, which keeps candidates from colliding.
inline constexpr double kElectionJitter_s = 0.25;
// Tokens that a bucket may lack because of rounding: far above rounding errors, far below one token.
inline constexpr double kTokenRoundingTolerance = 1e-6;
// Share of write_rps for the leader's own writes; the rest is left for users' requests.
inline constexpr double kLeaderWriteShare = 0.75;

// --- record sizes -----------------------------------------------------------------------------------

// Lower bound in bytes of value_kb: the record of a common job must fit.
inline constexpr size_t kSmallestValueLimit = 1024;
// Bytes of a record kept free for one more placement on a machine of any name, so that a job whose record is
// full can still run its tasks one after the other.
inline constexpr size_t kRecordReserveBytes = 200;
// Digits of a machine's number; further leading digits belong to the name before it.
inline constexpr size_t kMachineNumberDigits = 9;
// Minimum JSON bytes of a placement in a record.
inline constexpr size_t kMinPlacementBytes = 3;
// JSON bytes of a gang's placement in a record, each on a machine of its own whose number is up to 10,000
// above the one before: a digit each for task and attempt, three for machine and zone.
inline constexpr size_t kGangPlacementBytes = 5;
// Maximum JSON bytes that a finished task adds to the ranges of finished tasks.
inline constexpr size_t kDoneRangesGrowthBytes = 5;
// Tasks of a job up to which a finished task adds at most kMinPlacementBytes to those ranges.
inline constexpr size_t kSmallJobTasks = 1024;
// Maximum JSON bytes of a placement without its names.
inline constexpr size_t kPlacementOverheadBytes = 40;
// Seconds between reads of the record format until it is the newest.
inline constexpr double kRecordFormatPollInterval_s = 2.0;
// Bytes of records in one transaction; the store limits the whole request to 64 KiB.
inline constexpr size_t kTransactionBytes = size_t{48} * 1024;

// --- peers ------------------------------------------------------------------------------------------

// Seconds between peer heartbeats.
inline constexpr double kPeerHeartbeatInterval_s = 1.0;
// Seconds after its last heartbeat until a peer counts as unreachable: three missed heartbeats.
inline constexpr double kPeerHeartbeatTimeout_s = 3.5;
// Minimum number of concurrent peer requests; one per socket if there are more sockets, as the heartbeats of
// all workers of a zone may be relayed.
inline constexpr size_t kMinConcurrentPeerRequests = 512;
// Recent cancellations that are sent first on a new connection to a peer: more than occur within
// cancel_s, and few enough for one frame.
inline constexpr size_t kCancellationAnnouncementsKept = 1024;
// Minimum limit in bytes of the send queue to a peer.
inline constexpr size_t kMinPeerSendQueueBytes = size_t{2} * 1024 * 1024;
// Bytes of the send queue to a peer per socket: the size of a relayed worker heartbeat.
inline constexpr size_t kPeerSendQueueBytesPerSocket = 1024;
// Workers of a zone that must return after a redirection before the zone counts as partitioned.
inline constexpr size_t kPartitionMinWorkers = 2;
// Bytes of a frame between controllers.
inline constexpr size_t kPeerFrameLimit = size_t{128} * 1024;
// Workers whose last redirection is kept.
inline constexpr size_t kRedirectionsKept = 10'000;
// Seconds for the response to a relayed worker heartbeat: the worker times out after 4 s.
inline constexpr double kRelayTimeout_s = 3.0;
// Seconds after a redirection within which the heartbeats of a worker that returns are relayed.
inline constexpr double kRelayAfterRedirection_s = 25.0;
// Seconds for which a worker's heartbeats are relayed before it is redirected again, to detect the end of the
// partition.
inline constexpr double kRelayPeriod_s = 45.0;
// Seconds without worker heartbeats after which a leader resigns if its peers receive some.
inline constexpr double kResignAfterSilence_s = 7.0;
// Minimum number of machines whose missing heartbeats make a leader resign.
inline constexpr size_t kResignMinMachines = 3;
// Seconds after its resignation for which a leader is not a candidate.
inline constexpr double kResignNoCandidacy_s = 30.0;
// Seconds of the window in which a controller counts worker heartbeats for its peers.
inline constexpr double kHeartbeatCountWindow_s = 5.0;

// --- workers ----------------------------------------------------------------------------------------

// Seconds for which an idle worker's heartbeat is held open as a long poll for commands: workers time out
// after 4 s (protocol).
inline constexpr double kIdleHeartbeatHold_s = 3.2;
// The same for a busy worker while there are services. With a heartbeat every 5 s, a sixth of the workers can
// be sent a command at once.
inline constexpr double kBusyHeartbeatHold_s = 1.0;
// The same for a relayed heartbeat, whose whole round trip is limited by kRelayTimeout_s.
inline constexpr double kRelayedHeartbeatHold_s = 2.0;
// Minimum seconds between scheduling passes; heartbeats that arrive in between share one pass.
inline constexpr double kSchedulingInterval_s = 0.1;
// Seconds between passes while delay scheduling keeps tasks waiting.
inline constexpr double kDelayedTaskSchedulingInterval_s = 0.25;
// Pause after a scheduling pass as a multiple of its duration; leaves time for requests.
inline constexpr double kSchedulingPauseFactor = 4.0;
// Seconds for which the response to a heartbeat waits for a scheduling pass.
inline constexpr double kHeartbeatSchedulingWait_s = 0.8;
// Seconds for which the response to a heartbeat waits for the commit of its placements.
inline constexpr double kHeartbeatCommitWait_s = 1.2;
// Maximum seconds of that wait beyond the long poll.
inline constexpr double kHeartbeatCommitWaitPastHold_s = 0.4;
// Safety margin in seconds, for latency and drift, of the time for which a leader may renew workers' leases.
inline constexpr double kRenewalRightMargin_s = 2.0;
// Maximum JSON bytes of a heartbeat, of the response to one or of direct commands without their lists.
inline constexpr size_t kWorkerBodyHeadBytes = 1024;
// JSON bytes that a body exchanged with a worker has for its list of tasks or commands.
inline constexpr size_t kTaskListBytes = kBodyLimit - kWorkerBodyHeadBytes;
// Maximum JSON bytes of a task's status or of a command, without the job's id.
inline constexpr size_t kTaskEntryOverheadBytes = 108;
// JSON bytes that are reckoned for a task at least. A machine then has fewer than 512 tasks, the most that
// the version in production accepts in a heartbeat.
inline constexpr size_t kMinTaskEntryBytes = 128;
// Tasks that a machine can have at most.
inline constexpr uint32_t kMaxTasksPerMachine = kTaskListBytes / kMinTaskEntryBytes;
// Seconds for a command that is sent directly to a worker.
inline constexpr double kWorkerCommandTimeout_s = 2.0;
// Age, in multiples of heartbeat_interval_s, beyond which a heartbeat is no evidence of free resources.
inline constexpr double kFreshHeartbeatIntervals = 2.0;

// --- fleet: scaling and machines --------------------------------------------------------------------

// Share of the cloud's rate limit that one controller uses.
inline constexpr double kCloudRateShare = 0.7;
// Seconds for a call to the cloud: responses take about 250 ms.
inline constexpr double kCloudCallTimeout_s = 6.0;
// Seconds for which a new leader collects worker heartbeats before it scales out.
inline constexpr double kNewLeaderScalingDelay_s = 6.0;
// Seconds between scaling decisions.
inline constexpr double kScalingInterval_s = 1.0;
// Delay of a scaling decision in seconds from which this process counts as having stalled.
inline constexpr double kProcessStall_s = 1.5;
// Multiple of lease_s for which the machines of a partitioned zone are kept.
inline constexpr double kPartitionTimeoutLeases = 5.0;
// Safety margin in seconds, for latency and drift, after which a worker's lease has certainly expired.
inline constexpr double kLeaseExpiryMargin_s = 2.0;
// Seconds before the end of cancel_s at which a machine with a cancelled task is deleted without waiting for
// heartbeats any longer: two more leaders may each have to wait, and the cloud may be slow.
inline constexpr double kCancelledTaskDeletionMargin_s = 20.0;
// Seconds for which a new leader waits for such a machine in any case: for the list with its address, and for
// the answer to a stop command.
inline constexpr double kMinHeartbeatWait_s = 2.5;
// Seconds between reads of the cloud's list of machines.
inline constexpr double kMachineListInterval_s = 4.0;
// Seconds between reads of the machine types and their prices.
inline constexpr double kMachineTypesInterval_s = 30.0;
// Names of deleted machines that are kept, to ignore late heartbeats.
inline constexpr size_t kDeletedMachinesKept = 20'000;
// Seconds before a machine type without capacity in the cloud is requested again.
inline constexpr double kNoCapacityRetry_s = 12.0;
// Multiple of heartbeat_interval_s without a heartbeat after which a machine counts as silent.
inline constexpr double kSilentAfterHeartbeatIntervals = 2.2;
// Seconds that a worker needs to fail over: it times out after 4 s and tries the next controller 1 s later.
inline constexpr double kWorkerFailover_s = 5.0;
// Multiple of boot_s after which a booting machine counts as failed, plus kBootTimeoutExtra_s.
inline constexpr double kBootTimeoutFactor = 3.0;
// Allowance in seconds for the lag of the cloud's list of machines.
inline constexpr double kBootTimeoutExtra_s = 20.0;
// Seconds after which an idle machine is returned if no job has arrived for the setting calm-s: two
// heartbeats.
inline constexpr double kNoArrivalsIdleReturn_s = 6.0;
// Minimum run time in seconds of a task that is moved to consolidate machines.
inline constexpr double kConsolidationMinRun_s = 35.0;
// Minimum expected remaining run time in seconds of such a task; otherwise its machine is free soon anyway.
inline constexpr double kConsolidationMinRemaining_s = 40.0;

// --- jobs: preemption, failures and estimates -------------------------------------------------------

// Seconds added to the time for saving a task's checkpoint.
inline constexpr double kCheckpointMargin_s = 3.0;
// A task is stopped without saving if its checkpoint interval is at most this multiple of the duration of a
// save.
inline constexpr double kSkipCheckpointMaxSaves = 4.0;
// Expected remaining run time of a task past its estimate, as a share of its run time so far.
inline constexpr double kOverdueRemainingShare = 0.25;
// Seconds from now assumed for an unknown time: when resources become free, or a deadline without an
// objective.
inline constexpr double kNoExpectedEnd_s = 3600.0;
// Seconds for which resources stay reserved for a gang while nothing tells when it can start. A machine
// requested for it boots in that time, and no other job may wait 90 s while it has room.
inline constexpr double kReservationWithoutExpectedStart_s = 75.0;
// Seconds for fetching an image above which tasks on machines that have it are preempted.
inline constexpr double kImagePreemptionMinFetch_s = 3.0;
// Seconds for which a job waits for a machine on which a task was preempted for the job's image.
inline constexpr double kImagePreemptionWait_s = 4.0;
// Expected seconds from placement to start of a task: launch and fetch of a common image.
inline constexpr double kExpectedStartLatency_s = 8.0;
// Seconds that a task must run before it counts as started.
inline constexpr double kMinRunToCountAsStarted_s = 30.0;
// A job counts as late if the time to its deadline is below this share of its estimate.
inline constexpr double kLateEstimateShare = 0.7;
// Launches without effect after which a machine counts as not receiving commands.
inline constexpr int kUnansweredLaunchLimit = 3;
// Distinct jobs with a failed task on a machine from which it is cordoned.
inline constexpr int kCordonAfterFailedJobs = 2;
// Straggling tasks on a machine from which it is cordoned.
inline constexpr size_t kCordonAfterStragglers = 2;
// A task is a straggler from this multiple of the run time of its job's other tasks on.
inline constexpr double kStragglerFactor = 2.5;
// Minimum run time of a straggler in seconds.
inline constexpr double kStragglerMinRun_s = 20.0;
// Finished tasks of a job that are needed to detect stragglers.
inline constexpr uint32_t kStragglerMinFinishedTasks = 3;
// Waiting jobs for which one scheduling pass searches for tasks to preempt.
inline constexpr size_t kPreemptionSearchJobs = 32;
// Machines on which tasks of a job must fail before the job counts as failing.
inline constexpr int kFailingAfterMachines = 3;
// Initial restart delay of a failing job in seconds, doubled with each further failure.
inline constexpr double kJobBackoff_s = 10.0;
// Maximum restart delay in seconds: a job must not wait 90 s while resources are free.
inline constexpr double kJobBackoffMax_s = 60.0;

// --- services ---------------------------------------------------------------------------------------

// Run time in seconds below which the end of a replica counts as immediate.
inline constexpr double kReplicaStableRun_s = 20.0;
// Immediate ends after which a replica is restarted without a delay.
inline constexpr size_t kReplicaImmediateRestarts = 2;
// Initial restart delay in seconds after those, doubled with each further immediate end.
inline constexpr double kReplicaBackoff_s = 1.0;
// Maximum restart delay in seconds: each start costs writes to the store.
inline constexpr double kReplicaBackoffMax_s = 60.0;
// Seconds for which a replica waits for a machine with one replica of its job fewer, so that the loss of one
// machine affects few replicas.
inline constexpr double kReplicaSpreadWait_s = 0.5;
// A replica waits for a machine that has its image for this share of the time for fetching the image.
inline constexpr double kReplicaImageWaitShare = 0.5;

// --- operator pages ---------------------------------------------------------------------------------

// Seconds between log lines with the reason for which a job waits.
inline constexpr double kWaitLogInterval_s = 15.0;

}  // namespace hareshore::constants
