package org.verbenawheel.configuration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;

/**
 * Answers the entries' questions on a control replica. It reads its state only after the authority
 * confirmed it, so that each answer holds every configuration accepted before the question came.
 */
public final class ConfigurationService implements PeerHandler {
  private final ConfigurationAuthority authority;
  private final Supplier<ConfigurationHistory> history;

  /**
   * Makes a service.
   *
   * @param authority confirms that the state is current
   * @param history reads the state, usually {@link ConfigurationState#history}
   */
  public ConfigurationService(
      ConfigurationAuthority authority, Supplier<ConfigurationHistory> history) {
    this.authority = authority;
    this.history = history;
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    // This topic has no message without a reply.
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (!(message instanceof ConfigurationQuestion question)) {
      return Optional.empty();
    }
    return Optional.of(
        authority
            .confirm()
            .handle((confirmed, failure) -> failure == null ? answer(question) : notConfirmed()));
  }

  private PeerMessage notConfirmed() {
    return new ConfigurationAnswer.NotConfirmed(authority.leader());
  }

  private PeerMessage answer(ConfigurationQuestion question) {
    return answer(question, history.get());
  }

  /**
   * Chooses the shortest answer to a question from a state that was confirmed after it came.
   *
   * @param question what an entry holds
   * @param history the confirmed state
   */
  static ConfigurationAnswer answer(ConfigurationQuestion question, ConfigurationHistory history) {
    VersionedConfiguration current = history.current();
    if (question.version() == current.version()) {
      return new ConfigurationAnswer.Unchanged(current.version());
    }
    return history
        .changesSince(question.version())
        .<ConfigurationAnswer>map(ConfigurationAnswer.Changed::new)
        .orElseGet(() -> new ConfigurationAnswer.Whole(current));
  }
}
