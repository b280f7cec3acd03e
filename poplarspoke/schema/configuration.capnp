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
  ageS @8 :Float64;  # Seconds since it was accepted, or less.
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
  requestId @7 :Text;  # Set by the front that waits for the reply.
}

struct SettingsChanged {
  # The change was accepted or had been accepted before.
  changeId @0 :Text;
  version @1 :UInt64;
  repeated @2 :Bool;
}

struct Doubt {
  # A change whose commit got no answer: it may be in force.
  changeId @0 :Text;
  version @1 :UInt64;  # Version that the change would have.
  keys @2 :List(Text);  # Ids of the keys that it would withdraw.
}

struct ChangeRecord {
  # An accepted change as it is kept in the table.
  version @0 :UInt64;
  changeId @1 :Text;
  team @2 :Text;
  path @3 :Text;
  content @4 :Text;  # JSON, empty if it is long.
  digest @5 :Text;  # SHA-256 of path and content, hex.
  who @6 :Text;
  why @7 :Text;
  acceptedAtS @8 :Float64;  # Clock of the table in seconds.
}

struct SettingsInForce {
  # Tells a task of this daemon which settings are in force.
  snapshot @0 :SettingsSnapshot;
}

struct SettingsFreshness {
  # Tells a task of this daemon how current the settings in force are.
  version @0 :UInt64;
  confirmed @1 :Bool;  # False until the first confirmation.
  confirmedAtS @2 :Float64;  # Every change accepted before is in force; monotonic clock.
  evidence @3 :Text;  # Who confirmed it.
  storeReachable @4 :Bool;
  storeFailedAtS @5 :Float64;  # When the last failed attempt began; monotonic clock.
  doubts @6 :List(Doubt);
}

struct PeerState {
  # What the last heartbeat of a peer says about the settings.
  host @0 :Text;
  zone @1 :Text;
  version @2 :UInt64;
  statedAtS @3 :Float64;  # The peer said so then or later; monotonic clock.
  confirmed @4 :Bool;
  confirmedAgoS @5 :Float64;
  storeReachable @6 :Bool;
  storeFailedAgoS @7 :Float64;
  doubts @8 :List(Doubt);
}

struct ShowSettings {
  # Asks for the settings in force.
  requestId @0 :Text;
}

struct SettingsShown {
  # Answer to ShowSettings.
  snapshot @0 :SettingsSnapshot;
  inForceForS @1 :Float64;
  confirmed @2 :Bool;
  confirmedAgoS @3 :Float64;
  evidence @4 :Text;
}

struct ShowHistory {
  # Asks for the accepted changes at, above or below a path.
  requestId @0 :Text;
  path @1 :Text;
}

struct HistoryShown {
  # Answer to ShowHistory, newest first.
  changes @0 :List(ChangeRecord);
  oldestVersion @1 :UInt64;  # Older versions were not looked at.
}

struct ResendSettings {
  # Asks for the settings in force again after a message was dropped.
  task @0 :Text;
}
