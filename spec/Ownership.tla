------------------------------ MODULE Ownership ------------------------------
(* The log, its fold, and ownership by claims. Gang extends this module.          *)
(* Any step of a VM may be delayed without bound after the check that allowed it: *)
(* a VM decides by its own, lagging view, and what it appends lands at any later  *)
(* time, again, or never. A crash, a pause, an outage of the log and a lost reply *)
(* are such delays; no VM uses the reply to an append.                            *)
(* Packages org.fescuehook.logic.control.state (the fold) and .ownership.         *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  VMs,        \* entry VMs
  Members,    \* members of each gang, each with an accelerator of its own
  Attempts,   \* attempts of one job, or of jobs that need the same accelerators
  MaxClaims,  \* bound on claims that count
  HandsOver,  \* whether owners may hand over by a planned stop
  None,
  Fault       \* "none", or the rule that is broken

VARIABLES
  views,      \* what a reader folds from the log up to each record that counts, in order
  read,       \* read[v]: index of the view that v has
  appends     \* records handed to the log; each may land at any time, also twice

log == <<views, read, appends>>

Last == views[Len(views)]
View(v) == views[read[v]]
Attempt(v, a) == View(v).attempts[a]

NoLeases == [m \in Members |-> None]
NoAttempt == [state |-> "none", epoch |-> 0, leases |-> NoLeases]

InitLog ==
  /\ views = <<[epoch |-> 0, base |-> 0, owner |-> None, attempts |-> [a \in Attempts |-> NoAttempt]]>>
  /\ read = [v \in VMs |-> 1]
  /\ appends = {}

-----------------------------------------------------------------------------
(* Which records count, and what they change. Classes ControlState and JobRegistry. *)

Record(kind, v, base, a, ids) ==
  [kind |-> kind, by |-> v, epoch |-> View(v).epoch, base |-> base, attempt |-> a, leases |-> ids]

StateIn(view, r) == IF r.attempt = None THEN "none" ELSE view.attempts[r.attempt].state
InForce(view, r) == r.epoch = view.epoch \/ Fault = "epoch_not_checked"

Counts(r) ==
  LET state == StateIn(Last, r) IN
  IF r.kind = "claim"
  THEN Last.epoch < MaxClaims /\ (r.base = Last.epoch \/ Fault = "claim_without_base")
  ELSE InForce(Last, r) /\
    CASE r.kind = "hand_over" -> Last.owner = r.by
      [] r.kind = "plan" -> state = "none"
      [] r.kind = "commit" -> state = "planned"
      [] r.kind = "stop" -> state = "committed"
      [] r.kind = "never_started" ->
           state = "planned" \/ (state = "committed" /\ Fault = "end_overrides_commit")
      [] r.kind = "end" -> state \in {"committed", "stopping"}

After(r) ==
  LET set(state) == [Last EXCEPT !.attempts[r.attempt].state = state] IN
  CASE r.kind = "claim" -> [Last EXCEPT !.epoch = @ + 1, !.base = r.base, !.owner = r.by]
    [] r.kind = "hand_over" -> [Last EXCEPT !.owner = None]
    [] r.kind = "plan" -> [set("planned") EXCEPT !.attempts[r.attempt].epoch = r.epoch]
    [] r.kind = "commit" -> [set("committed") EXCEPT !.attempts[r.attempt].leases = r.leases]
    [] r.kind = "stop" -> set("stopping")
    [] OTHER -> set("ended")

(* A record that does not count changes no view, so the model does not keep it, and it    *)
(* forgets one on the way that never can count after the view given; plans serve Free in  *)
(* Gang, and hand-overs serve Leaving.                                                    *)
MayCount(r, view) ==
  LET state == StateIn(view, r) IN
  /\ r.kind = "claim" => r.base = view.epoch \/ Fault = "claim_without_base"
  /\ r.kind \notin {"claim", "hand_over"} => InForce(view, r)
  /\ r.kind = "commit" => state \in {"none", "planned"}
  /\ r.kind = "never_started" => state \in {"none", "planned"} \/ Fault = "end_overrides_commit"
  /\ r.kind \in {"stop", "end"} => state # "ended" /\ state # r.kind

Land(r) ==
  /\ r \in appends /\ Counts(r)
  /\ views' = Append(views, After(r))
  /\ appends' = {s \in appends : MayCount(s, After(r))}
  /\ UNCHANGED read

(* Views that every VM has left behind are forgotten, so that equal presents are one state. *)
Read(v) ==
  LET next == [read EXCEPT ![v] = @ + 1]
      left == CHOOSE n \in 0..Len(views) : (\E w \in VMs : next[w] = n + 1) /\ \A w \in VMs : next[w] > n
  IN
  /\ read[v] < Len(views)
  /\ read' = [w \in VMs |-> next[w] - left]
  /\ views' = SubSeq(views, left + 1, Len(views))
  /\ UNCHANGED appends

-----------------------------------------------------------------------------
(* Steps of an owner. Class OwnerDuty. *)

Send(r) ==
  /\ r \notin appends /\ MayCount(r, Last)
  /\ appends' = appends \cup {r}
  /\ UNCHANGED <<views, read>>

(* A VM that hands over is about to stop: it decides nothing more, and claims no more. *)
Leaving(v) == \E r \in appends : r.kind = "hand_over" /\ r.by = v

Owns(v) == View(v).owner = v /\ ~Leaving(v)

Claim(v) ==
  /\ View(v).owner # v /\ View(v).epoch < MaxClaims /\ ~Leaving(v)
  /\ Send(Record("claim", v, View(v).epoch, None, NoLeases))

(* OwnerRelease. The owner's records that are on the way still count until the next claim. *)
HandOver(v) ==
  /\ HandsOver /\ Owns(v)
  /\ Send(Record("hand_over", v, 0, None, NoLeases))

-----------------------------------------------------------------------------
ClaimReplacesWhatItSaw ==
  \A n \in 2..Len(views) : views[n].epoch # views[n - 1].epoch => views[n].base = views[n - 1].epoch
=============================================================================
