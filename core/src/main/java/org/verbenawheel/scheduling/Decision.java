package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.job.JobCommands.RunStart;

/**
 * The result of one scheduling round.
 *
 * @param starts the runs to start
 * @param shortages for each pool the processor time, in thousandths of a core, of the waiting tasks
 *     that found no free worker; jobs that are too late to be of use count nothing
 */
public record Decision(ImmutableList<RunStart> starts, ImmutableMap<String, Long> shortages) {}
