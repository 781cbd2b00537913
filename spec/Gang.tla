-------------------------------- MODULE Gang --------------------------------
(* Start, run and end of gangs under the ownership of Ownership. What a VM sends to a    *)
(* worker arrives at any later time, again, or never.                                    *)
(* Packages org.fescuehook.logic.control.planning (Plan) and .gang: GangCommitter (Ask,  *)
(* Commit, NeverStarted), GangRunner (Start, Stop, End of a finished gang), GangStopper  *)
(* (Release, End), LeaseRenewer (Renewed).                                            *)
EXTENDS Ownership

CONSTANT Grants  \* how often a request for one lease may arrive at the worker

VARIABLES
  asked,   \* attempts for which leases were asked
  starts,  \* leases to which a start was sent
  leases   \* state of each lease at its worker

vars == <<views, read, appends, asked, starts, leases>>

Ids == Attempts \X Members \X (1..Grants)
IdsOf(attempt) == {attempt.leases[m] : m \in Members}
Gone(attempt) == {i \in IdsOf(attempt) : leases[i] = "gone"}

Init == InitLog /\ asked = {} /\ starts = {} /\ leases = [i \in Ids |-> "none"]

-----------------------------------------------------------------------------
(* Steps of the entry VMs. *)

(* The accelerators are free in the owner's books, its own plans on the way included. What  *)
(* was planned under an older epoch can never commit, so a new owner need not wait for it.  *)
Free(v) ==
  /\ \A b \in Attempts :
       \/ Attempt(v, b).state \in {"none", "ended"}
       \/ Attempt(v, b).state = "planned" /\ Attempt(v, b).epoch # View(v).epoch
  /\ \A r \in appends :
       r.kind = "plan" /\ r.by = v /\ r.epoch = View(v).epoch => Attempt(v, r.attempt).state # "none"

Decide(kind, v, a, ids) == Send(Record(kind, v, 0, a, ids)) /\ UNCHANGED <<asked, leases>>

Plan(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "none" /\ Free(v)
  /\ Decide("plan", v, a, NoLeases) /\ UNCHANGED starts

PlannedBy(v, a) == Owns(v) /\ Attempt(v, a).state = "planned" /\ Attempt(v, a).epoch = View(v).epoch

Ask(v, a) ==
  /\ PlannedBy(v, a)
  /\ asked' = asked \cup {a}
  /\ UNCHANGED <<log, starts, leases>>

Commit(v, a) ==
  /\ PlannedBy(v, a)
  /\ \E grant \in [Members -> 1..Grants] :
       LET ids == [m \in Members |-> <<a, m, grant[m]>>] IN
       /\ \A m \in Members : leases[ids[m]] # "none"
       /\ Decide("commit", v, a, ids)
       /\ starts' = IF Fault = "start_before_commit" THEN starts \cup {ids[m] : m \in Members} ELSE starts

Start(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "committed"
  /\ starts' = starts \cup IdsOf(Attempt(v, a))
  /\ UNCHANGED <<log, asked, leases>>

Stop(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "committed"
  /\ Decide("stop", v, a, NoLeases) /\ UNCHANGED starts

NeverStarted(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "planned"
  /\ Decide("never_started", v, a, NoLeases) /\ UNCHANGED starts

(* That a lease is gone or finished is the worker's word, and stays true. *)
End(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state \in {"committed", "stopping"}
  /\ \/ \A i \in IdsOf(Attempt(v, a)) : leases[i] \in {"gone", "finished"}
     \/ (Fault = "end_without_word" /\ Gone(Attempt(v, a)) # {})
  /\ Decide("end", v, a, NoLeases) /\ UNCHANGED starts

(* Any VM, owner or not, that renews and hears that a member is gone releases the rest. A  *)
(* release that arrives late is no other than a lapse, so only its cause is looked at.     *)
Release(v, a) ==
  LET attempt == Attempt(v, a) IN
  /\ attempt.leases # NoLeases
  /\ \/ attempt.state \in {"stopping", "ended"}
     \/ (Gone(attempt) # {} /\ Fault # "part_gang_kept")
     \/ (Owns(v) /\ Fault = "release_without_stop")
     \/ (Fault = "release_before_end" /\ \A i \in IdsOf(attempt) : leases[i] = "finished")

Renewed(i) == \E v \in VMs : Attempt(v, i[1]).state = "committed" /\ i \in IdsOf(Attempt(v, i[1]))

-----------------------------------------------------------------------------
(* The workers. *)

Worker(i, state) == leases' = [leases EXCEPT ![i] = state] /\ UNCHANGED <<log, asked, starts>>
OrGone(state, fault) == {state} \cup (IF Fault = fault THEN {"gone"} ELSE {})

Grant(i) ==
  /\ i[1] \in asked /\ leases[i] \in OrGone("none", "lease_id_reused")
  /\ \A k \in 1..(i[3] - 1) : leases[<<i[1], i[2], k>>] # "none"
  /\ Worker(i, "held")

BeginTask(i) == i \in starts /\ leases[i] \in OrGone("held", "start_creates_lease") /\ Worker(i, "running")
FinishTask(i) == leases[i] = "running" /\ Worker(i, "finished")

(* It lapses, or a release arrives. *)
EndLease(i) == leases[i] \in {"held", "running", "finished"} /\ Worker(i, "gone")

-----------------------------------------------------------------------------
LogStep ==
  \/ \E r \in appends : Land(r)
  \/ \E v \in VMs : Read(v) \/ Claim(v) \/ HandOver(v)

Next ==
  \/ LogStep /\ UNCHANGED <<asked, starts, leases>>
  \/ \E v \in VMs, a \in Attempts :
       Plan(v, a) \/ Ask(v, a) \/ Commit(v, a) \/ Start(v, a) \/ Stop(v, a) \/ NeverStarted(v, a) \/ End(v, a)
  \/ \E i \in Ids : Grant(i) \/ BeginTask(i) \/ FinishTask(i) \/ EndLease(i)

Spec == Init /\ [][Next]_vars

(* Readers go on; a lease that nobody renews, or that a VM releases, ends. *)
FairSpec ==
  /\ Spec
  /\ \A v \in VMs : WF_vars(Read(v) /\ UNCHANGED <<asked, starts, leases>>)
  /\ \A i \in Ids : WF_vars(EndLease(i) /\ (~Renewed(i) \/ \E v \in VMs : Release(v, i[1])))

Symmetry == Permutations(VMs) \cup Permutations(Members) \cup Permutations(Attempts)

-----------------------------------------------------------------------------
Running(a) == {i \in Ids : i[1] = a /\ leases[i] = "running"}
Committed(a) == Last.attempts[a].leases # NoLeases

OneAttemptRuns == Cardinality({a \in Attempts : Running(a) # {}}) <= 1

NoAcceleratorTwice ==
  \A m \in Members : Cardinality(
    {a \in Attempts : Committed(a) /\ leases[Last.attempts[a].leases[m]] \in {"held", "running"}}) <= 1

StartNeedsCommit == \A i \in Ids : leases[i] \in {"running", "finished"} => i \in IdsOf(Last.attempts[i[1]])

EndedRunsNothing == \A a \in Attempts : Last.attempts[a].state = "ended" => Running(a) = {}

(* A healthy gang is not harmed by a VM that wakes up with an old decision. *)
ReleaseHasCause ==
  \A v \in VMs, a \in Attempts :
    Release(v, a) => Last.attempts[a].state \in {"stopping", "ended"} \/ Gone(Last.attempts[a]) # {}

GoneForGood == [][\A i \in Ids : leases[i] = "gone" => leases'[i] = "gone"]_vars

PartGang(a) == Committed(a) /\ Gone(Last.attempts[a]) # {} /\ Running(a) # {}
PartGangEnds == \A a \in Attempts : PartGang(a) ~> Running(a) = {}
=============================================================================
