@0xb1d0a3f0c0de000a;

using Members = import "members.capnp";

enum FailoverReason {
  # Reason for a failover of a database.
  none @0;
  primaryLost @1;  # Neither this host nor the replicas reach the primary.
  noPrimary @2;  # A majority of replicas has no contact with a primary.
  superseded @3;  # A majority has adopted a higher term than the primary's.
  memberBarred @4;  # A member has adopted a higher term than its primary's.
  drain @5;  # The primary's endpoint is draining.
  primaryIsolated @6;  # The primary answers this host, but it and the replicas
  # have lost contact with each other.
}

enum FailoverStep {
  # Current step of a failover attempt.
  catchUp @0;
  claim @1;
  adopt @2;
  promote @3;
}

struct CallEndpoint {
  # A control call to a database member, outside of the statement queue.
  callId @0 :UInt64;
  newConnection @1 :Bool;  # Open a new connection instead of reusing one.
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
  # Outcome of a CallEndpoint.
  callId @0 :UInt64;
  endpoint @1 :Text;
  lost @2 :Bool;  # No answer was received; the call may have been executed.
  union {
    memberStatus @3 :Members.MemberStatus;
    adopted @4 :Members.Adopted;
    confirmed @5 :Members.Confirmed;
  }
}

struct CandidateRank {
  # Rendezvous rank of this host for the failover of a database.
  rank @0 :UInt32;  # The host with rank 0 starts a failover first.
  peers @1 :List(Text);  # Hosts to notify of a new primary.
  database @2 :Text;
}

struct DrainingEndpoints {
  # Draining endpoints, which should not keep the primary.
  endpoints @0 :List(Text);
  evidence @1 :Text;  # Setting or report behind the drain.
  database @2 :Text;
}

struct PrimaryAnnounced {
  # Notifies hosts and tasks of the primary of a term.
  sender @0 :Text;
  database @1 :Text;
  term @2 :UInt64;
  primary @3 :Text;
  reason @4 :FailoverReason;
  evidence @5 :Text;  # Observations that led to the failover.
}

struct DatabaseRow {
  # Content of the row database/NAME in the platform's table.
  term @0 :UInt64;
  candidate @1 :Text;  # Host, incarnation and number of the attempt with the term.
  primary @2 :Text;  # Empty until a member is promoted.
  reason @3 :FailoverReason;
  evidence @4 :Text;
}
