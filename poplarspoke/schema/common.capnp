@0xb1d0a3f0c0de0001;

enum Outcome {
  # Whether a request had an effect.
  notRun @0;
  failed @1;
  unknown @2;
}

enum ErrorCode {
  # Stable error codes; errors.py holds their texts.
  internal @0;
  badRequest @1;
  tooLarge @2;
  unknownRoute @3;
  keyRefused @4;
  keyStatusUnknown @5;
  tokenRefused @6;
  rateExceeded @7;
  overloaded @8;
  deadlineExceeded @9;
  noEndpoint @10;
  notPrimary @11;
  statementFailed @12;
  outcomeUnknown @13;
  transactionEnded @14;
  conflict @15;
  settingsRefused @16;
  forbidden @17;
  storeUnavailable @18;
  hostLeaving @19;
}

struct Position {
  # Position in a database's log; ordered by term, then by position.
  term @0 :UInt64;
  position @1 :UInt64;
}

struct DatabasePosition {
  # Minimum position at which a session reads a database.
  database @0 :Text;
  position @1 :Position;
}

struct Refusal {
  # Reports a request that was refused or whose outcome is unknown.
  code @0 :ErrorCode;
  outcome @1 :Outcome;
  message @2 :Text;
  retryAfterS @3 :Float64;  # Seconds to wait before a retry, 0 if unknown.
}

struct Tick {
  # Periodic message that lets a task check its time limits.
  reserved @0 :Bool;  # Unused.
}
