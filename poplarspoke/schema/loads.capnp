@0xb1d0a3f0c0de0037;

struct EndpointLoad {
  # Statements of one host at one endpoint.
  endpoint @0 :UInt32;  # Digest of its name, to keep the datagram small.
  running @1 :UInt16;  # Now, in hundredths of a statement.
  mean @2 :UInt16;  # Moving average, in hundredths of a statement.
}

struct LoadReport {
  # Statements that a host has at endpoints; replaces its former report.
  sender @0 :Text;
  incarnation @1 :UInt64;  # Of the sender.
  sentS @2 :Float64;  # Boot clock of the sender.
  intervalS @3 :Float64;  # Until its next report to this recipient.
  endpoints @4 :List(EndpointLoad);  # Others have none.
}
