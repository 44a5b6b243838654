// Requests of callers, sub-requests to searchers, messages between daemons.
namespace py citrondoor.schema.generated.messages

include "declarations.thrift"
include "serving.thrift"

enum Ran { NO = 1, UNKNOWN = 2 }

enum RefusalKind {
  MALFORMED = 1
  TOO_LARGE = 2
  TOO_SLOW = 3
  UNAUTHENTICATED = 4
  FORBIDDEN_BACKEND = 5
  TOO_WIDE = 6
  RATE_EXCEEDED = 7
  QUANTITY_EXCEEDED = 8
  DEADLINE_EXPIRED = 9
  OVERLOADED = 10
  LEAVING = 11
  ZONE_OUT = 12
  NOT_READY = 13
  UNAVAILABLE = 14
  NOT_COUNTED = 15
  ARBITER_GONE = 16
  IN_PROGRESS = 17
  UNKNOWN_ROUTE = 18
  UPSTREAM_FAILED = 19
  TIMED_OUT = 20
  HEAD_TOO_LARGE = 21
}

// Written as "session.number". The numbers of one session are consecutive.
struct RequestId {
  1: required string session
  2: required i64 number
}

struct SearchRequest {
  1: required RequestId id
  2: required string backend
  3: required string query
  // Number of hits; 0 returns all, up to the contract's max_results.
  4: required i32 top
  // Shards to search; empty for all shards of the snapshot.
  5: required list<string> shards
  // Deadline by the daemon's monotonic clock, ms.
  6: required i64 deadline_at
}

struct RunRequest {
  1: required RequestId id
  2: required string backend
  3: required string body
  4: required i64 deadline_at
}

struct Hit {
  1: required double score
  2: required string record
  3: required string shard
}

struct Coverage {
  1: required i32 shards_answered
  2: required i32 shards_total
  3: required i64 records_answered
  4: required i64 records_total
  5: required list<string> missing
}

struct Receipt {
  1: required bool counted
  2: required string month
  3: required RequestId id
  // The id was counted already; this answer adds nothing to the month's total.
  4: bool repeated = false
}

struct SearchAnswer {
  1: required RequestId id
  2: required string snapshot
  3: required list<Hit> hits
  4: required Coverage coverage
  5: optional Receipt receipt
  6: bool truncated = false
}

struct RunAnswer {
  1: required RequestId id
  2: required string result
  3: optional Receipt receipt
  4: bool repeated = false
}

struct Refusal {
  1: required RefusalKind kind
  2: required string detail
  3: required string remedy
  4: required Ran ran
  5: optional i32 retry_after_ms
  // Set if the request was counted, although it has no answer.
  6: optional Receipt receipt
}

// Sub-request to one searcher, for all shards that a query requests from it.
struct SubRequest {
  // Number of the call, unique over the calls in flight of all daemons.
  1: required i64 attempt
  2: required string searcher
  3: required list<string> shards
  4: bool hedge = false
}

struct ShardAnswer {
  1: required string shard
  2: required i64 records
  // One element per hit in both lists: by descending score, then ascending id.
  3: required list<double> scores
  4: required list<string> ids
}

enum SubOutcome {
  ANSWERED = 1
  SNAPSHOT_MISSING = 2
  SHED = 3
  FAILED = 4
  CANCELLED = 5
  // The call failed before any byte was sent.
  UNSENT = 6
}

struct SubAnswer {
  // Number of the call, unique over the calls in flight of all daemons.
  1: required i64 attempt
  2: required SubOutcome outcome
  3: string snapshot = ""
  4: list<ShardAnswer> shards = []
  // Result of a non-idempotent request.
  5: string result = ""
}

struct Event {
  1: required i64 wall_ms
  2: required string vm
  3: required i64 incarnation
  4: required string kind
  5: required string detail
}

// ---- between daemons ----

enum MemberState { ALIVE = 1, SUSPECT = 2, DEAD = 3, LEAVING = 4 }

struct Member {
  1: required string vm
  2: required i64 incarnation
  // Incremented when the member refutes a suspicion.
  3: required i32 refutation
  4: required MemberState state
  // Highest revision of the declared VMs that the member has applied.
  5: required i64 vms_revision
  // Its endpoint; only set where daemons find each other by seeds.
  6: optional serving.EntryPlace place
}

