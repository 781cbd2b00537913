---------------------------- MODULE RequestClaims ----------------------------
(* At most one dispatch of a request that carries an id. The caller asks several  *)
(* times, at any entry VMs; each time is an asking with a token of its own. A VM  *)
(* may be paused between any two steps, and may crash. An append may land at any  *)
(* later time, twice, or never, and no VM uses the reply to it.                   *)
(* Package org.fescuehook.logic.dispatch: ClaimRegistry (HolderAfter),            *)
(* RequestStreamReader (Read, Crash), ClaimHandler (all steps of an asking but    *)
(* Dispatch), DispatchCore.                                                       *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  VMs,      \* entry VMs
  Tokens,   \* one for each asking
  MaxLog,   \* bound on the records in the log
  None,
  Fault     \* "none", or the rule that is broken

VARIABLES
  log,      \* records of the stream, in the order of their offsets
  earliest, \* index of the oldest record that is still kept
  from,     \* from[v]: index at which v began to read
  read,     \* read[v]: index of the last record that v has read
  appends,  \* records handed to the log
  at,       \* entry VM of each asking
  state,    \* state of each asking at its VM
  told      \* what the caller was told

vars == <<log, earliest, from, read, appends, at, state, told>>

(* The fold: who holds the key after the records first to last. A claim counts if the key is *)
(* free at its offset; one that does not count never wins later.                              *)
RECURSIVE HolderAfter(_, _)
HolderAfter(first, last) ==
  IF last < first THEN None
  ELSE LET before == HolderAfter(first, last - 1)
           r == log[last]
       IN CASE r.kind = "claim" /\ before = None -> r.token
            [] r.kind = "release" /\ before = r.token -> None
            [] OTHER -> before

Holder(t) == HolderAfter(from[at[t]], read[at[t]])

Init ==
  /\ log = <<>> /\ earliest = 1
  /\ from = [v \in VMs |-> 1]
  /\ read = [v \in VMs |-> 0]
  /\ appends = {}
  /\ at = [t \in Tokens |-> None]
  /\ state = [t \in Tokens |-> "new"]
  /\ told = [t \in Tokens |-> "nothing"]

-----------------------------------------------------------------------------
(* The log. A record that does not count for a reader of the whole stream changes nothing *)
(* for it, so the model keeps such a record only where a reader may miss others.          *)

Counts(r) == HolderAfter(1, Len(log)) = (IF r.kind = "claim" THEN None ELSE r.token)

Land(r) ==
  /\ r \in appends /\ Len(log) < MaxLog
  /\ Counts(r) \/ Fault \in {"claim_without_replay", "id_used_after_retention"}
  /\ log' = Append(log, r)
  /\ UNCHANGED <<earliest, from, read, appends, at, state, told>>

(* The retention time is longer than any asking for the id, so this is a fault. *)
Forget ==
  /\ Fault = "id_used_after_retention" /\ earliest <= Len(log)
  /\ earliest' = earliest + 1
  /\ UNCHANGED <<log, from, read, appends, at, state, told>>

Read(v) ==
  /\ read[v] < Len(log)
  /\ read' = [read EXCEPT ![v] = @ + 1]
  /\ UNCHANGED <<log, earliest, from, appends, at, state, told>>

-----------------------------------------------------------------------------
(* Steps of an asking. *)

Move(t, old, new) == state[t] \in old /\ state' = [state EXCEPT ![t] = new]
Tell(t, words) == told' = [told EXCEPT ![t] = words]

Claim(t, v) ==
  /\ Move(t, {"new"}, "claimed")
  /\ at' = [at EXCEPT ![t] = v]
  /\ appends' = appends \cup {[kind |-> "claim", token |-> t]}
  /\ UNCHANGED <<log, earliest, from, read, told>>

(* Sees that its claim counted; only after this may the first byte leave. *)
Win(t) ==
  /\ Move(t, {"claimed"} \cup (IF Fault = "dispatch_after_giving_up" THEN {"given_up"} ELSE {})
                     \cup (IF Fault = "lost_claim_wins_later" THEN {"duplicate"} ELSE {}), "won")
  /\ Holder(t) = t \/ Fault = "dispatch_before_claim_read"
  /\ UNCHANGED <<log, earliest, from, read, appends, at, told>>

Dispatch(t) ==
  /\ Move(t, {"won"}, "dispatched")
  /\ UNCHANGED <<log, earliest, from, read, appends, at, told>>

Finish(t) ==
  /\ Move(t, {"dispatched"}, "finished")
  /\ Tell(t, "outcome")
  /\ UNCHANGED <<log, earliest, from, read, appends, at>>

(* The deadline passed, or the executor said nothing. *)
LoseAnswer(t) ==
  /\ Move(t, {"dispatched"}, "unanswered")
  /\ Tell(t, "unknown")
  /\ UNCHANGED <<log, earliest, from, read, appends, at>>

(* The deadline passed before it won. Forgetting the token comes before the answer. *)
GiveUp(t) ==
  /\ Move(t, {"claimed"}, "given_up")
  /\ Tell(t, "not run")
  /\ UNCHANGED <<log, earliest, from, read, appends, at>>

(* Appended again whenever a claim that was given up is read as the holder. *)
Release(t) ==
  /\ state[t] \in {"given_up"} \cup (IF Fault = "release_after_dispatch" THEN {"unanswered"} ELSE {})
                  \cup (IF Fault = "release_while_won" THEN {"won"} ELSE {})
  /\ appends' = appends \cup {[kind |-> "release", token |-> t]}
  /\ UNCHANGED <<log, earliest, from, read, at, state, told>>

(* Another asking holds the key: its outcome, if the log or its VM tells it, or "unknown". *)
Duplicate(t) ==
  /\ state[t] = "claimed" /\ Holder(t) \notin {None, t}
  /\ IF Fault = "dispatch_on_silence" /\ state[Holder(t)] \in {"crashed", "unanswered_crashed"}
     THEN Move(t, {"claimed"}, "won") /\ UNCHANGED told
     ELSE /\ Move(t, {"claimed"}, "duplicate")
          /\ Tell(t, IF state[Holder(t)] = "finished" \/ Fault = "outcome_before_answer"
                     THEN "outcome of another" ELSE "unknown of another")
  /\ UNCHANGED <<log, earliest, from, read, appends, at>>

(* A VM that starts replays the stream from its earliest record. *)
Crash(v) ==
  /\ \E t \in Tokens : at[t] = v /\ state[t] \in {"claimed", "won", "dispatched", "given_up"}
  /\ state' = [t \in Tokens |->
       IF at[t] = v /\ state[t] \in {"claimed", "won", "dispatched", "given_up"}
       THEN IF state[t] = "dispatched" THEN "unanswered_crashed" ELSE "crashed"
       ELSE state[t]]
  /\ LET first == IF Fault = "claim_without_replay" THEN Len(log) + 1 ELSE earliest IN
       from' = [from EXCEPT ![v] = first] /\ read' = [read EXCEPT ![v] = first - 1]
  /\ UNCHANGED <<log, earliest, appends, at, told>>

