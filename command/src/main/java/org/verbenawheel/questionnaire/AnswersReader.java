package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Range;
import java.util.Map;
import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentFields;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/** Reads an answers file. Every question must be answered; there are no default values. */
public final class AnswersReader {
  private static final Range<Double> OPEN_SHARE = Range.open(0.0, 1.0);
  private static final Range<Double> SHARE = Range.closedOpen(0.0, 1.0);
  private static final Range<Double> MILLISECONDS = Range.closed(0.001, 86_400_000.0);
  private static final Range<Double> ONE_WAY_MILLISECONDS = Range.closed(0.0, 10_000.0);
  private static final Range<Double> PER_SECOND = Range.closed(0.0, 1_000_000.0);
  private static final Range<Double> FACTOR = Range.closed(1.0, 1_000.0);
  private static final Range<Integer> COUNT = Range.closed(1, 10_000);
  private static final Range<Long> WAIT_MILLISECONDS = Range.closed(1L, 86_400_000L);

  private AnswersReader() {}

  /**
   * Converts a document to answers and checks the range of each number.
   *
   * @param document the answers file
   * @throws DocumentException listing every problem of the file
   */
  public static Answers read(Document document) throws DocumentException {
    DocumentFields fields = DocumentFields.of(document);
    String deployment = fields.text(Questions.DEPLOYMENT.key());
    ImmutableList<AvailabilityZone> zones = readZones(fields);
    PoolName sparePool = fields.name(Questions.SPARE_POOL.key(), PoolName::new, new PoolName("-"));
    NetworkAnswers network =
        new NetworkAnswers(
            number(fields, Questions.BETWEEN_ZONES, ONE_WAY_MILLISECONDS),
            number(fields, Questions.TO_CALLERS, ONE_WAY_MILLISECONDS));
    ImmutableMap<ServiceName, ServiceAnswers> services = readServices(fields);
    fields.refuseUnknownKeys();
    fields.throwIfAny();
    return new Answers(deployment, zones, sparePool, network, services);
  }

  private static ImmutableList<AvailabilityZone> readZones(DocumentFields fields) {
    ImmutableList.Builder<AvailabilityZone> zones = ImmutableList.builder();
    String key = Questions.AVAILABILITY_ZONES.key();
    for (String zone : fields.texts(key)) {
      try {
        zones.add(new AvailabilityZone(zone));
      } catch (IllegalArgumentException invalidName) {
        fields.add(key, zone, QuestionKind.NAME.expected());
      }
    }
    return zones.build();
  }

  private static ImmutableMap<ServiceName, ServiceAnswers> readServices(DocumentFields fields) {
    ImmutableMap.Builder<ServiceName, ServiceAnswers> services = ImmutableMap.builder();
    String key = Questions.SERVICES.key();
    for (Map.Entry<String, DocumentFields> entry : fields.maps(key).entrySet()) {
      try {
        ServiceName name = new ServiceName(entry.getKey());
        services.put(name, readService(name, entry.getValue()));
      } catch (IllegalArgumentException invalidName) {
        fields.add(key, entry.getKey(), QuestionKind.NAME.expected());
      }
    }
    return services.buildKeepingLast();
  }

  private static ServiceAnswers readService(ServiceName name, DocumentFields fields) {
    ServiceAnswers answers =
        new ServiceAnswers(
            name,
            fields.choice(Questions.WORK_CLASS.key(), WorkClass.class, null),
            fields.choice(Questions.RUNNING_TWICE.key(), RunningTwice.class, null),
            number(fields, Questions.UNANSWERED_SHARE, OPEN_SHARE),
            longestWait(fields),
            number(fields, Questions.REQUESTS_PER_SECOND, PER_SECOND),
            number(fields, Questions.PEAK_FACTOR, FACTOR),
            number(fields, Questions.PEAK_SECONDS, PER_SECOND),
            number(fields, Questions.USUAL_WORK, MILLISECONDS),
            number(fields, Questions.LONG_WORK, MILLISECONDS),
            number(fields, Questions.LONG_WORK_SHARE, SHARE),
            count(fields, Questions.RUNNERS_AT_LEAST),
            count(fields, Questions.RUNNERS_AT_MOST),
            count(fields, Questions.SLOTS_PER_RUNNER),
            count(fields, Questions.CONNECTIONS_PER_RUNNER));
    fields.refuseUnknownKeys();
    return answers;
  }

  private static long longestWait(DocumentFields fields) {
    String key = Questions.LONGEST_WAIT.key();
    long milliseconds = fields.longNumber(key, null);
    requireInRange(fields, key, WAIT_MILLISECONDS, milliseconds);
    return milliseconds;
  }

  private static double number(DocumentFields fields, Question question, Range<Double> range) {
    double number = fields.number(question.key(), null);
    requireInRange(fields, question.key(), range, number);
    return number;
  }

  private static int count(DocumentFields fields, Question question) {
    int count = fields.wholeNumber(question.key(), null);
    requireInRange(fields, question.key(), COUNT, count);
    return count;
  }

  private static <N extends Comparable<N>> void requireInRange(
      DocumentFields fields, String key, Range<N> range, N number) {
    if (fields.isSound(key) && !range.contains(number)) {
      fields.add(key, number.toString(), "a number in " + range);
    }
  }
}
