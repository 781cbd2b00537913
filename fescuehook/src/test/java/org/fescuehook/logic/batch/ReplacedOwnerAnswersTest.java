package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against "no such job" for a job that was just accepted. Another VM still forwards a status
 * call to the previous owner, which does not know yet that it was replaced. That owner denied jobs
 * for 1.8 s after the store's last answer, which is safe only if others claim after 2 s of silence;
 * but VMs also claim from a live owner if they have much more CPU, and after 1 s if the owner is
 * suspected.
 */
class ReplacedOwnerAnswersTest {

  private static final long TICKET = 1_000_000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  private String acceptedBy(VmId next) {
    cluster.runUntil(
        "the next owner", 3000, () -> cluster.owner().filter(vm -> vm.id.equals(next)).isPresent());
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 5000)));
    cluster.runUntil("an answer", 200, () -> cluster.submissions.containsKey(job));
    assertEquals(new CallAnswer.Accepted(), cluster.submissions.get(job));
    return job;
  }

  private CallAnswer statusFrom(BatchCluster.Vm vm, String job) {
    BatchCall question = new BatchCall.Status(BatchCluster.NORMAL, BatchCluster.KEY, job);
    vm.deliver(new BatchEvent.Called(TICKET, question, BatchCluster.CALLER_TIMEOUT));
    return cluster.answers.get(TICKET);
  }

  @Test
  void anOwnerReplacedByAStrongerVmDoesNotDenyJobsAcceptedByIt() {
    BatchCluster.Vm former = cluster.start(new VmId("weak-1"));
    cluster.awaitOwner();
    cluster.run(1000);
    VmId next = new VmId("vm-1");
    cluster.start(next);
    assertNotEquals(new CallAnswer.NoSuchJob(), statusFrom(former, acceptedBy(next)));
  }

  @Test
  void aSuspectedOwnerDoesNotDenyJobsAcceptedByTheNext() {
    BatchCluster.Vm former = cluster.start(new VmId("vm-1"));
    cluster.awaitOwner();
    VmId next = new VmId("vm-2");
    cluster.start(next);
    cluster.run(1000);
    cluster.faults.cutFromStore.add(former.id);
    for (int i = 0; i < 10; i++) {
      cluster.in(200 * i, () -> cluster.vms.get(next).deliver(new BatchEvent.OwnerDoubted()));
    }
    assertNotEquals(new CallAnswer.NoSuchJob(), statusFrom(former, acceptedBy(next)));
  }
}
