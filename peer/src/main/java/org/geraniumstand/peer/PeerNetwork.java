package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Sends messages to other entry processes; never blocks, and drops messages to a peer that does not keep up. */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Sends a message to one process.
     *
     * @param to the process
     * @param message the message
     * @return whether a connection to the process stands and has room for the message
     */
    boolean send(ProcessId to, PeerMessage message);

    /**
     * Sends a message to all live members.
     *
     * @param message the message
     */
    void broadcast(PeerMessage message);

    /** Returns the live members, this process included. */
    List<Member> members();

    @Override
    void close();
}
