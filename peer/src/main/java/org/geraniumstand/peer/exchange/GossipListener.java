package org.geraniumstand.peer.exchange;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.PeerMessage;

/** Receives the events of the gossip protocol on the thread that runs it; no method may block. */
public interface GossipListener {
    /**
     * Called when the live members have changed.
     *
     * @param members all live members, including this process
     */
    void membersChanged(List<Member> members);

    /**
     * Called when a configuration has come into force.
     *
     * @param configuration the new configuration
     */
    void configurationApplied(Configuration configuration);

    /**
     * Called when a message has arrived that the gossip protocol does not consume itself.
     *
     * @param origin the process that originally sent the message
     * @param message the message
     */
    void messageReceived(ProcessId origin, PeerMessage message);
}
