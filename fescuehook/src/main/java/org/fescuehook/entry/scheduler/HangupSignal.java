package org.fescuehook.entry.scheduler;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, on which the JVM would otherwise end. The JDK offers this only in {@code
 * sun.misc}, which the compiler warns of, so it is reached by reflection.
 */
final class HangupSignal {

  private HangupSignal() {}

  /**
   * Has an action run on each SIGHUP.
   *
   * @throws IllegalStateException if this JDK has no such handler
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                action.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("SIGHUP cannot be handled", e);
    }
  }
}
