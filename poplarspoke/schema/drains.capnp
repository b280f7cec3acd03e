@0xb1d0a3f0c0de0023;

enum ShutdownPhase {
  # Phases of the graceful shutdown of a host.
  serving @0;
  waiting @1;  # Not ready, but the load balancer may still send requests.
  finishing @2;  # Open work is finished.
  finished @3;
}

struct EndpointLeaving {
  # Report of an endpoint that it leaves or returns.
  endpoint @0 :Text;
  leaving @1 :Bool;
}

struct EndpointWeight {
  # Share of new work of an endpoint.
  endpoint @0 :Text;
  database @1 :Text;
  weight @2 :Float64;  # 0 for no new work, 1 for a full share.
  reason @3 :Text;  # Setting or event behind a weight below 1.
}

struct WeightsChanged {
  # Notifies a task of this daemon of the weights of all endpoints.
  weights @0 :List(EndpointWeight);
}

struct EndTransactions {
  # Request to roll back open transactions after the grace period.
  endpoint @0 :Text;  # Empty for all endpoints.
  reason @1 :Text;
}

struct ReadyChanged {
  # Notifies of whether this host may get new requests.
  ready @0 :Bool;
  reason @1 :Text;
}

struct BeginShutdown {
  # Starts the graceful shutdown of this host.
  reason @0 :Text;
}

struct WorkCount {
  # Report of a task on its open work.
  task @0 :Text;
  open @1 :UInt64;
}

struct StopAccepting {
  # Request to the front end to close each connection after its current answer.
  reserved @0 :Bool;  # Unused.
}

struct ReleaseLeases {
  # Request to release the rate leases of this host.
  reserved @0 :Bool;  # Unused.
}

struct ShutdownFinished {
  # Notifies the daemon that it may exit.
  openWork @0 :UInt64;  # Work still open at the end of the grace period.
}

