package org.verbenawheel.configuration;

/** Says who waits for a service's answers. */
public enum WorkClass {
  /** A person waits: short work must not wait behind long work. */
  INTERACTIVE,
  /** Nobody waits at a desk: the work must finish by the morning. */
  BATCH
}
