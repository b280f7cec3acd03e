@0xb1d0a3f0c0de0015;

using Common = import "common.capnp";
using Requests = import "requests.capnp";

enum FailureKind {
  # How an attempt ended without an acknowledged answer.
  notSent @0;  # No byte of it has reached or can still reach the endpoint.
  refusedNotRun @1;  # The endpoint or a host refused it before it ran.
  answerLost @2;  # It was sent and no complete answer arrived.
  unconfirmed @3;  # It ran but no majority confirmed it in time.
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
  refusal @7 :Common.Refusal;  # From the endpoint or host, if there is one.
}

struct RetryBudget {
  # Token bucket that limits the retries of a daemon; a retry costs one token.
  tokens @0 :Float64;
  updatedS @1 :Float64;  # Last refill, in seconds on the monotonic clock.
}

struct RetryPlan {
  # Whether an attempt is retried and after which delay, or why not.
  retry @0 :Bool;
  delayS @1 :Float64;  # Backoff in seconds.
  reason @2 :NoRetryReason;
}

enum NoRetryReason {
  # Why an attempt is not retried.
  none @0;
  mayHaveRun @1;
  statementFailed @2;
  insideTransaction @3;
  deadline @4;
  budgetSpent @5;
  attemptsSpent @6;
}
