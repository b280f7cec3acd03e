@0xb1d0a3f0c0de0013;

using Common = import "common.capnp";

enum ConnectionStatus {
  # What a connection to an endpoint is used for.
  opening @0;
  idle @1;
  lent @2;
  busy @3;
  closing @4;
}

enum CloseReason {
  # Why a connection is closed.
  dirty @0;
  unresponsive @1;
  suspect @2;
  lost @3;
  lateAnswer @4;
  unused @5;
  overLimit @6;
  openTimeout @7;
  abandoned @8;
}

struct Acquire {
  # Asks for a clean connection.
  requestId @0 :Text;  # Unique for each attempt; names the holder.
  workspace @1 :Text;
  transaction @2 :Bool;  # Held until a transaction ends.
  budgetS @3 :Float64;  # Seconds until the caller's deadline.
}

struct CancelAcquire {
  # The caller has left before it learned of a connection; else use Release.
  requestId @0 :Text;
}

struct ConnectionLent {
  # A clean connection; StartExchange and Release come from its holder only.
  requestId @0 :Text;
  connection @1 :UInt64;
}

struct ConnectionRefused {
  # The request gets no connection and was not run.
  requestId @0 :Text;
  refusal @1 :Common.Refusal;
}

struct OpenConnection {
  # Asks the owner of the sockets to open a connection.
  connection @0 :UInt64;
}

struct ConnectionOpened {
  # The connection is open and unused.
  connection @0 :UInt64;
}

struct ConnectionClosed {
  # The connection is closed, was lost, or could not be opened.
  connection @0 :UInt64;
}

struct CloseConnection {
  # Asks the owner of the sockets to close a connection, open or not.
  connection @0 :UInt64;
  reason @1 :CloseReason;
}

struct StartExchange {
  # A request is about to be sent.
  connection @0 :UInt64;
  holder @1 :Text;
  requestId @2 :Text;  # Id that the answer must echo.
  timeoutS @3 :Float64;  # Seconds until the answer must be whole.
}

struct EndExchange {
  # A whole answer came; its content may be used if it is accepted.
  requestId @0 :Text;
  connection @1 :UInt64;
  echoedId @2 :Text;  # Request id in the answer.
  clean @3 :Bool;  # The endpoint reported no open transaction.
}

struct ExchangeEnded {
  # Whether an answer belongs to the request that waits for it.
  requestId @0 :Text;
  accepted @1 :Bool;
}

struct Release {
  # The holder needs the connection no longer; closed unless known clean.
  connection @0 :UInt64;
  holder @1 :Text;
}

struct ConnectionGone {
  # A connection that a transaction holds is no longer usable.
  endpoint @0 :Text;
  connection @1 :UInt64;
  reason @2 :CloseReason;
}

struct SetConnectionLimit {
  # Connections that the member accepts.
  connections @0 :UInt32;
}
