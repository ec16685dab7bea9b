package org.geraniumstand.model.relay;

/**
 * Reports a prompt part with which a server answered a request.
 *
 * @param part the part
 * @param ageMillis milliseconds since the newest such answer began
 */
public record SoundPart(ServicePart part, long ageMillis) {}
