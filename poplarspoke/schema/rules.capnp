@0xb1d0a3f0c0de0030;

enum RouteKind {
  # Consistency that the reads of a route need.
  primary @0;
  bounded @1;
  readOwn @2;
}

enum EndpointRole {
  # Role that a database member reports.
  replica @0;
  primary @1;
}

struct RouteRule {
  # Rule for the statements of callers for one database.
  database @0 :Text;  # Name of the database that callers send.
  service @1 :Text;  # Group of endpoints that runs the statements.
  kind @2 :RouteKind;
  statementTimeoutS @3 :Float64;
  targetLatencyS @4 :Float64;  # Latency objective of a whole operation.
  stalenessS @5 :Float64;  # Tolerated staleness of a read.
  priority @6 :UInt32;  # 0 is the highest.
  open @7 :Bool;  # Served without a key.
}

struct ServiceRule {
  # Limits of one group of endpoints.
  name @0 :Text;
  maxConnections @1 :UInt32;  # Of all hosts together to one endpoint.
  syncReplicas @2 :UInt32;  # Replicas that have received an acknowledged commit.
}

struct WorkspaceRule {
  # Keys and rate of one workspace.
  name @0 :Text;
  keys @1 :List(Text);
  rate @2 :Float64;  # Operations a second, over all hosts.
  burst @3 :Float64;  # Operations, over all hosts.
}

struct Ruleset {
  # One version of the operators' configuration, in full.
  version @0 :UInt64;
  routes @1 :List(RouteRule);
  services @2 :List(ServiceRule);
  workspaces @3 :List(WorkspaceRule);
  transactionIdleS @4 :Float64;
}

struct EndpointEntry {
  # Entry of a database member on the platform's list.
  endpoint @0 :Text;  # Identifier of the member.
  service @1 :Text;
  address @2 :Text;  # IP:port.
  zone @3 :Text;
  slots @4 :UInt32;  # Statements that it runs at the same time.
  draining @5 :Bool;
  role @6 :EndpointRole;
  bornMs @7 :UInt64;  # Start of its process, ms since 1970.
  sequence @8 :UInt64;  # Increases with each report of this process.
}

struct ZoneRegion {
  # Region that an availability zone belongs to.
  zone @0 :Text;
  region @1 :Text;
}

struct HostResources {
  # Resources that the machine grants this process; 0 if they are not stated.
  cores @0 :Float64;  # Processor time, in seconds of a core a second.
  memoryBytes @1 :UInt64;
  descriptors @2 :UInt32;  # Open descriptors, files included.
  linkBytesS @3 :Float64;  # Capacity of its network link.
}

struct FaultTolerance {
  # Simultaneous losses under which all promises hold.
  hosts @0 :UInt32;
  zones @1 :UInt32;
  regions @2 :UInt32;
}

struct UsageSettings {
  # Usage reports that the platform expects.
  windowS @0 :Float64;  # Length of a window; 0 if no reports are expected.
  dueS @1 :Float64;  # After the end of a window.
  tolerance @2 :Float64;  # Tolerated error of each count, as a fraction.
  holderIntervalS @3 :Float64;  # Minimum time between two changes of reporter.
}

struct ClientLimits {
  # Limits on what clients make a host hold; 0 for one that follows from the
  # resources or has a default.
  heldBytes @0 :UInt64;  # For all connections together.
  connections @1 :UInt32;  # Of callers.
  startS @2 :Float64;  # From a connection to its first complete message.
  messageS @3 :Float64;  # From the first to the last byte of a message.
  unreadS @4 :Float64;  # For which answers may stay unsent.
}

struct HostSettings {
  # Settings of this host from the platform.
  name @0 :Text;
  zone @1 :Text;
  ip @2 :Text;
  callerAddress @3 :Text;  # IP:port for callers.
  readyAddress @4 :Text;  # IP:port of the readiness probe.
  peerPort @5 :UInt16;  # UDP port of the links between hosts.
  controlAddress @6 :Text;  # IP:port for views of peers and metrics.
  storeAddress @7 :Text;
  dutyAddress @8 :Text;  # IP:port for promotion orders.
  graceS @9 :Float64;  # From SIGTERM to SIGKILL.
  drainS @10 :Float64;  # A draining endpoint gets no new work after this time.
  quotaExcess @11 :Float64;  # Tolerated excess, fraction of rate and burst.
  quotaSlack @12 :Float64;  # Tolerated excess in operations.
  quotaWindowS @15 :Float64;  # Window that rates and bursts are checked over.
  evacuateS @14 :Float64;  # An evacuated zone gets no work after this time.
  seeds @13 :List(Text);  # Control addresses of some hosts; may be outdated.
  region @16 :Text;
  zoneRegions @17 :List(ZoneRegion);  # All zones, this host's included.
  resources @18 :HostResources;
  tolerance @19 :FaultTolerance;
  usage @20 :UsageSettings;
  keysUnused @21 :Bool;  # Callers have no keys, and all routes are open.
  ratesUnlimited @22 :Bool;  # Workspaces have no rates.
  clientLimits @23 :ClientLimits;
}
