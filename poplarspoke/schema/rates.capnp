@0xb1d0a3f0c0de0005;

struct AdmitRequest {
  # Requests admission of one request of a workspace.
  requestId @0 :Text;
  workspace @1 :Text;
  budgetS @2 :Float64;  # Seconds until the caller's deadline.
}

struct Admitted {
  # The request is within the workspace's rate and burst.
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
  rate @1 :Float64;  # Requests per second.
  burst @2 :Float64;  # Requests.
}

struct BorrowTokens {
  # Requests tokens of a workspace from a peer.
  sender @0 :Text;
  borrowId @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Float64;
  incarnation @4 :UInt64;  # Of the borrower.
  keepRoom @5 :Bool;  # The lender withholds the room, since the borrower lacks it.
}

struct LendTokens {
  # Answer to BorrowTokens; the lender has removed the tokens from its bucket.
  sender @0 :Text;
  borrowId @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Float64;
  incarnation @4 :UInt64;  # Of the borrower, copied from the request.
  surplus @5 :Float64;  # Tokens that the lender still has.
}

struct PromiseLease {
  # Requests a promise not to reclaim the sender's units for one lease duration.
  sender @0 :Text;
  promiseId @1 :UInt64;
  incarnation @2 :UInt64;  # Of the sender.
}

struct LeasePromised {
  # Answer to PromiseLease.
  sender @0 :Text;
  promiseId @1 :UInt64;
  incarnation @2 :UInt64;  # Of the promising host.
  holder @3 :UInt64;  # Incarnation of the host that sent the request.
  promised @4 :Bool;
}

struct RateSettings {
  # Rates of the settings version that is in force on this host.
  version @0 :UInt64;
  hosts @1 :List(Text);  # Hosts in the settings.
  workspaces @2 :List(WorkspaceRate);
  hostsChangedAgoS @3 :Float64;  # Seconds since the list of hosts changed.
}

struct LivePeers {
  # Hosts that tokens may be borrowed from.
  hosts @0 :List(Text);
}

struct LeaveRates {
  # Releases the leased units, since the host shuts down.
  reserved @0 :Bool;  # Unused.
}

struct WorkspaceUnits {
  # Leased units of a workspace.
  workspace @0 :Text;
  units @1 :UInt32;
  demand @2 :Float64;  # Requests per second that arrive at the holder.
}

struct LeaseHolder {
  # Entry of a host in the lease row.
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;  # Increased by each renewal.
  joined @3 :UInt64;  # Row version on which the entry was first written.
  renewed @4 :UInt64;  # Row version on which it was last written.
  units @5 :List(WorkspaceUnits);
}

struct LeaseRow {
  # Content of the lease row in the platform's table.
  holders @0 :List(LeaseHolder);
}
