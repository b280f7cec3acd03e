@0xb1d0a3f0c0de0014;

using Common = import "common.capnp";
using Connections = import "connections.capnp";
using Requests = import "requests.capnp";

enum EndReason {
  # How a transaction ended.
  committed @0;
  rolledBack @1;
  commitUnknown @2;
  idle @3;  # No statement ran for the idle time-out.
  drained @4;  # Its endpoint or host left service.
  connectionLost @5;
}

struct BeginTransaction {
  # Registers a transaction that was begun on a connection.
  requestId @0 :Text;  # Unique for each attempt.
  workspace @1 :Text;
  database @2 :Text;
  endpoint @3 :Text;
  connection @4 :UInt64;
  holder @5 :Text;  # Holder of the connection.
  term @6 :UInt64;  # Term of the primary that it runs on.
}

struct TransactionBegun {
  # The transaction is open until one of its statements ends it.
  requestId @0 :Text;
  transaction @1 :Text;
}

struct UseTransaction {
  # Requests to run one statement, for which the key was checked.
  requestId @0 :Text;  # Unique for each attempt.
  transaction @1 :Text;
  workspace @2 :Text;
  step @3 :Requests.TransactionStep;
}

struct TransactionAllowed {
  # The statement may run on this connection; StatementEnded must follow.
  requestId @0 :Text;
  database @1 :Text;
  endpoint @2 :Text;
  connection @3 :UInt64;
  holder @4 :Text;
  term @5 :UInt64;
}

struct TransactionRefused {
  # This attempt was not run; the refusal's outcome covers earlier attempts.
  requestId @0 :Text;
  refusal @1 :Common.Refusal;
}

struct TransactionCommitted {
  # Answer to a repeated commit of a committed transaction.
  requestId @0 :Text;
  position @1 :Common.Position;
}

struct StatementEnded {
  # A statement of a transaction has ended, with or without an answer.
  requestId @0 :Text;  # Of the UseTransaction.
  transaction @1 :Text;
  answered @2 :Bool;  # A complete answer arrived.
  open @3 :Bool;  # The endpoint reports the transaction as still open.
  committed @4 :Bool;  # A majority confirmed the commit.
  position @5 :Common.Position;  # Of the commit.
  refused @6 :Bool;  # The endpoint refused it, so a commit had no effect.
}

struct DrainTransactions {
  # Refuses new transactions there and ends open ones after the grace period.
  endpoint @0 :Text;  # Empty for the whole host.
  graceS @1 :Float64;
}

struct ReturnEndpoint {
  # The endpoint accepts new transactions again.
  endpoint @0 :Text;  # Empty for the whole host.
}

struct TransactionEnded {
  # The end of a transaction with its evidence, for the log and operators.
  transaction @0 :Text;
  workspace @1 :Text;
  endpoint @2 :Text;
  reason @3 :EndReason;
  closeReason @4 :Connections.CloseReason;  # If its connection was lost.
}
