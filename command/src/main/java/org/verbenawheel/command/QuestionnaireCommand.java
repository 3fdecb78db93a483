package org.verbenawheel.command;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.questionnaire.AnswersReader;
import org.verbenawheel.questionnaire.ConfigurationGenerator;
import org.verbenawheel.questionnaire.ContradictionException;
import org.verbenawheel.questionnaire.DerivedNumber;
import org.verbenawheel.questionnaire.GeneratedConfiguration;
import org.verbenawheel.questionnaire.TerminalQuestionnaire;

/**
 * Generates a configuration from answers, shows the reason for each number and, with {@code
 * --apply}, applies it.
 */
final class QuestionnaireCommand implements Command {
  private static final String ANSWERS = "answers";
  private static final String SAVE_ANSWERS = "save-answers";
  private static final String WRITE = "write";
  private static final String APPLY = "apply";
  private static final String EXPECTED_VERSION = "expected-version";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "questionnaire",
        "Generates a configuration from answers, with the reason for each number.",
        new Options()
            .addOption(
                GlobalOptions.optionWithValue(
                    ANSWERS,
                    "file",
                    "answers file; without it the questions are asked at the terminal"))
            .addOption(
                GlobalOptions.optionWithValue(
                    SAVE_ANSWERS,
                    "file",
                    "file to save the answers given at the terminal to, for later use"))
            .addOption(
                GlobalOptions.optionWithValue(
                    WRITE, "file", "file to write the configuration to, as YAML"))
            .addOption(Option.builder().longOpt(APPLY).desc("applies the configuration").get())
            .addOption(
                GlobalOptions.optionWithValue(
                    EXPECTED_VERSION,
                    "version",
                    "with --apply: the version that it replaces; default: 0, for the first"
                        + " configuration")));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    GeneratedConfiguration generated = generate(readAnswers(context));
    Optional<String> file = context.option(WRITE);
    if (file.isPresent()) {
      write(file.get(), ConfigurationDocuments.write(generated.configuration()));
    }
    if (!context.hasOption(APPLY)) {
      context.output().result(table(generated), generated);
      return;
    }
    context.output().note(table(generated).toString());
    long expectedVersion = context.numberOption(EXPECTED_VERSION, 0, Long.MAX_VALUE).orElse(0L);
    ConfigurationChanges.apply(context, expectedVersion, generated.configuration());
  }

  private static Document readAnswers(CommandContext context) throws CommandFailedException {
    Optional<String> file = context.option(ANSWERS);
    try {
      return file.isPresent()
          ? DocumentReader.readFile(Path.of(file.get()))
          : DocumentReader.read("answers", ask(context).getBytes(UTF_8));
    } catch (DocumentException invalid) {
      throw badAnswers(invalid);
    }
  }

  private static String ask(CommandContext context) throws CommandFailedException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(context.input(), UTF_8));
    try {
      String answers = new TerminalQuestionnaire(reader, context.output().promptStream()).ask();
      Optional<String> file = context.option(SAVE_ANSWERS);
      if (file.isPresent()) {
        write(file.get(), answers);
      }
      return answers;
    } catch (IOException unreadable) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          String.valueOf(unreadable.getMessage()),
          "answer every question, or give --answers with a file");
    }
  }

  private static GeneratedConfiguration generate(Document answers) throws CommandFailedException {
    try {
      return ConfigurationGenerator.generate(AnswersReader.read(answers));
    } catch (DocumentException invalid) {
      throw badAnswers(invalid);
    } catch (ContradictionException contradictory) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          "the answers contradict one another:\n" + contradictory.getMessage(),
          "change the answers as suggested after each contradiction");
    }
  }

  private static CommandFailedException badAnswers(DocumentException invalid) {
    return new CommandFailedException(
        ExitCode.BAD_INPUT, String.valueOf(invalid.getMessage()), "correct these answers");
  }

  private static void write(String file, String text) throws CommandFailedException {
    try {
      Files.writeString(Path.of(file), text);
    } catch (IOException unwritable) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT, "cannot write the file: " + unwritable, "give a writable file");
    }
  }

  private static Table table(GeneratedConfiguration generated) {
    Table table = new Table("key", "value", "reason");
    for (DerivedNumber number : generated.numbers()) {
      table.add(number.key(), number.value(), number.reason());
    }
    return table;
  }
}
