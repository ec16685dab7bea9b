package org.geraniumstand.peer.exchange;

import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.PeerMessage;

/** The connections that an exchange sends over. */
public interface Links {
    /**
     * Queues a message if a connection stands.
     *
     * @param to the process
     * @param message the message
     * @return whether it was queued
     */
    boolean send(ProcessId to, PeerMessage message);

    /**
     * Starts to connect, unless that is under way or was tried a moment ago.
     *
     * @param host IP number
     * @param port port
     */
    void open(String host, int port);

    /**
     * Closes the connection to a process, if any.
     *
     * @param peer the process
     */
    void close(ProcessId peer);

    /** Returns the processes that are connected. */
    Set<ProcessId> connected();

    /**
     * Tells whether this process opened the connection to a peer.
     *
     * @param peer the process
     */
    boolean opened(ProcessId peer);
}
