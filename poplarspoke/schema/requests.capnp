@0xb1d0a3f0c0de0002;

using Common = import "common.capnp";

enum Repeat {
  # Whether a route allows a retry when a statement may have run already.
  safe @0;
  recorded @1;
  never @2;
}

enum TransactionStep {
  # What a statement does to its transaction.
  single @0;
  begin @1;
  inside @2;
  commit @3;
  rollback @4;
}

struct CallerRequest {
  # A request as the caller sent it, with its secrets.
  requestId @0 :Text;  # Idempotency key of the caller, or a generated one.
  key @1 :Text;  # Secret; never logged, never forwarded.
  sessionToken @2 :Text;
  workspace @3 :Text;
  route @4 :Text;
  text @5 :Text;  # Statement for the endpoint.
  parameters @6 :List(Text);
  transaction @7 :Text;  # Transaction id, empty outside of one.
  step @8 :TransactionStep;
  budgetS @9 :Float64;  # Seconds until the caller's deadline.
}

struct RequestBody {
  # JSON body of a caller's request.
  route @0 :Text;
  statement @1 :Text;
  parameters @2 :List(Text);
  transaction @3 :Text;  # Transaction id, empty outside of one.
}

struct Statement {
  # An authorized request for an endpoint; it has no field for a key.
  requestId @0 :Text;
  workspace @1 :Text;
  route @2 :Text;
  database @3 :Text;
  text @4 :Text;
  parameters @5 :List(Text);
  transaction @6 :Text;
  step @7 :TransactionStep;
  write @8 :Bool;
  repeat @9 :Repeat;
  minimum @10 :Common.Position;  # Position that the session requires.
  maxAgeS @11 :Float64;  # Allowed staleness in seconds.
  budgetS @12 :Float64;  # Seconds until the deadline.
  endpoint @13 :Text;  # Endpoint that routing picked.
  term @14 :UInt64;  # Term of the primary, as known to the sender.
  confirm @15 :Bool;  # A majority must confirm the position before the answer.
  replica @16 :Bool;  # The endpoint is a replica.
}

struct StatementResult {
  # The answer of an endpoint to one statement.
  requestId @0 :Text;
  endpoint @1 :Text;
  position @2 :Common.Position;  # Log position that the answer reflects.
  ageS @3 :Float64;  # Upper bound of the staleness in seconds.
  rows @4 :Text;  # JSON array.
  repeated @5 :Bool;  # Recorded answer of an earlier run of this request.
  replica @6 :Bool;  # A replica answered.
  transaction @7 :Text;
  refusal @8 :Common.Refusal;
  refused @9 :Bool;
  queued @10 :UInt32;  # Statements waiting for a slot of the endpoint.
  database @11 :Text;
  holders @12 :List(Text);  # Replicas that confirmed the position.
}

struct CallerAnswer {
  # The answer to a caller's request.
  requestId @0 :Text;
  sessionToken @1 :Text;
  host @2 :Text;
  endpoint @3 :Text;
  replica @4 :Bool;
  ageS @5 :Float64;
  rows @6 :Text;
  repeated @7 :Bool;
  transaction @8 :Text;
  settingsVersion @9 :UInt64;
  refusal @10 :Common.Refusal;
  refused @11 :Bool;
}
