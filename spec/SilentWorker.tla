---------------------------- MODULE SilentWorker ----------------------------
(* When does the lease of a silent worker count as gone, though others may still renew it? *)
(* The owner hears nothing of the worker; other entry VMs may reach it, and renew the lease *)
(* while they take their own cut from the log for an outage. Time is counted in steps.      *)
(* Package org.fescuehook.logic.control: gang.GangStopper (Stop, Free), gang.LeaseRenewer   *)
(* (Renew), ownership.OutageMonitor (Ride), ownership.PeerTracker (told).                   *)
EXTENDS Integers, FiniteSets, TLC

CONSTANTS
  Renewers,  \* entry VMs other than the owner that may renew
  Ttl,       \* time for which a renewal holds the lease
  Ride,      \* longest time since its last read of the log for which a VM renews
  Delay,     \* longest time from the check before a renewal to its arrival
  Lag,       \* longest time for which a replica of the log hides a record
  End,       \* bound on time
  Fault      \* "none", or the rule that is broken

VARIABLES
  now,
  deadline,  \* time at which the worker ends the lease
  alive,     \* whether the lease still stands; once gone it stays gone
  sent,      \* times of the checks before the renewals that may still arrive
  stopped,   \* time at which AttemptStopping was in the log, or -1
  lastRead,  \* lastRead[v]: when v last read the log
  told,      \* told[v]: when v last was seen to have read AttemptStopping, or -1
  freed      \* whether the accelerators count as free, so that a successor may run

vars == <<now, deadline, alive, sent, stopped, lastRead, told, freed>>

Init ==
  /\ now = 0 /\ deadline = Ttl /\ alive = TRUE /\ sent = {}
  /\ stopped = -1 /\ freed = FALSE
  /\ lastRead = [v \in Renewers |-> 0]
  /\ told = [v \in Renewers |-> -1]

Tick ==
  /\ now < End
  /\ now' = now + 1
  /\ alive' = (alive /\ now + 1 < deadline)
  /\ sent' = {t \in sent : now + 1 <= t + Delay \/ Fault = "late_renewal"}
  /\ UNCHANGED <<deadline, stopped, lastRead, told, freed>>

(* A renewal of the owner itself goes by the same rules as any other until it stops. *)
Renew(v) ==
  /\ told[v] = -1
  /\ now - lastRead[v] <= Ride \/ Fault = "ride_without_bound"
  /\ sent' = sent \cup {now}
  /\ UNCHANGED <<now, deadline, alive, stopped, lastRead, told, freed>>

Arrive ==
  /\ alive /\ sent # {}
  /\ deadline' = now + Ttl
  /\ UNCHANGED <<now, alive, sent, stopped, lastRead, told, freed>>

(* A replica that lags may hide the record for a while, though the read succeeds. *)
ReadLog(v) ==
  /\ lastRead' = [lastRead EXCEPT ![v] = now]
  /\ \/ /\ stopped >= 0
        /\ told' = [told EXCEPT ![v] = IF @ = -1 THEN now ELSE @]
     \/ /\ stopped = -1 \/ now < stopped + Lag
        /\ UNCHANGED told
  /\ UNCHANGED <<now, deadline, alive, sent, stopped, freed>>

Stop ==
  /\ stopped = -1 /\ stopped' = now
  /\ UNCHANGED <<now, deadline, alive, sent, lastRead, told, freed>>

(* No VM renews after this time: it was seen to have read the record, or its ride is over. *)
LastRenewal(v) ==
  IF told[v] >= 0 THEN told[v] ELSE stopped + Ride + (IF Fault = "lag_ignored" THEN 0 ELSE Lag)
Known == IF Fault = "renewer_not_known" THEN {CHOOSE v \in Renewers : TRUE} ELSE Renewers
LastOfAll == CHOOSE t \in {LastRenewal(v) : v \in Known} : \A v \in Known : LastRenewal(v) <= t

Free ==
  /\ stopped >= 0 /\ ~freed /\ freed' = TRUE
  /\ now >= (IF Fault = "own_renewals_only" THEN stopped ELSE LastOfAll) + Delay + Ttl
  /\ UNCHANGED <<now, deadline, alive, sent, stopped, lastRead, told>>

Next == Tick \/ Arrive \/ Stop \/ Free \/ \E v \in Renewers : Renew(v) \/ ReadLog(v)

Spec == Init /\ [][Next]_vars
Symmetry == Permutations(Renewers)

FreeIsGone == freed => ~alive
=============================================================================
