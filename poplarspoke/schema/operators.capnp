@0xb1d0a3f0c0de0022;

using Common = import "common.capnp";

struct AutomaticAct {
  # An action of the system without an operator, with its evidence.
  atS @0 :Float64;  # Wall clock in seconds since 1970.
  host @1 :Text;
  event @2 :Text;
  subject @3 :Text;  # Database, endpoint, workspace or host that it concerns.
  evidence @4 :Text;
  setting @5 :Text;  # Path of the responsible setting, empty if there is none.
  settingsVersion @6 :UInt64;
}

struct Events {
  # Recent automatic acts, newest first; GET /events.
  events @0 :List(AutomaticAct);
}

struct RequestStep {
  # One step of a host in handling a request.
  atS @0 :Float64;  # Seconds since the request arrived.
  step @1 :Text;  # Decision, such as admitted or forwarded.
  subject @2 :Text;  # Endpoint, host or workspace that it concerns.
  evidence @3 :Text;
}

struct RequestTrace {
  # How a host handled a recent request; GET /requests/ID. It has no field for
  # a key, a statement or its parameters.
  requestId @0 :Text;
  host @1 :Text;
  workspace @2 :Text;
  route @3 :Text;
  settingsVersion @4 :UInt64;
  steps @5 :List(RequestStep);
  refused @6 :Bool;
  code @7 :Common.ErrorCode;  # Only if refused.
  outcome @8 :Common.Outcome;  # Only if refused.
}

struct ReadCounted {
  # A read was served by an endpoint.
  replica @0 :Bool;
}

struct FailoverCounted {
  # A failover ended. The gap lasts from the failure to the first write after it.
  database @0 :Text;
  gapS @1 :Float64;
  drain @2 :Bool;  # Started by a drain.
}

struct AdmissionCounted {
  # A request of a workspace was admitted or refused for its rate.
  workspace @0 :Text;
  admitted @1 :Bool;
  wrongful @2 :Bool;  # Refused although this host's own count is within the rate.
}

struct QueueTimeCounted {
  # A statement left the queue of an endpoint.
  workspace @0 :Text;
  waitS @1 :Float64;
}

struct ServiceCounted {
  # A request was answered.
  zone @0 :Text;
  workspace @1 :Text;
  refused @2 :Bool;
  code @3 :Common.ErrorCode;  # Only if refused.
}

struct ConnectionsObserved {
  # Connections of this host to an endpoint.
  endpoint @0 :Text;
  open @1 :UInt32;
  busy @2 :UInt32;
}

struct CallersObserved {
  # Connections of callers to this host.
  open @0 :UInt64;
}

struct LeaseObserved {
  # Leased part of a workspace's rate that this host may spend.
  workspace @0 :Text;
  rate @1 :Float64;  # Requests a second; 0 if the lease has expired.
}

struct SettingsObserved {
  # Settings version in force on this host.
  version @0 :UInt64;
  confirmedAgoS @1 :Float64;
}

struct ShowMetrics {
  # Requests the text of GET /metrics from the metrics task.
  requestId @0 :Text;
}

struct MetricsShown {
  # Answer to ShowMetrics.
  text @0 :Text;  # Text format of Prometheus.
}

struct ShowEvents {
  # Requests the recent automatic acts.
  requestId @0 :Text;
}

struct ShowTrace {
  # Requests the trace of a recent request on this host.
  requestId @0 :Text;
  traceId @1 :Text;  # Request id of the caller.
}
