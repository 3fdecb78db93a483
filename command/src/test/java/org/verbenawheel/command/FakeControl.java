package org.verbenawheel.command;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.InetAddresses;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.configuration.ConfigurationRequest;
import org.verbenawheel.configuration.ConfigurationState;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.maintenance.MaintenanceState;
import org.verbenawheel.operator.JobDetails;
import org.verbenawheel.operator.JobReport;
import org.verbenawheel.operator.MaintenanceReport;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.operator.PoolReport;
import org.verbenawheel.operator.StatusReport;
import org.verbenawheel.operator.WorkerReport;
import org.verbenawheel.pool.PoolCommand;
import org.verbenawheel.pool.PoolState;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.ClusterId;
import org.verbenawheel.replication.ClusterMembers;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.Member;
import org.verbenawheel.replication.ReplicaId;
import org.verbenawheel.replication.ReplicaStatus;
import org.verbenawheel.replication.Role;
import org.verbenawheel.worker.Worker;

/**
 * Fake control process: serves the operators' API from in-memory state, and answers a resent
 * command with the reply of the first send.
 */
final class FakeControl implements AutoCloseable {
  static final String TOKEN = "open sesame";

  private static final Worker WORKER =
      new Worker(
          "w-1",
          1,
          "h-1",
          "hobart-desk",
          "127.0.0.1:1",
          "tamar",
          new Worker.Capacity(32_000, 64_000, 0),
          ImmutableList.of("a", "r1"),
          false);

  private final HttpServer server;
  private final ConfigurationState configuration = new ConfigurationState();
  private final PoolState pools = new PoolState();
  private final JobRegistry jobs = new JobRegistry(Duration.ofMinutes(2));
  private final MaintenanceState maintenance = new MaintenanceState();
  private final Map<CommandId, CommandReply> replies = new HashMap<>();
  private long index;

  /** Whether this process is the leader; a process that is not answers 421. */
  volatile boolean isLeader = true;

  /** How many of the next commands are applied without sending the response. */
  final AtomicInteger repliesToDrop = new AtomicInteger();

  FakeControl() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  long configurationVersion() {
    return configuration.history().current().version();
  }

