@0xb1d0a3f0c0de000a;

using Members = import "members.capnp";

enum FailoverReason {
  # Why a host changes the primary of a database.
  none @0;
  primaryLost @1;  # Neither this host nor the replicas hear the primary.
  noPrimary @2;  # A majority of replicas follows no primary.
  superseded @3;  # A majority has adopted a term without a primary.
  memberBarred @4;  # A member has adopted a term that its primary lacks.
  drain @5;  # The primary's endpoint leaves service.
  primaryIsolated @6;  # The primary answers, but neither it nor the replicas
  # hear each other.
}

enum FailoverStep {
  # Step that an attempt is waiting in.
  catchUp @0;
  claim @1;
  adopt @2;
  promote @3;
}

struct CallEndpoint {
  # A call of a database member outside of the statement queue.
  callId @0 :UInt64;
  newConnection @1 :Bool;  # Do not use a connection that is open already.
  timeoutS @2 :Float64;
  union {
    fetchStatus @3 :Members.FetchStatus;
    adopt @4 :Members.Adopt;
    promote @5 :Members.Promote;
    follow @6 :Members.Follow;
    confirm @7 :Members.Confirm;
  }
}

struct EndpointAnswered {
  # What became of a CallEndpoint.
  callId @0 :UInt64;
  endpoint @1 :Text;
  lost @2 :Bool;  # No answer came; the call may have had its effect.
  union {
    memberStatus @3 :Members.MemberStatus;
    adopted @4 :Members.Adopted;
    confirmed @5 :Members.Confirmed;
  }
}

struct CandidateRank {
  # Rendezvous rank of this host for a database, from the membership.
  rank @0 :UInt32;  # 0 acts first.
  peers @1 :List(Text);  # Hosts that hear of a new primary.
  database @2 :Text;
}

struct AvoidEndpoints {
  # Endpoints that leave service and must not keep a primary.
  endpoints @0 :List(Text);
  evidence @1 :Text;  # Setting or report that asks for it.
  database @2 :Text;
}

struct PrimaryAnnounced {
  # A member is the primary of a term.
  sender @0 :Text;
  database @1 :Text;
  term @2 :UInt64;
  primary @3 :Text;
  reason @4 :FailoverReason;
  evidence @5 :Text;  # What was observed before the change.
}

struct DatabaseRow {
  # Content of the row database/NAME in the platform's table.
  term @0 :UInt64;
  candidate @1 :Text;  # Host, incarnation and attempt that claims the term.
  primary @2 :Text;  # Empty until a member was promoted.
  reason @3 :FailoverReason;
  evidence @4 :Text;
}