struct Hello {
  1: required string vm
  2: required i64 incarnation
  3: required binary nonce
  // The sender can read compressed messages. Unset by daemons of older versions.
  4: optional bool accepts_compression
}

struct Proof { 1: required binary mac }

// Concurrency limit, over all daemons together, of a searcher that is cold or was
// so recently.
// When merged, the later cold_since_ms wins, then the higher level.
struct SearcherLevel {
  1: required string searcher
  // When it last turned cold, Unix ms.
  2: required i64 cold_since_ms
  3: required i32 level
}

struct Heartbeat {
  1: required Member sender
  2: required list<Member> news
  // Time since the last read of the platform by any daemon, as known here, ms.
  3: required i64 platform_age_ms
  4: required list<SearcherLevel> levels
  // The sender knows no other member yet; the reply lists all members.
  5: required bool joining
  6: required i64 config_revision
}

struct HeartbeatAck {
  1: required Member sender
  2: required list<Member> news
  3: required i64 platform_age_ms
  4: required list<SearcherLevel> levels
  5: required i64 config_revision
}

struct ConfigAdvert { 1: required i64 revision }
struct ConfigRequest { 1: required i64 after }
struct ConfigDocuments {
  1: required i64 revision
  2: required list<declarations.Document> documents
}

// Requests a share of a customer's rate from an owner of its contract.
struct LeaseRequest {
  1: required string customer
  2: required double share
  // Share of the lender's earlier leases that the borrower still uses, at most.
  3: required double held
  // The borrower's clock, ms; lets the lender ignore `held` of late requests.
  4: required i64 asked_at
}

struct LeaseRequests {
  1: required string borrower
  2: required i64 incarnation
  3: required list<LeaseRequest> requests
}

// A share of 0 grants nothing.
struct LeaseGrant {
  1: required string customer
  2: required double share
  3: required double tokens
  4: required i32 lease_ms
}

struct LeaseGrants { 1: required list<LeaseGrant> grants }

// Asks the coordinator of a cold searcher for a lease of calls in flight there.
struct WarmthAsk {
  1: required string searcher
  // Calls to lease; 0 gives all leases back.
  2: required i32 calls
  // Successful answers since the last request.
  3: required i32 answered
  // Calls of the borrower that are in flight there; they stay leased.
  4: required i32 in_flight
}

struct WarmthAsks { 1: required list<WarmthAsk> asks }

struct WarmthGrant {
  1: required string searcher
  2: required i32 calls
  3: required i32 lease_ms
}

struct WarmthGrants { 1: required list<WarmthGrant> grants }

struct NumberRange {
  1: required i64 first
  2: required i64 last
}

// Counted request numbers of one session, in disjoint ascending ranges.
struct SessionCount {
  1: required string customer
  2: required string month
  3: required string session
  4: required list<NumberRange> ranges
}

// Use of a customer's monthly quantity by one VM; its numbers only increase.
struct QuantityUse {
  1: required string customer
  2: required string month
  3: required string vm
  4: required i64 used
  // Quantity transferred to each other VM.
  5: required map<string, i64> given
}

struct QuantityRequest {
  1: required string customer
  2: required string month
  3: required string borrower
  4: required i64 wanted
}

struct QuantityGrant { 1: required QuantityUse lender_use }

struct CountBatch {
  1: required list<SessionCount> counts
  2: required list<QuantityUse> uses
}
struct CountAck { 1: required i32 stored }

struct LedgerDigest {
  // One hash per bucket of sessions.
  1: required list<i64> buckets
}
struct LedgerRequest { 1: required list<i32> buckets }
struct LedgerCounts {
  1: required list<SessionCount> counts
  2: required list<QuantityUse> uses
}

struct CustomerTotal {
  1: required string customer
  2: required string month
  3: required i64 requests
}

struct RunForward {
  1: required RunRequest request
  2: required string customer
  3: required i32 deadline_ms
}

struct RunReply {
  1: optional RunAnswer answer
  2: optional Refusal refusal
}

struct EventsRequest { 1: required i64 after_wall_ms }
struct Events { 1: required list<Event> events }

