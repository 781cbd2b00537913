----------------------------- MODULE ClaimWindow -----------------------------
(* How long an id is remembered: VMs that began to read at different records must not   *)
(* disagree on when it is free again. All claims here are for one id, and time is       *)
(* counted in steps of the log's clock. What lies between claim and dispatch stands in  *)
(* RequestClaims. Package org.fescuehook.logic.dispatch: ClaimRegistry (Wins),          *)
(* RequestStreamReader (Open).                                                          *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  VMs,        \* entry VMs
  Window,     \* time for which an id is remembered
  Retention,  \* age from which a record may vanish; the VMs do not know it
  MaxLog,     \* bound on the records in the log
  End,        \* bound on time
  None,
  Fault       \* "none", or the rule that is broken

VARIABLES
  now,
  log,        \* time of each claim, in the order of offsets
  from,       \* from[v]: index of the oldest record that was left when v began to read
  since,      \* since[v]: when v began to read
  ran         \* indexes of the claims whose request was dispatched

vars == <<now, log, from, since, ran>>

(* At the start all VMs but one are still to come. *)
Init ==
  /\ now = 0 /\ log = <<>> /\ ran = {}
  /\ \E first \in VMs :
       /\ from = [v \in VMs |-> IF v = first THEN 1 ELSE None]
       /\ since = [v \in VMs |-> 0]

Tick == now < End /\ now' = now + 1 /\ UNCHANGED <<log, from, since, ran>>

Begin(v) ==
  /\ from[v] = None
  /\ \E first \in 1..(Len(log) + 1) :
       /\ \A n \in 1..(first - 1) : log[n] + Retention <= now
       /\ from' = [from EXCEPT ![v] = first]
  /\ since' = [since EXCEPT ![v] = now]
  /\ UNCHANGED <<now, log, ran>>

(* No claim that may be in force has vanished unread. *)
Open(v) ==
  \/ from[v] = 1
  \/ from[v] <= Len(log) /\ log[from[v]] + Window <= now
  \/ since[v] + Window <= now
  \/ Fault = "first_record_not_checked"

(* The time of the claim in force before a record, or None, for a reader of first to last. *)
RECURSIVE Winner(_, _)
Winner(first, last) ==
  IF last < first THEN None
  ELSE LET before == Winner(first, last - 1) IN
       IF before # None /\ before + Window > log[last] THEN before ELSE log[last]

(* Every claim holds the id for the window, whether it won or not. *)
Wins(first, time) ==
  IF Fault = "window_of_winner"
  THEN LET before == Winner(first, Len(log)) IN before = None \/ before + Window <= time
  ELSE \A n \in first..Len(log) : log[n] + Window <= time

Claim(v) ==
  /\ from[v] # None /\ Open(v) /\ Len(log) < MaxLog
  /\ log' = Append(log, now)
  /\ ran' = IF Wins(from[v], now) THEN ran \cup {Len(log) + 1} ELSE ran
  /\ UNCHANGED <<now, from, since>>

Next == Tick \/ \E v \in VMs : Begin(v) \/ Claim(v)

Spec == Init /\ [][Next]_vars
Symmetry == Permutations(VMs)

OneRunInWindow == \A m, n \in ran : m < n => log[m] + Window <= log[n]
=============================================================================
