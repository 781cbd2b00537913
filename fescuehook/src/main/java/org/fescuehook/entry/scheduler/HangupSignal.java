package org.fescuehook.entry.scheduler;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise terminate the JVM. The JDK has an API for this only in
 * {@code sun.misc}, whose use causes compiler warnings, so it is called by reflection.
 */
public final class HangupSignal {

  private HangupSignal() {}

  /**
   * Registers an action to run on each SIGHUP.
   *
   * @throws IllegalStateException if this JDK has no such API
   */
  public static void handle(Runnable action) {
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
