package org.verbenawheel.command;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class QuestionnaireCommandTest extends CommandLineTestCase {
  @Test
  void generatesAndAppliesAConfigurationFromAnswers() throws IOException {
    assertThat(run("questionnaire", "--answers", "../deployments/derwent.yaml", "--apply"))
        .isEqualTo(ExitCode.DONE);
    assertThat(output()).contains("configuration accepted as version 1");
    assertThat(errors()).contains("the caller waits 3000 ms");
    assertThat(run("questionnaire", "--answers", "../deployments/derwent.yaml", "--apply"))
        .isEqualTo(ExitCode.REFUSED);
    assertThat(errors()).contains("version 1");
    Path written = folder.resolve("generated.yaml");
    run("questionnaire", "--answers", "../deployments/entregafoto.yaml", "--write", "" + written);
    run("configuration", "diff", written.toString());
    assertThat(output()).contains("deployment: derwent -> entregafoto");
  }

  @Test
  void asksAgainAfterAnInvalidAnswerAndFailsWhenTheInputEnds() {
    typedInput =
        String.join(
            "\n",
            ImmutableList.of(
                "derwent",
                "north side",
                "tamar, midlands",
                "hub",
                "",
                "",
                "hub",
                "BATCH",
                "",
                "",
                "",
                "10",
                "",
                "",
                "100",
                "200",
                "",
                "",
                "",
                "",
                "",
                ""));
    assertThat(run("questionnaire")).isEqualTo(ExitCode.DONE);
    assertThat(errors()).contains("found 'north side'; expected names");
    assertThat(output()).contains("pools.hub.minimumHosts");
    typedInput = "derwent\n";
    assertThat(run("questionnaire")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(errors()).contains("the input ended");
  }

  @Test
  void refusesContradictoryAnswers() throws IOException {
    String answers = Files.readString(Path.of("../deployments/derwent.yaml"));
    Path contradictory =
        Files.writeString(
            folder.resolve("answers.yaml"),
            answers.replace("[tamar, derwent, midlands]", "[tamar]"));
    assertThat(run("questionnaire", "--answers", contradictory.toString()))
        .isEqualTo(ExitCode.BAD_INPUT);
    assertThat(errors()).contains("its loss is the loss of every runner");
  }
}
