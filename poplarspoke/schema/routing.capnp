@0xb1d0a3f0c0de0011;

using Common = import "common.capnp";
using Membership = import "membership.capnp";

enum RouteReason {
  # Why routing picked the endpoint, or none.
  noEndpoint @0;
  ownZoneReplica @1;
  otherZoneReplica @2;
  primaryForWrite @3;
  primaryForStrictRead @4;
  primaryAsFallback @5;
  waitForReplica @6;
  likelyReplica @7;
}

enum SkipReason {
  # Why an endpoint was skipped.
  outOfService @0;
  unreachable @1;
  tooOld @2;
  behind @3;
  superseded @4;
  ramping @5;
  busy @6;
  primaryKeptForWrites @7;
  lessPreferred @8;
  replicaCannotWrite @9;
}

struct Candidate {
  # An endpoint of the database: its latest view and its settings.
  view @0 :Membership.EndpointView;
  zone @1 :Text;
  inService @2 :Bool;  # Both the endpoint and its zone are in service.
  returnedAgoS @3 :Float64;  # Seconds since its return to service.
}

struct RouteQuery {
  # What a statement requires of the endpoint that serves it.
  write @0 :Bool;
  maxAgeS @1 :Float64;  # Allowed staleness in seconds.
  required @2 :Common.Position;  # Position that the session requires.
  zone @3 :Text;  # Zone of the host that routes the statement.
  waitedS @4 :Float64;  # Seconds that the statement has waited for a replica.
  draw @5 :Float64;  # Random number in [0, 1) for the ramp.
  primaryOnly @6 :Bool;  # Only the primary, after a replica's stale answer.
}

struct SkippedEndpoint {
  # A candidate that routing did not pick, with the reason.
  endpoint @0 :Text;
  reason @1 :SkipReason;
}

struct RouteChoice {
  # The endpoint for a statement and the reasons for the choice.
  endpoint @0 :Text;  # Empty if no endpoint can serve the statement now.
  reason @1 :RouteReason;
  confirm @2 :Bool;  # A majority must confirm the primary's term.
  waitS @3 :Float64;  # Seconds to wait before routing is tried again.
  passed @4 :List(SkippedEndpoint);  # Candidates that were skipped.
}
