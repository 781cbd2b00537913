package org.fescuehook.bench.capacity;

import java.util.List;
import org.fescuehook.logic.configuration.DeclarationsParser;
import org.fescuehook.logic.ini.IniSource;

/** Measures reading one published configuration that names each worker in a section of its own. */
final class ConfigurationCost {
  private static final int RUNS = 7;
  private static final int WORKERS_PER_RACK = 16;

  private final CpuClock clock;

  ConfigurationCost(CpuClock clock) {
    this.clock = clock;
  }

  /** Returns the declarations of a fleet, INI. */
  String text(FleetOfSize fleet) {
    StringBuilder text = new StringBuilder("[policy]\nfragmentation-weight = 0.5\n\n");
    for (int i = 0; i < fleet.organisations(); i++) {
      text.append("[organisation o-").append(i).append("]\nweight = 1\n");
      text.append("quota-accelerators = 100\nrequest-share = 64\n\n");
    }
    text.append("[rule 10]\nthen = admit priority=10 borrow=yes\n\n");
    for (int i = 0; i < fleet.workers(); i++) {
      int rack = i / WORKERS_PER_RACK;
      text.append("[worker w-").append(i).append("]\naddress = 127.0.0.1:").append(10_000 + i);
      text.append("\nfailure-domain = d-").append(rack % 11).append("\nrack = r-").append(rack);
      text.append("\naccelerators = 1\ncores = 64\nmemory = 256GiB\n\n");
    }
    return text.toString();
  }

  /** Returns the median processor time of parsing and checking it, in microseconds. */
  double micros(FleetOfSize fleet) throws Exception {
    IniSource source = IniSource.of("declarations.ini", text(fleet));
    return clock.medianMicros(RUNS, () -> new DeclarationsParser().check(List.of(source)));
  }
}
