@0xb1d0a3f0c0de0021;

using Common = import "common.capnp";
using Membership = import "membership.capnp";
using Requests = import "requests.capnp";
using Routing = import "routing.capnp";

struct PlanStatement {
  # Asks where a caller's request runs.
  requestId @0 :Text;  # Unique for each attempt.
  workspace @1 :Text;
  route @2 :Text;
  positions @3 :List(Common.DatabasePosition);
  overflowed @4 :Bool;  # The session token had no room for all databases.
  waitedS @5 :Float64;  # Seconds that the request waited for a replica.
  transactional @6 :Bool;  # The statement runs inside of a transaction.
  primaryOnly @7 :Bool;  # A replica's answer was too old for this request.
}

struct StatementPlan {
  # Where and how a request runs.
  statement @0 :Requests.Statement;
  owner @1 :Text;  # Host that owns the endpoint.
  choice @2 :Routing.RouteChoice;
  settingsVersion @3 :UInt64;
  refused @4 :Bool;
  refusal @5 :Common.Refusal;
}

struct EndpointObserved {
  # A fresh observation of an endpoint.
  view @0 :Membership.EndpointView;
}

struct LinkDown {
  # The link to a host is down, so it cannot run statements for this host.
  host @0 :Text;
}
