package org.verbenawheel.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class SettingsReferenceTest {
  private static final Path PAGE = Path.of("../docs/operate/settings-reference.md");

  @Test
  void pageMatchesDefinitions() throws IOException {
    assertThat(Files.readString(PAGE)).isEqualTo(SettingsReference.page());
  }

  @Test
  void everyEntryDescriptionIsASentence() {
    for (SettingDefinition definition : EntrySettingDefinitions.ALL) {
      assertThat(definition.description()).endsWith(".");
    }
  }
}
