// Every constant of the controller, with its unit and the reason for its value.
// What a deployment may want to change is the default of an operator setting (config/settings.h).
#pragma once
#include <cstddef>
#include <cstdint>

namespace hareshore::constants {

// --- limits of the protocol -------------------------------------------------------------------------
inline constexpr size_t kBodyLimit = size_t{64} * 1024;  // bytes; the protocol's limit for request bodies
inline constexpr uint32_t kMaxTasks = 100'000;           // tasks per job; the protocol's limit
inline constexpr int kMachinesPerRental = 50;            // machines per rental request; the protocol's limit
inline constexpr size_t kMachinesPerDeletion = 100;      // names per deletion request; the protocol's limit
inline constexpr int kListPage = 500;                    // machines per page; the protocol's limit
inline constexpr size_t kRecordsPage = 200;        // items per page when records are read at a take-over
inline constexpr uint64_t kMaxCount = 1ULL << 53;  // largest count that every peer can represent exactly

// --- network ----------------------------------------------------------------------------------------
inline constexpr size_t kHeadLimit = size_t{8} * 1024;  // bytes of request line and headers; ours are < 300
inline constexpr size_t kDrainLimit =
    size_t{1024} * 1024;  // bytes of an oversized body read past before closing
inline constexpr size_t kAnswerLimit =
    size_t{8} * 1024 * 1024;                // bytes of one answer of state service or cloud, and
inline constexpr size_t kAnswerShare = 16;  //   no more than this part of the memory: parsed, it
                                            //   takes several times as much
inline constexpr size_t kAnswerLeast = size_t{1024} * 1024;  // a page of records has 512 KiB
inline constexpr size_t kReadBuffer = size_t{32} * 1024;  // bytes per read; nearly all messages fit into one
inline constexpr int kNesting = 16;                       // levels of MessagePack nesting; ours need 4
inline constexpr int kBacklog =
    4096;  // connections waiting for accept: a fleet comes at once to a new leader
inline constexpr double kIdleConnection_s = 75.0;  // a connection without a request this long is closed
inline constexpr double kSlowRequest_s = 10.0;     // a request must arrive whole within this
inline constexpr double kWriteStall_s = 10.0;      // a peer that reads nothing this long is dropped
inline constexpr double kConnect_s = 1.5;          // connection attempt: far above any healthy round trip
inline constexpr double kSocketReserve = 0.15;     // share of sockets kept for our own calls to others
inline constexpr size_t kPoolPerPeer = 8;          // open connections to state service or cloud, each
inline constexpr size_t kPoolLeases = 2;       // and to the state service for leases: not behind users' calls
inline constexpr size_t kPoolWaiters = 256;    // calls queued for a connection before they fail
inline constexpr double kAcceptPause_s = 0.1;  // pause after accept fails for want of sockets

inline constexpr int kEventsPerTurn = 512;     // events taken from epoll at once
inline constexpr size_t kResumesPerTurn = 32;  // routines resumed before epoll is asked again
inline constexpr size_t kAcceptsPerTurn =
    16;  // connections accepted before others go on: a fleet comes at once

// --- users ------------------------------------------------------------------------------------------
inline constexpr size_t kUserCalls = 96;  // user requests worked on at once, or as many as the state service
                                          // answers within kUserRead_s if those are more; others get 429
inline constexpr double kRateRefusal_s = 10.0;  // after a read refused for the rate, reads share listings so
                                                // long: a few requests a second, however many users ask
inline constexpr double kListingInterval_s =
    1.0;  // between listings: a poll waits that long, and users wait 2 s for it
inline constexpr size_t kListingPage = 1000;   // items per page, the protocol's limit
inline constexpr double kUserRead_s = 1.5;     // a poll's read: users wait 2 s for a poll
inline constexpr double kUserWrite_s = 3.5;    // a submission's write: users wait 5 s
inline constexpr int kRetryAfter_s = 1;        // Retry-After for trouble that is likely short
inline constexpr int kRetryAfterOutage_s = 2;  // Retry-After while the state service is away
inline constexpr size_t kFinalCache = 4096;    // final job states kept in memory (about 100 B each)

// --- state service ----------------------------------------------------------------------------------
inline constexpr double kStateCall_s = 1.5;  // answers take < 10 ms, at times a few hundred
inline constexpr double kLeadTtl_s = 3.0;    // leadership lease: three missed renewals
inline constexpr double kLeadRenew_s = 0.8;  // renewal interval of the leadership lease
inline constexpr double kDrift = 0.001;      // clock drift allowed for: twice the protocol's 0.05%
inline constexpr double kWatchWait_s = 3.0;  // one watch; bounds how old "no news" can be
inline constexpr double kLeadWatch_s = 2.0;  // one watch of the leadership key; also shows that we are served
inline constexpr double kStoreRefused_s = 5.0;  // unserved this long while a peer is served: not ready
inline constexpr double kIsolated_s = 10.0;     // without state service and peers this long: not ready
inline constexpr double kStoreUnavailable_s =
    4.0;  // no answer this long, though watches end every 2 s: it is away
inline constexpr double kRetryPause_s = 0.25;      // pause after a failed call, doubled up to
inline constexpr double kRetryPauseMax_s = 2.0;    //   this: a service that comes back is not stampeded
inline constexpr double kElectionSpread_s = 0.25;  // candidates wait up to this so that few collide
inline constexpr double kTokenRounding = 1e-6;     // tokens of a rate: far below one, far above rounding
inline constexpr double kLeaderWriteShare = 0.75;  // share of write_rps that the leader uses itself
inline constexpr size_t kSmallestRecordLimit =
    1024;  // bytes of value_kb: below, a common job's record does not fit
inline constexpr size_t kRecordReserve =
    200;  // bytes left free for one more placement on a machine of any name,
          //   so that a job whose record is full goes on one by one
inline constexpr size_t kMachineDigits = 9;   // digits of a machine's number; more count as part of its name
inline constexpr size_t kPlacementLeast = 3;  // JSON bytes that a placement takes in a record at least
inline constexpr size_t kDoneGrowth = 5;      // JSON bytes by which a task's end may lengthen the done ranges
inline constexpr size_t kSmallJob = 1024;     // up to so many tasks that is no more than kPlacementLeast
inline constexpr size_t kPlacementFixed = 40;  // JSON bytes of a placement at most, its names apart
inline constexpr double kRecordFormatEvery_s =
    2.0;  // the format of the records is asked for, until it is the newest
inline constexpr size_t kTxnBytes = size_t{48} * 1024;  // bytes of records in one transaction (limit 64 KiB)

// --- peers ---------------------------------------------------------------------------------------
inline constexpr double kHeartbeat_s = 1.0;       // interval of the heartbeat between controllers
inline constexpr double kHeartbeatFresh_s = 3.5;  // a peer heard of within this counts as present
inline constexpr size_t kPeerRoutines = 512;      // on the back channel, or one for each socket if those are
                                                  // more: a zone's workers may all be relayed
inline constexpr size_t kAnnouncementsKept =
    1024;  // cancellations told to users that a new connection to a peer begins
           // with; more than are told within cancel_s, and they fit into a frame
inline constexpr size_t kOutbox = size_t{2} * 1024 * 1024;  // bytes waiting on a link, at least
inline constexpr size_t kOutboxPerSocket = 1024;            // and a relayed report for each socket
inline constexpr size_t kPartitionWitnesses = 2;  // workers that come back before their zone counts as cut
inline constexpr size_t kFrameLimit = size_t{128} * 1024;  // bytes of a frame between controllers
inline constexpr size_t kRedirectionsKept = 10'000;        // workers whose redirection is remembered
inline constexpr double kRelay_s = 3.0;        // a relayed report must be answered by then (worker: 4 s)
inline constexpr double kRelayAfter_s = 25.0;  // a worker back this soon after a redirection is relayed
inline constexpr double kResignQuiet_s =
    7.0;  // a leader that no worker reached for this long resigns if others hear them
inline constexpr size_t kResignMachines = 3;        // with fewer machines their silence says little
inline constexpr double kResignStandDown_s = 30.0;  // and does not stand again for this long
inline constexpr double kReportWindow_s = 5.0;  // reports of workers are counted over this for the heartbeat
inline constexpr double kRelayFor_s = 45.0;     // then redirected again, to learn whether the cut is over

// --- workers ----------------------------------------------------------------------------------------
inline constexpr double kHoldHeartbeat_s =
    3.2;  // an idle worker's report is held; a worker gives up at 4 s (protocol)
inline constexpr double kHoldRelayed_s = 2.0;   // a relayed one for less: kRelay_s holds for the whole way
inline constexpr double kPassInterval_s = 0.1;  // between scheduling passes; reports in between share one
inline constexpr double kHeldPass_s =
    0.25;  // a pass follows so soon while tasks are held for a better machine
inline constexpr double kPassRestFactor =
    4.0;  // a scheduling pass's time, times this, is left to answers before the next
inline constexpr double kPassWait_s =
    0.8;  // a report is answered without its scheduling pass if that takes longer
inline constexpr double kCommitLast_s = 0.4;    // a commit is waited for this much past a hold
inline constexpr double kCommitWait_s = 1.2;    // an answer waits for its placements' commit
inline constexpr double kRenewMargin_s = 2.0;   // taken off the renewal right for latency and drift
inline constexpr size_t kHeartbeatTasks = 512;  // tasks in a report that are looked at
inline constexpr double kCommandCall_s = 2.0;   // a direct command to a worker
inline constexpr double kFreshHeartbeats =
    2.0;  // a report older than this many heartbeat_interval_s shows no room

// --- fleet ------------------------------------------------------------------------------------------
inline constexpr double kCloudShare = 0.7;      // share of the cloud's rate that one controller uses
inline constexpr double kLeaderSettle_s = 6.0;  // a new leader hears its workers before it rents
inline constexpr double kFleetTick_s = 1.0;     // interval of the rental decision
inline constexpr double kProcessStall_s = 1.5;  // a tick later than this: this process stood still
inline constexpr double kPartitionTimeoutLeases =
    5.0;                                       // times lease_s: a zone that is cut off is given so long
inline constexpr double kLeaseMargin_s = 2.0;  // past its time a lease has surely ended: latency, drift
inline constexpr double kListEvery_s = 4.0;    // interval of reading the machine list
inline constexpr double kMachineTypesEvery_s = 30.0;  // interval of reading the prices
inline constexpr double kCloudCall_s = 6.0;           // a cloud call; answers take some 250 ms
inline constexpr size_t kDeletedMachinesKept =
    20'000;  // deleted machines that are remembered, against late reports
inline constexpr double kNoCapacityRetry_s = 12.0;  // a refused kind is not asked for again before this
inline constexpr double kSilentAfterHeartbeats =
    2.2;  // after this many missed heartbeat_interval_s a machine counts as quiet
inline constexpr double kRetryOtherController_s =
    5.0;  // a worker gives a node up after 4 s and asks the next 1 s later
inline constexpr double kBootTimeoutFactor = 3.0;    // times boot_s before a booting machine is given up
inline constexpr double kBootTimeoutExtra_s = 20.0;  // added to it: lists lag
inline constexpr double kCheckpointMargin_s = 3.0;   // added to the time a task needs to save
inline constexpr double kSkipCheckpointShare =
    4.0;  // stopped without saving if checkpoints come within this many saves
inline constexpr double kOverdueShare =
    0.25;  // an overdue task is expected to take this share of its time again
inline constexpr double kNoExpectedEnd_s = 3600.0;  // "not in sight" for places that nothing is known to free
inline constexpr double kCalmIdle_s = 6.0;          // in a calm an idle machine is returned after two reports
inline constexpr double kImagePreemptionFetch_s =
    3.0;  // room is made for an image that takes longer than this to fetch
inline constexpr double kImagePreemptionWait_s = 4.0;  // and waited for this long
inline constexpr double kStartLatency_s =
    8.0;  // from a binding to the start: launch and a common image's fetch
inline constexpr double kStartCounts_s =
    30.0;  // a task stopped sooner after its start does not count as started
inline constexpr double kLateShare =
    0.7;  // a job with less than this share of its estimate left will be late
inline constexpr int kUnansweredLaunches = 3;     // launches without effect that show a machine hears nothing
inline constexpr double kMoveAfter_s = 35.0;      // a task is not moved before it ran this long
inline constexpr double kMoveWorth_s = 40.0;      // nor when it is expected to end within this
inline constexpr int kCordonAfterFailedJobs = 2;  // failed tasks of different jobs that condemn a machine
inline constexpr double kStragglerFactor =
    2.5;  // a task that runs this many times as long as others of its job straggles
inline constexpr double kStragglerLeast_s = 20.0;  // but not before it ran this long
inline constexpr uint32_t kStragglerComparisons =
    3;                                            // finished tasks of the same job that are needed to tell
inline constexpr size_t kStragglerTasks = 2;      // straggling tasks that condemn a machine
inline constexpr size_t kRoomJobs = 32;           // waiting jobs for which room is sought in one step
inline constexpr int kFailingAfterMachines = 3;   // machines a job fails on before the job is blamed
inline constexpr double kJobBackoff_s = 10.0;     // first pause of a blamed job, doubled up to
inline constexpr double kJobBackoffMax_s = 60.0;  //   this: a job must not wait 90 s beside room

// --- services ---------------------------------------------------------------------------------------
inline constexpr double kReplicaSteady_s = 20.0;  // a replica that ran this long did not end at once
inline constexpr size_t kReplicaTries = 2;        // ends at once that are followed by a start without pause
inline constexpr double kReplicaBackoff_s = 1.0;  // then the first pause, doubled up to
inline constexpr double kReplicaBackoffMax_s = 60.0;  //   this: each start costs writes
inline constexpr double kSpreadWait_s = 0.5;  // a replica waits this long for a machine with one fewer of its
                                              // job's replicas, so that one loss takes few
inline constexpr double kHoldBusy_s =
    1.0;  // while there are services, busy machines' reports are held so
          // long: of those that report every 5 s a sixth can be told at once
inline constexpr double kImageHoldShare = 0.5;  // a replica waits for its image's holder for this share of
                                                // the time that the fetch takes

// --- operator page ----------------------------------------------------------------------------------
inline constexpr double kWaitLogInterval_s = 15.0;  // a waiting job's reason is logged at most this often

}  // namespace hareshore::constants
