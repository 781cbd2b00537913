-------------------------------- MODULE Gang --------------------------------
(* Ownership by claims in the log, and the start and end of gangs under it.    *)
(* Any step of a VM may be delayed without bound after the check that allowed  *)
(* it: a VM decides by its own, lagging view, and what it sends or appends     *)
(* arrives at any later time, again, or never. A crash, a pause, an outage of  *)
(* the log and a lost append reply are such delays; no VM uses append replies. *)
(* The implementation stands in org.fescuehook.logic.control: the fold in      *)
(* ControlState, the steps of an owner in OwnerDuty and GangDuty.              *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  VMs,        \* entry VMs
  Members,    \* members of each gang, each with an accelerator of its own
  Attempts,   \* attempts of one job, or of jobs that need the same accelerators
  Grants,     \* how often a request for one lease may arrive at the worker
  MaxClaims,  \* bound on claims that count
  None,
  Fault       \* "none", or the rule that is broken

VARIABLES
  views,      \* what a reader folds from the log up to each record that counts, in order
  read,       \* read[v]: index of the view that v has
  appends,    \* records handed to the log; each may land at any time, also twice
  asked,      \* attempts for which leases were asked
  starts,     \* leases to which a start was sent
  leases      \* state of each lease at its worker

vars == <<views, read, appends, asked, starts, leases>>

Ids == Attempts \X Members \X (1..Grants)
Last == views[Len(views)]
View(v) == views[read[v]]
IdsOf(attempt) == {attempt.leases[m] : m \in Members}

NoLeases == [m \in Members |-> None]
Init ==
  /\ views = <<[epoch |-> 0, base |-> 0, owner |-> None,
                attempts |-> [a \in Attempts |-> [state |-> "none", epoch |-> 0, leases |-> NoLeases]]]>>
  /\ read = [v \in VMs |-> 1]
  /\ appends = {}
  /\ asked = {} /\ starts = {}
  /\ leases = [i \in Ids |-> "none"]

-----------------------------------------------------------------------------
(* The fold: which records count, and what they change. Class ControlState.    *)

Record(kind, v, base, a, ids) ==
  [kind |-> kind, by |-> v, epoch |-> View(v).epoch, base |-> base, attempt |-> a, leases |-> ids]

EpochCounts(r) == Fault = "epoch_not_checked" \/ r.epoch = Last.epoch

Counts(r) ==
  LET state == IF r.attempt = None THEN "none" ELSE Last.attempts[r.attempt].state IN
  CASE r.kind = "claim" -> /\ Last.epoch < MaxClaims
                           /\ Fault = "claim_without_base" \/ r.base = Last.epoch
    [] r.kind = "plan" -> EpochCounts(r) /\ state = "none"
    [] r.kind = "commit" -> EpochCounts(r) /\ state = "planned"
    [] r.kind = "stop" -> EpochCounts(r) /\ state = "committed"
    [] r.kind = "never_started" ->
         EpochCounts(r) /\ state \in {"planned"} \cup (IF Fault = "end_overrides_commit" THEN {"committed"} ELSE {})
    [] r.kind = "end" -> EpochCounts(r) /\ state \in {"committed", "stopping"}

After(r) ==
  LET set(state) == [Last EXCEPT !.attempts[r.attempt].state = state] IN
  CASE r.kind = "claim" ->
         [Last EXCEPT !.epoch = @ + 1, !.base = r.base, !.owner = r.by]
    [] r.kind = "plan" -> [set("planned") EXCEPT !.attempts[r.attempt].epoch = r.epoch]
    [] r.kind = "commit" -> [set("committed") EXCEPT !.attempts[r.attempt].leases = r.leases]
    [] r.kind = "stop" -> set("stopping")
    [] OTHER -> set("ended")

(* A record that does not count changes no view, so the model does not keep it, and it    *)
(* forgets one on the way that never can count after the view given; plans serve Free.     *)
MayCount(r, view) ==
  LET state == IF r.attempt = None THEN "none" ELSE view.attempts[r.attempt].state IN
  /\ r.kind = "claim" => r.base = view.epoch \/ Fault = "claim_without_base"
  /\ r.kind # "claim" => r.epoch = view.epoch \/ Fault = "epoch_not_checked"
  /\ r.kind = "commit" => state \in {"none", "planned"}
  /\ r.kind = "never_started" => state \in {"none", "planned"} \/ Fault = "end_overrides_commit"
  /\ r.kind \in {"stop", "end"} => state # "ended" /\ state # r.kind

Land(r) ==
  /\ r \in appends /\ Counts(r)
  /\ views' = Append(views, After(r))
  /\ appends' = {s \in appends : MayCount(s, After(r))}
  /\ UNCHANGED <<read, asked, starts, leases>>

(* Views that every VM has left behind are forgotten, so that equal presents are one state. *)
Read(v) ==
  LET next == [read EXCEPT ![v] = @ + 1]
      left == CHOOSE n \in 0..Len(views) : (\E w \in VMs : next[w] = n + 1) /\ \A w \in VMs : next[w] > n
  IN
  /\ read[v] < Len(views)
  /\ read' = [w \in VMs |-> next[w] - left]
  /\ views' = SubSeq(views, left + 1, Len(views))
  /\ UNCHANGED <<appends, asked, starts, leases>>

-----------------------------------------------------------------------------
(* Steps of the entry VMs. Classes OwnerDuty (claim) and GangDuty (all others). *)

Send(r) ==
  /\ r \notin appends /\ MayCount(r, Last)
  /\ appends' = appends \cup {r}
  /\ UNCHANGED <<views, read, asked, leases>>

Claim(v) ==
  /\ View(v).owner # v /\ View(v).epoch < MaxClaims
  /\ Send(Record("claim", v, View(v).epoch, None, NoLeases))
  /\ UNCHANGED starts

Owns(v) == View(v).owner = v
Attempt(v, a) == View(v).attempts[a]

(* The accelerators are free in the owner's books, its own plans on the way included. What  *)
(* was planned under an older epoch can never commit, so a new owner need not wait for it.  *)
Free(v, a) ==
  /\ \A b \in Attempts :
       \/ Attempt(v, b).state \in {"none", "ended"}
       \/ Attempt(v, b).state = "planned" /\ Attempt(v, b).epoch # View(v).epoch
  /\ \A r \in appends :
       r.kind = "plan" /\ r.by = v /\ r.epoch = View(v).epoch => Attempt(v, r.attempt).state # "none"

Plan(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "none" /\ Free(v, a)
  /\ Send(Record("plan", v, 0, a, NoLeases))
  /\ UNCHANGED starts

Ask(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "planned" /\ Attempt(v, a).epoch = View(v).epoch
  /\ asked' = asked \cup {a}
  /\ UNCHANGED <<views, read, appends, starts, leases>>

Commit(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "planned" /\ Attempt(v, a).epoch = View(v).epoch
  /\ \E grant \in [Members -> 1..Grants] :
       LET ids == [m \in Members |-> <<a, m, grant[m]>>] IN
       /\ \A m \in Members : leases[ids[m]] # "none"
       /\ Send(Record("commit", v, 0, a, ids))
       /\ starts' = IF Fault = "start_before_commit" THEN starts \cup {ids[m] : m \in Members} ELSE starts

Start(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "committed"
  /\ starts' = starts \cup IdsOf(Attempt(v, a))
  /\ UNCHANGED <<views, read, appends, asked, leases>>

Stop(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "committed"
  /\ Send(Record("stop", v, 0, a, NoLeases))
  /\ UNCHANGED starts

Gone(attempt) == {i \in IdsOf(attempt) : leases[i] = "gone"}

(* Any VM, owner or not, that renews and hears that a member is gone releases the rest. A  *)
(* release that arrives late is no other than a lapse, so only its cause is looked at.     *)
MayRelease(v, a) ==
  LET attempt == Attempt(v, a) IN
  /\ attempt.leases # NoLeases
  /\ \/ attempt.state \in {"stopping", "ended"}
     \/ (Gone(attempt) # {} /\ Fault # "part_gang_kept")
     \/ (Owns(v) /\ Fault = "release_without_stop")
     \/ (Fault = "release_before_end" /\ \A i \in IdsOf(attempt) : leases[i] = "finished")

NeverStarted(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state = "planned"
  /\ Send(Record("never_started", v, 0, a, NoLeases))
  /\ UNCHANGED starts

(* That a lease is gone or finished is the worker's word, and stays true. *)
End(v, a) ==
  /\ Owns(v) /\ Attempt(v, a).state \in {"committed", "stopping"}
  /\ \/ \A i \in IdsOf(Attempt(v, a)) : leases[i] \in {"gone", "finished"}
     \/ (Fault = "end_without_word" /\ Gone(Attempt(v, a)) # {})
  /\ Send(Record("end", v, 0, a, NoLeases))
  /\ UNCHANGED starts

-----------------------------------------------------------------------------
(* The workers. A message may arrive at any time after it was sent, any number of times. *)

Worker(i, state) ==
  /\ leases' = [leases EXCEPT ![i] = state]
  /\ UNCHANGED <<views, read, appends, asked, starts>>

Grant(i) ==
  /\ i[1] \in asked
  /\ leases[i] \in {"none"} \cup (IF Fault = "lease_id_reused" THEN {"gone"} ELSE {})
  /\ \A k \in 1..(i[3] - 1) : leases[<<i[1], i[2], k>>] # "none"
  /\ Worker(i, "held")

BeginTask(i) ==
  /\ i \in starts
  /\ leases[i] \in {"held"} \cup (IF Fault = "start_creates_lease" THEN {"gone"} ELSE {})
  /\ Worker(i, "running")

FinishTask(i) == leases[i] = "running" /\ Worker(i, "finished")

(* It lapses, or a release arrives. *)
EndLease(i) == leases[i] \in {"held", "running", "finished"} /\ Worker(i, "gone")

-----------------------------------------------------------------------------
Next ==
  \/ \E r \in appends : Land(r)
  \/ \E v \in VMs : Read(v) \/ Claim(v)
  \/ \E v \in VMs, a \in Attempts :
       \/ Plan(v, a) \/ Ask(v, a) \/ Start(v, a) \/ Stop(v, a)
       \/ Commit(v, a) \/ NeverStarted(v, a) \/ End(v, a)
  \/ \E i \in Ids : Grant(i) \/ BeginTask(i) \/ FinishTask(i) \/ EndLease(i)

Renewed(i) == \E v \in VMs : Attempt(v, i[1]).state = "committed" /\ i \in IdsOf(Attempt(v, i[1]))

Fair ==
  /\ \A v \in VMs : WF_vars(Read(v))
  /\ \A i \in Ids : WF_vars(EndLease(i) /\ (~Renewed(i) \/ \E v \in VMs : MayRelease(v, i[1])))

Spec == Init /\ [][Next]_vars
FairSpec == Spec /\ Fair

Symmetry == Permutations(VMs) \cup Permutations(Members) \cup Permutations(Attempts)

-----------------------------------------------------------------------------
Running(a) == {i \in Ids : i[1] = a /\ leases[i] = "running"}
Committed(a) == Last.attempts[a].leases # NoLeases

OneAttemptRuns == Cardinality({a \in Attempts : Running(a) # {}}) <= 1

NoAcceleratorTwice ==
  \A m \in Members :
    Cardinality({a \in Attempts :
      Committed(a) /\ leases[Last.attempts[a].leases[m]] \in {"held", "running"}}) <= 1

StartNeedsCommit ==
  \A i \in Ids : leases[i] \in {"running", "finished"} => i \in IdsOf(Last.attempts[i[1]])

EndedRunsNothing == \A a \in Attempts : Last.attempts[a].state = "ended" => Running(a) = {}

(* A healthy gang is not harmed by a VM that wakes up with an old decision. *)
ReleaseHasCause ==
  \A v \in VMs, a \in Attempts :
    MayRelease(v, a) => Last.attempts[a].state \in {"stopping", "ended"} \/ Gone(Last.attempts[a]) # {}

ClaimReplacesWhatItSaw ==
  \A n \in 2..Len(views) : views[n].epoch # views[n - 1].epoch => views[n].base = views[n - 1].epoch

GoneForGood == [][\A i \in Ids : leases[i] = "gone" => leases'[i] = "gone"]_vars

PartGang(a) == Committed(a) /\ Gone(Last.attempts[a]) # {} /\ Running(a) # {}
PartGangEnds == \A a \in Attempts : PartGang(a) ~> Running(a) = {}
=============================================================================
