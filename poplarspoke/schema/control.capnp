@0xb1d0a3f0c0de0032;

using Common = import "common.capnp";
using Loads = import "loads.capnp";
using Rates = import "rates.capnp";
using Relay = import "relay.capnp";
using Rules = import "rules.capnp";
using Usage = import "usage.capnp";

enum PrimaryPhase {
  # Whether the primary of a service may be used, or a failover is under way.
  stable @0;
  changing @1;
}

struct HostRecord {
  # Row of a host; only registered hosts hold primary leases.
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;  # IP:port of its peer link.
  controlAddress @3 :Text;  # IP:port of its view and its metrics.
  incarnation @4 :UInt64;  # Start of the process, ms since 1970.
  retired @5 :Bool;  # Unresponsive; has no lease until it registers again.
}

struct PeerAddresses {
  # Addresses of the other hosts.
  hosts @0 :List(HostRecord);
}

struct LeaderRecord {
  # Row of the leader lease: the host that may order failovers.
  holder @0 :Text;  # Name of the leader; empty if it has resigned.
  incarnation @1 :UInt64;  # Of the leader's process.
  token @2 :UInt64;  # Fencing token; increases with each claim.
}

struct PrimaryRecord {
  # Row of the primary of one service.
  service @0 :Text;
  endpoint @1 :Text;
  phase @2 :PrimaryPhase;
  change @3 :UInt64;  # Number of the failover; increases by one.
  candidate @4 :Text;  # Endpoint that is to be promoted, if any.
  reason @5 :Text;
  term @6 :UInt64;  # Term of the primary; 0 for the first primary.
}

struct TermRecord {
  # Row of the newest term of one service. It is a row of its own, since hosts of
  # earlier versions cannot read a row of a primary with another field.
  service @0 :Text;
  term @1 :UInt64;
  start @2 :Common.Position;  # End of the log with which the term began.
}

struct MemberRecord {
  # A member of a service that may hold acknowledged commits.
  endpoint @0 :Text;
  address @1 :Text;  # IP:port.
  bornMs @2 :UInt64;  # Start of its process, ms since 1970.
  end @3 :Common.Position;  # Of a member that left: it holds nothing beyond.
}

struct GroupRecord {
  # Row of the members of a service with synchronous replicas.
  service @0 :Text;
  number @1 :UInt64;  # Increases with each change.
  members @2 :List(MemberRecord);
}

struct EraRecord {
  # Row that confirms the records of an era of the store.
  era @0 :UInt64;  # All records that a restore had lost were written again.
}

struct TableRow {
  # One row of the metadata store.
  key @0 :Text;
  version @1 :UInt64;  # A revision, as all versions here: era and version.
  removed @2 :Bool;
  content @3 :Text;
}

struct TableRows {
  # Answer to a read or a watch of one table.
  table @0 :Text;
  rows @1 :List(TableRow);
  version @2 :UInt64;  # Newest version that the answer covers.
  askedS @3 :Float64;  # Boot clock when the request was sent.
  complete @4 :Bool;  # All rows of the table, not only changed ones.
  relayed @5 :Bool;  # Read from a peer, not from the store.
}

struct TableReadFailed {
  # A read or a watch of a table got no answer.
  table @0 :Text;
  reason @1 :Text;
}

struct WatchReplaced {
  # A watch was silent although rows had changed; a new one was started.
  table @0 :Text;
  version @1 :UInt64;  # Newest revision that the silent watch covered.
}

struct TableView {
  # Rows of one table as a peer has read them.
  table @0 :Text;
  version @1 :UInt64;
  ageS @2 :Float64;  # Since the request whose answer confirmed them.
  rows @3 :List(TableRow);
}

struct PeerView {
  # Answer to a peer that the store does not answer.
  host @0 :Text;
  tables @1 :List(TableView);
}


struct RecordWrite {
  # One row to write if it still has the expected version.
  key @0 :Text;
  expected @1 :UInt64;  # 0 if the row must not exist.
  content @2 :Text;
  removed @3 :Bool;
  unchanged @4 :Bool;  # The row is a condition only and is not written.
}

struct WriteRecords {
  # Atomic write of rows of the project's own table.
  correlation @0 :UInt64;
  writes @1 :List(RecordWrite);
}

struct RecordsWritten {
  # Outcome of WriteRecords.
  correlation @0 :UInt64;
  accepted @1 :Bool;
  known @2 :Bool;  # False without an answer: it may have taken effect.
  version @3 :UInt64;
  rows @4 :List(TableRow);  # Current rows if a condition failed.
}

struct QueryEndpoint {
  # Queries the state of an endpoint, or demotes it.
  service @0 :Text;
  endpoint @1 :Text;
  address @2 :Text;
  demoteTerm @3 :UInt64;  # 0 for a query only.
  askedS @4 :Float64;  # Boot clock of the sender; the answer repeats it.
}

struct EndpointState {
  # Answer of an endpoint to QueryEndpoint.
  service @0 :Text;
  endpoint @1 :Text;
  answered @2 :Bool;
  role @3 :Rules.EndpointRole;
  term @4 :UInt64;
  received @5 :Common.Position;
  askedS @6 :Float64;  # Of the query that it answers.
}

