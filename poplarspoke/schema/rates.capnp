@0xb1d0a3f0c0de0005;

struct AdmitRequest {
  # Asks to admit one request of a workspace.
  requestId @0 :Text;
  workspace @1 :Text;
  budgetS @2 :Float64;  # Seconds until the caller's deadline.
}

struct Admitted {
  # The request is inside the workspace's rate and burst.
  requestId @0 :Text;
}

struct RateRefused {
  # The request is over the workspace's rate and burst.
  requestId @0 :Text;
  retryAfterS @1 :Float64;
}

struct WorkspaceRate {
  # Rate and burst of a workspace over all hosts together.
  workspace @0 :Text;
  rate @1 :Float64;  # Requests a second.
  burst @2 :Float64;  # Requests.
}

struct BorrowTokens {
  # Asks a peer for tokens of a workspace.
  sender @0 :Text;
  borrowId @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Float64;
}

struct LendTokens {
  # Answer to BorrowTokens; the lender has given the tokens up.
  sender @0 :Text;
  borrowId @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Float64;
}
