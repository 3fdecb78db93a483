package org.verbenawheel.event;

import java.util.Locale;

/** The events that processes log. The name in the log is the constant's name in lower case. */
public enum Event {
  /** A supervised part started. */
  PART_STARTED,
  /** A supervised part stopped. */
  PART_STOPPED,
  /** A supervised part failed and is restarted if the limit allows. */
  PART_FAILED,
  /** A process is ready to serve. */
  PROCESS_READY,
  /** A process began a graceful stop. */
  PROCESS_DRAINING,
  /** A process stopped. */
  PROCESS_STOPPED,

  /** A caller's request got a response from an endpoint. */
  REQUEST_ANSWERED,
  /** A caller's request was refused. */
  REQUEST_REFUSED,
  /** One attempt to send a request to an endpoint failed. */
  ATTEMPT_FAILED,

  /** A connection to another process opened. */
  PEER_CONNECTED,
  /** A connection to another process ended, or was closed because it went silent. */
  PEER_DISCONNECTED,
  /** A peer sent bytes that are not a valid message. */
  PEER_MESSAGE_MALFORMED,
  /** A handshake was refused, for example because of a wrong shared secret. */
  PEER_REFUSED,
  /** A message handler threw an exception. */
  PEER_HANDLER_FAILED,

  /** An endpoint joined the membership. */
  ENDPOINT_JOINED,
  /** An endpoint announced that it leaves. */
  ENDPOINT_LEFT,
  /** An endpoint's lease expired without such an announcement. */
  ENDPOINT_EXPIRED,

  /** A replica became leader. */
  LEADER_ELECTED,
  /** A replica took a role other than leader, or learned of a new leader. */
  REPLICA_ROLE,
  /** A leader gave up leadership. */
  LEADER_STEPPED_DOWN,
  /** A replica wrote a snapshot and truncated its log. */
  SNAPSHOT_WRITTEN,
  /** A replica recovered its state from disk. */
  REPLICA_RECOVERED,
  /** The disk of a replica fails, for example because it is full; it is opened again later. */
  STORAGE_UNAVAILABLE,
  /** A replica replaced its state by a snapshot from the leader. */
  SNAPSHOT_INSTALLED,
  /** A replica receives no message from a leader and asks to be taken in again. */
  REPLICA_REINTRODUCED,
  /** A leader decided to add, promote or remove a member of the replica cluster. */
  MEMBER_CHANGE_DECIDED,
  /** The member set of the replica cluster changed. */
  MEMBERS_CHANGED,
  /** A part of the replicated state threw an unchecked exception when it applied a command. */
  COMMAND_FAULTED,
  /** A command of the leader's own was not committed, or is not known to be. */
  COMMAND_NOT_COMMITTED,

  /** A configuration version took effect in this process. */
  CONFIGURATION_IN_FORCE,
  /** This process has not confirmed its configuration for longer than the freshness limit. */
  CONFIGURATION_STALE,

  /** A host completed a phase of a move, a reboot or a power change, or is delayed in one. */
  HOST_ACTIVITY_PHASE,
  /** A command for a host was refused or got no reply. */
  HOST_COMMAND_REFUSED,
  /** The platform sent no usage report; decisions use the last one received. */
  USAGE_REPORT_MISSING,
  /** The capacity controller changed how many hosts are powered. */
  CAPACITY_DECIDED,
  /** A maintenance wave changed state. */
  MAINTENANCE_WAVE,
  /** A job was placed, refused or moved. */
  JOB_PLACED,

  /** A caller's job was stored. */
  JOB_ACCEPTED,
  /** A call to a queue was refused. */
  QUEUE_CALL_REFUSED,
  /** A caller cancelled a job. */
  JOB_CANCELLED,
  /** A job ended. */
  JOB_ENDED,
  /** A scheduling round held the state thread for long. */
  SCHEDULING_SLOW,
  /** A task waited long for the state thread, and so did all calls queued beside it. */
  STATE_THREAD_DELAYED,
  /** A run of a task was assigned to a worker. */
  RUN_BOUND,
  /** A run of a task ended. */
  RUN_ENDED,
  /** A run of a task was taken to have ended although its worker listed no end of it. */
  RUN_RELEASED,
  /** A task was slowed down or sped up, for the sake of other tasks on its worker. */
  RUN_PACED,
  /** A task made no progress on its worker and is stopped there. */
  RUN_STALLED,
  /** An order to a worker was refused, or its outcome is unknown. */
  WORKER_ORDER_FAILED,
  /** A worker joined, restarted or changed the properties that it reports. */
  WORKER_RECORDED,
  /** A worker left and is removed from the registry. */
  WORKER_FORGOTTEN,
  /** Another incarnation of a worker answered than the one that a call was meant for. */
  WORKER_INCARNATION,
  /** A worker stopped responding. */
  WORKER_LOST,
  /** A worker responds again, or for the first time since this leader's election. */
  WORKER_REACHED,
  /** A worker has received no tasks for a long time, all the while for one reason. */
  WORKER_UNSCHEDULABLE,
  /** A worker temporarily receives no tasks because too many failed there. */
  WORKER_QUARANTINED,
  /** The placement adviser returned the workers that may run a step, or gave no answer. */
  PLACEMENT_ADVISED,
  /** This process started or stopped controlling the workers. */
  FLEET_COMMAND,
  /** Log lines were dropped: their budget was used up, or standard output stalled. */
  LOG_LINES_DROPPED,
  /** An operator's configuration change was acknowledged or failed. */
  CONFIGURATION_ANSWERED,
  /** The settings were reloaded. */
  SETTINGS_RELOADED,
  /** A message from outside the system could not be decoded. */
  MESSAGE_REJECTED;

  /** Returns the name that log lines show. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
