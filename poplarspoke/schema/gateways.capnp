@0xb1d0a3f0c0de0035;

using Common = import "common.capnp";
using Relay = import "relay.capnp";
using Rules = import "rules.capnp";

struct OpenLink {
  # First frame of a link, sent by the host that opens it.
  host @0 :Text;
}

struct LinkReady {
  # The gateway serves statements; also the answer to a probe.
}

struct ProbeLink {
  # Asks the gateway for a sign of life.
}

struct GatewayLeaving {
  # The gateway shuts down and wants no new operations.
}

struct SessionValue {
  # Value that a caller has set in its session.
  name @0 :Text;
  content @1 :Text;
}

struct ChannelStart {
  # What a gateway needs to know of a session to run an operation for it.
  workspace @0 :Text;
  route @1 :Rules.RouteRule;
  values @2 :List(SessionValue);
  position @3 :Common.Position;  # Of the session's last acknowledged write.
  positionUnknown @4 :Bool;  # A write of the session has an unknown outcome.
  sinceWriteS @5 :Float64;  # Time since that acknowledgement.
}

struct ForwardStatement {
  # A statement that a host passes to the gateway of its database.
  channel @0 :UInt64;  # Session of the caller at the sending host.
  sequence @1 :UInt64;  # Number of the statement; the answer repeats it.
  remainingS @2 :Float64;  # Time until the statement's timeout.
  starts @3 :List(ChannelStart);  # One if it starts an operation, else none.
  prepared @4 :List(Relay.PrepareStatement);  # The one that is executed.
  union {
    begin @5 :Relay.BeginTransaction;
    commit @6 :Relay.CommitTransaction;
    rollBack @7 :Relay.RollBackTransaction;
    read @8 :Relay.ReadItem;
    write @9 :Relay.WriteItem;
    set @10 :Relay.SetValue;
    execute @11 :Relay.ExecutePrepared;
  }
}

struct ForwardedAnswer {
  # Answer of a gateway to a forwarded statement.
  channel @0 :UInt64;
  sequence @1 :UInt64;
  code @2 :Relay.AnswerCode;
  rows @3 :List(Text);
  detail @4 :Text;
  phase @5 :Relay.SessionPhase;
  position @6 :Common.Position;  # Of an acknowledged write; term 0 if none.
  replica @7 :Bool;  # A replica answered it.
  untried @8 :Bool;  # No endpoint has received the statement.
}

struct CloseChannel {
  # The caller's session has ended, or its statement was given up.
  channel @0 :UInt64;
}

struct LinkFrame {
  # One frame on a link between a host and a gateway.
  union {
    open @0 :OpenLink;
    ready @1 :LinkReady;
    probe @2 :ProbeLink;
    leaving @3 :GatewayLeaving;
    forward @4 :ForwardStatement;
    answer @5 :ForwardedAnswer;
    close @6 :CloseChannel;
  }
}
