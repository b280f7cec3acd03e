@0xb1d0a3f0c0de0031;

using Common = import "common.capnp";
using Rules = import "rules.capnp";

enum SessionPhase {
  # Transaction state of a session or of a connection to an endpoint.
  idle @0;
  open @1;
  failed @2;
}

enum AnswerCode {
  # Result of a statement, with the names of the session protocol.
  done @0;
  busy @1;
  aborted @2;
  lagging @3;
  readOnly @4;
  misrouted @5;
  tooMany @6;
  failed @7;
  noStatement @8;
  timeout @9;
  keyRefused @10;
  unknownDatabase @11;
  tooLarge @12;
  malformed @13;
  unknownOutcome @14;
}

struct SessionOpened {
  # A caller connected.
  session @0 :UInt64;
}

struct SessionClosed {
  # The caller's connection ended.
  session @0 :UInt64;
}

struct AnswersPaused {
  # Whether the caller's connection takes no more answers now. Statements that the
  # caller has sent ahead wait until it does.
  session @0 :UInt64;
  paused @1 :Bool;
}

struct StartSession {
  # First message of a session.
  session @0 :UInt64;
  database @1 :Text;
  key @2 :Text;  # Secret.
}

struct BeginTransaction {
  # Begins a transaction.
  session @0 :UInt64;
  requestId @1 :Text;
  readOnly @2 :Bool;
}

struct CommitTransaction {
  # Commits the open transaction.
  session @0 :UInt64;
  requestId @1 :Text;
}

struct RollBackTransaction {
  # Rolls the open transaction back.
  session @0 :UInt64;
  requestId @1 :Text;
}

struct ReadItem {
  # Reads one item.
  session @0 :UInt64;
  requestId @1 :Text;
  text @2 :Text;  # Statement as sent by the caller.
}

struct WriteItem {
  # Writes one item.
  session @0 :UInt64;
  requestId @1 :Text;
  text @2 :Text;  # Statement as sent by the caller.
}

struct SetValue {
  # Sets a session value.
  session @0 :UInt64;
  requestId @1 :Text;
  name @2 :Text;
  content @3 :Text;
}

struct PrepareStatement {
  # Prepares a statement under a name of the session.
  session @0 :UInt64;
  requestId @1 :Text;
  name @2 :Text;
  writes @3 :Bool;
  shape @4 :Text;
}

struct ExecutePrepared {
  # Runs a prepared statement.
  session @0 :UInt64;
  requestId @1 :Text;
  name @2 :Text;
  arguments @3 :Text;
}

struct DeallocateStatement {
  # Deallocates a prepared statement.
  session @0 :UInt64;
  requestId @1 :Text;
  name @2 :Text;
}

struct UnknownStatement {
  # A statement that is not part of the session protocol.
  session @0 :UInt64;
  requestId @1 :Text;
}

struct ConnectionReady {
  # An endpoint has started the session of a connection.
  connection @0 :UInt64;
}

struct EndpointAnswered {
  # Complete answer of an endpoint to one statement.
  connection @0 :UInt64;
  code @1 :AnswerCode;
  rows @2 :List(Text);
  detail @3 :Text;  # Signature of a success, text of an error.
  phase @4 :SessionPhase;
  position @5 :Common.Position;  # Of the endpoint's log; term 0 if unknown.
}

struct ConnectionLost {
  # A connection to an endpoint failed to open, was refused or ended.
  connection @0 :UInt64;
  code @1 :AnswerCode;  # Reason of a refusal; done if it was not refused.
  connected @2 :Bool;  # The TCP connection had been established.
}

struct SendAnswer {
  # Answer to a caller.
  session @0 :UInt64;
  code @1 :AnswerCode;
  rows @2 :List(Text);
  detail @3 :Text;
  phase @4 :SessionPhase;
}

struct SessionStarted {
  # Confirms the start of a session to its caller.
  session @0 :UInt64;
}

