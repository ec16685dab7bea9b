package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.Refusal;

/** Describes an action to perform for a call. */
public sealed interface RelayStep {
    /** Returns the call that the action applies to. */
    RelayCall call();

    /**
     * Sends the call to a server.
     *
     * @param call the call to send
     * @param server the server that receives the call
     * @param urgency scheduling priority among the server's requests, from 0 to 9
     * @param firstByteMillis timeout for the first byte of the answer, in milliseconds
     * @param assumedState the state that the server was assumed to be in
     */
    record Send(RelayCall call, RelayServer server, int urgency, long firstByteMillis, AssumedServerState assumedState)
            implements RelayStep {}

    /**
     * Ends the call with a refusal.
     *
     * @param call the call to refuse
     * @param refusal the answer to the caller
     */
    record Refuse(RelayCall call, Refusal refusal) implements RelayStep {}
}
