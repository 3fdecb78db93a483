package org.verbenawheel.control;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.configuration.ConfigurationRequest;
import org.verbenawheel.daemon.ErrorBody;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.daemon.OperatorAnswers;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.request.RunVerdict;

/** Serves the HTTP interface for operators defined in {@code docs/design/operator-api.md}. */
@Controller("/v1")
@Consumes(MediaType.ALL)
@Requires(bean = OperatorService.class)
public final class OperatorController {
  private static final String BODY = "the request body";

  private final OperatorService service;

  OperatorController(OperatorService service) {
    this.service = service;
  }

  /** Returns the role, term and readiness of this process, without asking the other replicas. */
  @Get("/status")
  public HttpResponse<?> status() {
    return Json.respond(HttpStatus.OK, service.status());
  }

  /** Returns the accepted configuration. */
  @Get("/configuration")
  public CompletableFuture<HttpResponse<?>> configuration() {
    return OperatorAnswers.read(service.configuration());
  }

  /** Returns the latest changes of the configuration, oldest first. */
  @Get("/configuration/history")
  public CompletableFuture<HttpResponse<?>> history() {
    return OperatorAnswers.read(service.history());
  }

  /** Returns the pools. */
  @Get("/pools")
  public CompletableFuture<HttpResponse<?>> pools() {
    return OperatorAnswers.read(service.pools());
  }

  /** Returns the hosts. */
  @Get("/hosts")
  public CompletableFuture<HttpResponse<?>> hosts() {
    return OperatorAnswers.read(service.hosts());
  }

  /** Returns the progress of maintenance and the wave that would start next. */
  @Get("/maintenance")
  public CompletableFuture<HttpResponse<?>> maintenance() {
    return OperatorAnswers.read(service.maintenance());
  }

  /** Returns the state of the replicas of the log, as the leader knows it. */
  @Get("/replicas")
  public CompletableFuture<HttpResponse<?>> replicas() {
    return OperatorAnswers.read(service.replicas());
  }

  /** Commits a command that replaces the accepted configuration by the one in the body. */
  @Put("/configuration")
  public CompletableFuture<HttpResponse<?>> applyConfiguration(@Body byte[] body) {
    try {
      Document document = DocumentReader.read(BODY, body);
      ConfigurationRequest request = ConfigurationDocuments.readRequest(document);
      return submit(new CommandEnvelope(Optional.of(request.commandId()), request.command()));
    } catch (DocumentException malformed) {
      return CompletableFuture.completedFuture(malformedBody(malformed));
    }
  }

  /** Commits the operator's command that the path names and the body describes. */
  @Post("/commands/{name}")
  public CompletableFuture<HttpResponse<?>> command(@PathVariable String name, @Body byte[] body) {
    Optional<OperatorCommand> command = OperatorCommand.ofName(name);
    if (command.isEmpty()) {
      return CompletableFuture.completedFuture(unknownCommand());
    }
    try {
      return submit(command.get().read(DocumentReader.read(BODY, body)));
    } catch (DocumentException malformed) {
      return CompletableFuture.completedFuture(malformedBody(malformed));
    }
  }

  private CompletableFuture<HttpResponse<?>> submit(CommandEnvelope envelope) {
    return OperatorAnswers.of(
        service.submit(envelope), reply -> toResponse(OperatorReply.of(reply)));
  }

  private static HttpResponse<?> toResponse(OperatorReply reply) {
    HttpStatus status = HttpStatus.valueOf(reply.outcome().httpStatus());
    if (reply.outcome() == OperatorReply.Outcome.ACCEPTED) {
      return Json.respond(status, reply);
    }
    String found = reply.version().map(version -> "version " + version).orElse("");
    return Json.respond(
        status, new ErrorBody(reply.message(), found, "", reply.fix(), RunVerdict.NOT_RUN));
  }

  private static HttpResponse<?> malformedBody(DocumentException malformed) {
    return Json.respond(
        HttpStatus.BAD_REQUEST,
        new ErrorBody(
            "the body is invalid",
            malformed.problems().toString(),
            "see docs/design/operator-api.md",
            "correct these values and send the request again",
            RunVerdict.NOT_RUN));
  }

  private static HttpResponse<?> unknownCommand() {
    return Json.respond(
        HttpStatus.NOT_FOUND,
        new ErrorBody(
            "no such command",
            "",
            "a command listed in docs/design/operator-api.md",
            "see verbenawheel --help",
            RunVerdict.NOT_RUN));
  }
}
