package review3;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Clients hand in submissions and ask for their states at one entry, without a pause. */
final class BusyEntry {
  /** Within 52.8 submissions a second (derwent-castor-grown) times 2.1 (a burst of quotes). */
  private static final int PER_SECOND = 110;

  private static final int PER_SECOND_WITHOUT_BURST = 4;
  private static final int CLIENTS = 96;
  private static final int LOOKS = 3;
  private static final int SPEC_BYTES = 4_000;
  private static final int TIME_LIMIT_MS = 3_000;
  private static final double WINDOW_S = 4;
  private static final double UNTIL_S = 112;
  private static final int CALM_WINDOWS = 4;

  /** The entry hangs: it answers less than a quarter of what it did, and some requests not at all. */
  private static final int FALL = 4;

  private static final int HUNG_WINDOWS = 2;
  private static final int HUNG_REQUESTS = 10;
  private static final int OTHER_AT_MOST_MS = 500;

  private final Record record;
  private final Deployment deployment;
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong unanswered = new AtomicLong();
  private final AtomicLong slowest = new AtomicLong();
  private volatile String lastAccepted = "";
  private volatile boolean ended;

  private BusyEntry(Record record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
  }

  static int play(Setting setting, boolean trouble) throws Exception {
    Runner.Fates fates = (task, run, spec) -> new Runner.Fate(50, "done", 0, false);
    try (Record record = new Record(setting.recordFile());
        Deployment deployment = new Deployment(setting.root(), record);
        Fleet fleet = new Fleet(deployment, record, fates)) {
      deployment.start(3, 2, fleet.cloud.address);
      for (int number = 1; number <= 6; number++) {
        fleet.add("m-" + number, "quote", "r1-" + (number + 3) / 4).quiet = true;
      }
      if (!deployment.install(Fleet.configuration(1, Fleet.route("quote")), 20_000)
          || !deployment.awaitReady(15_000)) {
        return 2;
      }
      Thread.sleep(2_500);
      return new BusyEntry(record, deployment).play(trouble) ? 1 : 0;
    }
  }

  /** Returns whether the busy entry ended or hung while the other one answered at once. */
  private boolean play(boolean trouble) throws Exception {
    Deployment.Node busy = deployment.entries.get(0);
    Deployment.Node other = deployment.entries.get(1);
    record.line(
        "%d submissions a second, each asked for %d times, at %s",
        trouble ? PER_SECOND : PER_SECOND_WITHOUT_BURST, LOOKS, busy.name);
    startClients(trouble ? PER_SECOND : PER_SECOND_WITHOUT_BURST);
    long before = 0;
    long usual = 0;
    long none = 0;
    int slowWindows = 0;
    for (int window = 0; record.seconds() < UNTIL_S && busy.process.isAlive(); window++) {
      Thread.sleep((long) (1_000 * WINDOW_S));
      long count = answered.get() - before;
      before += count;
      usual = window < CALM_WINDOWS ? Math.max(usual, count) : usual;
      none += unanswered.getAndSet(0);
      long begin = System.nanoTime();
      boolean otherAnswers = get(other, lastAccepted).status() == 200;
      long otherMs = (System.nanoTime() - begin) / 1_000_000;
      record.line(
          "%s: %d answered in %.0f s, slowest %d ms; without an answer in %d ms so far %d;"
              + " accepted so far %d; %s answers %s in %d ms",
          busy.name, count, WINDOW_S, slowest.getAndSet(0), TIME_LIMIT_MS, none, accepted.get(),
          other.name, otherAnswers, otherMs);
      if (FALL * count < usual && otherAnswers && otherMs < OTHER_AT_MOST_MS) {
        slowWindows++;
      }
      if (slowWindows >= HUNG_WINDOWS && none >= HUNG_REQUESTS) {
        record.line("BROKEN Fault: %s hangs, %s does not", busy.name, other.name);
        return true;
      }
    }
    ended = true;
    if (!busy.process.isAlive()) {
      record.line("BROKEN Fault: %s ended by itself", busy.name);
      return true;
    }
    return false;
  }

  private void startClients(int perSecond) {
    for (int client = 0; client < CLIENTS; client++) {
      int number = client;
      Thread thread = new Thread(() -> client(number, perSecond));
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void client(int number, int perSecond) {
    Deployment.Node busy = deployment.entries.get(0);
    sleep(1_000L * number / perSecond);
    long next = System.nanoTime();
    for (int job = 0; !ended; job++) {
      next += 1_000_000_000L * CLIENTS / perSecond;
      String id = String.format("%08x%08x", number + 1, job);
      count(post(busy, id), id);
      for (int look = 0; look < LOOKS; look++) {
        count(get(busy, id), "");
      }
      long wait = (next - System.nanoTime()) / 1_000_000;
      if (wait > 0) {
        sleep(wait);
      } else {
        next = System.nanoTime();
      }
    }
  }

  private Web.Answer post(Deployment.Node entry, String id) {
    // A sign outside Latin-1, of three bytes, and signs of one byte.
    String spec = "\u2116" + ("quote " + id + " ").repeat(200).substring(0, SPEC_BYTES - 3);
    String body =
        Json.write(
            Json.map(
                "spec", spec,
                "steps",
                    List.of(Json.map("count", 1, "cpu", 100, "mem_mb", 16, "estimate_ms", 50))));
    return timed(entry, "POST", id, body);
  }

  private Web.Answer get(Deployment.Node entry, String id) {
    return timed(entry, "GET", id, "");
  }

  private Web.Answer timed(Deployment.Node entry, String method, String id, String body) {
    long sent = System.nanoTime();
    Web.Answer answer =
        Web.call(
            method, deployment.frontend(entry), "/quote/" + id, body, TIME_LIMIT_MS,
            Map.of("Host", Fleet.HOST, "X-Deadline-Ms", Integer.toString(TIME_LIMIT_MS)));
    if (entry == deployment.entries.get(0)) {
      slowest.accumulateAndGet((System.nanoTime() - sent) / 1_000_000, Math::max);
    }
    return answer;
  }

  private void count(Web.Answer answer, String id) {
    if (answer.status() == 0) {
      unanswered.incrementAndGet();
      return;
    }
    answered.incrementAndGet();
    if (!id.isEmpty() && answer.status() == 200) {
      accepted.incrementAndGet();
      lastAccepted = id;
    }
  }

  private static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
