package org.geraniumstand.peer.exchange;

import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.PeerMessage;

/** Provides the connections over which the gossip protocol sends messages. */
public interface Links {
    /**
     * Queues a message if the process is connected.
     *
     * @param to the receiving process
     * @param message the message
     * @return whether the message was queued
     */
    boolean send(ProcessId to, PeerMessage message);

    /**
     * Starts to open a connection, unless an attempt is in progress or the backoff after a failed one has not elapsed.
     *
     * @param host IP address
     * @param port TCP port
     */
    void connect(String host, int port);

    /**
     * Closes the connection to a process, if there is one.
     *
     * @param peer the connected process
     */
    void close(ProcessId peer);

    /** Returns the processes that are connected. */
    Set<ProcessId> connected();

    /**
     * Returns whether the current connection to a peer was opened by this process.
     *
     * @param peer the connected process
     */
    boolean isOutbound(ProcessId peer);
}
