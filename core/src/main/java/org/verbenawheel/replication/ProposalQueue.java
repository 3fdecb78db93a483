package org.verbenawheel.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.request.RunVerdict;

/**
 * The commands that gather for the next proposal, and the count of all that have no reply yet. Safe
 * for use by many threads.
 */
final class ProposalQueue {
  private static final int MAXIMUM_COMMANDS_WAITING = 20_000;

  private final Queue<Proposal> proposals = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();

  /** Adds a command, or refuses it if too many wait. */
  void add(Payload command, CompletableFuture<CommandReply> reply) {
    if (waiting.get() >= MAXIMUM_COMMANDS_WAITING) {
      refuse(reply, "too many commands wait; try again later");
      return;
    }
    waiting.incrementAndGet();
    CompletableFuture<CommandReply> unused =
        reply.whenComplete((done, failed) -> waiting.decrementAndGet());
    proposals.add(new Proposal(command, reply));
  }

  /** Returns how many commands have no reply yet, proposed ones included. */
  int waiting() {
    return waiting.get();
  }

  /** Removes and returns the commands that came first; none if the queue is empty. */
  List<Proposal> next(int maximum) {
    List<Proposal> batch = new ArrayList<>();
    Proposal proposal = proposals.poll();
    while (proposal != null) {
      batch.add(proposal);
      proposal = batch.size() < maximum ? proposals.poll() : null;
    }
    return batch;
  }

  /** Refuses a command that was never appended. */
  static void refuse(CompletableFuture<CommandReply> reply, String message) {
    reply.completeExceptionally(new CommandNotCommittedException(RunVerdict.NOT_RUN, message));
  }

  /**
   * A command to append.
   *
   * @param command the payload of its entry
   * @param reply takes its reply
   */
  record Proposal(Payload command, CompletableFuture<CommandReply> reply) {}
}
