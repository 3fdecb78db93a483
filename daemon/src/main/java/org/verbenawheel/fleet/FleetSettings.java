package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.verbenawheel.execution.ExecutionTimings;
import org.verbenawheel.execution.MoveTimings;
import org.verbenawheel.execution.WaveTimings;
import org.verbenawheel.identity.ProcessId;

/**
 * What a process of a fleet deployment is told. Processes are named by their peer addresses.
 *
 * @param process this process, named by the address that its peers connect to
 * @param seeds some control processes, to learn the others from
 * @param mayFound whether the deployment starts for the first time
 * @param maximumVoters how many control processes vote at most
 * @param sharedSecret the text that all processes of the deployment share
 * @param execution how workers are commanded
 * @param waves how maintenance waves are timed
 * @param moves how moves of hosts are timed
 * @param jobRetention how long the outcome of an ended job is kept
 */
public record FleetSettings(
    ProcessId process,
    ImmutableSet<ProcessId> seeds,
    boolean mayFound,
    int maximumVoters,
    String sharedSecret,
    ExecutionTimings execution,
    WaveTimings waves,
    MoveTimings moves,
    Duration jobRetention) {}
