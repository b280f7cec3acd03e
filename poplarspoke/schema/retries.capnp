@0xb1d0a3f0c0de0015;

using Common = import "common.capnp";
using Requests = import "requests.capnp";

enum FailureKind {
  # How an attempt ended without an acknowledged answer.
  notSent @0;  # Not one byte of it can reach the endpoint any more.
  refusedNotRun @1;  # The endpoint or a host refused it before it ran.
  answerLost @2;  # It was sent and no whole answer came.
  unconfirmed @3;  # It ran and no majority confirmed it in time.
  statementFailed @4;  # The endpoint ran it and reported an error.
}

struct Attempt {
  # A failed attempt of a statement.
  kind @0 :FailureKind;
  repeat @1 :Requests.Repeat;
  step @2 :Requests.TransactionStep;
  write @3 :Bool;
  number @4 :UInt32;  # 1 for the first attempt.
  remainingS @5 :Float64;  # Seconds until the caller's deadline.
  earlierUnknown @6 :Bool;  # An earlier attempt may have run.
  refusal @7 :Common.Refusal;  # Of the endpoint or host, if there is one.
}

struct RetryBudget {
  # Retries that a daemon may still send.
  tokens @0 :Float64;
  updatedS @1 :Float64;  # Monotonic clock in seconds.
}

struct RetryPlan {
  # Whether an attempt is followed by another one, and why not.
  retry @0 :Bool;
  delayS @1 :Float64;
  reason @2 :NoRetryReason;
}

enum NoRetryReason {
  # Why no further attempt is made.
  none @0;
  mayHaveRun @1;
  statementFailed @2;
  insideTransaction @3;
  deadline @4;
  budgetSpent @5;
  attemptsSpent @6;
}
