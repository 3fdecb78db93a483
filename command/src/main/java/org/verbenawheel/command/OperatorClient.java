package org.verbenawheel.command;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.micronaut.http.HttpMethod;
import java.net.URLEncoder;
import java.time.Duration;
import java.util.Optional;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.ConfigurationChange;
import org.verbenawheel.configuration.ConfigurationRequest;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.operator.JobDetails;
import org.verbenawheel.operator.JobReport;
import org.verbenawheel.operator.MaintenanceReport;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.operator.PoolReport;
import org.verbenawheel.operator.StatusReport;
import org.verbenawheel.operator.WorkerReport;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.replication.ReplicaStatus;

/**
 * Calls the operators' HTTP API. A call is repeated at the listed control processes until one
 * accepts it or the timeout passes; a command keeps its identity over all attempts, so it is
 * applied at most once. Blocks the calling thread. Not thread-safe.
 */
public final class OperatorClient implements AutoCloseable {
  private static final ObjectMapper MAPPER = MessageCodec.jsonMapper();

  private static final TypeReference<StatusReport> STATUS = new TypeReference<>() {};
  private static final TypeReference<VersionedConfiguration> CONFIGURATION =
      new TypeReference<>() {};
  private static final TypeReference<ImmutableList<ConfigurationChange>> HISTORY =
      new TypeReference<>() {};
  private static final TypeReference<ImmutableList<PoolReport>> POOLS = new TypeReference<>() {};
  private static final TypeReference<ImmutableList<HostRecord>> HOSTS = new TypeReference<>() {};
  private static final TypeReference<MaintenanceReport> MAINTENANCE = new TypeReference<>() {};
  private static final TypeReference<ReplicaStatus> REPLICAS = new TypeReference<>() {};
  private static final TypeReference<ImmutableList<JobReport>> JOBS = new TypeReference<>() {};
  private static final TypeReference<JobDetails> JOB = new TypeReference<>() {};
  private static final TypeReference<ImmutableList<WorkerReport>> WORKERS =
      new TypeReference<>() {};
  private static final TypeReference<OperatorReply> REPLY = new TypeReference<>() {};
  private static final TypeReference<JsonNode> DUMP = new TypeReference<>() {};

  private final ControlHttpClient http;

  /**
   * Creates a client; connections are opened at the first call.
   *
   * @param controls the HTTP addresses of control processes, at least one
   * @param token the operator token of the deployment; empty if it has none
   * @param timeout how long a call is repeated
   */
  public OperatorClient(
      ImmutableList<HostAndPort> controls, Optional<String> token, Duration timeout) {
    this.http = new ControlHttpClient(controls, token, timeout);
  }

  /** Returns the control processes that this client calls. */
  public ImmutableList<HostAndPort> controlAddresses() {
    return http.controlAddresses();
  }

  /**
   * Returns the status that one control process reports, whether it leads or not. Sends one request
   * without a retry.
   *
   * @param control the HTTP address of the process
   * @return empty if it does not answer
   * @throws CommandFailedException if it refuses the request
   */
  public Optional<StatusReport> status(HostAndPort control) throws CommandFailedException {
    CallDecision decision = new CallDecision();
    Optional<String> body =
        decision.onResult(
            control, http.exchange(control, HttpMethod.GET, "/v1/status", Optional.empty()));
    return body.isEmpty() ? Optional.empty() : Optional.of(parse(body.get(), STATUS));
  }

  /**
   * Returns the current configuration and its version.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public VersionedConfiguration configuration() throws CommandFailedException {
    return parse(http.read("/v1/configuration"), CONFIGURATION);
  }

  /**
   * Returns the recent changes of the configuration, oldest first.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public ImmutableList<ConfigurationChange> configurationHistory() throws CommandFailedException {
    return parse(http.read("/v1/configuration/history"), HISTORY);
  }

  /**
   * Proposes a configuration to replace the expected version.
   *
   * @param request the configuration, the version it replaces and the command's identity
   * @throws CommandFailedException if it was refused or no process accepted it in time
   */
  public OperatorReply apply(ConfigurationRequest request) throws CommandFailedException {
    ImmutableMap<String, Object> body =
        ImmutableMap.of(
            "commandId", request.commandId(),
            "expectedVersion", request.command().expectedVersion(),
            "operator", request.command().operator(),
            "configuration", request.command().configuration());
    return parse(http.command(HttpMethod.PUT, "/v1/configuration", write(body)), REPLY);
  }

