@0xb1d0a3f0c0de0006;

struct CheckKey {
  # Queries whether a key is valid for a workspace and route.
  requestId @0 :Text;
  key @1 :Text;  # Secret.
  workspace @2 :Text;
  route @3 :Text;
}

struct KeyAccepted {
  # The key is valid for this workspace only.
  requestId @0 :Text;
  workspace @1 :Text;
}

struct KeyRefused {
  # The key is unknown or revoked, or its status cannot be determined.
  requestId @0 :Text;
  statusUnknown @1 :Bool;
  reason @2 :Text;
}

struct KeyRecord {
  # A key as stored: only its digest.
  keyId @0 :Text;
  workspace @1 :Text;
  digest @2 :Text;  # SHA-256, hex.
  revoked @3 :Bool;
}
