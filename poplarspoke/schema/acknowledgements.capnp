@0xb1d0a3f0c0de0020;

using Common = import "common.capnp";

struct AwaitMajority {
  # Requests the confirmation of a position by a majority of members.
  requestId @0 :Text;  # Unique for each attempt.
  primary @1 :Text;  # Endpoint that executed the statement.
  position @2 :Common.Position;
  budgetS @3 :Float64;  # Seconds until the caller's deadline.
}

struct MajorityReached {
  # A majority confirmed the position while its term was current.
  requestId @0 :Text;
  holders @1 :List(Text);  # Members that confirmed the position.
}

struct MajorityMissed {
  # No majority confirmed the position in time; whether it survives is unknown.
  requestId @0 :Text;
  adoptedTerm @1 :UInt64;  # Highest term that a member reported.
}
