package org.verbenawheel.configuration;

/** Whether a person waits for a service's answers. */
public enum WorkClass {
  /** A person waits for each answer: short work must not queue behind long work. */
  INTERACTIVE,
  /** Nobody waits for single answers: the work must finish by the next morning. */
  BATCH
}
