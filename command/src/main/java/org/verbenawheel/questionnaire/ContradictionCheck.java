package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.verbenawheel.identity.ServiceName;

/** Finds contradictory answers before a configuration is generated from them. */
final class ContradictionCheck {
  private final Answers answers;
  private final List<Contradiction> contradictions = new ArrayList<>();

  private ContradictionCheck(Answers answers) {
    this.answers = answers;
  }

  /**
   * Checks the zones, the spare pool and each service.
   *
   * @param answers the answers of a team
   * @return every contradiction, in the order of the answers
   */
  static ImmutableList<Contradiction> check(Answers answers) {
    ContradictionCheck check = new ContradictionCheck(answers);
    check.checkZones();
    check.checkSparePool();
    answers.services().values().forEach(check::checkService);
    return ImmutableList.copyOf(check.contradictions);
  }

  private void checkZones() {
    int distinct = ImmutableSet.copyOf(answers.availabilityZones()).size();
    if (distinct != answers.availabilityZones().size()) {
      add(
          Questions.AVAILABILITY_ZONES,
          "a zone is named twice: " + answers.availabilityZones(),
          "name each zone once");
    }
    if (distinct < 2) {
      add(
          Questions.AVAILABILITY_ZONES,
          "with one availability zone, its loss is the loss of every runner, and no budget below 1"
              + " can be met",
          "spread the runners over at least two zones, better three");
    }
  }

  private void checkSparePool() {
    if (!answers.services().containsKey(new ServiceName(answers.sparePool().value()))) {
      add(
          Questions.SPARE_POOL,
          "no service is named " + answers.sparePool() + ", so there is no such pool",
          "name one of " + answers.services().keySet());
    }
  }

  private void checkService(ServiceAnswers service) {
    checkRunners(service);
    checkLongestWait(service);
    checkLongWork(service);
    checkUnansweredShare(service);
  }

  private void checkRunners(ServiceAnswers service) {
    if (service.runnersAtLeast() > service.runnersAtMost()) {
      add(
          service,
          Questions.RUNNERS_AT_LEAST,
          service.runnersAtLeast() + " is more than runnersAtMost, " + service.runnersAtMost(),
          "lower it, or raise runnersAtMost");
    }
    if (service.runnersAtLeast() < answers.availabilityZones().size()) {
      add(
          service,
          Questions.RUNNERS_AT_LEAST,
          service.runnersAtLeast()
              + " runners cannot cover each of "
              + answers.availabilityZones().size()
              + " zones",
          "give at least one runner for each zone");
    }
    if (service.connectionsPerRunner() < service.slotsPerRunner()) {
      add(
          service,
          Questions.CONNECTIONS_PER_RUNNER,
          service.connectionsPerRunner()
              + " connections cannot fill "
              + service.slotsPerRunner()
              + " slots: a connection carries one request at a time",
          "allow at least as many connections as slots");
    }
  }

  private void checkLongestWait(ServiceAnswers service) {
    double network =
        answers.network().callerRoundTripMilliseconds()
            + answers.network().internalRoundTripMilliseconds(service.runningTwice());
    double needed = network + service.usualWorkMilliseconds();
    if (service.longestWaitMilliseconds() < needed) {
      add(
          service,
          Questions.LONGEST_WAIT,
          format(
              "a caller waits %d ms, but the network takes %.1f ms and the usual work %.1f ms",
              service.longestWaitMilliseconds(), network, service.usualWorkMilliseconds()),
          format("give %.0f ms or more, or make the work shorter", Math.ceil(needed)));
    }
  }

  private void checkLongWork(ServiceAnswers service) {
    if (service.longWorkMilliseconds() < service.usualWorkMilliseconds()) {
      add(
          service,
          Questions.LONG_WORK,
          "long work runs shorter than the usual work",
          "give the time of the longest requests, or repeat the usual time if none are longer");
    }
  }

  private void checkUnansweredShare(ServiceAnswers service) {
    int runners = service.runnersAtMost();
    ZoneLoss loss = new ZoneLoss(answers.availabilityZones().size());
    double unanswered = loss.unansweredShare(service, runners);
    if (unanswered > service.unansweredShare()) {
      add(
          service,
          Questions.UNANSWERED_SHARE,
          format(
              "with one zone lost %d of %d runners are left; they answer %.1f of %.1f requests a"
                  + " second, so a share of %.3f goes unanswered, more than %s",
              loss.runnersLeft(runners),
              runners,
              service.capacityPerSecond(loss.runnersLeft(runners)),
              service.requestsPerSecond(),
              unanswered,
              service.unansweredShare()),
          "allow more runners, make the work shorter, or accept a larger share");
    }
  }

  private void add(Question question, String reason, String fix) {
    contradictions.add(new Contradiction(question.key(), reason, fix));
  }

  private void add(ServiceAnswers service, Question question, String reason, String fix) {
    String key = Questions.SERVICES.key() + "." + service.name() + "." + question.key();
    contradictions.add(new Contradiction(key, reason, fix));
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
