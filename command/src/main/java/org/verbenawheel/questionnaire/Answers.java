package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * A team's answers to all questions.
 *
 * @param deployment the name of the deployment
 * @param availabilityZones the zones that its hosts are in
 * @param sparePool the pool whose hosts are in reserve
 * @param network the network latencies
 * @param services its services by name
 */
public record Answers(
    String deployment,
    ImmutableList<AvailabilityZone> availabilityZones,
    PoolName sparePool,
    NetworkAnswers network,
    ImmutableMap<ServiceName, ServiceAnswers> services) {}
