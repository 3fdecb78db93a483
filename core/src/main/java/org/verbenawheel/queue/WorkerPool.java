package org.verbenawheel.queue;

/**
 * A pool of workers.
 *
 * @param name the pool's name
 * @param standby whether its hosts are off, and cost nothing, until they are moved
 * @param checksRoom whether its workers refuse tasks that do not fit
 */
public record WorkerPool(String name, boolean standby, boolean checksRoom) {}