  /**
   * Returns the pools.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public ImmutableList<PoolReport> pools() throws CommandFailedException {
    return parse(http.read("/v1/pools"), POOLS);
  }

  /**
   * Returns the hosts.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public ImmutableList<HostRecord> hosts() throws CommandFailedException {
    return parse(http.read("/v1/hosts"), HOSTS);
  }

  /**
   * Returns the status of maintenance and its next step.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public MaintenanceReport maintenance() throws CommandFailedException {
    return parse(http.read("/v1/maintenance"), MAINTENANCE);
  }

  /**
   * Returns the status of the replicated log as seen by the leader.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public ReplicaStatus replicas() throws CommandFailedException {
    return parse(http.read("/v1/replicas"), REPLICAS);
  }

  /**
   * Returns the jobs in the order in which they were accepted.
   *
   * @param queue limits the list to the jobs of this queue; empty for all queues
   * @param includeEnded whether to include jobs that ended
   * @throws CommandFailedException if no process answers in time
   */
  public ImmutableList<JobReport> jobs(Optional<String> queue, boolean includeEnded)
      throws CommandFailedException {
    String query =
        "?ended=" + includeEnded + queue.map(name -> "&queue=" + encode(name)).orElse("");
    return parse(http.read("/v1/jobs" + query), JOBS);
  }

  /**
   * Returns one job with its tasks.
   *
   * @param id the job
   * @throws CommandFailedException if there is no such job, or no process answers in time
   */
  public JobDetails job(String id) throws CommandFailedException {
    return parse(http.read("/v1/jobs/" + id), JOB);
  }

  /**
   * Cancels a job. Cancelling it again has no effect.
   *
   * @param id the job
   * @throws CommandFailedException if there is no such job, or no process accepted it in time
   */
  public OperatorReply cancelJob(String id) throws CommandFailedException {
    return parse(http.command(HttpMethod.POST, "/v1/jobs/" + id + "/cancel", "{}"), REPLY);
  }

  /**
   * Returns the workers.
   *
   * @throws CommandFailedException if no process answers in time
   */
  public ImmutableList<WorkerReport> workers() throws CommandFailedException {
    return parse(http.read("/v1/workers"), WORKERS);
  }

  private static String encode(String value) {
    return URLEncoder.encode(value, UTF_8);
  }

  /**
   * Sends a command of the operators' API.
   *
   * @param command the kind of command, which determines the path
   * @param commandId the identity under which it is applied at most once
   * @param fields the other fields of its body
   * @throws CommandFailedException if it was refused or no process accepted it in time
   */
  public OperatorReply command(
      OperatorCommand command, CommandId commandId, ImmutableMap<String, Object> fields)
      throws CommandFailedException {
    ImmutableMap<String, Object> body =
        ImmutableMap.<String, Object>builder()
            .put("commandId", commandId)
            .putAll(fields)
            .buildOrThrow();
    String path = "/v1/commands/" + command.commandName();
    return parse(http.command(HttpMethod.POST, path, write(body)), REPLY);
  }

  /**
   * Returns the state of every part of one process, entry or control.
   *
   * @param process its HTTP address
   * @throws CommandFailedException if it does not answer or refuses
   */
  public JsonNode dump(HostAndPort process) throws CommandFailedException {
    CallDecision decision = new CallDecision();
    Optional<String> body =
        decision.onResult(
            process, http.exchange(process, HttpMethod.GET, "/v1/dump", Optional.empty()));
    if (body.isEmpty()) {
      throw decision.timeoutFailure(false);
    }
    return parse(body.get(), DUMP);
  }

  private static <T> T parse(String body, TypeReference<T> type) throws CommandFailedException {
    try {
      return MAPPER.readValue(body, type);
    } catch (JsonProcessingException malformed) {
      throw new CommandFailedException(
          ExitCode.NOT_KNOWN,
          "cannot parse the response: " + malformed.getOriginalMessage(),
          "use the command line of the same version as the control processes");
    }
  }

  private static String write(Object body) {
    try {
      return MAPPER.writeValueAsString(body);
    } catch (JsonProcessingException unwritable) {
      throw new IllegalArgumentException("cannot write " + body.getClass(), unwritable);
    }
  }

  @Override
  public void close() {
    http.close();
  }
}
