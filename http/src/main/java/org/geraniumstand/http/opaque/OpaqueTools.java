package org.geraniumstand.http.opaque;

import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.outside.relay.Dialect;
import org.xnio.XnioIoThread;

/**
 * What the tasks of callers' requests share.
 *
 * @param desk takes the decisions
 * @param dialect reads and writes headers
 * @param protocol speaks to backend servers
 * @param upstream opens attempts
 * @param thread the I/O thread that owns all of it
 * @param observer told what becomes of calls
 * @param date writes the time of answers
 */
record OpaqueTools(
        DeskTask desk,
        Dialect dialect,
        OpaqueProtocol protocol,
        UpstreamClient upstream,
        XnioIoThread thread,
        CallObserver observer,
        HttpDate date) {}
