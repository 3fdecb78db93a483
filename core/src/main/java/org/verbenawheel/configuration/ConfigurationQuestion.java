package org.verbenawheel.configuration;

import org.verbenawheel.peer.PeerMessage;

/**
 * Asks a control replica to confirm an entry's configuration or to give a newer one.
 *
 * @param version the version that the entry holds; 0 if none
 */
public record ConfigurationQuestion(long version) implements PeerMessage {}
