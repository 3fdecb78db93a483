package org.verbenawheel.replication;

import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.AppendedList.Add;
import org.verbenawheel.storage.DiskFolder;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.time.MonotonicInstantSource;

/**
 * A cluster of replicas with real files and threads in one process, connected by {@link FakeLinks}.
 */
final class TestCluster implements AutoCloseable {
  private static final long REPLY_TIMEOUT_SECONDS = 30;
  private static final ProcessId ENTRY = new ProcessId("entry-1");

  private final FakeLinks links = new FakeLinks(AppendedList.CODEC);
  private final MonotonicInstantSource clock = MonotonicInstantSource.startingNow();
  private final ImmutableList<ProcessId> voters;
  private final Path folder;
  private final int snapshotInterval;
  private final boolean groupCommit;
  private final Map<ProcessId, ReplicaProcess> replicas = new LinkedHashMap<>();
  private final Map<ProcessId, AppendedList> lists = new LinkedHashMap<>();
  private final Map<ProcessId, Path> folders = new LinkedHashMap<>();
  private final List<PartFailedException> failures =
      Collections.synchronizedList(new ArrayList<>());
  private final RemoteCommandLog remote;
  private final AtomicInteger lastIdentity = new AtomicInteger();

  TestCluster(Path folder, int replicaCount, int snapshotInterval) {
    this(folder, replicaCount, snapshotInterval, true);
  }

  TestCluster(Path folder, int replicaCount, int snapshotInterval, boolean groupCommit) {
    this.groupCommit = groupCommit;
    this.folder = folder;
    this.snapshotInterval = snapshotInterval;
    this.voters =
        IntStream.rangeClosed(1, replicaCount)
            .mapToObj(number -> new ProcessId("control-" + number))
            .collect(ImmutableList.toImmutableList());
    this.remote =
        RemoteCommandLog.builder()
            .replicas(voters)
            .links(links.of(ENTRY))
            .codec(AppendedList.CODEC)
            .clock(clock)
            .timeout(Duration.ofSeconds(REPLY_TIMEOUT_SECONDS))
            .build();
    voters.forEach(voter -> folders.put(voter, folder.resolve(voter.value())));
  }

  FakeLinks links() {
    return links;
  }

  RemoteCommandLog remote() {
    return remote;
  }

  ImmutableList<ProcessId> voters() {
    return voters;
  }

  List<PartFailedException> failures() {
    return failures;
  }

  void startAll() throws PartFailedException {
    for (ProcessId voter : voters) {
      start(voter);
    }
  }

  ReplicaProcess start(ProcessId process) throws PartFailedException {
    Path data = require(folders, process);
    return start(process, () -> DiskFolder.open(data));
  }

  ReplicaProcess start(ProcessId process, ReplicaProcess.FolderOpener opener)
      throws PartFailedException {
    AppendedList list = new AppendedList();
    ReplicaProcess replica =
        ReplicaProcess.builder(process, clock)
            .initialVoters(voters)
            .dataFolder(opener)
            .links(links.of(process))
            .codec(AppendedList.CODEC)
            .addPart(list)
            .timings(
                new ReplicationTimings(
                    Duration.ofMillis(50), Duration.ofMillis(500), Duration.ofMillis(400)))
            .snapshotInterval(snapshotInterval)
            .groupCommit(groupCommit)
            .build();
    replicas.put(process, replica);
    lists.put(process, list);
    links.register(process, replica);
    replica.start(failures::add);
    return replica;
  }

  void stop(ProcessId process) {
    require(replicas, process).stop(Duration.ZERO);
  }

  /** Replaces the process's folder by an empty one for its next start. */
  void loseFolder(ProcessId process) {
    folders.put(process, folder.resolve(process + "-new-" + folders.size() + System.nanoTime()));
  }

  ReplicaProcess replica(ProcessId process) {
    return require(replicas, process);
  }

  /**
   * Commits a value through the leader, with an identity, since an append is not idempotent and the
   * command log resends it when a reply is lost. Returns the number of values including it.
   */
  int add(String value) throws ExecutionException, InterruptedException, TimeoutException {
    CommandId identity = new CommandId("add-" + lastIdentity.incrementAndGet());
    return reply(remote.submit(envelope(Optional.of(identity), value)));
  }

  static CommandEnvelope envelope(Optional<CommandId> commandId, String value) {
    return new CommandEnvelope(commandId, new Add(value));
  }

  static int reply(CompletableFuture<CommandReply> reply)
      throws ExecutionException, InterruptedException, TimeoutException {
    return ((AppendedList.Added) reply.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)).size();
  }

  ProcessId awaitLeader() {
    return await()
        .atMost(Duration.ofSeconds(REPLY_TIMEOUT_SECONDS))
        .until(this::leader, Optional::isPresent)
        .orElseThrow();
  }

  Optional<ProcessId> leader() {
    return replicas.entrySet().stream()
        .filter(entry -> entry.getValue().mayDecide())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns the values from a linearizable read at the leader. */
  ImmutableList<String> read() throws InterruptedException, ExecutionException, TimeoutException {
    ProcessId leader = awaitLeader();
    AppendedList list = require(lists, leader);
    return require(replicas, leader)
        .read(list::values)
        .get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the values that a replica has applied so far. */
  ImmutableList<String> valuesAt(ProcessId process) {
    return await().ignoreExceptions().until(() -> require(lists, process).values(), values -> true);
  }

  void awaitValuesAt(ProcessId process, ImmutableList<String> expected) {
    await()
        .atMost(Duration.ofSeconds(REPLY_TIMEOUT_SECONDS))
        .ignoreExceptions()
        .until(() -> require(lists, process).values().equals(expected));
  }

  @Override
  public void close() {
    replicas.values().forEach(replica -> replica.stop(Duration.ZERO));
    links.close();
  }

  private static <V> V require(Map<ProcessId, V> values, ProcessId process) {
    return Objects.requireNonNull(values.get(process));
  }
}
