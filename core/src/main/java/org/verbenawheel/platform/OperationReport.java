package org.verbenawheel.platform;

/**
 * The platform's report on an operation.
 *
 * @param id the operation
 * @param progress its progress
 * @param detail one sentence for operators; empty if there is nothing to add
 */
public record OperationReport(OperationId id, OperationProgress progress, String detail) {}
