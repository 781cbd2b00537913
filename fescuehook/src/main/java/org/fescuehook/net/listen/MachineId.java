package org.fescuehook.net.listen;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.UUID;
import org.fescuehook.model.fleet.VmId;

/**
 * Sets the machine id that Netty includes in the ids of its channels. If none is set, Netty looks
 * for a hardware address, which small VMs hide, and logs a warning at each start.
 */
public final class MachineId {

  /** System property from which Netty reads the machine id. */
  private static final String PROPERTY = "io.netty.machineId";

  /** Length of the machine id. */
  private static final int ID_BYTES = 8;

  private MachineId() {}

  /** Sets the machine id to one derived from the VM's id. Must be called before Netty is used. */
  public static void use(VmId vm) {
    System.setProperty(PROPERTY, of(vm));
  }

  /** Returns eight bytes of a digest of the VM's id, in Netty's notation. */
  static String of(VmId vm) {
    String digest =
        UUID.nameUUIDFromBytes(vm.value().getBytes(StandardCharsets.UTF_8))
            .toString()
            .replace("-", "");
    byte[] bytes = HexFormat.of().parseHex(digest, 0, 2 * ID_BYTES);
    return HexFormat.ofDelimiter(":").formatHex(bytes);
  }
}
