package org.geraniumstand.entry.task;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.SharedFacts;
import org.geraniumstand.peer.exchange.ExchangeView;

/** Shared facts that a test sets, and that note what they were told. */
final class FakeFacts implements SharedFacts {
    private final List<String> stored = new ArrayList<>();
    private final List<Member> listed = new ArrayList<>();
    private ExchangeView view =
            new ExchangeView(List.of(), Map.of(), -1, Optional.empty(), Optional.empty(), 0, false, 0);

    void members(List<Member> members) {
        view = new ExchangeView(members, Map.of(), view.generation(), view.text(), view.confirmedNanos(), 0, true, 0);
    }

    void inForce(long generation, String text) {
        view = new ExchangeView(
                view.members(), Map.of(), generation, Optional.of(text), view.confirmedNanos(), 0, true, 0);
    }

    List<String> stored() {
        return stored;
    }

    List<Member> listed() {
        return listed;
    }

    @Override
    public ExchangeView view() {
        return view;
    }

    @Override
    public void onMembers(Consumer<List<Member>> _consumer) {}

    @Override
    public void onConfiguration(Consumer<Configuration> _consumer) {}

    @Override
    public void offerStored(String text) {
        stored.add(text);
    }

    @Override
    public void offerListed(List<Member> members) {
        listed.clear();
        listed.addAll(members);
    }

    @Override
    public void offerMarks(List<BadMark> _marks) {}

    @Override
    public void shareEvidence(Collection<EvidenceRow> _rows) {}

    @Override
    public void announceStop() {}
}
