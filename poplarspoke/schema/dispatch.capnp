@0xb1d0a3f0c0de0021;

using Common = import "common.capnp";
using Membership = import "membership.capnp";
using Requests = import "requests.capnp";
using Routing = import "routing.capnp";

struct PlanStatement {
  # Requests a plan for an attempt of a caller's request.
  requestId @0 :Text;  # Unique for each attempt.
  workspace @1 :Text;
  route @2 :Text;
  positions @3 :List(Common.DatabasePosition);
  overflowed @4 :Bool;  # The session token has no room for all databases.
  waitedS @5 :Float64;  # Seconds that the request waited for a replica.
  transactional @6 :Bool;  # The request begins a transaction.
  primaryOnly @7 :Bool;  # Only the primary, after a replica's stale answer.
}

struct StatementPlan {
  # The endpoint and owner for a request, a wait, or a refusal.
  statement @0 :Requests.Statement;
  owner @1 :Text;  # Host that owns the endpoint.
  choice @2 :Routing.RouteChoice;
  settingsVersion @3 :UInt64;
  refused @4 :Bool;
  refusal @5 :Common.Refusal;
}

struct EndpointObserved {
  # A new observation of an endpoint that this host owns.
  view @0 :Membership.EndpointView;
}

struct LinkDown {
  # The link to a host is down, so no statements can be sent to it.
  host @0 :Text;
}
