@0xb1d0a3f0c0de0023;

enum ShutdownPhase {
  # Steps of a graceful shutdown of a host.
  serving @0;
  waiting @1;  # Not ready; the load balancer still sends requests.
  finishing @2;  # Open work ends.
  finished @3;
}

struct EndpointLeaving {
  # An endpoint said that it leaves, or that it stays again.
  endpoint @0 :Text;
  leaving @1 :Bool;
}

struct EndpointWeight {
  # Share of new work that an endpoint gets.
  endpoint @0 :Text;
  database @1 :Text;
  weight @2 :Float64;  # 0 for no new work, 1 for a full share.
  reason @3 :Text;  # Setting or event behind a weight below 1.
}

struct WeightsChanged {
  # Tells a task of this daemon the weight of every endpoint.
  weights @0 :List(EndpointWeight);
}

struct EndTransactions {
  # Asks to roll back what is open on an endpoint after the grace period.
  endpoint @0 :Text;  # Empty for all endpoints.
  reason @1 :Text;
}

struct ReadyChanged {
  # Tells whether this host may get new requests.
  ready @0 :Bool;
  reason @1 :Text;
}

struct BeginShutdown {
  # Starts the graceful shutdown of this host.
  reason @0 :Text;
}

struct WorkCount {
  # Open work of this host, from the tasks that own it.
  task @0 :Text;
  open @1 :UInt64;
}

struct StopAccepting {
  # Asks the front end to close each connection after its current answer.
  reserved @0 :Bool;  # Unused.
}

struct ReleaseLeases {
  # Asks to give back the leases of this host.
  reserved @0 :Bool;  # Unused.
}

struct ShutdownFinished {
  # Tells the daemon that it may exit.
  openWork @0 :UInt64;  # Work that was cut off by the grace period.
}

