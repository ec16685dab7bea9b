package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * Reports the rate of requests that a backend server has named in an answer.
 *
 * @param server the server that answered
 * @param startEpochMillis when that server started, in milliseconds of the Unix epoch
 * @param perSecond requests per second that it accepts from all processes together; infinite if it named no limit
 * @param ageMillis milliseconds since the answer
 */
public record ServerLimit(ServerId server, long startEpochMillis, double perSecond, long ageMillis) {}