-----------------------------------------------------------------------------
Next ==
  \/ Forget \/ \E r \in appends : Land(r)
  \/ \E v \in VMs : Read(v) \/ Crash(v) \/ \E t \in Tokens : Claim(t, v)
  \/ \E t \in Tokens :
       \/ Win(t) \/ Dispatch(t) \/ Finish(t) \/ LoseAnswer(t)
       \/ GiveUp(t) \/ Release(t) \/ Duplicate(t)

Spec == Init /\ [][Next]_vars
Symmetry == Permutations(VMs) \cup Permutations(Tokens)

-----------------------------------------------------------------------------
Dispatched(t) == state[t] \in {"dispatched", "finished", "unanswered", "unanswered_crashed"}

AtMostOneDispatch == Cardinality({t \in Tokens : Dispatched(t)}) <= 1

NotRunIsTrue == \A t \in Tokens : told[t] = "not run" => state[t] \in {"given_up", "crashed"}

ReleaseOnlyUndispatched ==
  \A r \in appends : r.kind = "release" => state[r.token] \in {"given_up", "crashed"}

DuplicateRunsNothing ==
  \A t \in Tokens : told[t] \in {"outcome of another", "unknown of another"} => ~Dispatched(t)

OutcomeIsOfARun ==
  \A t \in Tokens : told[t] \in {"outcome", "outcome of another"} => \E u \in Tokens : state[u] = "finished"
=============================================================================
