package org.geraniumstand.decisions.relay;

import java.util.List;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServicePart;

/**
 * Describes a request whose answer broke off shortly after it began.
 *
 * @param server the server that began the answer
 * @param request hash of the caller's identifier of the request
 * @param parts the shared parts of its prompt that may have caused the break
 * @param atNanos when the answer broke off, on the monotonic clock in nanoseconds
 */
record CrashRecord(ServerId server, long request, List<ServicePart> parts, long atNanos) {
    /** Returns a hash of the request and the server, which is the same in every process. */
    long attemptHash() {
        return Hash.mix(request ^ Hash.of(server.value()));
    }
}
