package org.verbenawheel.gateway;

import org.verbenawheel.host.HostOrderCommands;
import org.verbenawheel.job.JobCommands;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.queue.ConfigurationInstalled;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.wave.WaveCommands;
import org.verbenawheel.worker.WorkerCommands;

/**
 * Registers the wire numbers of the messages and commands on jobs, workers, queues, waves and host
 * orders.
 */
public final class GatewayMessages {
  /** All message kinds of these topics, numbered from 600. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(600, QueueCall.class)
          .add(601, QueueAnswer.class)
          .add(610, JobCommands.AcceptJob.class)
          .add(611, JobCommands.CancelJob.class)
          .add(612, JobCommands.RecordStarts.class)
          .add(613, JobCommands.RecordEnds.class)
          .add(614, JobCommands.JobReply.class)
          .add(615, JobCommands.RunsRecorded.class)
          .add(616, JobCommands.CancellationRefused.class)
          .add(620, WorkerCommands.RecordWorker.class)
          .add(621, WorkerCommands.ForgetWorker.class)
          .add(622, WorkerCommands.WorkersChanged.class)
          .add(623, WorkerCommands.EndWorker.class)
          .add(630, InstallConfiguration.class)
          .add(631, ConfigurationInstalled.class)
          .add(640, WaveCommands.StartWave.class)
          .add(641, WaveCommands.RecordUpkeep.class)
          .add(642, WaveCommands.WavesChanged.class)
          .add(650, HostOrderCommands.RecordHostOrder.class)
          .add(651, HostOrderCommands.HostOrderRecorded.class)
          .build();

  private GatewayMessages() {}
}
