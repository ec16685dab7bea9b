package org.geraniumstand.model.relay;

import java.util.List;
import org.geraniumstand.model.id.ServerId;

/**
 * Reports a request whose answer broke off shortly after it began.
 *
 * @param server the server that began the answer
 * @param request hash of the caller's identifier of the request
 * @param parts the shared parts of its prompt that may have caused the break
 * @param ageMillis milliseconds since the answer broke off
 */
public record CrashReport(ServerId server, long request, List<ServicePart> parts, long ageMillis) {
    /** Copies the list. */
    public CrashReport {
        parts = List.copyOf(parts);
    }
}
