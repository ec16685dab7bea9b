package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberNews;
import org.geraniumstand.model.member.MemberState;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
    private static final Member A = Members.of("a");
    private static final Member B = Members.of("b");

    private final Membership membership = new Membership(A, 0);
    private long now;

    @Test
    void aMemberThatIsHeardStays() {
        meetB();
        for (int i = 0; i < 100; i++) {
            membership.onHeard(B.id(), now);
            assertThat(pass(1), is(empty()));
        }
        assertThat(membership.alive(), contains(A, B));
    }

    @Test
    void aSilentNeighbourIsSuspectedAndDroppedWithinSeconds() {
        meetB();
        List<MemberNews> suspicions = pass(26);
        assertThat(suspicions, contains(new MemberNews(B, 0, MemberState.SUSPECT)));
        assertThat(membership.alive(), contains(A, B));
        pass(16);
        assertThat(membership.alive(), contains(A));
        assertThat(membership.dropped(), contains(B));
    }

    @Test
    void aSuspectedMemberThatContradictsStays() {
        meetB();
        pass(26);
        MemberNews contradiction = new MemberNews(B, 1, MemberState.ALIVE);
        assertThat(membership.onNews(List.of(contradiction), now).spread(), contains(contradiction));
        pass(16);
        assertThat(membership.alive(), contains(A, B));
    }

    @Test
    void aMemberThatIsNoNeighbourStaysWithoutBeingHeard() {
        membership.onNews(List.of(new MemberNews(B, 0, MemberState.ALIVE)), now);
        pass(1_000);
        assertThat(membership.alive(), contains(A, B));
    }

    @Test
    void aDroppedMemberComesBackWithANewStatementOnly() {
        meetB();
        pass(50);
        MemberNews old = new MemberNews(B, 0, MemberState.ALIVE);
        assertThat(membership.onNews(List.of(old), now).correct(), contains(new MemberNews(B, 0, MemberState.SUSPECT)));
        assertThat(membership.onHeard(B.id(), now), is(Optional.of(new MemberNews(B, 0, MemberState.SUSPECT))));
        assertThat(membership.alive(), contains(A));
        membership.onNews(List.of(new MemberNews(B, 1, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(A, B));
    }

    @Test
    void suspicionOfThisProcessIsContradicted() {
        MemberNews suspicion = new MemberNews(A, 3, MemberState.SUSPECT);
        assertThat(
                membership.onNews(List.of(suspicion), now).spread(), contains(new MemberNews(A, 4, MemberState.ALIVE)));
    }

    @Test
    void aMemberThatLeavesNeverReturns() {
        meetB();
        membership.onNews(List.of(new MemberNews(B, 0, MemberState.LEFT)), now);
        assertThat(membership.alive(), contains(A));
        membership.onNews(List.of(new MemberNews(B, 9, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(A));
        assertThat(membership.dropped(), is(empty()));
    }

    @Test
    void aLaterStartOfTheSameHostReplacesTheEarlierOne() {
        Member first = Members.of(Incarnation.name("host-1", 1_700_000_000_000L).value());
        Member second =
                Members.of(Incarnation.name("host-1", 1_700_000_009_000L).value());
        membership.onNews(List.of(new MemberNews(first, 5, MemberState.ALIVE)), now);
        membership.onNews(List.of(new MemberNews(second, 0, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(A, second));
        membership.onNews(List.of(new MemberNews(first, 6, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(A, second));
    }

    @Test
    void ownPauseProvesNothingAboutOthers() {
        meetB();
        pass(1);
        now += TimeUnit.SECONDS.toNanos(60);
        assertThat(membership.onTick(now), is(empty()));
        assertThat(membership.alive(), hasSize(2));
    }

    @Test
    void namesWithoutAStartAreNoIncarnationsOfEachOther() {
        membership.onNews(List.of(new MemberNews(Members.of("node-1"), 0, MemberState.ALIVE)), now);
        membership.onNews(List.of(new MemberNews(Members.of("node-2"), 0, MemberState.ALIVE)), now);
        assertThat(membership.alive(), hasSize(3));
    }

    @Test
    void equalViewsHaveEqualDigests() {
        Membership other = new Membership(B, 0);
        other.onNews(List.of(new MemberNews(A, 0, MemberState.ALIVE)), now);
        assertThat(other.digest() == membership.digest(), is(false));
        meetB();
        assertThat(other.digest() == membership.digest(), is(true));
    }

    private void meetB() {
        membership.onNews(List.of(new MemberNews(B, 0, MemberState.ALIVE)), now);
        Set<ProcessId> neighbours = Set.of(B.id());
        membership.expect(neighbours, now);
    }

    private List<MemberNews> pass(int steps) {
        List<MemberNews> suspicions = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            now += STEP;
            suspicions.addAll(membership.onTick(now));
        }
        return suspicions;
    }
}
