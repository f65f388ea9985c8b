// Calls between daemons. Regenerate the Python code with "make generate".
namespace py agatestile_rpc

struct Term {
  1: i64 epoch
  2: i32 step
  3: string instance
}

struct RangeReference {
  1: string service_name
  2: i64 start
  3: i64 end
  4: i64 version
}

// Replacement of a range's lost owner by a successor, decided by the leader
// and not yet recorded in the log.
struct RangeStep {
  1: string service_name
  2: i64 start
  3: i64 end
  4: i64 version
  5: i32 step
  6: string server
}

// What the gate of a server observed since its previous heartbeat.
struct GateReport {
  1: string server
  2: string fence
  3: i32 in_flight
  4: double requests_per_second
  5: double latency_ms
  // Incarnation of the server that the gate uses at full capacity, empty while
  // the server is cold.
  6: string warm_incarnation
}

struct RangeLoad {
  1: string service_name
  2: i64 start
  3: i64 end
  4: double requests_per_second
}

struct HotKey {
  1: string service_name
  2: i64 position
  3: double requests_per_second
}

// Stamp is the sender's clock time in seconds, from which the gate leases in
// the reply run.
struct Heartbeat {
  1: string domain
  2: string host
  3: string host_domain
  4: string instance
  5: double stamp
  6: string forward_address
  7: i64 offset
  8: i64 route_sequence
  9: Term route_term
  10: bool leaving
  11: list<GateReport> gates
  12: list<RangeReference> released
  13: list<RangeLoad> loads
  14: list<HotKey> hot_keys
  // Highest term whose leader the host knows.
  15: Term known_term
  // Steps that the host applies while its view is of an earlier term.
  16: list<RangeStep> steps
}

struct GateGrant {
  1: string server
  2: string fence
  // Last reported to the leader by the server: the number of requests that it
  // runs, and its incarnation if the previous gate used that one at full
  // capacity.
  3: i32 running
  4: string warm_incarnation
}

struct GateAddress {
  1: string server
  2: string host
  3: string forward_address
  // Tells the next leader which servers are at full capacity.
  4: string warm_incarnation
}

struct RouteView {
  1: string domain
  2: Term term
  3: i64 sequence
  4: list<GateAddress> gates
  5: list<RangeStep> steps
}

struct HeartbeatReply {
  1: bool leads
  2: string leader
  3: Term term
  4: double stamp
  5: list<GateGrant> grants
  6: list<RangeReference> release
  7: optional RouteView view
}

struct Snapshot {
  1: i64 offset
  2: binary body
}

service Peer {
  // Sent to the leader of a domain. A host that does not lead the domain
  // returns the leader that it knows, or the empty string.
  HeartbeatReply heartbeat(1: Heartbeat heartbeat)
  void announce(1: string domain, 2: Term term, 3: string host)
  Snapshot snapshot()
  // Status of the host as JSON text, as returned by the admin interface.
  string status()
}
