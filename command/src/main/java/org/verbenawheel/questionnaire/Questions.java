package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;

/** All questions, in the order in which they are asked at a terminal. */
final class Questions {
  static final Question DEPLOYMENT =
      new Question("deployment", "What is the deployment called?", "", QuestionKind.NAME);

  static final Question AVAILABILITY_ZONES =
      new Question(
          "availabilityZones",
          "Which availability zones are its hosts in?",
          "",
          QuestionKind.NAMES);

  static final Question SPARE_POOL =
      new Question(
          "sparePool",
          "Which pool's hosts are in reserve? It has the name of its service.",
          "",
          QuestionKind.NAME);

  static final Question BETWEEN_ZONES =
      new Question(
          "betweenZonesMilliseconds",
          "How many milliseconds does the network take one way between zones?",
          "1",
          QuestionKind.NUMBER);

  static final Question TO_CALLERS =
      new Question(
          "toCallersMilliseconds",
          "How many milliseconds does the network take one way to the callers?",
          "3",
          QuestionKind.NUMBER);

  static final Question SERVICES =
      new Question("services", "Which services are there?", "", QuestionKind.NAMES);

  static final Question WORK_CLASS =
      new Question(
          "workClass",
          "Does a person wait for the answer (INTERACTIVE), or must it be done by the morning"
              + " (BATCH)?",
          "INTERACTIVE",
          QuestionKind.WORK_CLASS);

  static final Question RUNNING_TWICE =
      new Question(
          "runningTwice",
          "Is running the same request twice HARMLESS or HARMFUL?",
          "HARMFUL",
          QuestionKind.RUNNING_TWICE);

  static final Question UNANSWERED_SHARE =
      new Question(
          "unansweredShare",
          "Which share of requests may go unanswered? 0.001 is one in a thousand.",
          "0.001",
          QuestionKind.NUMBER);

  static final Question LONGEST_WAIT =
      new Question(
          "longestWaitMilliseconds",
          "How many milliseconds does a caller wait at most?",
          "5000",
          QuestionKind.COUNT);

  static final Question REQUESTS_PER_SECOND =
      new Question(
          "requestsPerSecond",
          "How many requests arrive per second on average?",
          "",
          QuestionKind.NUMBER);

  static final Question PEAK_FACTOR =
      new Question(
          "peakFactor", "How many times the average load is a peak?", "5", QuestionKind.NUMBER);

  static final Question PEAK_SECONDS =
      new Question("peakSeconds", "How many seconds does a peak last?", "5", QuestionKind.NUMBER);

  static final Question USUAL_WORK =
      new Question(
          "usualWorkMilliseconds",
          "How many milliseconds does a usual request run?",
          "",
          QuestionKind.NUMBER);

  static final Question LONG_WORK =
      new Question(
          "longWorkMilliseconds",
          "How many milliseconds does a long request run?",
          "",
          QuestionKind.NUMBER);

  static final Question LONG_WORK_SHARE =
      new Question(
          "longWorkShare",
          "Which share of requests is long? 0.01 is one in a hundred.",
          "0.01",
          QuestionKind.NUMBER);

  static final Question RUNNERS_AT_LEAST =
      new Question(
          "runnersAtLeast", "How many runners does it have at least?", "6", QuestionKind.COUNT);

  static final Question RUNNERS_AT_MOST =
      new Question(
          "runnersAtMost", "How many runners does it have at most?", "9", QuestionKind.COUNT);

  static final Question SLOTS_PER_RUNNER =
      new Question(
          "slotsPerRunner",
          "How many requests does a runner run at once?",
          "8",
          QuestionKind.COUNT);

  static final Question CONNECTIONS_PER_RUNNER =
      new Question(
          "connectionsPerRunner",
          "How many connections does a runner accept?",
          "64",
          QuestionKind.COUNT);

  /** The questions asked once for the deployment. */
  static final ImmutableList<Question> DEPLOYMENT_QUESTIONS =
      ImmutableList.of(DEPLOYMENT, AVAILABILITY_ZONES, SPARE_POOL, BETWEEN_ZONES, TO_CALLERS);

  /** The questions asked for each service. */
  static final ImmutableList<Question> SERVICE_QUESTIONS =
      ImmutableList.of(
          WORK_CLASS,
          RUNNING_TWICE,
          UNANSWERED_SHARE,
          LONGEST_WAIT,
          REQUESTS_PER_SECOND,
          PEAK_FACTOR,
          PEAK_SECONDS,
          USUAL_WORK,
          LONG_WORK,
          LONG_WORK_SHARE,
          RUNNERS_AT_LEAST,
          RUNNERS_AT_MOST,
          SLOTS_PER_RUNNER,
          CONNECTIONS_PER_RUNNER);

  private Questions() {}
}
