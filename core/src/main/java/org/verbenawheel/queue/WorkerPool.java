package org.verbenawheel.queue;

/**
 * A named group of hosts and the workers on them, which runs the tasks of some queues.
 *
 * @param name the pool's name
 * @param standby whether its hosts are off, and cost nothing, until they are moved to another pool
 * @param checksRoom whether its workers reject tasks that exceed their free capacity
 */
public record WorkerPool(String name, boolean standby, boolean checksRoom) {}
