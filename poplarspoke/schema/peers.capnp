@0xb1d0a3f0c0de0009;

using Requests = import "requests.capnp";
using Rates = import "rates.capnp";
using Membership = import "membership.capnp";
using Configuration = import "configuration.capnp";
using Failover = import "failover.capnp";

struct Hello {
  # First frame on a link; proves knowledge of the peer secret.
  sender @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;  # HMAC-SHA-256 over the other side's nonce and the names.
}

struct PeerFrame {
  # One frame between daemons.
  correlation @0 :UInt64;  # Assigns a StatementResult to its Statement.
  union {
    heartbeat @1 :Membership.Heartbeat;
    hello @2 :Hello;
    statement @3 :Requests.Statement;
    statementResult @4 :Requests.StatementResult;
    borrowTokens @5 :Rates.BorrowTokens;
    lendTokens @6 :Rates.LendTokens;
    fetchSettings @7 :Configuration.FetchSettings;
    settingsSnapshot @8 :Configuration.SettingsSnapshot;
    promiseLease @9 :Rates.PromiseLease;
    leasePromised @10 :Rates.LeasePromised;
    primaryAnnounced @11 :Failover.PrimaryAnnounced;
  }
}