struct RefuseSession {
  # Refuses the start of a session and closes it.
  session @0 :UInt64;
  code @1 :AnswerCode;
  detail @2 :Text;
}

struct EndSession {
  # Closes a caller's connection.
  session @0 :UInt64;
}

struct OpenConnection {
  # Opens a connection for one workspace to an endpoint.
  connection @0 :UInt64;
  address @1 :Text;
  service @2 :Text;
  endpoint @3 :Text;
  workspace @4 :Text;
}

struct CloseConnection {
  # Closes a connection to an endpoint; an open transaction is rolled back.
  connection @0 :UInt64;
}

struct PrimaryLease {
  # Right to use the primary of a service until a time of the boot clock.
  service @0 :Text;
  endpoint @1 :Text;
  untilS @2 :Float64;
}

struct LeasesRenewed {
  # All primary leases that the host holds; other services have none.
  leases @0 :List(PrimaryLease);
  expected @1 :List(Text);  # Services with an ordered promotion.
}

struct LeaseRevoked {
  # The host gives up its primary lease of a service.
  service @0 :Text;
}

struct EndpointsUpdated {
  # All usable endpoints, and zones that are evacuated.
  endpoints @0 :List(Rules.EndpointEntry);
  evacuated @1 :List(Text);
}

struct HostAddress {
  # Where a host accepts links from other hosts.
  host @0 :Text;
  address @1 :Text;  # IP:port.
}

struct HostsUpdated {
  # Hosts that share rates and connections.
  hosts @0 :UInt32;  # Their number, with this host.
  peers @1 :List(Text);  # Names of the other hosts.
  zonePeers @2 :List(HostAddress);  # Other hosts of this host's zone.
  zones @3 :UInt32;  # Number of zones that have hosts.
  peerZones @4 :List(Text);  # Zone of each peer, in the order of peers.
}

struct ShutDown {
  # Starts a graceful shutdown.
  graceS @0 :Float64;
}

struct ReadinessChanged {
  # The readiness of this host has changed.
  ready @0 :Bool;  # False if hosts of other zones serve callers better.
}

struct EndpointUnresponsive {
  # An endpoint is unresponsive to this host.
  endpoint @0 :Text;
  service @1 :Text;
  sinceS @2 :Float64;  # Boot clock; since when it has not answered.
}

struct ReleaseIdle {
  # Asks a peer to close an idle connection to an endpoint at its limit.
  sender @0 :Text;
  endpoint @1 :Text;
}

enum Hop {
  # Part of this host in a statement that another host may have run.
  none @0;  # The statement of a caller of this host ran from here.
  sent @1;  # A gateway ran it for a caller of this host.
  served @2;  # This host ran it for a caller of another one.
}

enum RefusalCause {
  # Why a host refused an operation that has not run.
  none @0;  # It was not refused, or this host only passed the answer on.
  rate @1;  # No token of the workspace's rate.
  capacity @2;  # It would wait too long for a place at an endpoint.
  primary @3;  # The primary is not usable in time.
  freshness @4;  # No position of the unusable primary, so no replica suits.
  gateway @5;  # No link to a gateway.
  retries @6;  # The budget of retries inside the host is spent.
  timeout @7;  # The timeout of the route passed before it was sent.
  shutdown @8;  # The host shuts down.
  failures @9;  # Connections to the endpoints failed too often.
}

struct OperationEnded {
  # Metrics of an answered statement.
  code @0 :AnswerCode;
  kind @1 :Rules.RouteKind;
  latencyS @2 :Float64;  # Since the statement was read.
  replica @3 :Bool;  # A replica answered it.
  hop @4 :Hop;
  cause @5 :RefusalCause;
}

struct LogDecision {
  # Log line about a decision.
  requestId @0 :Text;
  event @1 :Text;
  outcome @2 :Text;
  endpoint @3 :Text;
  database @4 :Text;
  workspace @5 :Text;
  reason @6 :Text;
  ageS @7 :Float64;
  gateway @8 :Text;  # Host that ran the statement, or that it was run for.
}
