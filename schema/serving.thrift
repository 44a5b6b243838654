// Routes, discovered upstreams and the messages that carry them between
// daemons; settings of a daemon that reads both from the store of the platform.
namespace py citrondoor.schema.generated.serving

include "declarations.thrift"

enum RouteKind { IDEMPOTENT = 1, NON_IDEMPOTENT = 2 }

struct WeightedBackend {
  1: required string backend
  2: required double weight
}

// Exactly one of `backends` and `shards` has entries.
struct Route {
  1: required string name
  2: required string host
  // Begins and ends with a slash; of the prefixes that match, the longest wins.
  3: required string prefix
  4: required RouteKind kind
  // Maximum time until the caller gets a response, ms.
  5: required i32 timeout_ms
  // Target latency, ms; a later answer is worth less.
  6: required i32 target_ms
  // Maximum number of searchers that get one request, per shard.
  7: required i32 max_attempts
  // 0 is the highest priority.
  8: required i32 priority
  9: required list<WeightedBackend> backends
  10: required list<string> shards
  // Maximum number of records in a merged answer.
  11: required i32 top
  // Minimum share of shards in a merged answer, 0 to 1.
  12: required double least_share
  // Regions whose searchers may be used; empty allows all.
  13: required list<string> regions
}

struct RouteBackend {
  1: required string name
  2: required string health_path
  // Maximum connections to one searcher, over all daemons together.
  3: required i32 max_connections
  // Time for which a searcher is cold after its start, ms.
  4: required i64 warmup_ms
  // Requests per second to a cold searcher from all daemons; 0 for no limit.
  5: required double warmup_per_s
}

struct CallerLimits {
  1: required i32 max_header_bytes
  2: required i32 max_body_bytes
  3: required i32 header_timeout_ms
  4: required i32 idle_timeout_ms
}

// One complete version of the operators' configuration.
struct RouteSet {
  1: required i64 version
  2: required list<Route> routes
  3: required list<RouteBackend> backends
  4: required CallerLimits limits
}

enum UpstreamState { READY = 1, DRAINING = 2 }

// One searcher as it registered itself.
struct Upstream {
  1: required string id
  2: required string backend
  3: required string host
  4: required i32 port
  5: required string zone
  // Requests that it works on concurrently.
  6: required i32 capacity
  7: required UpstreamState state
  // Time until it is warm, counted from when the entry was read or sent, ms.
  8: required i64 warm_in_ms
  // Start of its process, Unix ms; distinguishes incarnations of one id.
  9: required i64 born_ms
}

// State of one searcher in the store; without `upstream`, it was removed.
struct UpstreamNews {
  1: required string id
  // Revision of the store at which it had this state.
  2: required i64 revision
  3: optional Upstream upstream
  // Revision at which its entry was created; unset if that is unknown.
  4: optional i64 created_revision
  // Time for which this incarnation gets no requests although its entry is
  // ready, ms: it was leaving or gone before the store came back from a copy.
  5: optional i64 held_ms
}

// Revisions are of the store's era `era`; those of a higher era are newer.
struct ViewStamp {
  1: required i64 route_version
  // All changes of searchers up to this revision of the store are known.
  2: required i64 upstream_revision
  3: required i64 evacuation_revision
  // Number of times that the store came back from a copy.
  4: i64 era = 0
}

struct ViewRequest { 1: required ViewStamp known }

// All revisions are of the era of `stamp`. If it is not the requester's era,
// `upstreams` and `evacuated` are complete, or empty if the sender is behind.
struct ViewNews {
  1: required ViewStamp stamp
  2: optional RouteSet routes
  3: required list<UpstreamNews> upstreams
  // Zones that get no requests; set if the requester's list is older.
  4: optional list<string> evacuated
  // Store revision after which the sender knows all removals of searchers. If
  // the requester's view is older, a removal may be missing. Unset by daemons of
  // older versions.
  5: optional i64 removals_known_after
  // `upstreams` holds all changes after this revision, which is not above that
  // of the requester's view. A searcher that was registered after it and is not
  // listed is not registered at the revision of `stamp`. Unset if the sender
  // does not know such a revision, and by daemons of older versions.
  6: optional i64 listed_after
  // Lowest revision that the sender remembers to have known in full. Set if the
  // requester has no view yet.
  7: optional i64 known_since
}

// Endpoint of a daemon.
struct EntryPlace {
  1: required string host
  2: required i32 front_port
  3: required i32 peer_port
  4: required string zone
  5: required string region
  // Whether it accepts requests of callers.
  6: required bool is_ready
}

struct StoreSettings {
  // "host:port"
  1: required string address
  2: i32 timeout_ms = 700
  3: i32 poll_ms = 1000
  4: i32 readers = 2
  5: i32 reader_epoch_ms = 60000
}

// Limits that all daemons together keep towards callers and searchers.
struct BoundSettings {
  1: double grace_s = 6
  // Hedges and retries of a back end per request to it in a window.
  2: double extra_ratio = 0.2
  3: double extra_window_s = 10
  // Hedges and retries in a window beyond that ratio, over all daemons.
  4: double extra_slack = 10
  5: double warmup_factor = 1.5
  6: double warmup_slack = 5
  // Time for which callers may cache the list of entry daemons.
  7: double entries_ttl_s = 2
}

struct ZoneRegion {
  1: required string zone
  2: required string region
}

// Addresses are "host:port", where the host is an IP address.
struct EntrySettings {
  1: required string vm
  2: required string zone
  3: required string region
  4: required string front
  5: required string readiness
  6: required string directory
  7: required string peers
  8: required string metrics
  9: required StoreSettings store
  10: BoundSettings bounds = {}
  // Addresses of peers to contact at the start.
  11: list<string> seeds = []
  // Shared key of the peer links, hexadecimal; empty for no authentication.
  12: string peer_key = ""
  13: list<ZoneRegion> zones = []
  // Memory in MB over which the platform ends the process.
  14: double memory_mb = 256
  // Limit in MB on what the messages of callers, searchers, peers and the store
  // keep in memory; 0 derives it from `memory_mb`.
  15: double kept_mb = 0
  // Limit on open files and sockets; 0 leaves only that of the kernel.
  16: i32 max_fds = 0
}

// Who sends the messages that a daemon keeps in memory.
enum Sender {
  CALLER = 0
  SEARCHER = 1
  PEER = 2
  STORE = 3
}

const map<string, declarations.Range> RANGES = {
  "EntrySettings.memory_mb": {"low": 32, "high": 1048576},
  "EntrySettings.kept_mb": {"low": 0, "high": 1048576},
  "EntrySettings.max_fds": {"low": 0, "high": 1073741824},
  "StoreSettings.timeout_ms": {"low": 10, "high": 60000},
  "StoreSettings.poll_ms": {"low": 50, "high": 60000},
  "StoreSettings.readers": {"low": 1, "high": 100},
  "StoreSettings.reader_epoch_ms": {"low": 1000, "high": 3600000},
  "BoundSettings.grace_s": {"low": 0.1, "high": 3600},
  "BoundSettings.extra_ratio": {"low": 0, "high": 10},
  "BoundSettings.extra_window_s": {"low": 0.1, "high": 3600},
  "BoundSettings.extra_slack": {"low": 0, "high": 1000000},
  "BoundSettings.warmup_factor": {"low": 1, "high": 100},
  "BoundSettings.warmup_slack": {"low": 0, "high": 1000000},
  "BoundSettings.entries_ttl_s": {"low": 0.1, "high": 3600}
}
