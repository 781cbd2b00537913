package org.fescuehook.bench.cluster;

/** Writes declarations for the fleet of stand-ins, with one organisation named {@code bench}. */
final class DeclarationsText {
  private DeclarationsText() {}

  static String of(ClusterSizes sizes, StandIns standIns) {
    StringBuilder text = new StringBuilder();
    text.append("[policy]\nfragmentation-weight = 0.5\n\n");
    text.append("[organisation bench]\nweight = 1\n");
    text.append("quota-accelerators = ").append(8 * sizes.workers()).append("\n");
    text.append("request-share = ").append(8 * sizes.executors()).append("\n\n");
    text.append("[rule 10]\nthen = admit priority=10 borrow=yes\n\n");
    for (int i = 0; i < sizes.executors(); i++) {
      String name = "executor-" + (i + 1);
      text.append("[executor ").append(name).append("]\n");
      text.append("address = ").append(standIns.text(name)).append("\n");
      text.append("failure-domain = domain-").append(1 + i % sizes.domains()).append("\n");
      text.append("slots = 8\nconnections = 64\n\n");
    }
    for (int i = 0; i < sizes.workers(); i++) {
      String name = "worker-" + (i + 1);
      int rack = i / sizes.workersPerRack();
      text.append("[worker ").append(name).append("]\n");
      text.append("address = ").append(standIns.text(name)).append("\n");
      text.append("failure-domain = domain-").append(1 + rack % sizes.domains()).append("\n");
      text.append("rack = rack-").append(rack + 1).append("\n");
      text.append("accelerators = 8\ncores = 64\nmemory = 256GiB\n\n");
    }
    return text.toString();
  }
}
