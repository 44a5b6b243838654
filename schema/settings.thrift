// Settings of one daemon, as in its YAML file.
namespace py citrondoor.schema.generated.settings

include "declarations.thrift"

struct PlatformSettings {
  1: required string url
  2: i32 watch_ms = 5000
  3: i32 timeout_ms = 2000
  // Number of daemons that read the platform, while reads succeed.
  4: i32 readers = 2
  // Time after which the readers are chosen anew, ms.
  5: i32 reader_epoch_ms = 60000
}

struct PeerSettings {
  // Shared key of all daemons, hexadecimal, at least 32 digits.
  1: required string key
  2: i32 heartbeat_ms = 500
  3: i32 suspect_ms = 1500
  4: i32 dead_ms = 3000
  5: i32 neighbours = 8
  6: i32 max_frame_bytes = 8388608
  7: i32 request_timeout_ms = 500
}

struct CallerSettings {
  1: i32 max_body_bytes = 65536
  2: i32 header_timeout_ms = 5000
  3: i32 body_timeout_ms = 5000
  4: i32 max_deadline_ms = 60000
  5: i32 default_deadline_ms = 2000
  6: i32 max_concurrent = 512
  7: i32 entries_ttl_ms = 3000
}

struct UpstreamSettings {
  1: i32 connect_timeout_ms = 500
  2: i32 cancel_grace_ms = 1000
  // Minimum delay of a hedge, ms.
  3: i32 hedge_floor_ms = 10
  4: double hedge_budget_share = 0.02
  5: i32 max_queue = 64
  // No code reads it; kept so that settings files may still set it.
  6: i32 cold_idle_ms = 30000
  // Memory for partly received responses of all searchers together, MB.
  7: i32 response_memory_mb = 64
}

struct DaemonSettings {
  1: required string vm
  2: required string zone
  3: required string address
  4: required i32 http_port
  5: required i32 peer_port
  6: required PlatformSettings platform
  7: required PeerSettings peers
  8: CallerSettings callers = {}
  9: UpstreamSettings upstreams = {}
  // Peers to contact before the first configuration is known, "address:port".
  10: list<string> seeds = []
  // A longer gap between ticks counts as a pause of the process, ms.
  11: i32 pause_ms = 1000
  // Time after a pause until the view is trusted without a confirmation, ms.
  12: i32 confirm_timeout_ms = 2000
  // SHA-256 of the operators' key, as 64 hexadecimal digits.
  13: required string operator_key_digest
  // Memory in MB over which the process would be ended.
  14: double memory_mb = 1024
  // Limit in MB on what the messages of callers and peers keep in memory; 0
  // derives it from `memory_mb`.
  15: double kept_mb = 0
}

const map<string, declarations.Range> RANGES = {
  "PlatformSettings.watch_ms": {"low": 100, "high": 60000},
  "PlatformSettings.timeout_ms": {"low": 10, "high": 60000},
  "PlatformSettings.readers": {"low": 1, "high": 100},
  "PlatformSettings.reader_epoch_ms": {"low": 1000, "high": 3600000},
  "PeerSettings.heartbeat_ms": {"low": 10, "high": 10000},
  "PeerSettings.suspect_ms": {"low": 20, "high": 60000},
  "PeerSettings.dead_ms": {"low": 50, "high": 120000},
  "PeerSettings.neighbours": {"low": 1, "high": 64},
  "PeerSettings.max_frame_bytes": {"low": 65536, "high": 67108864},
  "PeerSettings.request_timeout_ms": {"low": 10, "high": 60000},
  "UpstreamSettings.response_memory_mb": {"low": 1, "high": 65536},
  "CallerSettings.max_body_bytes": {"low": 1024, "high": 16777216},
  "CallerSettings.header_timeout_ms": {"low": 100, "high": 60000},
  "CallerSettings.body_timeout_ms": {"low": 100, "high": 60000},
  "CallerSettings.max_deadline_ms": {"low": 10, "high": 600000},
  "CallerSettings.default_deadline_ms": {"low": 10, "high": 600000},
  "CallerSettings.max_concurrent": {"low": 1, "high": 100000},
  "CallerSettings.entries_ttl_ms": {"low": 100, "high": 600000},
  "UpstreamSettings.connect_timeout_ms": {"low": 10, "high": 60000},
  "UpstreamSettings.cancel_grace_ms": {"low": 10, "high": 60000},
  "UpstreamSettings.hedge_floor_ms": {"low": 1, "high": 60000},
  "UpstreamSettings.hedge_budget_share": {"low": 0, "high": 0.05},
  "UpstreamSettings.max_queue": {"low": 1, "high": 100000},
  "UpstreamSettings.cold_idle_ms": {"low": 1000, "high": 3600000},
  "DaemonSettings.memory_mb": {"low": 32, "high": 1048576},
  "DaemonSettings.kept_mb": {"low": 0, "high": 1048576},
  "DaemonSettings.http_port": {"low": 1, "high": 65535},
  "DaemonSettings.peer_port": {"low": 1, "high": 65535},
  "DaemonSettings.pause_ms": {"low": 100, "high": 60000},
  "DaemonSettings.confirm_timeout_ms": {"low": 100, "high": 60000}
}
