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
  ageS @8 :Float64;  # Lower bound of the seconds since it was accepted.
}

struct FetchSettings {
  # Requests the settings of a peer that has a newer version.
  sender @0 :Text;
  version @1 :UInt64;  # Version that the sender has.
}

struct ChangeSettings {
  # A change requested by an operator.
  changeId @0 :Text;
  team @1 :Text;
  path @2 :Text;
  content @3 :Text;  # JSON of the new value, null removes the path.
  who @4 :Text;
  why @5 :Text;
  baseVersion @6 :UInt64;  # Version that it is based on; 0 means the current one.
  requestId @7 :Text;  # Set by the interface that waits for the reply.
}

struct SettingsChanged {
  # The change was accepted, now or by an earlier request.
  changeId @0 :Text;
  version @1 :UInt64;
  repeated @2 :Bool;
}

struct UnresolvedChange {
  # A change of unknown outcome: its commit got no answer.
  changeId @0 :Text;
  version @1 :UInt64;  # Version that the change would create.
  keys @2 :List(Text);  # Ids of the keys that it would remove or revoke.
}

struct ChangeRecord {
  # An accepted change as stored in the table.
  version @0 :UInt64;
  changeId @1 :Text;
  team @2 :Text;
  path @3 :Text;
  content @4 :Text;  # JSON; empty if it is over 4096 characters.
  digest @5 :Text;  # SHA-256 of team, path and content, hex.
  who @6 :Text;
  why @7 :Text;
  acceptedAtS @8 :Float64;  # Clock of the table in seconds.
}

struct SettingsInForce {
  # Notifies a task of this daemon of the settings in force.
  snapshot @0 :SettingsSnapshot;
}

struct SettingsFreshness {
  # Notifies a task of this daemon how recently the settings were confirmed.
  version @0 :UInt64;
  confirmed @1 :Bool;  # False until the first confirmation.
  confirmedAtS @2 :Float64;  # All changes accepted before are in force; monotonic clock.
  evidence @3 :Text;  # Source of the confirmation.
  storeReachable @4 :Bool;
  storeFailedAtS @5 :Float64;  # When the last failed attempt began; monotonic clock.
  doubts @6 :List(UnresolvedChange);
}

struct PeerState {
  # Settings state of a peer, from its last heartbeat.
  host @0 :Text;
  zone @1 :Text;
  version @2 :UInt64;
  statedAtS @3 :Float64;  # Lower bound of when the peer sent it; monotonic clock.
  confirmed @4 :Bool;
  confirmedAgoS @5 :Float64;
  storeReachable @6 :Bool;
  storeFailedAgoS @7 :Float64;
  doubts @8 :List(UnresolvedChange);
}

struct ShowSettings {
  # Requests the settings in force.
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
  # Requests the accepted changes at, above or below a path.
  requestId @0 :Text;
  path @1 :Text;
}

struct HistoryShown {
  # Answer to ShowHistory, newest first.
  changes @0 :List(ChangeRecord);
  oldestVersion @1 :UInt64;  # Oldest version that was searched.
}

struct ResendSettings {
  # Requests the settings in force again after a message was dropped.
  task @0 :Text;
}
