package org.fescuehook.logic.trace;

import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.View;

/** Watches the decisions of a replay. */
public interface ReplayListener {

  /** A decision was taken; it is carried out after this call. */
  void decided(View view, Plan plan);
}
