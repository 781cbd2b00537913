package org.fescuehook.logic.trace;

import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.View;

/** Receives the decisions of a replay. */
public interface ReplayListener {

  /** Called for each decision of the scheduler, before it is carried out. */
  void decided(View view, Plan plan);
}
