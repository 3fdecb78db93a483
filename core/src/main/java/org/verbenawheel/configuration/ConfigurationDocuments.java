package org.verbenawheel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.function.Function;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentFields;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Parses and validates configurations in documents of operators or their tools, and writes YAML.
 */
public final class ConfigurationDocuments {
  private static final ObjectMapper YAML =
      new ObjectMapper(
              YAMLFactory.builder()
                  .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                  .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                  .build())
          .registerModule(new GuavaModule());

  // Placeholders for invalid names. They let reading continue and report every problem at once.
  private static final ServiceName INVALID_SERVICE_NAME = new ServiceName("-");
  private static final PoolName INVALID_POOL_NAME = new PoolName("-");

  private ConfigurationDocuments() {}

  /**
   * Reads a document that consists of a configuration.
   *
   * @param document the parsed document
   * @return a valid configuration
   * @throws DocumentException with every problem of the document, or if it has none, every problem
   *     of the configuration
   */
  public static Configuration read(Document document) throws DocumentException {
    DocumentFields fields = DocumentFields.of(document);
    Configuration configuration = readFields(fields);
    fields.throwIfAny();
    addProblems(fields, "", configuration);
    fields.throwIfAny();
    return configuration;
  }

  /**
   * Reads an operator's request to apply a configuration: {@code commandId}, {@code
   * expectedVersion}, {@code operator} and {@code configuration}.
   *
   * @param document the parsed body of the request
   * @throws DocumentException with every problem of the body, or if it has none, every problem of
   *     the configuration
   */
  public static ConfigurationRequest readRequest(Document document) throws DocumentException {
    DocumentFields fields = DocumentFields.of(document);
    CommandId commandId = fields.name("commandId", CommandId::new, new CommandId("-"));
    long expectedVersion = fields.longNumber("expectedVersion", null);
    String operator = fields.text("operator");
    Configuration configuration = readFields(fields.map("configuration"));
    fields.refuseUnknownKeys();
    fields.throwIfAny();
    addProblems(fields, "configuration.", configuration);
    fields.throwIfAny();
    return new ConfigurationRequest(
        commandId, new ApplyConfiguration(expectedVersion, configuration, operator));
  }

  /** Returns a configuration as a YAML document that {@link #read} accepts. */
  public static String write(Configuration configuration) {
    try {
      return YAML.writeValueAsString(configuration);
    } catch (JsonProcessingException unwritable) {
      throw new IllegalArgumentException("the configuration cannot be written as YAML", unwritable);
    }
  }

  private static void addProblems(
      DocumentFields fields, String prefix, Configuration configuration) {
    for (ConfigurationProblem problem : Configurations.check(configuration)) {
      fields.add(prefix + problem.key(), problem.found(), problem.expected());
    }
  }

  private static Configuration readFields(DocumentFields fields) {
    String deployment = fields.text("deployment");
    ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
    for (Map.Entry<String, DocumentFields> entry : fields.maps("services").entrySet()) {
      ServiceSettings service = readService(entry.getKey(), entry.getValue());
      services.put(service.name(), service);
    }
    ImmutableMap.Builder<PoolName, PoolSettings> pools = ImmutableMap.builder();
    for (Map.Entry<String, DocumentFields> entry : fields.maps("pools").entrySet()) {
      PoolSettings pool = readPool(entry.getKey(), entry.getValue());
      pools.put(pool.name(), pool);
    }
    fields.refuseUnknownKeys();
    return new Configuration(deployment, services.buildKeepingLast(), pools.buildKeepingLast());
  }

  private static ServiceSettings readService(String key, DocumentFields fields) {
    ServiceName name = readNameFromKey(key, fields, INVALID_SERVICE_NAME, ServiceName::new);
    PoolName pool = fields.name("pool", PoolName::new, INVALID_POOL_NAME);
    ServiceSettings defaults = ServiceSettings.builder(name, pool).build();
    ServiceSettings service =
        ServiceSettings.builder(name, pool)
            .workClass(fields.choice("workClass", WorkClass.class, defaults.workClass()))
            .availabilityBudget(fields.number("availabilityBudget", defaults.availabilityBudget()))
            .deadlineMilliseconds(
                fields.longNumber("deadlineMilliseconds", defaults.deadlineMilliseconds()))
            .queueLimit(fields.wholeNumber("queueLimit", defaults.queueLimit()))
            .slotsPerEndpoint(fields.wholeNumber("slotsPerEndpoint", defaults.slotsPerEndpoint()))
            .connectionsPerEndpoint(
                fields.wholeNumber("connectionsPerEndpoint", defaults.connectionsPerEndpoint()))
            .shortWorkMilliseconds(
                fields.longNumber("shortWorkMilliseconds", defaults.shortWorkMilliseconds()))
            .longWorkSlotShare(fields.number("longWorkSlotShare", defaults.longWorkSlotShare()))
            .retryBudgetShare(fields.number("retryBudgetShare", defaults.retryBudgetShare()))
            .build();
    fields.refuseUnknownKeys();
    return service;
  }

  private static PoolSettings readPool(String key, DocumentFields fields) {
    PoolSettings pool =
        new PoolSettings(
            readNameFromKey(key, fields, INVALID_POOL_NAME, PoolName::new),
            fields.choice("role", PoolRole.class, null),
            fields.wholeNumber("minimumHosts", null),
            fields.wholeNumber("maximumHosts", null));
    fields.refuseUnknownKeys();
    return pool;
  }

  /**
   * Reads a name from a key of a map. If the entry also has the field {@code name}, it must be
   * equal to the key. Returns the substitute for an invalid name, after adding the problem.
   */
  private static <T> T readNameFromKey(
      String key, DocumentFields fields, T substitute, Function<String, T> constructor) {
    if (fields.has("name") && !fields.text("name").equals(key)) {
      fields.add("name", fields.text("name"), "the same name as the key, " + key);
    }
    try {
      return constructor.apply(key);
    } catch (IllegalArgumentException invalidName) {
      fields.add("name", key, "a name of 1 to 128 letters, digits, . _ : -");
      return substitute;
    }
  }
}
