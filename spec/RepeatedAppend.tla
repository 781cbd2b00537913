---------------------------- MODULE RepeatedAppend ----------------------------
(* One append that is sent several times side by side, and what its caller is told. A   *)
(* send lands once, at any later time or never, also after its writer waits for it no   *)
(* longer; its answer may be lost. Another writer raises the epoch at any moment. The   *)
(* store answers a repeat as it answered the first. Package                             *)
(* org.fescuehook.logic.batch.store: RepeatedAppend (Decide), StateWriter (what is told). *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Sends,      \* bound on the sends
  Fault       \* "none", or the rule that is broken

VARIABLES
  epoch,      \* 1 while the writer is in force, 2 after another one came
  stored,     \* whether the store has the record
  sent,       \* number of sends so far
  landed,     \* landed[s]: what the store did with send s, or "no"
  heard,      \* heard[s]: what the writer knows of send s: "open", "lost", or what it was answered
  told        \* what the caller was told, or "nothing"

vars == <<epoch, stored, sent, landed, heard, told>>
All == 1..Sends

Init ==
  /\ epoch = 1 /\ stored = FALSE /\ sent = 0 /\ told = "nothing"
  /\ landed = [s \in All |-> "no"]
  /\ heard = [s \in All |-> "open"]

Send ==
  /\ told = "nothing" /\ sent < Sends
  /\ sent' = sent + 1
  /\ UNCHANGED <<epoch, stored, landed, heard, told>>

(* A store that is busy refuses and does nothing; one that is not checks the epoch. *)
Land(s) ==
  /\ s <= sent /\ landed[s] = "no"
  /\ \/ /\ landed' = [landed EXCEPT ![s] = "refused"]
        /\ UNCHANGED stored
     \/ /\ epoch = 1
        /\ landed' = [landed EXCEPT ![s] = "stored"]
        /\ stored' = TRUE
     \/ /\ epoch = 2
        /\ landed' = [landed EXCEPT ![s] = "fenced"]
        /\ UNCHANGED stored
  /\ UNCHANGED <<epoch, sent, heard, told>>

Answer(s) ==
  /\ told = "nothing" /\ landed[s] # "no" /\ heard[s] = "open"
  /\ heard' = [heard EXCEPT ![s] = landed[s]]
  /\ UNCHANGED <<epoch, stored, sent, landed, told>>

(* The writer waits for an answer no longer; the send may still land. *)
GiveUp(s) ==
  /\ told = "nothing" /\ s <= sent /\ heard[s] = "open"
  /\ heard' = [heard EXCEPT ![s] = "lost"]
  /\ UNCHANGED <<epoch, stored, sent, landed, told>>

TakeOver ==
  /\ epoch = 1 /\ epoch' = 2
  /\ UNCHANGED <<stored, sent, landed, heard, told>>

Made == 1..sent
Heard(what) == {s \in Made : heard[s] = what}

SurelyNot ==
  \/ Heard("refused") \cup Heard("fenced") = Made
  \/ Fault = "rejection_counts_for_all" /\ Heard("fenced") # {}
  \/ Fault = "refusal_counts_for_all" /\ Heard("refused") # {}

Decide ==
  /\ told = "nothing" /\ sent > 0
  /\ \/ Heard("stored") # {} /\ told' = "accepted"
     \/ Heard("stored") = {} /\ SurelyNot /\ told' = "not run"
     \/ told' = "undecided"
  /\ UNCHANGED <<epoch, stored, sent, landed, heard>>

Next == Send \/ TakeOver \/ Decide \/ \E s \in All : Land(s) \/ Answer(s) \/ GiveUp(s)

Spec == Init /\ [][Next]_vars

(* Also later: nothing that is still on its way may make it untrue. *)
NotRunIsTrue == told = "not run" => ~stored
AcceptedIsStored == told = "accepted" => stored
=============================================================================
