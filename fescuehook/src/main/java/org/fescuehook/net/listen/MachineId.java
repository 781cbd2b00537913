package org.fescuehook.net.listen;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.UUID;
import org.fescuehook.model.fleet.VmId;

/**
 * The id of the machine that Netty puts into the names of its channels. Without one it looks for a
 * hardware address, which small VMs hide, and warns at each start.
 */
public final class MachineId {

  /** Netty's own setting. */
  private static final String PROPERTY = "io.netty.machineId";

  /** Length of the id that Netty takes. */
  private static final int BYTES = 8;

  private MachineId() {}

  /** Has Netty name this VM by its id; to be called before anything of Netty is used. */
  public static void use(VmId vm) {
    System.setProperty(PROPERTY, of(vm));
  }

  /** Returns eight bytes of a digest of the VM's id, in Netty's notation. */
  static String of(VmId vm) {
    String digest =
        UUID.nameUUIDFromBytes(vm.value().getBytes(StandardCharsets.UTF_8))
            .toString()
            .replace("-", "");
    byte[] bytes = HexFormat.of().parseHex(digest, 0, 2 * BYTES);
    return HexFormat.ofDelimiter(":").formatHex(bytes);
  }
}
