package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Founding;

/**
 * Simulates a few replicas with faults that a seed determines, and compares their state with a
 * single list. It runs the replicas' protocol, not real hosts: only the simulated faults happen.
 */
final class SeededCluster {
  /** Prefix of a result about missing progress, as opposed to a wrong list. */
  static final String NOT_SETTLED = "did not settle: ";

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration FAULT_PERIOD = Duration.ofSeconds(8);
  private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration MINIMUM_TIME_BETWEEN_LOST_FOLDERS = Duration.ofSeconds(1);
  private static final int COMMANDS = 70;
  private static final long MAXIMUM_EVENTS = 200_000;

  private final Variant variant;
  private final Random random;
  private final ImmutableList<ProcessId> voters;
  private final ImmutableMap<ProcessId, SeededNode> nodes;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<SeededCommand> commands = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<FinishedRead> finishedReads = new ArrayList<>();
  private final Set<ProcessId> cutOff = new HashSet<>();
  private Instant now = START;
  private Instant lastLostFolder = START;
  private Optional<LogEntry> founding = Optional.empty();
  private long eventCount;
  private long reads;
  private int lostFolders;

  SeededCluster(Variant variant, long seed, int replicaCount) {
    this.variant = variant;
    this.random = new Random(seed);
    this.voters =
        IntStream.rangeClosed(1, replicaCount)
            .mapToObj(number -> new ProcessId("control-" + number))
            .collect(ImmutableList.toImmutableList());
    this.nodes = Maps.toMap(voters, voter -> new SeededNode(this, voter));
  }

  /** Runs the simulation. Returns the first violation; empty if there is none. */
  Optional<String> run() {
    every(TICK, this::tickAll);
    every(Duration.ofMillis(90), this::startCommand);
    every(Duration.ofMillis(300), this::resendUnanswered);
    every(Duration.ofMillis(170), this::startRead);
    every(Duration.ofMillis(250), this::causeFault);
    try {
      while (violations.isEmpty() && !isSettled()) {
        if (elapsed().compareTo(SETTLE_TIMEOUT) > 0 || eventCount > MAXIMUM_EVENTS) {
          return Optional.of(NOT_SETTLED + describe());
        }
        Event next = events.remove();
        now = next.at();
        next.action().run();
      }
    } catch (IllegalStateException failed) {
      return Optional.of(failed.toString());
    }
    if (violations.isEmpty()) {
      compareWithList();
    }
    return violations.stream().findFirst();
  }

  private String describe() {
    StringBuilder text = new StringBuilder();
    nodes
        .values()
        .forEach(node -> text.append(node.values().size()).append(' ').append(node.status()));
    return text.toString();
  }

  private Duration elapsed() {
    return Duration.between(START, now);
  }

  private boolean faultsAreOver() {
    return elapsed().compareTo(FAULT_PERIOD) > 0;
  }

  private boolean isSettled() {
    return faultsAreOver()
        && commands.size() == COMMANDS
        && commands.stream().allMatch(command -> command.acknowledgedSize().isPresent())
        && nodes.values().stream().allMatch(SeededNode::isUp)
        && hasAllMembers()
        && chooseLeader().stream().anyMatch(this::allAppliedLogOf);
  }

  private boolean allAppliedLogOf(SeededNode leader) {
    long last = leader.status().lastIndex();
    return leader.status().commitIndex() == last
        && nodes.values().stream().allMatch(node -> node.appliedIndex() == last);
  }

  private void compareWithList() {
    if (nodes.values().stream().map(SeededNode::values).distinct().count() > 1) {
      addViolation("replicas differ: " + describe());
    }
    ImmutableList<String> list = nodes.values().asList().get(0).values();
    if (ImmutableSet.copyOf(list).size() < list.size()) {
      addViolation("a value was applied twice: " + list);
    }
    for (SeededCommand command : commands) {
      int position = list.indexOf(command.value()) + 1;
      if (position != command.acknowledgedSize().orElse(0)) {
        addViolation(
            command.value()
                + " got the reply "
                + command.acknowledgedSize()
                + " but the list is "
                + list);
      }
      requireSeen(list.subList(0, Math.max(0, position - 1)), command.acknowledgedBefore());
    }
    for (FinishedRead finished : finishedReads) {
      ImmutableList<String> seen = finished.values();
      if (!list.subList(0, Math.min(seen.size(), list.size())).equals(seen)) {
        addViolation("read " + seen + " but the list is " + list);
      }
      requireSeen(seen, finished.read().acknowledgedBefore());
    }
  }

  private void requireSeen(List<String> seen, ImmutableSet<String> acknowledged) {
    if (!ImmutableSet.copyOf(seen).containsAll(acknowledged)) {
      addViolation("acknowledged " + acknowledged + " but later only seen " + seen);
    }
  }

  void addViolation(String violation) {
    violations.add(violation);
  }

  private void every(Duration period, Runnable action) {
    action.run();
    after(period, () -> every(period, action));
  }

  void after(Duration delay, Runnable action) {
    eventCount++;
    events.add(new Event(now.plus(delay), eventCount, action));
  }

  private void tickAll() {
    nodes.values().stream().filter(SeededNode::isUp).forEach(SeededNode::tick);
  }

  private void startCommand() {
    if (commands.size() < COMMANDS && founding.isPresent()) {
      SeededCommand command = new SeededCommand(this, "v" + commands.size(), acknowledged());
      commands.add(command);
      propose(command);
    }
  }

  private ImmutableSet<String> acknowledged() {
    return commands.stream()
        .filter(command -> command.acknowledgedSize().isPresent())
        .map(SeededCommand::value)
        .collect(ImmutableSet.toImmutableSet());
  }

