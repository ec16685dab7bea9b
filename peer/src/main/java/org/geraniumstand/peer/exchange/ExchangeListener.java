package org.geraniumstand.peer.exchange;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.PeerMessage;

/** Told what an exchange found out; called on the thread that owns the exchange, must not block. */
public interface ExchangeListener {
    /**
     * The live members changed.
     *
     * @param members all live members, this process included
     */
    void membersChanged(List<Member> members);

    /**
     * A configuration came into force.
     *
     * @param configuration the document
     */
    void configurationApplied(Configuration configuration);

    /**
     * A message arrived that does not concern the exchange itself.
     *
     * @param origin the process that sent it first
     * @param message the message
     */
    void received(ProcessId origin, PeerMessage message);
}
