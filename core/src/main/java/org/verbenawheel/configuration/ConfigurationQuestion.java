package org.verbenawheel.configuration;

import org.verbenawheel.peer.PeerMessage;

/**
 * An entry's request that a control replica confirm its configuration or send a newer one.
 *
 * @param version the version that the entry holds; 0 if it holds none
 */
public record ConfigurationQuestion(long version) implements PeerMessage {}
