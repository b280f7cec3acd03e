@0xb1d0a3f0c0de0013;

using Common = import "common.capnp";

enum ConnectionStatus {
  # What a connection to an endpoint is used for.
  opening @0;
  idle @1;
  lent @2;  # Reserved for its holder, without an exchange in progress.
  busy @3;  # An exchange is in progress.
  closing @4;
}

enum CloseReason {
  # Why a connection is closed.
  dirty @0;  # Released with an open transaction or an outstanding answer.
  unresponsive @1;  # An exchange timed out.
  suspect @2;  # Idle since before an exchange that timed out elsewhere.
  lost @3;  # Failed, closed by the endpoint, or could not be opened.
  lateAnswer @4;  # The answer to another request arrived.
  unused @5;  # Surplus and idle for long.
  overLimit @6;  # The limit on connections was lowered.
  openTimeout @7;
  abandoned @8;  # Lent for long without an exchange or a release.
}

struct Acquire {
  # Requests a clean connection.
  requestId @0 :Text;  # Unique for each attempt; identifies the holder.
  workspace @1 :Text;
  transaction @2 :Bool;  # Held until a transaction ends.
  budgetS @3 :Float64;  # Seconds until the caller's deadline.
}

struct CancelAcquire {
  # Cancels an Acquire that was not answered yet; afterwards, use Release.
  requestId @0 :Text;
}

struct ConnectionLent {
  # A clean connection; only its holder sends StartExchange and Release.
  requestId @0 :Text;
  connection @1 :UInt64;
}

struct ConnectionRefused {
  # The request gets no connection and was not run.
  requestId @0 :Text;
  refusal @1 :Common.Refusal;
}

struct OpenConnection {
  # Requests that the owner of the sockets opens a connection.
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
  # Requests that the owner of the sockets closes a connection, open or not.
  connection @0 :UInt64;
  reason @1 :CloseReason;
}

struct StartExchange {
  # A request is about to be sent.
  connection @0 :UInt64;
  holder @1 :Text;
  requestId @2 :Text;  # Id that the answer must echo.
  timeoutS @3 :Float64;  # Seconds until the whole answer must have arrived.
}

struct EndExchange {
  # A complete answer arrived; its content may be used only if it is accepted.
  requestId @0 :Text;
  connection @1 :UInt64;
  echoedId @2 :Text;  # Request id in the answer.
  clean @3 :Bool;  # The endpoint reported no open transaction.
}

struct ExchangeEnded {
  # Whether an answer belongs to the request that awaits it.
  requestId @0 :Text;
  accepted @1 :Bool;
}

struct Release {
  # The holder no longer needs the connection, which is closed unless clean.
  connection @0 :UInt64;
  holder @1 :Text;
}

struct ConnectionGone {
  # A connection that a transaction holds can no longer be used.
  endpoint @0 :Text;
  connection @1 :UInt64;
  reason @2 :CloseReason;
}

struct SetConnectionLimit {
  # Connections that the member accepts.
  connections @0 :UInt32;
}
