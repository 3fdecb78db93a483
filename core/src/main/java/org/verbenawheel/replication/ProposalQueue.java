package org.verbenawheel.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.request.RunVerdict;

/**
 * Queues commands for the next proposal, and counts the commands without a reply, to refuse more
 * than {@link #MAXIMUM_UNANSWERED_COMMANDS}. Thread-safe.
 */
final class ProposalQueue {
  private static final int MAXIMUM_UNANSWERED_COMMANDS = 20_000;

  private final Queue<Proposal> proposals = new ConcurrentLinkedQueue<>();
  private final AtomicInteger unanswered = new AtomicInteger();

  /** Adds a command, or refuses it if too many have no reply yet. */
  void add(Payload command, CompletableFuture<CommandReply> reply) {
    if (unanswered.get() >= MAXIMUM_UNANSWERED_COMMANDS) {
      refuse(reply, "too many commands wait for a reply; try again later");
      return;
    }
    unanswered.incrementAndGet();
    CompletableFuture<CommandReply> unused =
        reply.whenComplete((done, failed) -> unanswered.decrementAndGet());
    proposals.add(new Proposal(command, reply));
  }

  /** Returns the number of commands without a reply, including those already proposed. */
  int unanswered() {
    return unanswered.get();
  }

  /** Removes and returns the oldest commands, at most the given number. */
  List<Proposal> poll(int maximum) {
    List<Proposal> batch = new ArrayList<>();
    Proposal proposal = proposals.poll();
    while (proposal != null) {
      batch.add(proposal);
      proposal = batch.size() < maximum ? proposals.poll() : null;
    }
    return batch;
  }

  /** Fails a command that was never appended with {@link RunVerdict#NOT_RUN}. */
  static void refuse(CompletableFuture<CommandReply> reply, String message) {
    reply.completeExceptionally(new CommandNotCommittedException(RunVerdict.NOT_RUN, message));
  }

  /**
   * A command to append.
   *
   * @param command the payload of its entry
   * @param reply completed with its reply
   */
  record Proposal(Payload command, CompletableFuture<CommandReply> reply) {}
}
