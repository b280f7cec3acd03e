@0xb1d0a3f0c0de0008;

using Common = import "common.capnp";
using Configuration = import "configuration.capnp";

struct EndpointView {
  # State of an endpoint as a host observed it.
  endpoint @0 :Text;
  database @1 :Text;
  last @2 :Common.Position;
  ageS @3 :Float64;  # Staleness when it was observed.
  observedAgoS @4 :Float64;  # Seconds since the observation.
  primary @5 :Bool;
  queued @6 :UInt32;
  reachable @7 :Bool;
}

struct HostView {
  # What a host knows about another host.
  host @0 :Text;
  incarnation @1 :UInt64;
  heardAgoS @2 :Float64;  # Seconds since the latest known contact with the host.
  dead @3 :Bool;
  settingsVersion @4 :UInt64;
  zone @5 :Text;
}

struct Heartbeat {
  # Periodic message between daemons.
  sender @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;  # Unique for each start of a daemon.
  settingsVersion @3 :UInt64;
  confirmedAgoS @4 :Float64;  # Seconds since the version was confirmed as current.
  storeReachable @5 :Bool;
  leaving @6 :Bool;
  endpoints @7 :List(EndpointView);
  hosts @8 :List(HostView);
  sequence @9 :UInt64;  # Number of this heartbeat of the sender.
  echoSequence @10 :UInt64;  # Number of the receiver's last heartbeat, 0 if none.
  echoAgoS @11 :Float64;  # Seconds since that heartbeat was received.
  confirmed @12 :Bool;  # The settings were confirmed as current at least once.
  storeFailedAgoS @13 :Float64;  # Seconds since the start of the last failed store request.
  doubts @14 :List(Configuration.UnresolvedChange);
}

struct EndpointViews {
  # Views of this host's own endpoints, from the tasks that own them.
  views @0 :List(EndpointView);
}

struct HostStatus {
  # State of a host as another one sees it.
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;  # IP:port of the peer listener.
  live @3 :Bool;
  suspect @4 :Bool;
  leaving @5 :Bool;
  settingsVersion @6 :UInt64;
  heardAgoS @7 :Float64;  # Seconds since the latest known contact.
}

struct HostsChanged {
  # Notifies a task of this daemon of the state of the hosts.
  hosts @0 :List(HostStatus);
}

struct ShowHosts {
  # Queries the state of every host.
  requestId @0 :Text;
}

struct HostsShown {
  # Answer to ShowHosts.
  hosts @0 :List(HostStatus);
  reachableZones @1 :List(Text);
}

struct LeaveFleet {
  # Notifies the membership task that this host shuts down.
  reserved @0 :Bool;  # Unused.
}