  private void resendUnanswered() {
    commands.stream()
        .filter(command -> command.acknowledgedSize().isEmpty())
        .toList()
        .forEach(this::propose);
  }

  private void propose(SeededCommand command) {
    chooseLeader().forEach(node -> node.propose(command));
  }

  /** Returns one random node that is in the leader role; none if there is no such node. */
  private List<SeededNode> chooseLeader() {
    List<SeededNode> leaders =
        nodes.values().stream()
            .filter(SeededNode::isUp)
            .filter(node -> node.status().role() == Role.LEADER)
            .toList();
    return leaders.isEmpty() ? leaders : List.of(leaders.get(random.nextInt(leaders.size())));
  }

  private void startRead() {
    reads++;
    SeededRead read = new SeededRead(reads, acknowledged());
    chooseLeader().forEach(node -> node.read(read));
  }

  void onRead(SeededRead read, ImmutableList<String> values) {
    finishedReads.add(new FinishedRead(read, values));
  }

  private void causeFault() {
    if (faultsAreOver()) {
      cutOff.clear();
      return;
    }
    SeededNode node = nodes.values().asList().get(random.nextInt(nodes.size()));
    switch (random.nextInt(10)) {
      case 0, 1 -> crash(node, node::restart);
      case 2 -> cutOffForAWhile(voters.get(random.nextInt(voters.size())));
      case 3 -> loseFolder(node);
      case 6 -> loseFolderWhileOthersFail(node);
      case 4, 5 -> crashAll();
      default -> tickAll();
    }
  }

  private void crashAll() {
    if (random.nextInt(2) == 0) {
      nodes.values().forEach(node -> crash(node, node::restart));
    }
  }

  private void crash(SeededNode node, Runnable restart) {
    if (!node.isUp()) {
      return;
    }
    node.crash();
    after(Duration.ofMillis(20 + random.nextInt(900)), restart);
  }

  private void cutOffForAWhile(ProcessId process) {
    cutOff.add(process);
    after(Duration.ofMillis(200 + random.nextInt(1_500)), () -> cutOff.remove(process));
  }

  /** Loses a folder only while all nodes are voters: losing more at once would lose the quorum. */
  private void loseFolder(SeededNode node) {
    boolean isTooSoon =
        Duration.between(lastLostFolder, now).compareTo(MINIMUM_TIME_BETWEEN_LOST_FOLDERS) < 0;
    if (isTooSoon || !node.isUp() || !hasAllMembers()) {
      return;
    }
    lastLostFolder = now;
    lostFolders++;
    crash(node, node::restartOnEmptyFolder);
  }

  /** Loses a folder while one replica lags behind and the others restart. */
  private void loseFolderWhileOthersFail(SeededNode lost) {
    SeededNode lagging = nodes.values().asList().get(random.nextInt(nodes.size()));
    cutOffForAWhile(lagging.process());
    after(Duration.ofMillis(400), () -> loseFolderAndRestartOthers(lost, lagging));
  }

  private void loseFolderAndRestartOthers(SeededNode lost, SeededNode lagging) {
    int before = lostFolders;
    loseFolder(lost);
    if (lostFolders == before) {
      return;
    }
    nodes.values().stream()
        .filter(node -> !node.equals(lagging))
        .forEach(node -> crash(node, node::restart));
    cutOff.remove(lagging.process());
  }

  private boolean hasAllMembers() {
    ImmutableSet<ReplicaId> identities =
        nodes.values().stream().map(SeededNode::identity).collect(ImmutableSet.toImmutableSet());
    return nodes.values().stream()
        .filter(SeededNode::isUp)
        .map(SeededNode::status)
        .filter(status -> status.mayDecide(now))
        .filter(status -> status.membersIndex() <= status.commitIndex())
        .flatMap(status -> status.members().stream())
        .anyMatch(members -> identitiesOf(members).equals(identities));
  }

  private static ImmutableSet<ReplicaId> identitiesOf(ClusterMembers members) {
    return members.voters().stream().map(Member::replica).collect(ImmutableSet.toImmutableSet());
  }

  /** Sends a message that may be lost, delayed, duplicated or reordered. */
  void send(ProcessId from, ProcessId to, ReplicationMessage message) {
    if (message instanceof Founding first && founding.isEmpty()) {
      founding = Optional.of(first.founding());
    }
    if (cutOff.contains(from) || cutOff.contains(to) || isMessageLost()) {
      return;
    }
    int copies = !faultsAreOver() && random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      after(messageDelay(), () -> deliver(from, to, message));
    }
  }

  private void deliver(ProcessId from, ProcessId to, ReplicationMessage message) {
    SeededNode node = nodes.get(to);
    if (node != null && node.isUp()) {
      node.receive(from, message);
    }
  }

  private Duration messageDelay() {
    int slow = !faultsAreOver() && random.nextInt(50) == 0 ? 600 : 0;
    return Duration.ofMillis(1 + random.nextInt(8 + slow));
  }

  Duration diskDelay() {
    int slow = !faultsAreOver() && random.nextInt(8) == 0 ? 120 : 0;
    return Duration.ofMillis(1 + random.nextInt(6 + slow));
  }

  boolean isMessageLost() {
    return !faultsAreOver() && random.nextInt(12) == 0;
  }

  Instant now() {
    return now;
  }

  Random random() {
    return random;
  }

  Variant variant() {
    return variant;
  }

  ImmutableList<ProcessId> voters() {
    return voters;
  }

  Optional<LogEntry> founding() {
    return founding;
  }

  int lostFolders() {
    return lostFolders;
  }

  private record FinishedRead(SeededRead read, ImmutableList<String> values) {}

  private record Event(Instant at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
