package org.geraniumstand.peer;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.exchange.GossipView;

/** Provides access to the state that this process shares with its peers; no method blocks. */
public interface SharedState {
    /** Returns a snapshot of the shared state, which may be one tick old. */
    GossipView view();

    /**
     * Sets the consumer of membership changes, which immediately receives the current members.
     *
     * @param consumer receives all live members; runs on the network's thread
     */
    void setMembersConsumer(Consumer<List<Member>> consumer);

    /**
     * Sets the consumer of configurations that come into force.
     *
     * @param consumer receives the configuration; runs on the network's thread
     */
    void setConfigurationConsumer(Consumer<Configuration> consumer);

    /**
     * Applies the configuration read from the store if it is newer, or confirms the one in force if it is the same.
     *
     * @param text the configuration as JSON text
     */
    void onStoredConfiguration(String text);

    /**
     * Sets the members that are registered in the store as candidates for connections.
     *
     * @param members the registered members
     */
    void onListedMembers(List<Member> members);

    /**
     * Adds bad versions read from the store.
     *
     * @param badVersions the bad versions
     */
    void onStoredBadVersions(List<BadVersion> badVersions);

    /**
     * Broadcasts evidence recorded by this process to all members.
     *
     * @param rows the rows that changed
     */
    void publishEvidence(Collection<EvidenceRow> rows);

    /** Announces to all members that this process is shutting down. */
    void announceShutdown();
}
