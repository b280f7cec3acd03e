@0xb1d0a3f0c0de0010;

using Common = import "common.capnp";

struct Session {
  # Content of a session token, which is valid for one workspace.
  positions @0 :List(Common.DatabasePosition);
  overflowed @1 :Bool;  # Databases that are not listed need a strict read.
}
