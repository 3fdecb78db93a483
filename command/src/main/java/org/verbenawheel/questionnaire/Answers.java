package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Everything that a team answered.
 *
 * @param deployment the name of the deployment
 * @param availabilityZones where its hosts stand
 * @param sparePool the pool whose hosts are in reserve
 * @param network its network
 * @param services its services by name
 */
public record Answers(
    String deployment,
    ImmutableList<AvailabilityZone> availabilityZones,
    PoolName sparePool,
    NetworkAnswers network,
    ImmutableMap<ServiceName, ServiceAnswers> services) {}
