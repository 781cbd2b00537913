---------------------------- MODULE Configuration ----------------------------
(* Publication of configurations through a log that forgets. Publications count on the    *)
(* revision they are based on; snapshots carry the original revision; a reader that finds *)
(* its next record vanished loads a snapshot again; peers tell each other what is in      *)
(* force. Any append may land at any later time, twice, or never; any reader lags.        *)
(* Package org.fescuehook.logic.control: state.ControlState (Counts, After), snapshot.    *)
(* SnapshotLoader (Load), .SnapshotDuty (Snapshot), configuration.ConfigurationHolder     *)
(* (what is in force), request.PublicationHandler (Publish, accepted).                    *)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS
  VMs,           \* entry VMs
  Publications,  \* declarations that operators publish, each once
  MaxLog,        \* bound on the records in the log
  MaxStarts,     \* bound on replacements of VMs
  Fault          \* "none", or the rule that is broken

VARIABLES
  log,           \* records by offset, from 1, each with the true fold after it
  earliest,      \* offset of the oldest record still kept
  appends,       \* records handed to the log
  next,          \* next[v]: offset that v reads next
  fold,          \* fold[v]: configuration after the records that v has read
  inForce,       \* inForce[v]: configuration in force at v
  accepted,      \* publications whose operator was told "accepted"
  starts         \* replacements of VMs so far

vars == <<log, earliest, appends, next, fold, inForce, accepted, starts>>

(* A configuration: its revision, and the offset of the publication that holds its text. *)
Nothing == [revision |-> 0, text |-> 0]
Newer(a, b) == IF b.revision > a.revision THEN b ELSE a

Init ==
  /\ log = <<>> /\ earliest = 1 /\ appends = {}
  /\ next = [v \in VMs |-> 1]
  /\ fold = [v \in VMs |-> Nothing]
  /\ inForce = [v \in VMs |-> Nothing]
  /\ accepted = {} /\ starts = 0

-----------------------------------------------------------------------------
(* The log and the fold. *)

Counts(r, before) ==
  r.kind = "publish" /\ (r.base = before.revision \/ Fault = "publish_without_base")

After(r, offset, before) ==
  CASE Counts(r, before) -> [revision |-> offset, text |-> offset]
    [] r.kind = "snapshot" /\ Fault = "snapshot_with_new_revision" ->
         [revision |-> offset, text |-> r.holds.text]
    [] OTHER -> before

Truth(offset) == IF offset = 0 THEN Nothing ELSE log[offset].truth

Land(r) ==
  /\ r \in appends /\ Len(log) < MaxLog
  /\ log' = Append(log, [record |-> r, truth |-> After(r, Len(log) + 1, Truth(Len(log)))])
  /\ appends' = IF r.kind = "snapshot" THEN appends \ {r} ELSE appends
  /\ UNCHANGED <<earliest, next, fold, inForce, accepted, starts>>

(* The owner writes snapshots well within the retention time: a record vanishes only when *)
(* a later snapshot stands for it and for all before it.                                  *)
Forget ==
  /\ earliest <= Len(log)
  /\ \/ Fault = "snapshot_too_late"
     \/ \E o \in (earliest + 1)..Len(log) :
          log[o].record.kind = "snapshot" /\ log[o].record.covers >= earliest
  /\ earliest' = earliest + 1
  /\ UNCHANGED <<log, appends, next, fold, inForce, accepted, starts>>

-----------------------------------------------------------------------------
(* Readers. The log service starts a read from below the oldest record at the oldest one, *)
(* so it is the reader that must notice the gap.                                          *)

Read(v) ==
  LET o == IF Fault = "gap_not_noticed" /\ next[v] < earliest THEN earliest ELSE next[v]
      r == log[o].record
      after == After(r, o, fold[v])
  IN
  /\ o <= Len(log) /\ o >= earliest
  /\ next' = [next EXCEPT ![v] = o + 1]
  /\ fold' = [fold EXCEPT ![v] = after]
  /\ inForce' = [inForce EXCEPT ![v] = Newer(@, after)]
  /\ accepted' = IF Counts(r, fold[v]) /\ r.by = v THEN accepted \cup {r.publication} ELSE accepted
  /\ UNCHANGED <<log, earliest, appends, starts>>

