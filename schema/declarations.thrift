// Documents that operators declare and that the platform publishes.
namespace py citrondoor.schema.generated.declarations

enum ZoneState { IN = 1, OUT = 2 }
enum VmState { IN = 1, OUT = 2 }
enum BackendKind { SEARCH = 1, RUN = 2 }

struct Zone {
  1: required string name
  2: required string region
  3: ZoneState state = ZoneState.IN
}

struct Zones { 1: required list<Zone> zones }

// An entry VM; its one daemon listens on both ports of the address.
struct Vm {
  1: required string name
  2: required string zone
  3: required string address
  4: required i32 http_port
  5: required i32 peer_port
  6: VmState state = VmState.IN
}

struct Vms { 1: required list<Vm> vms }

struct Searcher {
  1: required string name
  2: required string zone
  3: required string address
  4: required i32 port
  5: VmState state = VmState.IN
}

struct Backend {
  1: required string name
  2: required BackendKind kind
  3: required list<Searcher> searchers
  // Calls that one searcher works on concurrently.
  4: required i32 slots
  // Maximum connections to one searcher, over all daemons together.
  5: required i32 connections
  // Extra service time of a new connection, ms; only stand-in searchers use it.
  6: required i32 connect_cost_ms
}

struct Shard {
  1: required string name
  2: required i64 records
  3: required list<string> replicas
}

struct Snapshot {
  1: required string name
  2: required list<Shard> shards
}

// Snapshots of one back end, oldest first.
struct Snapshots {
  1: required string backend
  2: required list<Snapshot> snapshots
}

// Waits for all shards until the deadline, and retries the missing ones.
struct CoverageFirst {}

// Answers within the target latency, and names the shards that are missing.
struct LatencyFirst { 1: required i32 target_ms }

// Exactly one field is set.
struct AnswerPolicy {
  1: optional CoverageFirst coverage_first
  2: optional LatencyFirst latency_first
}

struct Contract {
  1: required string customer
  2: required list<string> key_digests
  3: required list<string> backends
  4: required double rate_per_s
  5: required i32 burst
  6: required i64 monthly_quantity
  7: required i32 max_shards
  8: required i32 max_results
  9: required AnswerPolicy policy
}

struct Contracts { 1: required list<Contract> contracts }

// One published value. At most one body is set; without one, it was removed.
struct Document {
  1: required string key
  2: required i64 revision
  3: optional Zones zones
  4: optional Vms vms
  5: optional Backend backend
  6: optional Snapshots snapshots
  7: optional Contracts contracts
}

struct Range {
  1: required double low
  2: required double high
}

// Inclusive bounds of numeric fields, by "Struct.field".
const map<string, Range> RANGES = {
  "Vm.http_port": {"low": 1, "high": 65535},
  "Vm.peer_port": {"low": 1, "high": 65535},
  "Searcher.port": {"low": 1, "high": 65535},
  "Backend.slots": {"low": 1, "high": 1024},
  "Backend.connections": {"low": 1, "high": 10000},
  "Backend.connect_cost_ms": {"low": 0, "high": 1000},
  "Shard.records": {"low": 0, "high": 1000000000000.0},
  "LatencyFirst.target_ms": {"low": 1, "high": 60000},
  "Contract.rate_per_s": {"low": 0.001, "high": 10000000},
  "Contract.burst": {"low": 1, "high": 10000000},
  "Contract.monthly_quantity": {"low": 0, "high": 1000000000000.0},
  "Contract.max_shards": {"low": 1, "high": 100000},
  "Contract.max_results": {"low": 1, "high": 100000}
}

// Enumeration type of each enumerated field, by "Struct.field".
const map<string, string> ENUMS = {
  "Zone.state": "ZoneState",
  "Vm.state": "VmState",
  "Searcher.state": "VmState",
  "Backend.kind": "BackendKind"
}
