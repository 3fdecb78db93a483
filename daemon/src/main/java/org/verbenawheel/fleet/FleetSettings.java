package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.OptionalLong;
import org.verbenawheel.execution.ExecutionTimings;
import org.verbenawheel.execution.MoveTimings;
import org.verbenawheel.execution.WaveTimings;
import org.verbenawheel.identity.ProcessId;

/**
 * The settings of a control or entry process of a fleet deployment. A process id is the address
 * that its peers connect to.
 *
 * @param process the id of this process
 * @param seeds control processes to contact first; they return the full membership
 * @param mayFound whether this process may found the cluster, on the deployment's first start
 * @param maximumVoters the maximum number of control processes that vote
 * @param sharedSecret authenticates the processes of the deployment to each other
 * @param execution timings of the orders to workers
 * @param waves timings of maintenance waves
 * @param moves timings of host moves
 * @param jobRetention how long the outcome of an ended job is kept
 * @param diskBytes the size of the disk that holds the data folder, in bytes; empty if unknown
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
    Duration jobRetention,
    OptionalLong diskBytes) {}
