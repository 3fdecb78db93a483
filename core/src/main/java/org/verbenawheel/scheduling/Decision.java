package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.job.JobCommands.RunStart;

/**
 * What one round of scheduling decided.
 *
 * @param starts the runs to start
 * @param shortages for each pool the processor time, in thousandths of a core, that waiting tasks
 *     of jobs that can still earn something did not get
 */
public record Decision(ImmutableList<RunStart> starts, ImmutableMap<String, Long> shortages) {}
