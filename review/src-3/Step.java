import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A step of a job; fields that are 0, false or empty are left out when it is sent. */
record Step(
    int count, int cpu, int memMb, int gpu, long estimateMs, List<Integer> dependsOn, boolean gang,
    boolean checkpointing, boolean longRunning, int antiAffinity, String requirements) {

  static Step of(int count, int cpu, int memMb, int gpu, long estimateMs) {
    return new Step(count, cpu, memMb, gpu, estimateMs, List.of(), false, false, false, 0, "");
  }

  Step after(Integer... steps) {
    return new Step(count, cpu, memMb, gpu, estimateMs, List.of(steps), gang, checkpointing, longRunning,
        antiAffinity, requirements);
  }

  Step saving() {
    return new Step(count, cpu, memMb, gpu, estimateMs, dependsOn, gang, true, longRunning, antiAffinity,
        requirements);
  }

  Step lasting() {
    return new Step(count, cpu, memMb, gpu, estimateMs, dependsOn, gang, checkpointing, true, antiAffinity,
        requirements);
  }

  Step together() {
    return new Step(count, cpu, memMb, gpu, estimateMs, dependsOn, true, checkpointing, longRunning, antiAffinity,
        requirements);
  }

  Step apart(int most) {
    return new Step(count, cpu, memMb, gpu, estimateMs, dependsOn, gang, checkpointing, longRunning, most,
        requirements);
  }

  Step on(String label) {
    return new Step(count, cpu, memMb, gpu, estimateMs, dependsOn, gang, checkpointing, longRunning, antiAffinity,
        label);
  }

  private Map<String, Object> fields() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("count", count);
    put(fields, "cpu", cpu);
    put(fields, "memMb", memMb);
    put(fields, "gpu", gpu);
    put(fields, "estimateMs", estimateMs);
    if (!dependsOn.isEmpty()) {
      fields.put("dependsOn", new ArrayList<>(dependsOn));
    }
    put(fields, "gang", gang);
    put(fields, "checkpointing", checkpointing);
    put(fields, "longRunning", longRunning);
    put(fields, "antiAffinity", antiAffinity);
    if (!requirements.isEmpty()) {
      fields.put("requirements", requirements);
    }
    return fields;
  }

  private static void put(Map<String, Object> fields, String name, long value) {
    if (value != 0) {
      fields.put(name, value);
    }
  }

  private static void put(Map<String, Object> fields, String name, boolean value) {
    if (value) {
      fields.put(name, true);
    }
  }

  /** Returns the body of a job. */
  static Map<String, Object> job(String spec, Step... steps) {
    List<Object> list = new ArrayList<>();
    for (Step step : steps) {
      list.add(step.fields());
    }
    return Json.map("spec", spec, "steps", list);
  }
}
