package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.job.JobCommands.RunStart;

/**
 * The result of one scheduling round.
 *
 * @param starts the runs to start
 * @param shortages for each pool the processor time, in thousandths of a core, of the waiting tasks
 *     that found no worker; tasks that no worker of the pool could run even when idle, and jobs
 *     that are too late to be of use, are left out
 */
public record SchedulingResult(
    ImmutableList<RunStart> starts, ImmutableMap<String, Long> shortages) {}
