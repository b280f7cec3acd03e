@0xb1d0a3f0c0de0007;

struct SettingsSnapshot {
  # A version of the settings document.
  sender @0 :Text;
  version @1 :UInt64;
  document @2 :Text;  # JSON.
  acceptedAtS @3 :Float64;  # Clock of the table in seconds.
  who @4 :Text;
  why @5 :Text;
  path @6 :Text;
  changeId @7 :Text;
}

struct FetchSettings {
  # Asks a peer for its settings when it is ahead.
  sender @0 :Text;
  version @1 :UInt64;  # Version that the sender has.
}

struct ChangeSettings {
  # A change by an operator.
  changeId @0 :Text;
  team @1 :Text;
  path @2 :Text;
  content @3 :Text;  # JSON of the new value, null removes the path.
  who @4 :Text;
  why @5 :Text;
  baseVersion @6 :UInt64;  # 0 means the current one.
}

struct SettingsChanged {
  # The change was accepted or had been accepted before.
  changeId @0 :Text;
  version @1 :UInt64;
  repeated @2 :Bool;
}
