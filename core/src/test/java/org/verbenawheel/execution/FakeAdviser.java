package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** A placement adviser whose answers the test triggers. */
final class FakeAdviser implements PlacementAdviser {
  private final List<String> questions = new ArrayList<>();
  private final Set<String> allowed = new HashSet<>();
  private Optional<CompletableFuture<ImmutableMap<String, String>>> openQuestion = Optional.empty();
  private ImmutableList<String> lastAskedWorkers = ImmutableList.of();
  private String openStep = "";

  void allow(String worker) {
    allowed.add(worker);
  }

  ImmutableList<String> questions() {
    return ImmutableList.copyOf(questions);
  }

  ImmutableList<String> lastAskedWorkers() {
    return lastAskedWorkers;
  }

  /** Answers the open question; the ticket names the step and the worker. */
  void answer() {
    ImmutableMap.Builder<String, String> tickets = ImmutableMap.builder();
    lastAskedWorkers.stream()
        .filter(allowed::contains)
        .forEach(worker -> tickets.put(worker, openStep + "@" + worker));
    CompletableFuture<ImmutableMap<String, String>> question = openQuestion.orElseThrow();
    openQuestion = Optional.empty();
    question.complete(tickets.buildOrThrow());
  }

  /** Fails the open question. */
  void fail() {
    CompletableFuture<ImmutableMap<String, String>> question = openQuestion.orElseThrow();
    openQuestion = Optional.empty();
    question.completeExceptionally(new IllegalStateException("the adviser is busy"));
  }

  @Override
  public CompletableFuture<ImmutableMap<String, String>> approve(
      String step, ImmutableList<String> workers, Duration timeout) {
    if (openQuestion.isPresent()) {
      throw new IllegalStateException("a second question while one is open: " + step);
    }
    questions.add(step);
    lastAskedWorkers = workers;
    openStep = step;
    CompletableFuture<ImmutableMap<String, String>> question = new CompletableFuture<>();
    openQuestion = Optional.of(question);
    return question;
  }
}