struct Refused { 1: required string reason }

// Heartbeat, and the reply to it, between daemons that find peers by seeds.
struct EntryBeat {
  // Omitted from most heartbeats while unchanged: the link names the sender.
  1: optional Member sender
  2: required list<Member> news
  3: required serving.ViewStamp stamp
  // Time since the last read of the store by any daemon, as known here, ms. It
  // counts from the sender's start while `stamp.upstream_revision` is negative.
  4: required i64 store_age_ms
  // The sender knows no other member yet; the reply lists all members.
  5: required bool joining
}

struct RelaySend {
  1: required i64 token
  2: required string upstream
}

// Asks a peer in the availability zone of some searchers to send to them.
struct RelayAsk {
  1: required binary request_id
  2: required binary method
  3: required binary target
  // Encoded header lines that the peer sends to the searchers.
  4: required binary head
  5: required binary body
  // Time until the deadline of the caller, ms.
  6: required i32 left_ms
  // Records in the merged answer; the peer may drop records that rank lower.
  7: required i32 top
  8: required list<RelaySend> sends
  // Number that the requester's process drew when it started. The replies return
  // it, because a later process on the same VM may use the same tokens.
  9: i64 origin = 0
}

// What a searcher says of itself in its responses.
struct SearcherStatements {
  // Requests per second that it accepts from all daemons together; unset if it
  // names no limit.
  1: optional double rate_limit_per_s
  // It stops soon and wants no further requests.
  2: bool is_leaving = 0
  // Time for which it wants no request from the daemon that it answered, ms.
  3: i64 pause_ms = 0
  // It names a limit that cannot be read, so that the last one still holds.
  4: bool is_rate_limit_unreadable = 0
}

// What a daemon has learned of one incarnation of a searcher.
struct SearcherReport {
  1: required string upstream_id
  // Start of the searcher's process, Unix ms.
  2: required i64 born_ms
  3: required SearcherStatements statements
}
struct SearcherReports { 1: required list<SearcherReport> reports }

struct RelayReply {
  1: required i64 token
  // Value of links.ExchangeOutcome.
  2: required i32 kind
  3: i32 status = 0
  4: binary stamp = ""
  5: binary body = ""
  6: i32 cold_ms = 0
  7: bool is_misdirected = 0
  // Number of earlier replies to the RelayAsk; after a gap the requester does not
  // use the reply.
  8: required i32 index
  // Unset if no response of the searcher arrived.
  9: optional SearcherStatements statements
}

struct RelayReplies {
  1: required list<RelayReply> replies
  // That of the RelayAsk; 0 from a daemon of an earlier version.
  2: i64 origin = 0
}

struct RelayCancel {
  1: required list<i64> tokens
  // That of the RelayAsk.
  2: i64 origin = 0
}

// Exactly one field is set.
struct Body {
  1: optional Heartbeat heartbeat
  2: optional HeartbeatAck heartbeat_ack
  3: optional ConfigAdvert config_advert
  4: optional ConfigRequest config_request
  5: optional ConfigDocuments config_documents
  6: optional LeaseRequests lease_requests
  7: optional LeaseGrants lease_grants
  8: optional CountBatch count_batch
  9: optional CountAck count_ack
  10: optional LedgerDigest ledger_digest
  11: optional LedgerRequest ledger_request
  12: optional LedgerCounts ledger_counts
  13: optional RunForward run_forward
  14: optional RunReply run_reply
  15: optional EventsRequest events_request
  16: optional Events events
  17: optional Refused refused
  18: optional QuantityRequest quantity_request
  19: optional QuantityGrant quantity_grant
  20: optional WarmthAsks warmth_asks
  21: optional WarmthGrants warmth_grants
  22: optional EntryBeat entry_beat
  23: optional serving.ViewRequest view_request
  24: optional serving.ViewNews view_news
  25: optional RelayAsk relay_ask
  26: optional RelayReplies relay_replies
  27: optional RelayCancel relay_cancel
  28: optional SearcherReports searcher_reports
}

struct Envelope {
  // 0 in a notification, which has no reply.
  1: required i64 id
  // 0 in a request.
  2: required i64 reply_to
  3: required Body body
}
