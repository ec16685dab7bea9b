package org.geraniumstand.peer;

import java.util.List;
import java.util.function.BiConsumer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Sends messages to other entry processes; never blocks, and drops messages to a peer that does not keep up. */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Sends a message to one process, over a new connection if none stands.
     *
     * @param to the process
     * @param message the message
     * @return whether it was queued: the process is a live member or connected, and its queue has room; it may still be
     *     lost when the connection breaks
     */
    boolean send(ProcessId to, PeerMessage message);

    /**
     * Sends a message to all live members, directly or over others.
     *
     * @param message the message
     */
    void broadcast(PeerMessage message);

    /**
     * Handles messages of a type; one handler a type.
     *
     * @param type type of the messages
     * @param handler told the process that sent a message first, and the message; called on the network's thread, must
     *     not block
     * @param <M> type of the messages
     */
    <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<ProcessId, M> handler);

    /** Returns the live members, this process included. */
    List<Member> members();

    @Override
    void close();
}
