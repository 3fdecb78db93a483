package org.verbenawheel.configuration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;

/**
 * Answers the entries' questions on a control replica. It reads the state only after the authority
 * has confirmed it, so each answer covers every configuration accepted before the question arrived.
 */
public final class ConfigurationService implements PeerHandler {
  private final ConfigurationAuthority authority;
  private final Supplier<ConfigurationHistory> history;

  /**
   * Creates a service.
   *
   * @param authority confirms that the state of this replica is current
   * @param history returns this replica's state, usually {@link ConfigurationState#history}
   */
  public ConfigurationService(
      ConfigurationAuthority authority, Supplier<ConfigurationHistory> history) {
    this.authority = authority;
    this.history = history;
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    // Configuration messages are always requests; there are none without a reply.
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
   * Returns the smallest answer that brings an entry up to date.
   *
   * @param question the question, with the version that the entry holds
   * @param history the state, confirmed after the question arrived
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
