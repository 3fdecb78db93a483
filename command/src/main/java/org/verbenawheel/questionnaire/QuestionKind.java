package org.verbenawheel.questionnaire;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import java.util.Arrays;
import java.util.List;
import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.identity.Names;

/** The expected form of an answer typed at a terminal. */
enum QuestionKind {
  /** One name. */
  NAME("a name of letters, digits and . _ : -") {
    @Override
    boolean accepts(String answer) {
      return isName(answer);
    }
  },
  /** Names separated by commas. */
  NAMES("names separated by commas") {
    @Override
    boolean accepts(String answer) {
      List<String> names = NAME_LIST.splitToList(answer);
      return !names.isEmpty() && names.stream().allMatch(QuestionKind::isName);
    }

    @Override
    String toYaml(String answer) {
      return NAME_LIST.splitToList(answer).toString();
    }
  },
  /** A number of 0 or more. */
  NUMBER("a number of 0 or more") {
    @Override
    boolean accepts(String answer) {
      return isNumber(answer) && Double.parseDouble(answer) >= 0;
    }
  },
  /** A whole number of 1 or more. */
  COUNT("a whole number of 1 or more") {
    @Override
    boolean accepts(String answer) {
      return answer.matches("[1-9][0-9]{0,8}");
    }
  },
  /** Whether a person waits for the result. */
  WORK_CLASS("INTERACTIVE or BATCH") {
    @Override
    boolean accepts(String answer) {
      return isOneOf(answer, WorkClass.values());
    }
  },
  /** Whether running the same request twice is harmful. */
  RUNNING_TWICE("HARMLESS or HARMFUL") {
    @Override
    boolean accepts(String answer) {
      return isOneOf(answer, RunningTwice.values());
    }
  };

  private static final Splitter NAME_LIST = Splitter.on(',').trimResults().omitEmptyStrings();

  private final String expected;

  QuestionKind(String expected) {
    this.expected = expected;
  }

  /** Returns the description of the form for error messages. */
  String expected() {
    return expected;
  }

  /**
   * Returns whether an answer has this form.
   *
   * @param answer what was typed, without surrounding spaces
   */
  abstract boolean accepts(String answer);

  /**
   * Returns the answer as a value of an answers file.
   *
   * @param answer an answer that this kind accepts
   */
  String toYaml(String answer) {
    return answer;
  }

  private static boolean isName(String text) {
    try {
      return !Names.requireName("name", text).isEmpty();
    } catch (IllegalArgumentException invalidName) {
      return false;
    }
  }

  private static boolean isNumber(String text) {
    return text.matches("[0-9]{1,12}(\\.[0-9]{1,9})?");
  }

  private static boolean isOneOf(String text, Enum<?>[] constants) {
    return Arrays.stream(constants)
        .anyMatch(constant -> Ascii.equalsIgnoreCase(constant.name(), text));
  }
}
