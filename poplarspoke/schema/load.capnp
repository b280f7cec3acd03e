@0xb1d0a3f0c0de00f0;

struct RequestDone {
  # A request of the load generator that has ended, after its repeats.
  at @0 :Float64;  # Seconds from the start of the run to its planned time.
  latencyS @1 :Float64;  # From the planned time to the answer.
  workspace @2 :Text;
  session @3 :Text;
  route @4 :Text;
  host @5 :Text;  # Host of the last attempt.
  key @6 :Text;  # Key that the statement reads or writes.
  write @7 :Bool;
  code @8 :Text;  # "served", an error code, or "connection_lost".
  mayHaveRun @9 :Bool;  # Some attempt may have taken effect.
  endpoint @10 :Text;
  replica @11 :Bool;
  found @12 :Bool;  # A read returned a row for its key.
  attempts @13 :UInt32;
}

struct RequestUnsent {
  # A planned request for which no session was free in time.
  workspace @0 :Text;
}

struct EffectSeen {
  # Number of effects of the request that writes a key, read at the end.
  workspace @0 :Text;
  key @1 :Text;
  effects @2 :UInt32;
}

struct EffectsRead {
  # The effects of all sessions of a workspace were read, or could not be.
  workspace @0 :Text;
  complete @1 :Bool;
}

enum ViolationKind {
  # Property that a run of the load generator violated.
  staleRead @0;
  lostWrite @1;
  doubledEffect @2;
  falseRefusal @3;
}

struct Violation {
  # One violated property, with the key that shows it.
  kind @0 :ViolationKind;
  workspace @1 :Text;
  key @2 :Text;
  evidence @3 :Text;
}

struct CodeCount {
  # Requests that ended with one code.
  code @0 :Text;
  requests @1 :UInt64;
}

struct Latency {
  # Latencies in milliseconds, from the planned time of each request.
  requests @0 :UInt64;
  p50Ms @1 :Float64;
  p90Ms @2 :Float64;
  p99Ms @3 :Float64;
  maxMs @4 :Float64;
}

struct RouteResult {
  # Requests of one workspace on one route.
  workspace @0 :Text;
  route @1 :Text;
  codes @2 :List(CodeCount);
  replica @3 :UInt64;  # Served by replicas.
  served @4 :Latency;
}

struct SecondResult {
  # Service in one second of the run, by planned time.
  second @0 :UInt32;
  served @1 :UInt64;
  refused @2 :UInt64;
  replica @3 :UInt64;
  p99Ms @4 :Float64;  # Of the served requests.
}

struct LoadResult {
  # Result of one run of the load generator.
  seed @0 :UInt64;
  durationS @1 :Float64;
  planned @2 :UInt64;
  unsent @3 :UInt64;  # No session was free.
  codes @4 :List(CodeCount);
  routes @5 :List(RouteResult);
  seconds @6 :List(SecondResult);
  writes @7 :UInt64;  # Acknowledged.
  readsChecked @8 :UInt64;  # Reads of a key that the session had written.
  effectsChecked @9 :UInt64;  # Keys whose effects were counted at the end.
  complete @10 :Bool;  # Every effect could be read at the end.
  violations @11 :List(Violation);
  passed @12 :Bool;  # Complete, and no property was violated.
}
