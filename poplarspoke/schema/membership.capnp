@0xb1d0a3f0c0de0008;

using Common = import "common.capnp";

struct EndpointView {
  # What a host knows about an endpoint.
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
  # What a host heard of another host.
  host @0 :Text;
  incarnation @1 :UInt64;
  heardAgoS @2 :Float64;
}

struct Heartbeat {
  # Periodic message between daemons.
  sender @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;  # Unique for each start of a daemon.
  settingsVersion @3 :UInt64;
  confirmedAgoS @4 :Float64;  # Seconds since the version was known current.
  storeReachable @5 :Bool;
  leaving @6 :Bool;
  endpoints @7 :List(EndpointView);
  hosts @8 :List(HostView);
}
