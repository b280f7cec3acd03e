@0xb1d0a3f0c0de0050;

struct WorkspaceCount {
  # Operations of one workspace.
  workspace @0 :Text;
  operations @1 :UInt64;
}

struct UsageWindow {
  # Counts of one window.
  window @0 :UInt64;  # Its start since 1970, divided by its length.
  counts @1 :List(WorkspaceCount);
  estimated @2 :Bool;  # Counts of some hosts were missing.
}

struct UsageRecord {
  # Row of the usage reports; any leader repeats exactly these counts.
  era @0 :UInt64;  # Of the store when the row was written.
  last @1 :UInt64;  # Newest window that was decided; 0 for none.
  windows @2 :List(UsageWindow);  # Decided and not known to be reported.
}

struct UsageCounted {
  # Counts of the relay, passed to the control task each second.
  asOfS @0 :Float64;  # Boot clock.
  windows @1 :List(UsageWindow);  # Windows whose counts have changed.
  drained @2 :Bool;  # The host shuts down and has no sessions.
  wallOffsetS @3 :Float64;  # Wall clock less boot clock, set on the way.
}

struct UsageClock {
  # Offset by which the relay assigns operations to windows.
  offsetS @0 :Float64;  # True time less boot clock.
}

struct CountReport {
  # Counts of one host, sent each second until the leader acknowledges them.
  sender @0 :Text;
  incarnation @1 :UInt64;
  window @2 :UInt64;  # 0 if the sender does not know the true time yet.
  sequence @3 :UInt64;  # Increases when the counts of the window change.
  total @4 :UInt64;  # Sum over all workspaces; a datagram may hold some only.
  final @5 :Bool;  # The counts will not change any more.
  departed @6 :Bool;  # The sender shuts down and will count nothing more.
  counts @7 :List(WorkspaceCount);
  askedS @8 :Float64;  # Boot clock of the sender; the answer repeats it.
  wallS @9 :Float64;  # Wall clock of the sender.
  indirect @10 :Bool;  # The recipient passes it on to the leader.
  via @11 :Text;  # Host that passed it on.
  copied @12 :Bool;  # Sent for a process that may have ended; not acknowledged.
  agoS @13 :Float64;  # Time since that process was last heard of.
}

struct CountAck {
  # Answer of the leader to CountReport.
  recipient @0 :Text;
  token @1 :UInt64;
  window @2 :UInt64;
  sequence @3 :UInt64;
  complete @4 :Bool;  # The leader has all counts of this sequence.
  askedS @5 :Float64;
  trueS @6 :Float64;  # True time; 0 if the leader does not know it.
}

struct ReportUsage {
  # Call that reports a window to the platform.
  usage @0 :UsageWindow;
  holder @1 :Text;
  token @2 :UInt64;
  expiresS @3 :Float64;  # Boot clock of the sender; not delivered afterwards.
}

struct UsageAnswered {
  # Outcome of ReportUsage; status 0 if there was no answer.
  window @0 :UInt64;
  status @1 :UInt32;
}
