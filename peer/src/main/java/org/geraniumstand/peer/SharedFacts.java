package org.geraniumstand.peer;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.exchange.ExchangeView;

/** The facts that this process shares with its peers; none of its calls blocks. */
public interface SharedFacts {
    /** Returns what is known now; it may be a tick old. */
    ExchangeView view();

    /**
     * Sets who is told of changes of the members; it is told the present ones at once.
     *
     * @param consumer told all live members, on the network's thread
     */
    void onMembers(Consumer<List<Member>> consumer);

    /**
     * Sets who is told of configurations that come into force.
     *
     * @param consumer told the document, on the network's thread
     */
    void onConfiguration(Consumer<Configuration> consumer);

    /**
     * Takes in the configuration that the store holds.
     *
     * @param text the document, JSON text
     */
    void offerStored(String text);

    /**
     * Takes in the members that the store lists.
     *
     * @param members the members
     */
    void offerListed(List<Member> members);

    /**
     * Takes in marks of bad versions that the store holds.
     *
     * @param marks the marks
     */
    void offerMarks(List<BadMark> marks);

    /**
     * Shares evidence of this process with all members.
     *
     * @param rows the rows that changed
     */
    void shareEvidence(Collection<EvidenceRow> rows);

    /** Tells all members that this process stops. */
    void announceStop();
}
