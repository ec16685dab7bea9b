package org.geraniumstand.http.opaque;

import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.outside.relay.HeaderCodec;
import org.xnio.XnioIoThread;

/**
 * Holds the collaborators that all tasks of callers' requests share.
 *
 * @param dispatcherTask passes events of calls to the relay dispatcher
 * @param codec parses and writes headers
 * @param protocol writes requests to backend servers and interprets their answers
 * @param upstream creates attempts at backend servers
 * @param thread the I/O thread that owns all tasks
 * @param observer receives the events of calls
 * @param date formats the date headers of answers
 */
record OpaqueContext(
        DispatcherTask dispatcherTask,
        HeaderCodec codec,
        OpaqueProtocol protocol,
        UpstreamClient upstream,
        XnioIoThread thread,
        CallObserver observer,
        HttpDate date) {}