Load(v) ==
  /\ next[v] < earliest
  /\ \E o \in earliest..Len(log) :
       LET r == log[o].record IN
       /\ r.kind = "snapshot"
       /\ next' = [next EXCEPT ![v] = r.covers + 1]
       /\ fold' = [fold EXCEPT ![v] = r.holds]
       /\ inForce' = [inForce EXCEPT ![v] = IF Fault = "load_lowers" THEN r.holds ELSE Newer(@, r.holds)]
  /\ UNCHANGED <<log, earliest, appends, accepted, starts>>

(* A VM that is replaced keeps nothing. *)
Replace(v) ==
  /\ starts < MaxStarts /\ starts' = starts + 1
  /\ next' = [next EXCEPT ![v] = 1]
  /\ fold' = [fold EXCEPT ![v] = Nothing]
  /\ inForce' = [inForce EXCEPT ![v] = Nothing]
  /\ UNCHANGED <<log, earliest, appends, accepted>>

HearPeer(v, w) ==
  /\ inForce' = [inForce EXCEPT ![v] = IF Fault = "older_from_peer" THEN inForce[w] ELSE Newer(@, inForce[w])]
  /\ inForce' # inForce
  /\ UNCHANGED <<log, earliest, appends, next, fold, accepted, starts>>

-----------------------------------------------------------------------------
(* Writers. *)

Publish(v, p) ==
  /\ \A r \in appends : r.kind = "publish" => r.publication # p
  /\ appends' = appends \cup {[kind |-> "publish", publication |-> p, by |-> v, base |-> inForce[v].revision]}
  /\ accepted' = IF Fault = "accepted_before_read" THEN accepted \cup {p} ELSE accepted
  /\ UNCHANGED <<log, earliest, next, fold, inForce, starts>>

(* Any VM that has folded the records up to an offset may write this; the text is the same. *)
(* One at a time is on its way, and a second landing of it is left out: it would add a copy. *)
Snapshot(v) ==
  /\ next[v] > 1 /\ Len(log) < MaxLog
  /\ \A r \in appends : r.kind # "snapshot"
  /\ appends' = appends \cup {[kind |-> "snapshot", covers |-> next[v] - 1, holds |-> fold[v], by |-> 0]}
  /\ UNCHANGED <<log, earliest, next, fold, inForce, accepted, starts>>

Next ==
  \/ Forget \/ \E r \in appends : Land(r)
  \/ \E v \in VMs :
       \/ Read(v) \/ Load(v) \/ Replace(v) \/ Snapshot(v)
       \/ \E w \in VMs \ {v} : HearPeer(v, w)
       \/ \E p \in Publications : Publish(v, p)

Spec == Init /\ [][Next]_vars
Symmetry == Permutations(VMs) \cup Permutations(Publications)

-----------------------------------------------------------------------------
NeverReverts ==
  [][\A v \in VMs : starts' = starts => inForce'[v].text >= inForce[v].text]_vars

(* No reader ever disagrees with one that has read every record. *)
ReadersAgree ==
  \A v \in VMs : fold[v] = Truth(next[v] - 1)

Offsets(p) == {o \in 1..Len(log) : log[o].record.kind = "publish" /\ log[o].record.publication = p}
Won(o) == log[o].truth.revision = o /\ log[o].record.kind = "publish"

OneWinnerPerBase ==
  \A o, q \in 1..Len(log) : o # q /\ Won(o) /\ Won(q) => log[o].record.base # log[q].record.base

AcceptedHasWon == \A p \in accepted : \E o \in Offsets(p) : Won(o)

(* A fresh reader learns the configuration in force from the records that are left. *)
FreshReaderLearns ==
  \/ earliest = 1
  \/ \E o \in earliest..Len(log) :
       LET r == log[o].record IN
       r.kind = "snapshot" /\ r.covers >= earliest - 1 /\ r.holds = Truth(r.covers)
=============================================================================
