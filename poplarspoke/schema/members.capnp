@0xb1d0a3f0c0de0003;

using Common = import "common.capnp";

enum Role {
  # Role of a database member.
  replica @0;
  primary @1;
}

struct Execute {
  # One statement for an endpoint; POST /execute.
  requestId @0 :Text;
  workspace @1 :Text;
  term @2 :UInt64;  # Term of the primary according to the sender; 0 for reads on replicas.
  text @3 :Text;
  parameters @4 :List(Text);
  write @5 :Bool;
  record @6 :Bool;  # Store the request id and the answer with the write.
}

struct TransactionControl {
  # Begins or ends the transaction of a connection; POST /begin, /commit, /rollback.
  requestId @0 :Text;
  workspace @1 :Text;
  term @2 :UInt64;
  record @3 :Bool;  # Store the request id and the answer with the commit.
}

struct MemberAnswer {
  # Answer of an endpoint to one statement.
  requestId @0 :Text;
  position @1 :Common.Position;  # Of the write, or of the last log entry.
  ageS @2 :Float64;
  queued @3 :UInt32;  # Statements that wait for a slot.
  rows @4 :Text;  # JSON array.
  repeated @5 :Bool;
  refused @6 :Bool;
  refusal @7 :Common.Refusal;
}

struct MemberStatus {
  # State of a member; GET /status.
  endpoint @0 :Text;
  adoptedTerm @1 :UInt64;
  role @2 :Role;
  last @3 :Common.Position;  # Last log entry.
  ageS @4 :Float64;  # Seconds since the member was known to be up to date.
  primary @5 :Text;  # Endpoint that the member follows.
  primaryHeardS @6 :Float64;  # Seconds since the last message from the primary.
  queued @7 :UInt32;
}

struct Confirm {
  # Queries whether a member holds a log entry in a term; POST /confirm.
  position @0 :Common.Position;
  waitS @1 :Float64;  # Seconds to wait for replication.
}

struct Confirmed {
  # Answer to Confirm.
  confirmed @0 :Bool;  # The entry is in the log and its term is still adopted.
  adoptedTerm @1 :UInt64;
}

struct Adopt {
  # Requests that a member adopts a term for one candidate; POST /adopt.
  term @0 :UInt64;
  candidate @1 :Text;  # Host and nonce, unique for each attempt.
}

struct Adopted {
  # Answer to Adopt.
  granted @0 :Bool;
  adoptedTerm @1 :UInt64;
  last @2 :Common.Position;
  endpoint @3 :Text;
}

struct Promote {
  # Makes a member the primary of a term; POST /promote.
  term @0 :UInt64;
  candidate @1 :Text;
}

struct Follow {
  # Notifies a member of the primary of a term; POST /follow.
  term @0 :UInt64;
  primary @1 :Text;
  address @2 :Text;  # IP:port of the primary.
}

struct LogEntry {
  # One entry of a database log.
  position @0 :Common.Position;
  workspace @1 :Text;
  effect @2 :Text;  # JSON of the changed values.
  requestId @3 :Text;
  answer @4 :Text;  # Recorded answer, JSON.
}

struct Replicate {
  # Log entries from the primary; POST /replicate.
  term @0 :UInt64;
  primary @1 :Text;
  previous @2 :Common.Position;
  entries @3 :List(LogEntry);
  end @4 :Common.Position;  # End of the primary's log.
  round @5 :UInt64;  # Number of the message; the answer repeats it.
  answeredRound @6 :UInt64;  # Last round whose answer the primary received.
  ageS @7 :Float64;  # Age of the primary when it sent the message.
}

struct Replicated {
  # Answer to Replicate.
  accepted @0 :Bool;
  adoptedTerm @1 :UInt64;
  last @2 :Common.Position;  # Last matching entry, or a hint where the logs may match.
  round @3 :UInt64;
}

struct FetchStatus {
  # Queries the MemberStatus of a member; GET /status.
  reserved @0 :Bool;  # Unused.
}

struct BeginTransaction {
  # Begins the transaction of a connection.
  control @0 :TransactionControl;
}

struct CommitTransaction {
  # Commits the transaction of a connection.
  control @0 :TransactionControl;
}

struct RollbackTransaction {
  # Rolls the transaction of a connection back.
  control @0 :TransactionControl;
}

struct MemberCall {
  # A request as the server of a member passes it to the member's task.
  requestId @0 :Text;  # Unique for each call.
  connection @1 :Text;  # Name of the connection that it arrived on.
  queued @2 :UInt32;  # Statements that wait for a slot.
  union {
    fetchStatus @3 :FetchStatus;
    execute @4 :Execute;
    beginTransaction @5 :BeginTransaction;
    commitTransaction @6 :CommitTransaction;
    rollbackTransaction @7 :RollbackTransaction;
    confirm @8 :Confirm;
    adopt @9 :Adopt;
    promote @10 :Promote;
    follow @11 :Follow;
    replicate @12 :Replicate;
  }
}

struct ConnectionClosed {
  # A connection to a member has closed; its transaction ends.
  connection @0 :Text;
}

struct ReplicateAnswered {
  # Outcome of a Replicate message.
  member @0 :Text;
  lost @1 :Bool;  # No answer was received.
  answer @2 :Replicated;
}

struct MemberFaults {
  # Faults of a member stand-in, which replace the earlier ones; POST /faults.
  down @0 :Bool;  # Closes every connection without an answer.
  frozen @1 :Bool;  # Requests wait until the member is no longer frozen.
  silent @2 :Bool;  # Connections that are open now stop answering for good.
  slowS @3 :Float64;  # Added execution time of each statement.
  lostAnswers @4 :UInt32;  # Answers to lose after their effect.
  lostPath @5 :Text;  # Path whose answers are lost; empty for all paths.
  cutOff @6 :List(Text);  # Members partitioned from this one; no replication in either direction.
  farBehind @7 :Bool;  # Accepts no log entries.
  lagS @8 :Float64;  # Delay of the replication messages that this member sends.
}

struct SeenRequest {
  # A request that a stand-in has received; GET /seen.
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Text);  # As "name: value".
  body @3 :Text;
}

struct SeenRequests {
  # The latest requests that a stand-in has received.
  requests @0 :List(SeenRequest);
}
