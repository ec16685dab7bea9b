package org.geraniumstand.peer;

import java.util.List;
import java.util.function.BiConsumer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Sends messages to other entry processes without blocking; drops messages to peers that read too slowly. */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Sends a message to one process and opens a connection if there is none.
     *
     * @param to the receiving process
     * @param message the message
     * @return true if the message was queued, that is, the process is a live member or connected and its queue has
     *     room; the message may still be lost if the connection breaks
     */
    boolean send(ProcessId to, PeerMessage message);

    /**
     * Broadcasts a message to all live members; members without a direct connection receive it through others.
     *
     * @param message the message
     */
    void broadcast(PeerMessage message);

    /**
     * Registers the handler of a message type, which replaces any earlier one.
     *
     * @param type type of the messages
     * @param handler receives the message and the process that originally sent it; runs on the network's thread and
     *     must not block
     * @param <M> type of the messages
     */
    <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<ProcessId, M> handler);

    /** Returns the live members, including this process. */
    List<Member> members();

    @Override
    void close();
}
