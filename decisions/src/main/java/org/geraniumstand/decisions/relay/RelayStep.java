package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.Refusal;

/** What is to be done for a call. */
public sealed interface RelayStep {
    /** Returns the call. */
    RelayCall call();

    /**
     * Send the call to a server.
     *
     * @param call the call
     * @param server the server
     * @param urgency its rank among the server's requests, from 0 to 9
     * @param firstByteMillis silence allowed before the first byte of an answer, in milliseconds
     * @param belief what the server was taken for
     */
    record Send(RelayCall call, RelayServer server, int urgency, long firstByteMillis, AssumedServerState belief)
            implements RelayStep {}

    /**
     * End the call with a refusal.
     *
     * @param call the call
     * @param refusal the final answer
     */
    record Refuse(RelayCall call, Refusal refusal) implements RelayStep {}
}
