package org.verbenawheel.questionnaire;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintStream;

/**
 * Asks the questions at a terminal and returns the answers as the text of an answers file, so that
 * the same code parses and checks both sources.
 */
public final class TerminalQuestionnaire {
  private final BufferedReader input;
  private final PrintStream prompts;

  /**
   * Creates a questionnaire between the given streams.
   *
   * @param input the lines typed at the terminal
   * @param prompts the stream for the questions
   */
  public TerminalQuestionnaire(BufferedReader input, PrintStream prompts) {
    this.input = input;
    this.prompts = prompts;
  }

  /**
   * Asks every question; blocks until all are answered.
   *
   * @return the text of an answers file
   * @throws IOException if the input ends before the last answer or cannot be read
   */
  public String ask() throws IOException {
    StringBuilder answers = new StringBuilder();
    askAll(Questions.DEPLOYMENT_QUESTIONS, "", answers);
    String services = askOne(Questions.SERVICES);
    answers.append(Questions.SERVICES.key()).append(":\n");
    for (String service : Splitter.on(',').trimResults().omitEmptyStrings().split(services)) {
      prompts.println();
      prompts.println("Service " + service);
      answers.append("  ").append(service).append(":\n");
      askAll(Questions.SERVICE_QUESTIONS, "    ", answers);
    }
    return answers.toString();
  }

  private void askAll(ImmutableList<Question> questions, String indent, StringBuilder answers)
      throws IOException {
    for (Question question : questions) {
      String answer = askOne(question);
      answers
          .append(indent)
          .append(question.key())
          .append(": ")
          .append(question.kind().toYaml(answer))
          .append('\n');
    }
  }

  /** Repeats the question until the answer has the expected form. */
  private String askOne(Question question) throws IOException {
    while (true) {
      prompts.print(prompt(question));
      prompts.flush();
      String line = input.readLine();
      if (line == null) {
        throw new EOFException("the input ended before the question: " + question.text());
      }
      String answer = line.isBlank() ? question.suggestion() : line.strip();
      if (question.kind().accepts(answer)) {
        return answer;
      }
      prompts.println("  found '" + answer + "'; expected " + question.kind().expected());
    }
  }

  private static String prompt(Question question) {
    return question.suggestion().isEmpty()
        ? question.text() + " "
        : question.text() + " [" + question.suggestion() + "] ";
  }
}
