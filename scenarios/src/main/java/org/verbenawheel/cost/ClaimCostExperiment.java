package org.verbenawheel.cost;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.verbenawheel.claim.ClaimId;
import org.verbenawheel.claim.ClaimPolicy;
import org.verbenawheel.claim.ClaimState;
import org.verbenawheel.claim.RecordAnswer;
import org.verbenawheel.claim.TakeClaim;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Measures the memory, snapshot bytes and processing time per idempotency claim, with its answer
 * kept and after the answer was dropped.
 */
public final class ClaimCostExperiment {
  private static final int[] SIZES = {10_000, 50_000, 200_000};
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final ServiceName SERVICE = new ServiceName("hobart-foundry");
  private static final String FINGERPRINT = "f".repeat(64);

  private ClaimCostExperiment() {}

  /**
   * Runs the experiment and prints a table to standard output.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  private static void run(PrintStream out) {
    out.println("claims    answers  heap bytes/claim  snapshot bytes/claim  us/claim");
    for (int size : SIZES) {
      measure(out, size, true);
      measure(out, size, false);
    }
  }

  private static void measure(PrintStream out, int size, boolean answersKept) {
    long heapBefore = usedHeap();
    ClaimState state = new ClaimState(ClaimPolicy.DEFAULT);
    long startedAt = System.nanoTime();
    for (int number = 0; number < size; number++) {
      takeAndAnswer(state, number);
    }
    double microseconds = (System.nanoTime() - startedAt) / 1e3 / size;
    if (!answersKept) {
      expireAnswers(state, size);
    }
    double heap = (double) (usedHeap() - heapBefore) / size;
    double snapshot = (double) state.snapshot().length / size;
    out.println(
        String.format(
            Locale.ROOT,
            "%-9d %-8s %16.0f %21.0f %9.2f",
            size,
            answersKept ? "kept" : "dropped",
            heap,
            snapshot,
            microseconds));
  }

  private static void takeAndAnswer(ClaimState state, int number) {
    ClaimId id = new ClaimId(SERVICE, IdempotencyKey.create(START.plusMillis(number), number));
    RequestId request = new RequestId("entry-1-start-" + number);
    ApplyContext context = new ApplyContext(number, START.plusMillis(number));
    state.apply(
        new TakeClaim(
            id, FINGERPRINT, request, new ProcessId("entry-1"), START.plus(Duration.ofSeconds(5))),
        context);
    state.apply(
        new RecordAnswer(
            id,
            request,
            new CallerAnswer(
                200, Headers.NONE, Body.ofText("order " + number), new EndpointId("runner-1"))),
        context);
  }

  private static void expireAnswers(ClaimState state, int size) {
    Instant afterRetention = START.plusMillis(size).plus(Duration.ofHours(1));
    ClaimId last = new ClaimId(SERVICE, IdempotencyKey.create(afterRetention, size));
    state.apply(
        new TakeClaim(
            last, FINGERPRINT, new RequestId("last"), new ProcessId("entry-1"), afterRetention),
        new ApplyContext(size, afterRetention));
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int round = 0; round < 3; round++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
