package org.verbenawheel.configuration;

/**
 * An accepted configuration with its version.
 *
 * @param version 0 before the first configuration is accepted; each accepted change adds one
 * @param configuration the configuration with that version
 */
public record VersionedConfiguration(long version, Configuration configuration) {
  /** The empty configuration before the first one is accepted. */
  public static final VersionedConfiguration NONE =
      new VersionedConfiguration(0, Configuration.EMPTY);
}
