@0xb1d0a3f0c0de0004;

struct Row {
  # One row of the transactional table; version 0 means that it is absent.
  key @0 :Text;
  version @1 :UInt64;
  content @2 :Text;  # JSON.
}

struct RowCondition {
  # Version that a row must have for a commit.
  key @0 :Text;
  version @1 :UInt64;
}

struct RowWrite {
  # New content of a row.
  key @0 :Text;
  content @1 :Text;
}

struct Commit {
  # Transaction with compare-and-set conditions; POST /commit.
  conditions @0 :List(RowCondition);
  writes @1 :List(RowWrite);
}

struct CommitResult {
  # Answer to Commit.
  committed @0 :Bool;
  rows @1 :List(Row);  # Current rows of all conditions.
  nowS @2 :Float64;  # Clock of the table in seconds.
}

struct ReadRows {
  # Reads rows by key; POST /read.
  keys @0 :List(Text);
}

struct RowsRead {
  # Answer to ReadRows.
  rows @0 :List(Row);
  nowS @1 :Float64;
}

struct HostEntry {
  # A host on the platform's list.
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;  # IP:port of the peer listener.
  leaving @3 :Bool;
}

struct HostList {
  # Lagging list of live and leaving hosts; GET /hosts.
  hosts @0 :List(HostEntry);
  ageS @1 :Float64;
}

struct StoredObject {
  # Content of the object store; PUT and GET /objects/NAME.
  name @0 :Text;
  content @1 :Text;
}

struct FetchObject {
  # Requests an object; GET /objects/NAME.
  name @0 :Text;
}

struct FetchHosts {
  # Requests the list of hosts; GET /hosts.
  reserved @0 :Bool;  # Unused.
}

struct FetchCounts {
  # Requests the counters of the stand-in; GET /counts.
  reserved @0 :Bool;  # Unused.
}

struct PlatformCounts {
  # Requests that the platform stand-in has run.
  reads @0 :UInt64;
  writes @1 :UInt64;
}

struct PlatformFaults {
  # Faults of the platform stand-in; POST /faults replaces all of them.
  down @0 :Bool;  # Connections are closed without an answer or effect.
  slowS @1 :Float64;  # Seconds that each request waits before it runs.
  lostAnswers @2 :UInt32;  # Number of next writes that take effect without an answer.
  silence @3 :Bool;  # Connections that are open now stop answering.
  hostsLagS @4 :Float64;  # Age in seconds of the host list in answers.
}

struct StoreRequestFailed {
  # Notifies a task that its request got no answer from the platform.
  detail @0 :Text;
  notSent @1 :Bool;  # The request is known to have had no effect.
}
