package org.verbenawheel.platform;

/**
 * What the platform says of an operation.
 *
 * @param id the operation
 * @param progress how far it has come
 * @param detail one sentence for people; empty if there is nothing to say
 */
public record OperationReport(OperationId id, OperationProgress progress, String detail) {}