struct OrderPromotion {
  # Orders the platform to make an endpoint the primary.
  service @0 :Text;
  endpoint @1 :Text;
  holder @2 :Text;
  token @3 :UInt64;
  expiresS @4 :Float64;  # Boot clock of the sender; not delivered afterwards.
}

struct PromotionAnswered {
  # Outcome of OrderPromotion; status 0 if there was no answer.
  service @0 :Text;
  endpoint @1 :Text;
  status @2 :UInt32;
}

struct ReportPrimary {
  # Reports to a host that a primary should be replaced.
  sender @0 :Text;
  service @1 :Text;
  endpoint @2 :Text;
  reason @3 :Text;
  passed @4 :Bool;  # Forwarded to the leader; not forwarded again.
}

struct ReportAnswered {
  # Answer to ReportPrimary, from the leader or another host.
  sender @0 :Text;
  service @1 :Text;
  token @2 :UInt64;
  holderAgoS @3 :Float64;  # Since the leader last answered the sender.
  holds @4 :Bool;  # The sender is the leader and the store answers it.
}

struct ProgressRecord {
  # Row that a leader rewrites while a failover waits.
  token @0 :UInt64;
  number @1 :UInt64;  # Differs from that of the row before.
}

struct ReleaseRecord {
  # Row of a witness: hosts that have released the primary of a service.
  service @0 :Text;
  change @1 :UInt64;  # Number of the failover.
  hosts @2 :List(Text);
}

struct RequestRelease {
  # Requests that a host release its lease on the primary of a service.
  sender @0 :Text;
  service @1 :Text;
  change @2 :UInt64;
}

struct Released {
  # Answer to RequestRelease: the host no longer uses the primary.
  sender @0 :Text;
  service @1 :Text;
  change @2 :UInt64;
  incarnation @3 :UInt64;
}

struct QueryReachability {
  # Queries whether an endpoint answers the recipient.
  sender @0 :Text;
  endpoint @1 :Text;
}

struct Reachability {
  # Answer to QueryReachability.
  sender @0 :Text;
  endpoint @1 :Text;
  silent @2 :Bool;  # The endpoint is unresponsive.
  heardAgoS @3 :Float64;  # Seconds since its last answer, -1 if never.
}

struct ShowView {
  # Requests the rows that are newer than the versions of the sender.
  requestId @0 :Text;
  rules @1 :UInt64;
  endpoints @2 :UInt64;
  records @3 :UInt64;
}

struct ViewNeeded {
  # Request of the control task to fetch the view of a peer.
  addresses @0 :List(Text);  # IP:port of the hosts to query.
  request @1 :ShowView;
}

struct ViewAnswered {
  # Outcome of the request for the view of one peer.
  address @0 :Text;  # IP:port of the peer.
  reason @1 :Text;  # Why there is no view; empty if its rows were posted.
}

enum StoreAccess {
  # Whether the store answers the watches of a host.
  unstated @0;  # A host of an earlier version.
  reading @1;
  refused @2;  # Refused or not answered.
  notWatching @3;
}

struct QueryConfirmation {
  # Queries the versions that a host has read; those of the sender are its own.
  sender @0 :Text;
  askedS @1 :Float64;  # Clock of the sender; returned with the answer.
  rules @2 :UInt64;
  endpoints @3 :UInt64;
  records @4 :UInt64;
}

struct Confirmation {
  # Answer to QueryConfirmation; versions are those of the newest change.
  sender @0 :Text;
  askedS @1 :Float64;
  ageS @2 :Float64;  # Since the request that confirmed the records.
  rules @3 :UInt64;
  endpoints @4 :UInt64;
  records @5 :UInt64;
  holds @6 :Bool;  # The sender is the leader and the store answers it.
  extends @7 :Bool;  # The sender knows of no claim beyond its records.
  access @8 :StoreAccess;
  rulesAgeS @9 :Float64;  # As ageS, of the rules.
  endpointsAgeS @10 :Float64;  # As ageS, of the endpoints.
  answeredAgoS @11 :Float64;  # Since the store last answered the sender.
}

struct RowsChanged {
  # Notifies a host of the same zone of the versions of a watcher.
  sender @0 :Text;
  rules @1 :UInt64;
  endpoints @2 :UInt64;
  records @3 :UInt64;
}

struct ZoneCut {
  # Notifies a host of the same zone that other zones do not answer.
  sender @0 :Text;
}

struct SetWatch {
  # Changes how long watches of a table last, and starts a new one.
  table @0 :Text;
  waitS @1 :Float64;  # 0 for no watch.
}

struct PeerDatagram {
  # One datagram between hosts.
  union {
    reportPrimary @0 :ReportPrimary;
    reportHeard @1 :ReportAnswered;
    askRelease @2 :RequestRelease;
    released @3 :Released;
    askReach @4 :QueryReachability;
    reach @5 :Reachability;
    borrowTokens @6 :Rates.BorrowTokens;
    lendTokens @7 :Rates.LendTokens;
    releaseIdle @8 :Relay.ReleaseIdle;
    askConfirmed @9 :QueryConfirmation;
    confirmed @10 :Confirmation;
    rowsChanged @11 :RowsChanged;
    zoneCut @12 :ZoneCut;
    countReport @13 :Usage.CountReport;
    countAck @14 :Usage.CountAck;
    loadReport @15 :Loads.LoadReport;
  }
}
