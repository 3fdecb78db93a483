package org.verbenawheel.examples;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.supervision.PartFailedException;

final class EmbeddedClaimsTest {
  @Test
  void grantsTheKeyToTheFirstRequestOnly(@TempDir Path folder) throws PartFailedException {
    var outcomes = EmbeddedClaims.claimTwice(folder);
    assertThat(outcomes.get(0)).isInstanceOf(ClaimOutcome.Granted.class);
    assertThat(outcomes.get(1)).isInstanceOf(ClaimOutcome.Held.class);
  }
}
