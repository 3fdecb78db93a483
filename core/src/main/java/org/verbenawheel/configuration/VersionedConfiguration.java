package org.verbenawheel.configuration;

/**
 * An accepted configuration with its version.
 *
 * @param version 0 before the first is accepted; grows by one with each accepted change
 * @param configuration the configuration
 */
public record VersionedConfiguration(long version, Configuration configuration) {
  /** What is in force before the first configuration is accepted. */
  public static final VersionedConfiguration NONE =
      new VersionedConfiguration(0, Configuration.EMPTY);
}
