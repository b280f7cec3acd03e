@0xb1d0a3f0c0de0012;

using Common = import "common.capnp";

struct Enqueue {
  # Requests a slot of the endpoint.
  requestId @0 :Text;  # Unique for each attempt, not the caller's id.
  workspace @1 :Text;
  budgetS @2 :Float64;  # Seconds until the caller's deadline.
}

struct SlotGranted {
  # The statement may be sent now; Finish or Cancel must follow.
  requestId @0 :Text;
  waitedS @1 :Float64;  # Seconds in the queue.
}

struct SlotRefused {
  # The statement was not run and will not get a slot.
  requestId @0 :Text;
  refusal @1 :Common.Refusal;
}

struct Finish {
  # The endpoint has answered the statement or its connection was closed.
  requestId @0 :Text;
}

struct Cancel {
  # The caller has disconnected and the statement was not sent.
  requestId @0 :Text;
}

struct SetSlots {
  # Number of statements that the endpoint runs at the same time.
  slots @0 :UInt32;
}
