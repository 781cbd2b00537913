package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.StandIns;

/** The maintenance waves that operators ask for; the worst loss of answers among them counts. */
final class MachineTrouble {

  private final StandIns platform;
  private final List<Fault.MaintainMachines> active = new ArrayList<>();

  MachineTrouble(StandIns platform) {
    this.platform = platform;
  }

  void add(Fault.MaintainMachines wave) throws ClusterException, InterruptedException {
    active.add(wave);
    apply();
  }

  void remove(Fault.MaintainMachines wave) throws ClusterException, InterruptedException {
    active.remove(wave);
    apply();
  }

  private void apply() throws ClusterException, InterruptedException {
    int lostPermille =
        active.stream().mapToInt(Fault.MaintainMachines::lostPermille).max().orElse(0);
    List<Map<String, Object>> waves = new ArrayList<>();
    for (Fault.MaintainMachines wave : active) {
      waves.add(
          Map.of(
              "wave", wave.wave(),
              "machines", wave.machines(),
              "deadlineS", wave.deadlineSeconds(),
              "cap", wave.cap()));
    }
    platform.faults(Map.of("machines", Map.of("lostPermille", lostPermille, "waves", waves)));
  }
}