  private synchronized void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String authorization = exchange.getRequestHeaders().getFirst("Authorization");
      if (!("Bearer " + TOKEN).equals(authorization)) {
        respondError(exchange, 401, "not authorized");
      } else if (exchange.getRequestURI().getPath().equals("/v1/status")) {
        respond(exchange, 200, status());
      } else if (!isLeader) {
        respondError(exchange, 421, "this process does not lead");
      } else {
        handleAsLeader(exchange);
      }
    }
  }

  /** Adds a job with two tasks, the first of which runs on worker w-1. */
  void addJob(String id, String queue) {
    StepSpecification step = StepSpecification.builder().taskCount(2).uses(1_500, 1, 0).build();
    applyToJobs(
        new AcceptJob(
            id,
            queue,
            new JobSpecification("x", ImmutableList.of(step), 1, 0, 0),
            new Limits("hobart-desk", 0, 3, 1_000)));
    applyToJobs(new RecordStarts(ImmutableList.of(new RunStart(id + ".0.0.0", 1, "w-1"))));
  }

  private synchronized void applyToJobs(ControlCommand command) {
    index++;
    var unused = jobs.apply(command, new ApplyContext(index, Instant.EPOCH.plusSeconds(index)));
  }

  private void handleAsLeader(HttpExchange exchange) throws IOException {
    String call = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
    if (call.contains(" /v1/jobs/")) {
      handleJob(exchange);
      return;
    }
    if (call.startsWith("POST /v1/commands/") || call.equals("PUT /v1/configuration")) {
      handleCommand(exchange);
      return;
    }
    Object value =
        switch (call) {
          case "GET /v1/configuration" -> configuration.history().current();
          case "GET /v1/configuration/history" -> configuration.history().changes();
          case "GET /v1/pools" -> PoolReport.of(pools.view());
          case "GET /v1/hosts" -> pools.view().hosts().values();
          case "GET /v1/maintenance" ->
              new MaintenanceReport(
                  maintenance.status(), "nothing", "no host is due", ImmutableList.of());
          case "GET /v1/replicas" -> replicas();
          case "GET /v1/jobs" -> jobsOf(exchange.getRequestURI().getQuery());
          case "GET /v1/workers" -> ImmutableList.of(WorkerReport.of(WORKER, jobs));
          case "GET /v1/dump" -> ImmutableMap.of("configuration", configuration.dump());
          default -> Optional.empty();
        };
    respond(exchange, 200, value);
  }

  private ImmutableList<JobReport> jobsOf(String query) {
    Collection<Job> candidates = query.contains("ended=true") ? jobs.all() : jobs.active();
    return candidates.stream()
        .filter(job -> !query.contains("queue=") || query.endsWith("queue=" + job.queue()))
        .map(JobReport::of)
        .collect(ImmutableList.toImmutableList());
  }

  private void handleJob(HttpExchange exchange) throws IOException {
    String id = Splitter.on('/').splitToList(exchange.getRequestURI().getPath()).get(3);
    Optional<Job> job = jobs.find(id);
    if (job.isEmpty()) {
      respondError(exchange, 404, "no such job");
    } else if (exchange.getRequestMethod().equals("GET")) {
      respond(exchange, 200, JobDetails.of(job.get()));
    } else {
      applyToJobs(new CancelJob(id, job.get().queue()));
      respond(exchange, 200, OperatorReply.accepted("job " + id + " is cancelled"));
    }
  }

  private void handleCommand(HttpExchange exchange) throws IOException {
    try {
      OperatorReply reply = OperatorReply.of(apply(read(exchange)));
      if (repliesToDrop.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
        return;
      }
      if (reply.outcome() == OperatorReply.Outcome.ACCEPTED) {
        respond(exchange, 200, reply);
      } else {
        respond(exchange, reply.outcome().httpStatus(), error(reply.message(), reply.fix()));
      }
    } catch (DocumentException malformed) {
      respondError(exchange, 400, String.valueOf(malformed.getMessage()));
    }
  }

  private static CommandEnvelope read(HttpExchange exchange) throws IOException, DocumentException {
    Document body = DocumentReader.read("body", exchange.getRequestBody().readAllBytes());
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/v1/configuration")) {
      ConfigurationRequest request = ConfigurationDocuments.readRequest(body);
      return new CommandEnvelope(Optional.of(request.commandId()), request.command());
    }
    String name = path.substring("/v1/commands/".length());
    return OperatorCommand.ofName(name).orElseThrow().read(body);
  }

  private CommandReply apply(CommandEnvelope envelope) {
    return replies.computeIfAbsent(
        envelope.commandId().orElseThrow(), identity -> applyOnce(envelope));
  }

  private CommandReply applyOnce(CommandEnvelope envelope) {
    index++;
    ApplyContext context = new ApplyContext(index, Instant.EPOCH.plusSeconds(index));
    if (maintenance.commandKinds().contains(envelope.command().getClass())) {
      return maintenance.apply(envelope.command(), context);
    }
    if (!configuration.commandKinds().contains(envelope.command().getClass())) {
      return pools.apply(envelope.command(), context);
    }
    CommandReply reply = configuration.apply(envelope.command(), context);
    for (PoolSettings pool : configuration.history().current().configuration().pools().values()) {
      var unused = pools.apply(new PoolCommand.DefinePool(pool, configurationVersion()), context);
    }
    return reply;
  }

  private StatusReport status() {
    return new StatusReport(
        new ProcessId("control-1"),
        new AvailabilityZone("tamar"),
        isLeader ? "LEADER" : "FOLLOWER",
        Optional.empty(),
        1,
        index,
        index,
        configurationVersion(),
        true);
  }

  private static ReplicaStatus replicas() {
    ProcessId process = new ProcessId("control-1");
    Member member = new Member(process, new ReplicaId("replica-a"));
    return new ReplicaStatus(
        process,
        member.replica(),
        Role.LEADER,
        1,
        Optional.of(process),
        Optional.empty(),
        1,
        1,
        1,
        0,
        0,
        1,
        Optional.of(ClusterMembers.founding(new ClusterId("cluster-a"), ImmutableList.of(member))),
        Optional.of(1));
  }

  private static void respondError(HttpExchange exchange, int status, String error)
      throws IOException {
    respond(exchange, status, error(error, "correct it"));
  }

  private static ImmutableMap<String, Object> error(String error, String fix) {
    return ImmutableMap.of(
        "error", error, "found", "", "expected", "", "fix", fix, "verdict", "NOT_RUN");
  }

  private static void respond(HttpExchange exchange, int status, Object body) throws IOException {
    byte[] bytes = MessageCodec.jsonMapper().writeValueAsString(body).getBytes(UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
